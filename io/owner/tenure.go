package owner

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/quota"
	"jacinthpost/core/store"
	"jacinthpost/io/joblog"
)

// tenure is the state of a partition while this process owns it in one epoch.
type tenure[P job.Placement] struct {
	log            *joblog.Log
	part           *job.Partition[P] // nil until the log is replayed
	cancel         context.CancelFunc
	ctx            context.Context // ends with the tenure
	pending        []job.Record    // not yet handed to the log
	durable        uint64          // number of the last durable record
	held           []held
	waiting        map[job.Tag]func(eff job.Effect)
	writing        bool
	scheduled      bool
	writtenAt      time.Time
	unsaved        int // records that no snapshot covers
	saving         bool
	saveAfter      time.Time
	releasing      bool
	view           *View                 // as last passed to the partition
	takenOut       []fleet.DataCentre    // as last passed to the partition
	lateCounted    int                   // late jobs already added to the counter
	evictedCounted int                   // evictions already added to the counter
	allocator      quota.Allocator       // used for AllocatorPartition only
	duplicates     quota.DuplicateFilter // of repeated reports to the allocator
}

// held is an action that waits for a record to become durable.
type held struct {
	after uint64
	run   func()
}

// beginTenure starts a tenure by reading the log.
func (sta *state[P]) beginTenure(slt *slot[P], _ time.Time) {
	if sta.owner.ctx == nil {
		return // Run has ended
	}
	takeovers.Inc()
	ctx, cancel := context.WithCancel(sta.owner.ctx)
	slt.tenure = &tenure[P]{ctx: ctx, cancel: cancel, waiting: make(map[job.Tag]func(job.Effect))}
	sta.openLog(slt, slt.tenure)
}

func (sta *state[P]) openLog(slt *slot[P], ten *tenure[P]) {
	own, num, epoch, ver := sta.owner, slt.num, slt.ownership.Epoch(), slt.ownership.EpochVersion()
	own.store(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ten.ctx, storeTimeout)
		defer cancel()
		log, recs, err := joblog.Open(limited, own.ports.table, own.ports.objects, num, epoch, ver)
		own.post(ctx, func(sta *state[P], now time.Time) { sta.logOpened(slt, ten, log, recs, err, now) })
	})
}

// logOpened replays the log and takes the running tasks over.
func (sta *state[P]) logOpened(slt *slot[P], ten *tenure[P], log *joblog.Log, recs []job.Record, err error, now time.Time) {
	if slt.tenure != ten {
		return
	}
	if err != nil {
		storeErrors.Inc()
		sta.log(slt).Warn("could not read partition log", zap.Error(err))
		if errors.Is(err, joblog.ErrFenced) {
			sta.endTenure(slt, "fenced")
			return
		}
		sta.owner.postAfter(openRetryPause, func(sta *state[P], _ time.Time) {
			if slt.tenure == ten {
				sta.openLog(slt, ten)
			}
		})
		return
	}
	ten.log, ten.part = log, job.New(sta.place(slt.num), job.DefaultLimits())
	ten.part.Replay(recs)
	ten.durable, ten.unsaved = ten.part.Recorded(), log.Tail()
	ten.view, ten.takenOut = sta.view, sta.takenOut
	env := sta.env(slt, now)
	sta.collect(slt, ten.part.Observe(env, sta.hints), now)
	sta.collect(slt, ten.part.TakeOver(env, slt.ownership.Epoch()), now)
	sta.collect(slt, ten.part.DrainDataCentres(env, sta.takenOut), now)
	sta.log(slt).Info("partition taken over", zap.Int("records", len(recs)), zap.Int("queuedTasks", ten.part.Queued()))
}

// log returns the logger of a partition.
func (sta *state[P]) log(slt *slot[P]) *zap.Logger {
	return sta.owner.ports.log.With(zap.Int("partition", slt.num), zap.Uint64("epoch", slt.ownership.Epoch()))
}

// endTenure ends a tenure. Waiting callers get a NotOwner reply.
func (sta *state[P]) endTenure(slt *slot[P], reason string) {
	ten := slt.tenure
	if ten == nil {
		return
	}
	tenuresEnded(reason).Inc()
	sta.log(slt).Info("partition ownership ended", zap.String("reason", reason), zap.Int("pendingRecords", len(ten.pending)))
	slt.tenure = nil
	ten.cancel()
	if ten.part != nil {
		closePlacement(ten.part.Placement())
	}
	for _, done := range ten.waiting {
		done(nil)
	}
}

// collect queues the records of an event and holds its effects until they are durable.
func (sta *state[P]) collect(slt *slot[P], out *job.Output, now time.Time) {
	ten := slt.tenure
	ten.pending = append(ten.pending, out.Records()...)
	for _, eff := range out.Effects() {
		ten.hold(eff.After(), func() { sta.send(slt, ten, eff) })
	}
	sta.flush(slt, now)
	sta.scheduleEarlyTick(slt, now)
}

// hold runs an action once a record is durable, immediately if it already is.
func (ten *tenure[P]) hold(after uint64, run func()) {
	if after <= ten.durable {
		run()
		return
	}
	ten.held = append(ten.held, held{after: after, run: run})
}

// flush appends the pending records, now or when the period since the last write has passed.
func (sta *state[P]) flush(slt *slot[P], now time.Time) {
	ten := slt.tenure
	if ten.writing || ten.scheduled || len(ten.pending) == 0 {
		return
	}
	if wait := WritePeriod - now.Sub(ten.writtenAt); wait > 0 {
		ten.scheduled = true
		sta.owner.postAfter(wait, func(sta *state[P], now time.Time) {
			ten.scheduled = false
			if slt.tenure == ten {
				sta.flush(slt, now)
			}
		})
		return
	}
	sta.append(slt, ten, now)
}

func (sta *state[P]) append(slt *slot[P], ten *tenure[P], now time.Time) {
	batch := ten.takeBatch()
	ten.writing, ten.writtenAt = true, now
	ten.unsaved += len(batch)
	var snapshot []job.Record
	covered := ten.unsaved
	if covered >= joblog.SnapshotRecords && !ten.saving && len(ten.pending) == 0 && !now.Before(ten.saveAfter) {
		// The state holds exactly the records up to the end of this batch.
		snapshot, ten.saving = ten.part.Snapshot(), true
	}
	logWrites.Inc()
	logRecords.Add(len(batch))
	own, log := sta.owner, ten.log
	own.store(func(ctx context.Context) {
		err := log.Append(ten.ctx, batch)
		next, triedAt := log.Next(), log.TriedAt()
		own.post(ctx, func(sta *state[P], now time.Time) {
			if slt.tenure != ten {
				return
			}
			ten.writtenAt = triedAt
			if err != nil {
				sta.appendFailed(slt, ten, batch, snapshot != nil, err)
				return
			}
			sta.appended(slt, ten, uint64(len(batch)), now)
			if snapshot != nil {
				sta.saveSnapshot(ten, snapshot, covered, next)
			}
		})
	})
}

// takeBatch removes the next batch from the pending records.
func (ten *tenure[P]) takeBatch() []job.Record {
	size, end := 0, 0
	for end < len(ten.pending) && (end == 0 || size < maxBatchBytes) {
		size += len(ten.pending[end].Spec().Payload()) + len(ten.pending[end].End().Result())
		end++
	}
	batch := ten.pending[:end:end]
	ten.pending = slices.Clone(ten.pending[end:])
	return batch
}

// appended runs the actions that were held until the records of a batch were durable.
func (sta *state[P]) appended(slt *slot[P], ten *tenure[P], records uint64, now time.Time) {
	ten.writing = false
	ten.durable += records
	ready := ten.held
	ten.held = nil
	for pos, hld := range ready {
		if hld.after > ten.durable {
			ten.held = append(ten.held, ready[pos])
			continue
		}
		hld.run()
	}
	sta.flush(slt, now)
}

// appendFailed keeps the records for another try if nothing was applied. Any
// other failure ends the tenure, because the durable state is not known.
func (sta *state[P]) appendFailed(slt *slot[P], ten *tenure[P], batch []job.Record, withSnapshot bool, err error) {
	storeErrors.Inc()
	if !errors.Is(err, store.ErrUnavailable) {
		sta.log(slt).Warn("append to partition log failed", zap.Error(err))
		slt.ownership.Forfeit()
		sta.endTenure(slt, "append failed")
		return
	}
	ten.writing = false
	ten.pending = append(batch, ten.pending...)
	ten.unsaved -= len(batch)
	ten.saving = ten.saving && !withSnapshot
	sta.owner.postAfter(WritePeriod, func(sta *state[P], now time.Time) {
		if slt.tenure == ten {
			sta.flush(slt, now)
		}
	})
}

// saveSnapshot stores a snapshot that covers a number of records. After a failure,
// the first batch after saveRetryPause tries again.
func (sta *state[P]) saveSnapshot(ten *tenure[P], recs []job.Record, covered int, next uint64) {
	own, log := sta.owner, ten.log
	own.store(func(ctx context.Context) {
		err := log.Save(ten.ctx, recs, next)
		snapshots.Inc()
		own.post(ctx, func(_ *state[P], now time.Time) {
			ten.saving = false
			if err != nil {
				storeErrors.Inc()
				ten.saveAfter = now.Add(saveRetryPause)
				return
			}
			ten.unsaved -= covered
		})
	})
}
