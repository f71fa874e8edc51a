// Package lead implements leader election for a partition: it finds the owner of the partition and
// elects a new one if the owner fails.
//
// The owner row in the table names the owner, its holder. The holder rewrites the row with every
// transaction and at least once per RenewPeriod, so if the version of the row does not change, the
// holder has failed. A candidate replaces the row in a transaction that is conditional on this version.
// Later transactions of the previous owner then fail. Clocks need not be synchronized: a takeover is
// safe at any time, and the waiting time only avoids unnecessary takeovers.
//
// Processes read the row only when necessary: when they start, and after a call of Suspect because the
// owner does not answer.
package lead

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/decision"
	"jacinthpost/core/store"
	"jacinthpost/io/batchstore"
)

// Times of elections.
const (
	RenewPeriod    = 300 * time.Millisecond  // between writes of the owner row without other changes
	TakeoverAfter  = 1200 * time.Millisecond // minimum time without a change of the row before a takeover
	readPeriod     = 150 * time.Millisecond  // between reads of the row while the owner is suspected
	readRetryDelay = 250 * time.Millisecond  // after a failed read or takeover
	// roundTripFactor times the round trip to the store is added to the delay of a takeover, so that
	// candidates near the store are first.
	roundTripFactor = 12
	maxJitter       = 120 * time.Millisecond
	// Abstention is how long a promise to take nothing over is valid. It is shorter than TakeoverAfter, so that a process that
	// starts again keeps the promise of the one before.
	Abstention = 800 * time.Millisecond
	// lateCommitAfter is the time after which a transaction without an answer has certainly had its effect or has none.
	lateCommitAfter = 15 * time.Second
	// yieldWait is how long a released row that needs a larger machine is left to one.
	yieldWait = time.Second
)

// Candidacy tells for which elections a process stands.
type Candidacy struct {
	Share   float64 // of a core that the machine has
	Standby bool    // the process takes over only from an owner that needs a larger machine
}

// Term is one ownership of the partition, from a won election on.
type Term struct {
	owner      batchstore.Owner
	version    store.Version
	former     batchstore.Owner
	quietSince time.Time
}

// Former returns the owner row that the term replaced, zero if there was none.
func (trm Term) Former() batchstore.Owner { return trm.former }

// QuietSince returns a time since when the former owner has stored nothing and this process has not abstained from a
// takeover, see Elector.Abstain. It is the time of the election if that is unknown.
func (trm Term) QuietSince() time.Time { return trm.quietSince }

// Owner returns the owner row as written at the start of the term.
func (trm Term) Owner() batchstore.Owner { return trm.owner }

// Version returns the version of the owner row at the start of the term.
func (trm Term) Version() store.Version { return trm.version }

// Elector finds and elects the owner of one partition. Run must be called from one goroutine at a time;
// the other methods are safe for concurrent use.
type Elector struct {
	table          store.Table
	part           batchstore.Partition
	self           batchstore.Owner // holder, address and nonce of this process
	candidacy      Candidacy
	log            *zap.Logger
	current        atomic.Pointer[batchstore.Owner]
	suspected      chan struct{}
	rowKnown       bool // the row was read since the start or the last suspicion
	yielded        bool // the row was released for a machine like this one when it was last read
	version        store.Version
	firstReadAt    time.Time // when the row was first read with this version
	unchangedSince time.Time // since when the row has not changed, zero if its holder is alive
	roundTrip      time.Duration
	clock          func() time.Time
	abstention     abstention
}

// New returns an elector for a candidate. Self contains the holder, address and nonce of this process.
func New(tab store.Table, part batchstore.Partition, self batchstore.Owner, cdc Candidacy, clk func() time.Time, log *zap.Logger) *Elector {
	return &Elector{table: tab, part: part, self: self, candidacy: cdc, log: log, suspected: make(chan struct{}, 1), clock: clk}
}

// Candidacy returns for which elections this process stands.
func (ele *Elector) Candidacy() Candidacy { return ele.candidacy }

// Holder returns the name of this process in the owner row.
func (ele *Elector) Holder() string { return ele.self.Holder }

// Current returns the owner according to the last read of the row, or false before the first read.
func (ele *Elector) Current() (batchstore.Owner, bool) {
	own := ele.current.Load()
	if own == nil {
		return batchstore.Owner{}, false
	}
	return *own, true
}

// Suspect makes the elector read the row and check whether the owner is alive or was replaced.
func (ele *Elector) Suspect() {
	select {
	case ele.suspected <- struct{}{}:
	default:
	}
}

// SetCurrent sets the owner that Current returns, for callers that have read the row themselves.
func (ele *Elector) SetCurrent(own batchstore.Owner) { ele.current.Store(&own) }

// Learn sets the owner that Current returns if it is newer than the known one, for callers that were told of it by
// another process.
func (ele *Elector) Learn(own batchstore.Owner) {
	for {
		old := ele.current.Load()
		if old != nil && old.Epoch >= own.Epoch {
			return
		}
		if ele.current.CompareAndSwap(old, &own) {
			return
		}
	}
}

// Abstain promises that this process takes the partition over no sooner than Abstention after now, which must be before the
// promise is told to the owner. It returns false if the process can't promise that: it reaches the table, or a
// takeover that it has tried may still have an effect.
func (ele *Elector) Abstain(now time.Time) bool { return ele.abstention.promise(now) }

// Run follows the owner until this process wins an election, and returns the term. It returns an error
// only if the context ends.
func (ele *Elector) Run(ctx context.Context) (Term, error) {
	ele.rowKnown = false
	for {
		trm, won, err := ele.checkRow(ctx)
		if won || ctx.Err() != nil {
			return trm, ctx.Err()
		}
		wait := readPeriod
		if err != nil {
			wait = readRetryDelay
		}
		if !ele.awaitNextRead(ctx, wait) {
			return Term{}, ctx.Err()
		}
	}
}

// awaitNextRead waits until the row must be read again: for dur while the owner is suspected, otherwise
// until the next call of Suspect. It returns false if the context ends.
func (ele *Elector) awaitNextRead(ctx context.Context, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tmr.C:
	}
	if ele.mustReread() {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-ele.suspected:
		ele.rowKnown = false
		return true
	}
}

// mustReread reports whether the row must be read again soon, because it is unknown whether its holder
// is alive.
func (ele *Elector) mustReread() bool {
	return !ele.rowKnown || !ele.unchangedSince.IsZero() && (!ele.candidacy.Standby || ele.yielded)
}

// checkRow reads the row and takes it over if its holder has failed. It reports whether it did.
func (ele *Elector) checkRow(ctx context.Context) (Term, bool, error) {
	begun := ele.clock()
	rows, err := ele.table.Read(ctx, ele.part.OwnerKey())
	ele.abstention.recordRead(err == nil)
	if err != nil {
		return Term{}, false, err
	}
	now := ele.clock()
	ele.roundTrip = now.Sub(begun)
	row := rows[0]
	var own batchstore.Owner
	if row.Exists() {
		if own, err = batchstore.DecodeOwner(row.Value()); err != nil {
			ele.log.Warn("cannot decode the owner row", zap.Error(err))
			own = batchstore.Owner{}
		}
	}
	ele.recordRow(row, own, now)
	if !ele.mayTakeOver(row, own, now) {
		return Term{}, false, nil
	}
	return ele.takeOver(ctx, row, own)
}

// recordRow records a row. If the row has changed since it was first read, its holder is alive, unless
// the holder has released it.
func (ele *Elector) recordRow(row store.Row, own batchstore.Owner, now time.Time) {
	if ele.rowKnown && row.Version() == ele.version {
		return
	}
	ele.firstReadAt = now
	if row.Exists() {
		ele.current.Store(&own)
	}
	ele.unchangedSince = now
	if ele.rowKnown && !own.Released {
		ele.unchangedSince = time.Time{}
	}
	ele.rowKnown, ele.version = true, row.Version()
}

// mayTakeOver reports whether the row has been unchanged long enough for a takeover.
func (ele *Elector) mayTakeOver(row store.Row, own batchstore.Owner, now time.Time) bool {
	ele.yielded = own.Released && own.Need > 0 && own.Need <= ele.candidacy.Share
	if ele.candidacy.Standby && !ele.yielded {
		return false
	}
	delay := TakeoverAfter
	switch {
	case own.Released && own.Need > ele.candidacy.Share:
		delay = yieldWait
	case !row.Exists() || own.Released || own.Holder == ele.self.Holder:
		delay = 0 // there is no holder, or it is an earlier process of this instance
	}
	delay += roundTripFactor*ele.roundTrip + rand.N(maxJitter)
	return !ele.unchangedSince.IsZero() && now.Sub(ele.unchangedSince) >= delay
}

// takeOver replaces the row and reports whether it did. If the outcome is unknown, it reads the row again.
func (ele *Elector) takeOver(ctx context.Context, row store.Row, old batchstore.Owner) (Term, bool, error) {
	own := ele.self
	// Agents follow only higher epochs. If the row can't be decoded, its version is an upper bound of all
	// former epochs, because each of them began with a transaction.
	own.Epoch, own.Sequence, own.Need = old.Epoch+1, 1, old.Need
	if row.Exists() && old.Epoch == 0 {
		own.Epoch = uint64(row.Version()) + 1
	}
	var txn store.Transaction
	txn.Require(ele.part.OwnerKey(), row.Version())
	txn.Put(ele.part.OwnerKey(), batchstore.Encode(own))
	if !ele.abstention.beginAttempt(ele.clock()) {
		return Term{}, false, nil
	}
	res, err := ele.table.Commit(ctx, &txn)
	trm := Term{owner: own, version: res.Version(), former: old, quietSince: ele.abstention.quietSince(ele.firstReadAt)}
	if !errors.Is(err, store.ErrUncertain) {
		ele.abstention.endAttempt()
	}
	switch {
	case errors.Is(err, store.ErrUncertain):
		return ele.confirmTakeover(ctx, trm)
	case err != nil:
		return Term{}, false, err
	case !res.Committed():
		return Term{}, false, nil
	}
	ele.log.Info(string(decision.OwnerElected), zap.Uint64("epoch", own.Epoch), zap.String("former", old.Holder))
	ele.current.Store(&own)
	return trm, true, nil
}

// confirmTakeover reads the row and reports whether it was written by a takeover of this process.
func (ele *Elector) confirmTakeover(ctx context.Context, trm Term) (Term, bool, error) {
	own := trm.owner
	rows, err := ele.table.Read(ctx, ele.part.OwnerKey())
	if err != nil {
		return Term{}, false, err
	}
	now, err := batchstore.DecodeOwner(rows[0].Value())
	if err != nil || now.Nonce != own.Nonce || now.Epoch != own.Epoch {
		return Term{}, false, err
	}
	ele.abstention.endAttempt()
	ele.current.Store(&own)
	trm.version = rows[0].Version()
	return trm, true, nil
}
