// Package groupcommit groups independent compare-and-set writes of single rows
// into few transactions, because the platform's table takes only several
// hundred writes a second for the whole deployment.
//
// While one transaction is under way the next group collects, so a lone write
// is not delayed and a crowd shares its cost. A write whose answer was lost is
// resolved by reading its row back and comparing the value, which must be unique to the writer.
package groupcommit

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/store"
)

// Limits of a group.
const (
	maxGroupSize     = 64
	queueSize        = 4096
	commitTimeout    = 3 * time.Second
	readBackAttempts = 3
)

var (
	groupSize       = metrics.GetOrCreateHistogram("jacinthpost_groupcommit_group_rows")
	uncertainGroups = metrics.GetOrCreateCounter("jacinthpost_groupcommit_uncertain_total")
	splitGroups     = metrics.GetOrCreateCounter("jacinthpost_groupcommit_splits_total")
)

// Result is the end of one write.
type Result struct {
	err      error
	conflict bool
	row      store.Row
}

// Err returns store.ErrUnavailable when the write was certainly not applied and
// store.ErrUncertain when that is not known.
func (res Result) Err() error { return res.err }

// Conflict reports whether the row had another version.
func (res Result) Conflict() bool { return res.conflict }

// Row returns the row as it is now: the written one, or the present one after a conflict.
func (res Result) Row() store.Row { return res.row }

type write struct {
	row  store.Row // the new value with the required version
	done chan Result
}

// Committer groups writes to a table. Set may be called from any goroutine.
type Committer struct {
	table    store.Table
	queue    chan write
	deferred []write // second writes of a row in one group; owned by Run
}

// New returns a committer; Run must be running for writes to proceed.
func New(tab store.Table) *Committer {
	return &Committer{table: tab, queue: make(chan write, queueSize)}
}

// Set writes the value if the row has the version, zero for absent.
func (com *Committer) Set(ctx context.Context, key string, ver store.Version, value []byte) Result {
	wrt := write{row: store.NewRow(key, value, ver), done: make(chan Result, 1)}
	select {
	case com.queue <- wrt:
	default:
		return Result{err: store.ErrUnavailable}
	}
	select {
	case res := <-wrt.done:
		return res
	case <-ctx.Done():
		return Result{err: store.ErrUncertain}
	}
}

// Run commits groups until the context ends.
func (com *Committer) Run(ctx context.Context) {
	for {
		if len(com.deferred) > 0 {
			com.commit(ctx, com.collect())
			continue
		}
		select {
		case <-ctx.Done():
			return
		case wrt := <-com.queue:
			com.deferred = append(com.deferred, wrt)
		}
	}
}

// collect takes what is queued, at most one write per row: a second write of
// the same row waits for the next group.
func (com *Committer) collect() []write {
	pending := com.deferred
	com.deferred = nil
	for len(pending) < maxGroupSize && len(com.queue) > 0 {
		pending = append(pending, <-com.queue)
	}
	group := make([]write, 0, len(pending))
	keys := make(map[string]bool, len(pending))
	for _, wrt := range pending {
		if keys[wrt.row.Key()] {
			com.deferred = append(com.deferred, wrt)
			continue
		}
		keys[wrt.row.Key()] = true
		group = append(group, wrt)
	}
	return group
}

// commit writes a group and repeats it without the rows that conflicted.
func (com *Committer) commit(ctx context.Context, group []write) {
	for len(group) > 0 {
		groupSize.Update(float64(len(group)))
		res, err := com.commitOnce(ctx, group)
		if err != nil {
			com.finishFailed(ctx, group, err)
			return
		}
		if res.Committed() {
			for _, wrt := range group {
				wrt.done <- Result{row: store.NewRow(wrt.row.Key(), wrt.row.Value(), res.Version())}
			}
			return
		}
		splitGroups.Inc()
		group = finishConflicts(group, res.Conflicts())
	}
}

func (com *Committer) commitOnce(ctx context.Context, group []write) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var txn store.Transaction
	for _, wrt := range group {
		txn.Require(wrt.row.Key(), wrt.row.Version())
		txn.Put(wrt.row.Key(), wrt.row.Value())
	}
	return com.table.Commit(ctx, &txn)
}

func finishConflicts(group []write, conflicts []store.Row) []write {
	present := make(map[string]store.Row, len(conflicts))
	for _, row := range conflicts {
		present[row.Key()] = row
	}
	rest := group[:0]
	for _, wrt := range group {
		row, conflict := present[wrt.row.Key()]
		if conflict {
			wrt.done <- Result{conflict: true, row: row}
			continue
		}
		rest = append(rest, wrt)
	}
	return rest
}

// fail ends a group whose commit returned an error. After a lost answer each
// row is read back: the transaction is atomic, so one own value proves all of them.
func (com *Committer) finishFailed(ctx context.Context, group []write, err error) {
	if errors.Is(err, store.ErrUncertain) {
		uncertainGroups.Inc()
		if com.readBack(ctx, group) {
			return
		}
		err = store.ErrUncertain
	} else {
		err = store.ErrUnavailable
	}
	for _, wrt := range group {
		wrt.done <- Result{err: err}
	}
}

// readBack finishes a group from the present rows. Finding another version
// without the own value is not final, because the lost call may still be under
// way, unless the required version is gone for good.
func (com *Committer) readBack(ctx context.Context, group []write) bool {
	keys := make([]string, len(group))
	for num, wrt := range group {
		keys[num] = wrt.row.Key()
	}
	for range readBackAttempts {
		rows, err := com.table.Read(ctx, keys...)
		if err != nil {
			continue
		}
		if resolve(group, rows) {
			return true
		}
	}
	return false
}

func resolve(group []write, rows []store.Row) bool {
	applied := false
	overtaken := false
	for num, wrt := range group {
		same := rows[num].Version() == wrt.row.Version()
		own := !same && bytes.Equal(rows[num].Value(), wrt.row.Value())
		applied = applied || own
		overtaken = overtaken || (!same && !own)
	}
	if !applied && !overtaken {
		return false
	}
	for num, wrt := range group {
		switch {
		case applied && bytes.Equal(rows[num].Value(), wrt.row.Value()):
			wrt.done <- Result{row: rows[num]}
		case rows[num].Version() != wrt.row.Version():
			wrt.done <- Result{conflict: true, row: rows[num]}
		default:
			// Another row of the group was overtaken, so the lost transaction
			// can no longer be applied and this row was not written.
			wrt.done <- Result{err: store.ErrUnavailable}
		}
	}
	return true
}
