package audit

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/store"
)

// Sizes and times of the queue.
const (
	QueueLength   = 256
	batchLimit    = 32 // rows in one transaction
	writeTimeout  = 5 * time.Second
	retryPeriod   = time.Second
	flushTimeout  = 2 * time.Second
	writeAttempts = 10 // then the rows are dropped, so that an outage doesn't block the queue for hours
)

// Recorder writes entries in the background.
type Recorder struct {
	table    store.Table
	instance string
	queue    chan Entry
	sequence atomic.Uint64
	dropped  *metrics.Counter
	written  *metrics.Counter
}

// NewRecorder returns the recorder of a process, identified by instance and incarnation.
func NewRecorder(tab store.Table, instance string, incarnation uint64) *Recorder {
	return &Recorder{
		table: tab, instance: fmt.Sprintf("%s/%d", instance, incarnation), queue: make(chan Entry, QueueLength),
		dropped: metrics.GetOrCreateCounter("jacinthpost_audit_dropped_rows_total"),
		written: metrics.GetOrCreateCounter("jacinthpost_audit_written_rows_total"),
	}
}

// Record queues an entry without blocking. It reports false if the queue is full; the entry is then
// dropped and counted.
func (rec *Recorder) Record(ent Entry) bool {
	if ent.Instance == "" {
		ent.Instance = rec.instance
	}
	select {
	case rec.queue <- ent:
		return true
	default:
		rec.dropped.Inc()
		return false
	}
}

// Run writes queued entries until the context ends.
func (rec *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			rec.flush(nil)
			return
		case first := <-rec.queue:
			if txn := rec.transaction(rec.batch(first)); !rec.write(ctx, txn) {
				rec.flush(txn)
				return
			}
		}
	}
}

// flush writes the transaction that was under way, if any, and the queued entries when the process stops,
// for at most flushTimeout.
func (rec *Recorder) flush(txn *store.Transaction) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for txn != nil || len(rec.queue) > 0 {
		if txn == nil {
			txn = rec.transaction(rec.batch(<-rec.queue))
		}
		if !rec.write(ctx, txn) {
			rec.dropped.Add(len(txn.Writes()))
		}
		txn = nil
	}
}

func (rec *Recorder) batch(first Entry) []Entry {
	batch := []Entry{first}
	for len(batch) < batchLimit {
		select {
		case ent := <-rec.queue:
			batch = append(batch, ent)
		default:
			return batch
		}
	}
	return batch
}

func (rec *Recorder) transaction(batch []Entry) *store.Transaction {
	txn := &store.Transaction{}
	for _, ent := range batch {
		identity := fmt.Sprintf("%s/%d", rec.instance, rec.sequence.Add(1))
		if err := Add(txn, ent, identity); err != nil {
			rec.dropped.Inc()
		}
	}
	return txn
}

// write retries the same rows until they are stored or the attempts are used up. Their keys don't
// depend on the attempt, so a retry after a lost answer writes the same rows again. It returns false if the
// context ended before.
func (rec *Recorder) write(ctx context.Context, txn *store.Transaction) bool {
	num := len(txn.Writes())
	for range writeAttempts {
		if rec.commit(ctx, txn) {
			rec.written.Add(num)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryPeriod):
		}
	}
	rec.dropped.Add(num)
	return true
}

func (rec *Recorder) commit(ctx context.Context, txn *store.Transaction) bool {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := rec.table.Commit(limited, txn)
	return err == nil
}
