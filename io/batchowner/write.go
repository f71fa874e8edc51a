package batchowner

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/store"
	"jacinthpost/core/upkeep"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
	"jacinthpost/io/lead"
)

const (
	// maxWrittenJobs leaves room for the owner row, the load, removed states and states of several rows: a
	// transaction may have 100 entries.
	maxWrittenJobs  = 60
	maxRemovedJobs  = 20
	writeRetryDelay = 30 * time.Millisecond
	// asideTime is how long the presence or the waves are left out after the store has not accepted them.
	asideTime = 5 * time.Second
	// releaseTimeout limits the last transaction of a process that stops.
	releaseTimeout = 600 * time.Millisecond
)

var errOwnershipLost = errors.New("another process owns the partition")

// change is the content of one transaction.
type change struct {
	batch   *batch.WriteBatch
	removed []string // jobs whose states to remove
	load    []byte   // nil if unchanged
	waves   []upkeep.Change

	presence *batch.Presence // nil if unchanged
	learned  []byte          // nil if unchanged
	alone    bool            // the change has one part only, which may be one that the store does not accept
}

// parts splits a change into pieces that can be stored without each other: single jobs, and each of the rest.
func (chg change) parts() []change {
	var out []change
	for _, one := range chg.batch.Singles() {
		out = append(out, change{batch: one, alone: true})
	}
	rest := []change{
		{presence: chg.presence}, {load: chg.load}, {learned: chg.learned}, {waves: chg.waves}, {removed: chg.removed},
	}
	for _, prt := range rest {
		prt.batch, prt.alone = &batch.WriteBatch{}, true
		if !prt.empty() {
			out = append(out, prt)
		}
	}
	return out
}

// describe names the content of a part for the log.
func (chg change) describe() string {
	switch {
	case !chg.batch.Empty():
		return "job " + chg.batch.Records()[0].ID
	case chg.presence != nil:
		return "presence"
	case chg.load != nil:
		return "load"
	case chg.learned != nil:
		return "learned"
	case len(chg.waves) > 0:
		return "waves"
	default:
		return "removals"
	}
}

func (chg change) empty() bool {
	return chg.batch.Empty() && len(chg.removed) == 0 && chg.load == nil && len(chg.waves) == 0 && chg.presence == nil && chg.learned == nil
}

// writer stores changes. It belongs to the goroutine that runs write.
type writer struct {
	*ownership
	load        loadPublisher
	learned     learnedPublisher
	presence    []byte    // as last stored
	presenceDue bool      // the presence must be stored
	writtenAt   time.Time // end of the last transaction
	renewedAt   time.Time // end of the last renewal of the owner row
	sequence    uint64
	failed      bool // the last call failed, so the next one waits for writeRetryDelay
	// presence and waves are left out until these times, because the store has not accepted them.
	presenceAside, wavesAside time.Time
}

// write stores changes until the ownership is lost or the context ends.
func (osp *ownership) write(ctx context.Context) error {
	select {
	case <-osp.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	now := osp.cfg.Clock()
	wrt := &writer{ownership: osp, writtenAt: now, renewedAt: now, sequence: osp.owner.Sequence}
	for ctx.Err() == nil {
		wrt.await(ctx)
		chg, err := wrt.next(ctx)
		if err != nil {
			break
		}
		if chg.empty() && osp.cfg.Clock().Sub(wrt.writtenAt) < lead.RenewPeriod {
			continue
		}
		if chg.alone {
			if err := wrt.renewDue(ctx); err != nil {
				return err
			}
		}
		if err := wrt.store(ctx, chg); err != nil {
			return err
		}
	}
	return wrt.release()
}

// await waits until there is something to store or the owner row must be renewed.
func (wrt *writer) await(ctx context.Context) {
	// What was left out counts as something to store, so without a pause the loop would spin.
	now := wrt.cfg.Clock()
	wait := wrt.failed || now.Before(wrt.presenceAside) || now.Before(wrt.wavesAside)
	if wait && control.Pause(ctx, writeRetryDelay) != nil {
		return
	}
	wrt.failed = false
	tmr := time.NewTimer(max(0, lead.RenewPeriod-wrt.cfg.Clock().Sub(wrt.writtenAt)))
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-wrt.writeNeeded:
	case <-tmr.C:
	}
}

// next plans and returns the changes to store.
func (wrt *writer) next(ctx context.Context) (change, error) {
	return control.Query(ctx, wrt.loop, timed(wrt.ownership, planTurn, func(sch *Scheduler, now time.Time) change {
		sch.Plan(now)
		chg := change{batch: sch.NextBatch(maxWrittenJobs)}
		if chg.batch.Alone() {
			chg.alone = true
			return chg
		}
		num := min(maxRemovedJobs, len(wrt.removable))
		chg.removed = wrt.removable[:num:num]
		wrt.removable = wrt.removable[num:]
		if now.After(wrt.wavesAside) {
			chg.waves = wrt.maintenance.planner.TakeChanges()
		}
		if now.After(wrt.presenceAside) {
			chg.presence = wrt.changedPresence(sch, now)
		}
		chg.load = wrt.load.next(sch, now, wrt.cfg.Log)
		chg.learned = wrt.learned.next(sch, now)
		return chg
	}))
}

// store commits a change. It returns an error only if the ownership is lost or the owner row cannot be
// decoded.
func (wrt *writer) store(ctx context.Context, chg change) error {
	err := wrt.commit(ctx, chg)
	if !errors.Is(err, store.ErrInvalid) {
		return err
	}
	// One part of the change must not keep the others or the renewal from being stored.
	switch {
	case chg.alone:
		wrt.setAside(ctx, chg, err)
	case chg.empty():
		wrt.cfg.Log.Error("the store does not accept the owner row", zap.Error(err))
		wrt.failed = true
	default:
		return wrt.storeParts(ctx, chg)
	}
	return nil
}

// storeParts stores the parts of a change one by one, and renews the owner row in between.
func (wrt *writer) storeParts(ctx context.Context, chg change) error {
	for _, prt := range chg.parts() {
		if err := wrt.renewDue(ctx); err != nil {
			return err
		}
		if wrt.failed {
			wrt.abandon(ctx, prt) // an outage has begun
			continue
		}
		if err := wrt.store(ctx, prt); err != nil {
			return err
		}
	}
	return nil
}

// abandon queues the content of a change to be stored again.
func (wrt *writer) abandon(ctx context.Context, chg change) {
	wrt.post(ctx, func(sch *Scheduler, _ time.Time) {
		sch.Abandoned(chg.batch)
		wrt.maintenance.planner.ChangesUncertain(chg.waves)
		wrt.removable = append(wrt.removable, chg.removed...)
	})
}

// renewDue renews the owner row if that is due.
func (wrt *writer) renewDue(ctx context.Context) error {
	if wrt.cfg.Clock().Sub(wrt.renewedAt) < lead.RenewPeriod {
		return nil
	}
	return wrt.store(ctx, change{batch: &batch.WriteBatch{}})
}

// setAside leaves out what the store does not accept: a job, the presence and the waves for a time, the load and
// what was learned until they change.
func (wrt *writer) setAside(ctx context.Context, prt change, why error) {
	metrics.GetOrCreateCounter(`jacinthpost_owner_set_aside_total`).Inc()
	wrt.cfg.Log.Error("the store does not accept a part of the state; it is left out", zap.String("part", prt.describe()), zap.Error(why))
	now := wrt.cfg.Clock()
	switch {
	case !prt.batch.Empty():
		wrt.post(ctx, func(sch *Scheduler, now time.Time) { sch.SetAside(prt.batch, now) })
	case prt.presence != nil:
		wrt.presenceAside, wrt.presenceDue = now.Add(asideTime), true
	case prt.load != nil:
		wrt.load.stored(prt.load, now)
	case prt.learned != nil:
		wrt.learned.data = prt.learned
	case len(prt.waves) > 0:
		wrt.wavesAside = now.Add(asideTime)
		wrt.post(ctx, func(*Scheduler, time.Time) { wrt.maintenance.planner.ChangesUncertain(prt.waves) })
	}
}

// commit commits a change in one transaction. After an error that is ErrInvalid, the caller must store or set aside
// the content of the change; after other errors it is stored again.
func (wrt *writer) commit(ctx context.Context, chg change) error {
	sent := wrt.cfg.Clock()
	wrt.sequence++
	// The end of the context must not leave the outcome open, because the release depends on the row.
	txn, pieces := wrt.transaction(chg)
	if chg.presence != nil {
		wrt.grantable.offer(*chg.presence)
		wrt.presence = nil // unknown until the transaction is confirmed
	}
	res, err := wrt.cfg.Table.Commit(context.WithoutCancel(ctx), txn)
	wrt.writtenAt = wrt.cfg.Clock()
	metrics.GetOrCreateHistogram(`jacinthpost_owner_commit_seconds`).Update(wrt.writtenAt.Sub(sent).Seconds())
	if errors.Is(err, store.ErrInvalid) {
		return err
	}
	if err == nil && res.Committed() {
		wrt.version, wrt.renewedAt = res.Version(), wrt.writtenAt
		wrt.confirmedAt.Store(sent.UnixNano())
		for id, num := range pieces {
			wrt.setPieces(id, num)
		}
		if chg.load != nil {
			wrt.load.stored(chg.load, wrt.writtenAt)
		}
		if chg.learned != nil {
			wrt.learned.data = chg.learned
		}
		if chg.presence != nil {
			wrt.presence, wrt.presenceDue = wrt.encodePresence(*chg.presence), false
			wrt.grantable.set(*chg.presence)
		}
		wrt.postTurn(ctx, storedTurn, func(sch *Scheduler, now time.Time) {
			sch.Committed(chg.batch, now)
			wrt.maintenance.stored(chg.waves)
		})
		return nil
	}
	wrt.abandon(ctx, chg)
	if err == nil {
		return wrt.resolve(ctx, res)
	}
	wrt.failed = true
	return nil
}

// resolve reads the current owner row after a conflict. The cause is either an earlier transaction whose
// outcome was unknown and that was applied, or another owner.
func (wrt *writer) resolve(ctx context.Context, res store.Result) error {
	for _, row := range res.Conflicts() {
		if row.Key() != wrt.cfg.Partition.OwnerKey() {
			continue
		}
		return wrt.checkOwnerRow(row)
	}
	rows, err := wrt.cfg.Table.Read(ctx, wrt.cfg.Partition.OwnerKey())
	if err != nil {
		wrt.failed = true
		return nil
	}
	return wrt.checkOwnerRow(rows[0])
}

// checkOwnerRow continues with the version of the row if this process still owns it, and returns an
// error otherwise.
func (wrt *writer) checkOwnerRow(row store.Row) error {
	if !row.Exists() {
		return errors.Wrap(errOwnershipLost, "owner row does not exist")
	}
	own, err := batchstore.DecodeOwner(row.Value())
	if err != nil {
		return err
	}
	if own.Nonce != wrt.owner.Nonce || own.Epoch != wrt.epoch {
		wrt.cfg.Elector.SetCurrent(own)
		return errors.Wrapf(errOwnershipLost, "owner row names %s with epoch %d", own.Holder, own.Epoch)
	}
	wrt.version = row.Version()
	return nil
}

// transaction returns the transaction of a change, and the number of pieces by state that it leaves in the store.
func (wrt *writer) transaction(chg change) (*store.Transaction, map[string]int) {
	part := wrt.cfg.Partition
	own := wrt.owner
	own.Sequence = wrt.sequence
	txn, pieces := &store.Transaction{}, make(map[string]int)
	txn.Require(part.OwnerKey(), wrt.version)
	txn.Put(part.OwnerKey(), batchstore.Encode(own))
	for _, rec := range chg.batch.Records() {
		before := wrt.pieces[rec.ID]
		pieces[rec.ID] = part.PutState(txn, rec, wrt.cfg.RowBytes, before)
		// If the outcome stays unknown, the state may have the pieces of either write.
		wrt.setPieces(rec.ID, max(before, pieces[rec.ID]))
	}
	if chg.load != nil {
		txn.Put(part.LoadKey(), chg.load)
	}
	if chg.presence != nil {
		txn.Put(part.PresenceKey(), wrt.encodePresence(*chg.presence))
	}
	if chg.learned != nil {
		txn.Put(part.LearnedKey(), chg.learned)
	}
	for _, wav := range chg.waves {
		txn.Put(part.WaveKey(wav.Wave), encodeProgress(wav))
	}
	for _, id := range chg.removed {
		part.DeleteState(txn, id, wrt.pieces[id])
		pieces[id] = 0
	}
	return txn, pieces
}

func (wrt *writer) setPieces(id string, num int) {
	if num == 0 {
		delete(wrt.pieces, id)
		return
	}
	wrt.pieces[id] = num
}

// release marks the owner row as released when the ownership ends, so that another process takes over at
// once. An earlier transaction whose outcome was unknown may have changed the row.
func (wrt *writer) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	own := wrt.owner
	own.Need = max(own.Need, wrt.need.Load())
	for {
		wrt.sequence++
		own.Sequence = wrt.sequence
		var txn store.Transaction
		txn.Require(wrt.cfg.Partition.OwnerKey(), wrt.version)
		putRelease(&txn, wrt.cfg.Partition, own)
		res, err := wrt.cfg.Table.Commit(ctx, &txn)
		if err != nil {
			return errors.Wrap(err, "release the partition")
		}
		if res.Committed() {
			return nil
		}
		if err := wrt.resolve(ctx, res); err != nil {
			return err
		}
		if wrt.failed {
			return errors.New("release the partition: cannot read the owner row")
		}
	}
}
