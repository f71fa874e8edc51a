// Package lead finds the owner of a partition and elects a new one.
//
// The owner row in the table names the owner. Its holder rewrites it with every
// transaction and at least once in RenewPeriod, so a row whose version stands still
// tells that its holder has failed. A candidate replaces it by a transaction that
// is conditional on that version; the former owner's later transactions then fail.
// Nothing depends on clocks that agree: a takeover is safe at any moment, and the
// waiting time only avoids needless ones.
//
// Processes read the row only while they need to: at their start, and after
// they called Suspect because the owner does not answer.
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
	RenewPeriod    = 300 * time.Millisecond // of an owner without other writes
	TakeoverAfter  = 1200 * time.Millisecond
	readPeriod     = 150 * time.Millisecond // of the row while the owner is in doubt
	readRetryDelay = 250 * time.Millisecond // after a failed call
	// distanceFactor turns the round trip to the store into a delay, so that a
	// candidate near the store goes first.
	roundTripFactor = 12
	maxJitter       = 120 * time.Millisecond
)

// Term is one ownership of the partition.
type Term struct {
	owner   batchstore.Owner
	version store.Version
}

// Owner returns the row of the term.
func (trm Term) Owner() batchstore.Owner { return trm.owner }

// Version returns the version of the row when the term began.
func (trm Term) Version() store.Version { return trm.version }

// Elector finds and elects the owner of one partition. Safe for use from any goroutine.
type Elector struct {
	table          store.Table
	part           batchstore.Partition
	self           batchstore.Owner // holder, address and nonce of this process
	log            *zap.Logger
	current        atomic.Pointer[batchstore.Owner]
	suspected      chan struct{}
	rowKnown       bool // the row was read in this doubt
	version        store.Version
	unchangedSince time.Time // since when the row stands still, zero when its holder is alive
	roundTrip      time.Duration
	clock          func() time.Time
}

// New returns an elector of a candidate, whose holder, address and nonce are set.
func New(tab store.Table, part batchstore.Partition, self batchstore.Owner, clk func() time.Time, log *zap.Logger) *Elector {
	return &Elector{table: tab, part: part, self: self, log: log, suspected: make(chan struct{}, 1), clock: clk}
}

// Current returns the owner as last read, false before the first reading.
func (ele *Elector) Current() (batchstore.Owner, bool) {
	own := ele.current.Load()
	if own == nil {
		return batchstore.Owner{}, false
	}
	return *own, true
}

// Suspect makes the elector look for another owner.
func (ele *Elector) Suspect() {
	select {
	case ele.suspected <- struct{}{}:
	default:
	}
}

// Adopt notes an owner that was learned otherwise, such as this process itself.
func (ele *Elector) SetCurrent(own batchstore.Owner) { ele.current.Store(&own) }

// Run finds the owner until this process wins an election, whose term it returns.
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

// pause waits until the row has to be read again: after the duration when the
// owner is in doubt, otherwise until somebody suspects it.
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

// doubtful reports whether the row has to be read again soon.
func (ele *Elector) mustReread() bool { return !ele.rowKnown || !ele.unchangedSince.IsZero() }

// look reads the row and takes it over when its holder has failed.
func (ele *Elector) checkRow(ctx context.Context) (Term, bool, error) {
	begun := ele.clock()
	rows, err := ele.table.Read(ctx, ele.part.OwnerKey())
	if err != nil {
		return Term{}, false, err
	}
	now := ele.clock()
	ele.roundTrip = now.Sub(begun)
	row := rows[0]
	var own batchstore.Owner
	if row.Exists() {
		if own, err = batchstore.DecodeOwner(row.Value()); err != nil {
			ele.log.Warn("owner row can't be read", zap.Error(err))
		}
	}
	ele.recordRow(row, own, now)
	if !ele.mayTakeOver(row, own, now) {
		return Term{}, false, nil
	}
	return ele.takeOver(ctx, row, own)
}

// noteRow notes a row. One that has changed within a doubt has a holder that is
// alive, unless the holder released it.
func (ele *Elector) recordRow(row store.Row, own batchstore.Owner, now time.Time) {
	if ele.rowKnown && row.Version() == ele.version {
		return
	}
	if row.Exists() {
		ele.current.Store(&own)
	}
	ele.unchangedSince = now
	if ele.rowKnown && !own.Released {
		ele.unchangedSince = time.Time{}
	}
	ele.rowKnown, ele.version = true, row.Version()
}

func (ele *Elector) mayTakeOver(row store.Row, own batchstore.Owner, now time.Time) bool {
	patience := TakeoverAfter
	if !row.Exists() || own.Released || own.Holder == ele.self.Holder {
		patience = 0 // nobody holds it, or an earlier process of this instance did
	}
	patience += roundTripFactor*ele.roundTrip + rand.N(maxJitter)
	return !ele.unchangedSince.IsZero() && now.Sub(ele.unchangedSince) >= patience
}

// take replaces the row. An uncertain outcome is settled by reading the row again.
func (ele *Elector) takeOver(ctx context.Context, row store.Row, old batchstore.Owner) (Term, bool, error) {
	own := ele.self
	own.Epoch, own.Sequence = old.Epoch+1, 1
	var txn store.Transaction
	txn.Require(ele.part.OwnerKey(), row.Version())
	txn.Put(ele.part.OwnerKey(), batchstore.Encode(own))
	res, err := ele.table.Commit(ctx, &txn)
	switch {
	case errors.Is(err, store.ErrUncertain):
		return ele.confirmTakeover(ctx, own)
	case err != nil:
		return Term{}, false, err
	case !res.Committed():
		return Term{}, false, nil
	}
	ele.log.Info(string(decision.OwnerElected), zap.Uint64("epoch", own.Epoch), zap.String("former", old.Holder))
	ele.current.Store(&own)
	return Term{owner: own, version: res.Version()}, true, nil
}

func (ele *Elector) confirmTakeover(ctx context.Context, own batchstore.Owner) (Term, bool, error) {
	rows, err := ele.table.Read(ctx, ele.part.OwnerKey())
	if err != nil {
		return Term{}, false, err
	}
	now, err := batchstore.DecodeOwner(rows[0].Value())
	if err != nil || now.Nonce != own.Nonce || now.Epoch != own.Epoch {
		return Term{}, false, err
	}
	ele.current.Store(&own)
	return Term{owner: own, version: rows[0].Version()}, true, nil
}
