package joblog

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/partition"
	"jacinthpost/core/store"
)

// RowKey returns the key of the ownership row, which renewals change.
func RowKey(num int) string { return "partition/" + strconv.Itoa(num) }

// EpochKey returns the key of the row that fences the log. Only takeovers change it.
func EpochKey(num int) string { return RowKey(num) + "/epoch" }

// snapshotKey returns the key of the row that points to the latest snapshot.
func snapshotKey(num int) string { return RowKey(num) + "/snapshot" }

// logPrefix returns the key prefix of the log rows.
func logPrefix(num int) string { return RowKey(num) + "/log/" }

// logKey returns the key of a batch. Sequences are padded with zeros so that keys sort numerically.
func logKey(num int, seq uint64) string {
	digits := strconv.FormatUint(seq, 10)
	return logPrefix(num) + "00000000000000000000"[len(digits):] + digits
}

// ownerRow is the format of the ownership row.
type ownerRow struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`
	Renewals    uint64 `json:"renewals"`
	Released    bool   `json:"released,omitempty"`
}

// epochRow is the format of the row that fences the log.
type epochRow struct {
	Epoch uint64 `json:"epoch"`
}

func encodeRow(row partition.Row) ([]byte, error) {
	own := row.Owner()
	return json.Marshal(ownerRow{Owner: string(own.Instance()), Incarnation: uint64(own.Incarnation()),
		Address: own.Address(), Epoch: row.Epoch(), Renewals: row.WriteNumber(), Released: row.Released()})
}

func decodeRow(row store.Row) (partition.Row, error) {
	if !row.Exists() {
		return partition.Row{}, nil
	}
	var dec ownerRow
	if err := json.Unmarshal(row.Value(), &dec); err != nil {
		return partition.Row{}, errors.Wrapf(err, "decode row %s", row.Key())
	}
	own := fleet.NewPeer(fleet.InstanceID(dec.Owner), fleet.Incarnation(dec.Incarnation), dec.Address)
	return partition.NewRow(own, dec.Epoch, dec.Renewals, dec.Released), nil
}

// Read reads the ownership of partitions with one call to the store.
func (rws *Rows) Read(ctx context.Context, nums ...int) ([]partition.Observation, error) {
	if err := rws.Agree(ctx); err != nil {
		return nil, err
	}
	keys := make([]string, 0, 2*len(nums))
	for _, num := range nums {
		keys = append(keys, RowKey(num), EpochKey(num))
	}
	rows, err := rws.table.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrap(err, "read partition rows")
	}
	list := make([]partition.Observation, 0, len(nums))
	for pos := 0; pos < len(rows); pos += 2 {
		row, err := decodeRow(rows[pos])
		if err != nil {
			return nil, err
		}
		list = append(list, partition.NewObservation(row, rows[pos].Version(), rows[pos+1].Version()))
	}
	return list, nil
}

// Write writes the ownership row of an action. An acquisition also writes the epoch row, so that the
// same transaction fences the log of the former owner. A result that is not committed means that the
// row has changed since it was read.
func (rws *Rows) Write(ctx context.Context, num int, act partition.Action) (store.Result, error) {
	if err := rws.Agree(ctx); err != nil {
		return store.Result{}, err
	}
	value, err := encodeRow(act.Row())
	if err != nil {
		return store.Result{}, errors.Wrap(err, "encode partition row")
	}
	txn := &store.Transaction{}
	txn.Require(RowKey(num), act.Version())
	txn.Put(RowKey(num), value)
	if act.Kind() == partition.Acquire {
		epoch, err := json.Marshal(epochRow{Epoch: act.Row().Epoch()})
		if err != nil {
			return store.Result{}, errors.Wrap(err, "encode epoch row")
		}
		txn.Put(EpochKey(num), epoch)
	}
	res, err := rws.table.Commit(ctx, txn)
	if err != nil {
		return store.Result{}, errors.Wrap(err, "write partition row")
	}
	return res, nil
}
