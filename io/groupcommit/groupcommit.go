// Package groupcommit groups independent compare-and-set writes of single rows into few transactions,
// because the platform's table executes only several hundred writes per second for the whole
// deployment.
//
// Writes that arrive during a transaction form the next group. A single write is therefore not delayed,
// and many concurrent writes share a transaction. The outcome of a write whose answer was lost is
// determined by reading the row and comparing its value, which must be unique to the writer.
package groupcommit

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/store"
)

// Limits of groups, of the queue and of the calls to the table.
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

// Result is the outcome of one write.
type Result struct {
	err      error
	conflict bool
	row      store.Row
}

// Err returns store.ErrUnavailable if the write was certainly not applied, and store.ErrUncertain if
// that is unknown.
func (res Result) Err() error { return res.err }

// Conflict reports whether the row was found with another version than the required one.
func (res Result) Conflict() bool { return res.conflict }

// Row returns the written row, or the current one after a conflict.
func (res Result) Row() store.Row { return res.row }

type write struct {
	row  store.Row // the new value with the required version
	done chan Result
}

// Committer groups writes to a table. Set is safe for concurrent use.
type Committer struct {
	table    store.Table
	queue    chan write
	deferred []write // writes for the next group; used only by Run
}

// New returns a committer. Writes are executed only while Run is running.
func New(tab store.Table) *Committer {
	return &Committer{table: tab, queue: make(chan write, queueSize)}
}

// Set writes the value if the row has the given version, where zero means that there is no row. The
// value must be unique to the caller.
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

// collect returns the deferred and queued writes, at most one per row. Further writes of the same row
// are deferred to the next group.
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

// commit executes the writes of a group. After a conflict it repeats the transaction without the rows
// that conflicted.
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

// commitOnce executes the writes of a group in one transaction.
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

// finishConflicts finishes the writes whose rows conflicted, and returns the others.
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

// finishFailed finishes a group whose transaction returned an error. If the outcome is unknown, it reads
// the rows.
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

// readBack reads the rows of a group and tries to finish its writes from them. It reports whether it
// did.
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

// resolve finishes the writes of a group whose outcome is unknown, if the current rows determine it. The
// transaction is atomic: one row with the value of its write proves that all were applied, and one row
// with another version and another value proves that the transaction cannot be applied any more. While
// all rows have their required versions, the lost call may still be executed.
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
			// Another row of the group was overwritten, so the transaction cannot be applied any
			// more, and this row was not written.
			wrt.done <- Result{err: store.ErrUnavailable}
		}
	}
	return true
}
