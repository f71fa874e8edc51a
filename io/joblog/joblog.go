// Package joblog keeps the records of a partition in the table and the object store.
//
// Layout of partition p: the row partition/<p> holds the owner and changes with
// every renewal. The row partition/<p>/epoch changes at takeovers only, in the
// transaction that writes the new owner. Each batch of records is a row
// partition/<p>/log/<sequence>. Its write requires the epoch row at the version
// of the writer's takeover and the row itself absent. So renewals and appends do
// not conflict with each other, and a new epoch fences both. The row
// partition/<p>/snapshot names the latest snapshot object and the first batch
// that it does not cover; batches before it are deleted.
//
// When the answer to an append is lost, the writer reads the row back: the batch
// ID tells its own row from another one. A batch that is absent is written again
// with the same ID, since a delayed first write then makes the second one a
// conflict that shows that ID.
//
// Append and Save may run at the same time, each from one goroutine at a time.
// Both block on the store and must not be called from a control goroutine.
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

// Bounds of the log.
const (
	// SnapshotRecords is how many records are appended between snapshots. It
	// bounds what a new owner reads at a takeover.
	SnapshotRecords = 256
	pageRows        = 64
	trimRows        = 128
)

// Waiting times between tries of a write whose outcome is unresolved. Tries count
// as writes, of which a partition may make five a second.
const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

var (
	// ErrFenced reports that another owner has taken the partition over. The
	// records were not appended, or the new owner decides about them.
	ErrFenced = errors.New("partition log is fenced by a new epoch")
	// ErrUnresolved reports that it is not known whether the records were
	// appended. The log must not be used any more.
	ErrUnresolved = errors.New("append to partition log unresolved")
	// ErrCorrupt reports that log rows are missing.
	ErrCorrupt = errors.New("partition log has a gap")
)

// Log is the log of one partition in one epoch.
type Log struct {
	table        store.Table
	objects      store.Objects
	num          int
	epoch        uint64
	epochVersion store.Version
	next         uint64 // sequence of the next batch
	batches      uint64
	triedAt      time.Time
	tail         int // records found by Open that no snapshot covers

	// Save alone uses the fields below.
	first    uint64 // lowest batch that may still have a row
	snapshot snapshotRow
	version  store.Version // of the snapshot row
}

// Open reads the records of a partition that this process has acquired with the
// given version of the epoch row.
func Open(ctx context.Context, tab store.Table, obj store.Objects, num int, epoch uint64, epochVer store.Version) (*Log, []job.Record, error) {
	log := &Log{table: tab, objects: obj, num: num, epoch: epoch, epochVersion: epochVer}
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

// Tail returns how many of the records that Open returned are not in a snapshot.
func (log *Log) Tail() int { return log.tail }

func (log *Log) readSnapshot(ctx context.Context, row store.Row) ([]job.Record, error) {
	if !row.Exists() {
		return nil, nil
	}
	if err := json.Unmarshal(row.Value(), &log.snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot row")
	}
	log.version = row.Version()
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

// readTail reads the batches that the snapshot does not cover. Rows before it
// are left over from an interrupted trim.
func (log *Log) readTail(ctx context.Context) ([]job.Record, error) {
	var recs []job.Record
	log.next = log.snapshot.Next
	log.first = log.next
	prefix, after := logPrefix(log.num), ""
	for {
		rows, err := log.table.List(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, errors.Wrap(err, "list log rows")
		}
		for _, row := range rows {
			after = row.Key()
			seq, err := strconv.ParseUint(strings.TrimPrefix(row.Key(), prefix), 10, 64)
			if err != nil {
				return nil, errors.Wrapf(err, "key %s", row.Key())
			}
			if seq < log.snapshot.Next {
				log.first = min(log.first, seq)
				continue
			}
			if seq != log.next {
				return nil, errors.Wrapf(ErrCorrupt, "row %d instead of %d", seq, log.next)
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
		if len(rows) < pageRows {
			return recs, nil
		}
	}
}

// Next returns the sequence of the next batch, which is the first one that a
// snapshot of the present records does not cover.
func (log *Log) Next() uint64 { return log.next }

// TriedAt returns the time of the latest write of a batch.
func (log *Log) TriedAt() time.Time { return log.triedAt }

// Append makes records durable. Errors: store.ErrUnavailable when nothing was
// applied, ErrFenced, and ErrUnresolved when the context ended too early.
func (log *Log) Append(ctx context.Context, recs []job.Record) error {
	log.batches++
	bat := batchRow{BatchID: strconv.FormatUint(log.epoch, 10) + "-" + strconv.FormatUint(log.batches, 10), Epoch: log.epoch, Records: encodeRecords(recs)}
	value, err := json.Marshal(bat)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	txn := &store.Transaction{}
	txn.Require(EpochKey(log.num), log.epochVersion)
	txn.Require(logKey(log.num, log.next), 0)
	txn.Put(logKey(log.num, log.next), value)
	if err := log.resolve(ctx, txn, bat.BatchID); err != nil {
		return err
	}
	log.next++
	return nil
}

// resolve commits a batch until its outcome is known.
func (log *Log) resolve(ctx context.Context, txn *store.Transaction, batchID string) error {
	uncertain := false
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		log.triedAt = time.Now()
		res, err := log.table.Commit(ctx, txn)
		switch {
		case err == nil && res.Committed():
			return nil
		case err == nil:
			return log.judge(res.Conflicts(), batchID)
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

// judge decides about a batch whose conditions did not hold. Its own row proves
// that an earlier try was applied, even if the epoch has changed since.
func (log *Log) judge(conflicts []store.Row, batchID string) error {
	for _, row := range conflicts {
		if row.Key() != logKey(log.num, log.next) || !row.Exists() {
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
	rows, err := log.table.Read(ctx, logKey(log.num, log.next), EpochKey(log.num))
	if err != nil {
		return false, nil // the next try finds out
	}
	if rows[0].Exists() || rows[1].Version() != log.epochVersion {
		return true, log.judge(rows, batchID)
	}
	return false, nil
}

// Save stores a snapshot that covers all batches before next and trims the log.
// A failed save is harmless: the log stays longer until the next one.
func (log *Log) Save(ctx context.Context, recs []job.Record, next uint64) error {
	value, err := json.Marshal(snapshotObject{Records: encodeRecords(recs)})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	row := snapshotRow{Object: RowKey(log.num) + "/snapshot/" + strconv.FormatUint(log.epoch, 10) + "-" + strconv.FormatUint(next, 10), Next: next}
	if err := log.objects.Put(ctx, row.Object, value); err != nil {
		return errors.Wrap(err, "store snapshot")
	}
	if err := log.point(ctx, row); err != nil {
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

// point makes the snapshot row refer to a stored snapshot.
func (log *Log) point(ctx context.Context, row snapshotRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode snapshot row")
	}
	txn := &store.Transaction{}
	txn.Require(EpochKey(log.num), log.epochVersion)
	txn.Require(snapshotKey(log.num), log.version)
	txn.Put(snapshotKey(log.num), value)
	res, err := log.table.Commit(ctx, txn)
	if err == nil && res.Committed() {
		log.version = res.Version()
		return nil
	}
	if err != nil && !errors.Is(err, store.ErrUncertain) {
		return errors.Wrap(err, "write snapshot row")
	}
	rows, err := log.table.Read(ctx, snapshotKey(log.num), EpochKey(log.num))
	if err != nil {
		return errors.Wrap(err, "read snapshot row back")
	}
	if rows[1].Version() != log.epochVersion {
		return ErrFenced
	}
	// Only this epoch writes the row, so a present row is the last one applied.
	log.version = rows[0].Version()
	var present snapshotRow
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value(), &present); err != nil {
			return errors.Wrap(err, "decode snapshot row")
		}
	}
	if present != row {
		return errors.Wrap(store.ErrUncertain, "snapshot row not written yet")
	}
	return nil
}

// trim deletes the batches that the snapshot covers.
func (log *Log) trim(ctx context.Context) error {
	for log.first < log.snapshot.Next {
		txn := &store.Transaction{}
		txn.Require(EpochKey(log.num), log.epochVersion)
		end := min(log.first+trimRows, log.snapshot.Next)
		for seq := log.first; seq < end; seq++ {
			txn.Delete(logKey(log.num, seq))
		}
		res, err := log.table.Commit(ctx, txn)
		if err != nil {
			return errors.Wrap(err, "trim log")
		}
		if !res.Committed() {
			return ErrFenced
		}
		log.first = end
	}
	return nil
}
