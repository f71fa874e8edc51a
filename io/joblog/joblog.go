// Package joblog stores the job records of a partition as a log with snapshots, and the ownership of
// partitions, in the table and the object store.
//
// Layout of partition p:
//   - The row partition/<p> holds the owner and changes with every renewal.
//   - The row partition/<p>/epoch changes only when a new owner takes over, in the transaction that
//     writes the new owner.
//   - Each batch of records is a row partition/<p>/log/<sequence>. Its write requires that the epoch
//     row still has the version of the writer's takeover and that the log row is absent. Renewals and
//     appends therefore do not conflict with each other, and a new epoch fences both.
//   - The row partition/<p>/snapshot names the latest snapshot object and the first batch that it does
//     not cover. Batches before that one are deleted.
//
// When the reply to an append is lost, the writer reads the log row back. The batch ID shows whether
// the row is its own. If the row is absent, the batch is written again with the same ID: should the
// first write be applied late, the second one conflicts with a row that has this ID.
//
// Append and Save may run at the same time, each from one goroutine at a time. Both block on the store
// and must not be called from a control goroutine.
package joblog

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/job"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
)

// Limits on the length of the log and on the rows in one store operation.
const (
	// SnapshotRecords is the number of records appended between snapshots. It limits what a new owner
	// reads when it takes over.
	SnapshotRecords = 256
	listPageRows    = 64
	maxTrimRows     = 128
)

// Delays between attempts of a write whose outcome is unknown. Each attempt counts as a write, of
// which a partition may make five per second.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

var (
	// ErrFenced reports that another owner has taken the partition over. The records were not
	// appended, or the new owner has read them and decides about them.
	ErrFenced = errors.New("partition log is fenced by a new epoch")
	// ErrUnresolved reports that it is unknown whether the records were appended. The log must not be
	// used any more.
	ErrUnresolved = errors.New("append to partition log unresolved")
	// ErrCorrupt reports that log rows are missing.
	ErrCorrupt = errors.New("partition log has a gap")
)

// Log reads and writes the log of one partition for the owner of one epoch.
type Log struct {
	table        store.Table
	objects      store.Objects
	partition    int
	epoch        uint64
	epochVersion store.Version
	next         uint64 // sequence of the next batch
	batchesTried uint64 // part of the batch IDs
	attemptedAt  time.Time
	tail         int // number of records read by Open that no snapshot covers

	// After Open, only Save uses the fields below.
	firstRow        uint64 // lowest batch that may still have a row
	snapshot        snapshotRow
	snapshotVersion store.Version // of the snapshot row
}

// Open reads the records of a partition that this process has acquired. The version is that of the
// epoch row written by the acquisition; Open returns ErrFenced if the row has another one.
func Open(ctx context.Context, tab store.Table, obj store.Objects, num int, epoch uint64, epochVer store.Version) (*Log, []job.Record, error) {
	log := &Log{table: tab, objects: obj, partition: num, epoch: epoch, epochVersion: epochVer}
	rows, err := tab.Read(ctx, EpochKey(num), snapshotKey(num))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read snapshot row")
	}
	if rows[0].Version() != epochVer {
		return nil, nil, ErrFenced
	}
	recs, err := log.readSnapshot(ctx, rows[1])
	if err != nil {
		return nil, nil, err
	}
	tail, err := log.readTail(ctx)
	if err != nil {
		return nil, nil, err
	}
	log.tail = len(tail)
	return log, append(recs, tail...), nil
}

// Tail returns the number of records read by Open that no snapshot covers.
func (log *Log) Tail() int { return log.tail }

func (log *Log) readSnapshot(ctx context.Context, row store.Row) ([]job.Record, error) {
	if !row.Exists() {
		return nil, nil
	}
	if err := json.Unmarshal(row.Value(), &log.snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot row")
	}
	log.snapshotVersion = row.Version()
	value, err := log.objects.Get(ctx, log.snapshot.Object)
	if err != nil {
		return nil, errors.Wrapf(err, "read snapshot %s", log.snapshot.Object)
	}
	var obj snapshotObject
	if err := json.Unmarshal(value, &obj); err != nil {
		return nil, errors.Wrapf(err, "decode snapshot %s", log.snapshot.Object)
	}
	return decodeRecords(obj.Records)
}

// readTail reads the batches that the snapshot does not cover. Rows of earlier batches remain from an
// interrupted trim and are skipped.
func (log *Log) readTail(ctx context.Context) ([]job.Record, error) {
	var recs []job.Record
	log.next = log.snapshot.Next
	log.firstRow = log.next
	prefix, after := logPrefix(log.partition), ""
	for {
		rows, err := log.table.List(ctx, prefix, after, listPageRows)
		if err != nil {
			return nil, errors.Wrap(err, "list log rows")
		}
		for _, row := range rows {
			after = row.Key()
			seq, err := strconv.ParseUint(strings.TrimPrefix(row.Key(), prefix), 10, 64)
			if err != nil {
				return nil, errors.Wrapf(err, "parse sequence of log row %s", row.Key())
			}
			if seq < log.snapshot.Next {
				log.firstRow = min(log.firstRow, seq)
				continue
			}
			if seq != log.next {
				return nil, errors.Wrapf(ErrCorrupt, "found log row %d, expected %d", seq, log.next)
			}
			bat, err := decodeBatch(row.Value())
			if err != nil {
				return nil, err
			}
			decoded, err := decodeRecords(bat.Records)
			if err != nil {
				return nil, err
			}
			recs = append(recs, decoded...)
			log.next++
		}
		if len(rows) < listPageRows {
			return recs, nil
		}
	}
}

// Next returns the sequence of the next batch. A snapshot of all records appended so far covers the
// batches before it.
func (log *Log) Next() uint64 { return log.next }

// TriedAt returns the time of the latest attempt to write a batch.
func (log *Log) TriedAt() time.Time { return log.attemptedAt }

// Append writes records as one batch and returns nil once they are durable. It returns
// store.ErrUnavailable if nothing was applied, ErrFenced if the partition has a new owner, and
// ErrUnresolved if the context ended before the outcome was known.
func (log *Log) Append(ctx context.Context, recs []job.Record) error {
	log.batchesTried++
	bat := batchRow{BatchID: strconv.FormatUint(log.epoch, 10) + "-" + strconv.FormatUint(log.batchesTried, 10), Epoch: log.epoch, Records: encodeRecords(recs)}
	value, err := json.Marshal(bat)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	txn := &store.Transaction{}
	txn.Require(EpochKey(log.partition), log.epochVersion)
	txn.Require(logKey(log.partition, log.next), 0)
	txn.Put(logKey(log.partition, log.next), value)
	if err := log.commitBatch(ctx, txn, bat.BatchID); err != nil {
		return err
	}
	log.next++
	return nil
}

// commitBatch writes a batch, and repeats the write until its outcome is known.
func (log *Log) commitBatch(ctx context.Context, txn *store.Transaction, batchID string) error {
	uncertain := false
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		log.attemptedAt = time.Now()
		res, err := log.table.Commit(ctx, txn)
		switch {
		case err == nil && res.Committed():
			return nil
		case err == nil:
			return log.appendOutcome(res.Conflicts(), batchID)
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return errors.Wrap(err, "append to partition log")
		}
		uncertain = true
		if done, err := log.readBack(ctx, batchID); done {
			return err
		}
		if err := control.Pause(ctx, wait); err != nil {
			return errors.Wrap(ErrUnresolved, err.Error())
		}
	}
}

// appendOutcome returns nil if the given rows include the batch, and ErrFenced otherwise. The
// batch's own row proves that an earlier attempt was applied, even if the epoch has changed since.
func (log *Log) appendOutcome(conflicts []store.Row, batchID string) error {
	for _, row := range conflicts {
		if row.Key() != logKey(log.partition, log.next) || !row.Exists() {
			continue
		}
		if bat, err := decodeBatch(row.Value()); err == nil && bat.BatchID == batchID {
			return nil
		}
	}
	return ErrFenced
}

// readBack looks for the batch and reports whether its outcome is known.
func (log *Log) readBack(ctx context.Context, batchID string) (bool, error) {
	rows, err := log.table.Read(ctx, logKey(log.partition, log.next), EpochKey(log.partition))
	if err != nil {
		return false, nil // commitBatch tries again
	}
	if rows[0].Exists() || rows[1].Version() != log.epochVersion {
		return true, log.appendOutcome(rows, batchID)
	}
	return false, nil
}

// Save stores a snapshot that covers all batches before next, and deletes those batches. After a failed
// Save no records are lost; the log remains longer until the next successful one.
func (log *Log) Save(ctx context.Context, recs []job.Record, next uint64) error {
	value, err := json.Marshal(snapshotObject{Records: encodeRecords(recs)})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	row := snapshotRow{Object: RowKey(log.partition) + "/snapshot/" + strconv.FormatUint(log.epoch, 10) + "-" + strconv.FormatUint(next, 10), Next: next}
	if err := log.objects.Put(ctx, row.Object, value); err != nil {
		return errors.Wrap(err, "store snapshot")
	}
	if err := log.writeSnapshotRow(ctx, row); err != nil {
		return err
	}
	old := log.snapshot.Object
	log.snapshot = row
	if old != "" && old != row.Object {
		if err := log.objects.Delete(ctx, old); err != nil {
			return errors.Wrap(err, "delete old snapshot")
		}
	}
	return log.trim(ctx)
}

// writeSnapshotRow makes the snapshot row point to a stored snapshot object.
func (log *Log) writeSnapshotRow(ctx context.Context, row snapshotRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode snapshot row")
	}
	txn := &store.Transaction{}
	txn.Require(EpochKey(log.partition), log.epochVersion)
	txn.Require(snapshotKey(log.partition), log.snapshotVersion)
	txn.Put(snapshotKey(log.partition), value)
	res, err := log.table.Commit(ctx, txn)
	if err == nil && res.Committed() {
		log.snapshotVersion = res.Version()
		return nil
	}
	if err != nil && !errors.Is(err, store.ErrUncertain) {
		return errors.Wrap(err, "write snapshot row")
	}
	rows, err := log.table.Read(ctx, snapshotKey(log.partition), EpochKey(log.partition))
	if err != nil {
		return errors.Wrap(err, "read snapshot row back")
	}
	if rows[1].Version() != log.epochVersion {
		return ErrFenced
	}
	// Only the owner of this epoch writes the row, so its value is from the last write applied.
	log.snapshotVersion = rows[0].Version()
	var present snapshotRow
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value(), &present); err != nil {
			return errors.Wrap(err, "decode snapshot row")
		}
	}
	if present != row {
		return errors.Wrap(store.ErrUncertain, "snapshot row does not show the new snapshot")
	}
	return nil
}

// trim deletes the batches that the snapshot covers.
func (log *Log) trim(ctx context.Context) error {
	for log.firstRow < log.snapshot.Next {
		txn := &store.Transaction{}
		txn.Require(EpochKey(log.partition), log.epochVersion)
		end := min(log.firstRow+maxTrimRows, log.snapshot.Next)
		for seq := log.firstRow; seq < end; seq++ {
			txn.Delete(logKey(log.partition, seq))
		}
		res, err := log.table.Commit(ctx, txn)
		if err != nil {
			return errors.Wrap(err, "trim log")
		}
		if !res.Committed() {
			return ErrFenced
		}
		log.firstRow = end
	}
	return nil
}
