package joblog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/go-faster/errors"

	"jacinthpost/core/store"
)

// countKey is the key of the row that holds the number of partitions. The row is written once, by the
// first process of a deployment.
const countKey = "partitions"

// countRow is the format of the row at countKey.
type countRow struct {
	Count int `json:"count"`
}

// CountError reports that the number of partitions in the settings differs from that of the deployment.
// With two numbers in use a job would belong to two partitions, and a job submitted twice under one
// key could run twice.
type CountError struct {
	settings   int
	deployment int
}

// Error implements error.
func (cer *CountError) Error() string {
	return fmt.Sprintf("partitions is %d in the settings, but the deployment has %d", cer.settings, cer.deployment)
}

// Rows reads and writes the rows that hold the ownership of a deployment's partitions. It does neither
// until the table has confirmed the number of partitions.
type Rows struct {
	table  store.Table
	count  int
	agreed atomic.Bool
}

// NewRows returns the rows of a deployment with count partitions.
func NewRows(tab store.Table, count int) *Rows { return &Rows{table: tab, count: count} }

// Count returns the number of partitions in the settings.
func (rws *Rows) Count() int { return rws.count }

// Agreed reports whether the table has confirmed the number of partitions.
func (rws *Rows) Agreed() bool { return rws.agreed.Load() }

// Agree returns nil if the table holds the same number of partitions, and a CountError if it holds
// another one. The first process writes the number. Once the numbers have agreed, the table is not
// read again.
func (rws *Rows) Agree(ctx context.Context) error {
	if rws.agreed.Load() {
		return nil
	}
	rows, err := rws.table.Read(ctx, countKey)
	if err != nil {
		return errors.Wrap(err, "read the number of partitions")
	}
	row := rows[0]
	if !row.Exists() {
		if row, err = rws.propose(ctx); err != nil {
			return err
		}
	}
	var dec countRow
	if err := json.Unmarshal(row.Value(), &dec); err != nil {
		return errors.Wrapf(err, "decode row %s", countKey)
	}
	if dec.Count != rws.count {
		return &CountError{settings: rws.count, deployment: dec.Count}
	}
	rws.agreed.Store(true)
	return nil
}

// propose writes the number of partitions unless another process has written it in the meantime, and
// returns the row that the table now holds.
func (rws *Rows) propose(ctx context.Context) (store.Row, error) {
	value, err := json.Marshal(countRow{Count: rws.count})
	if err != nil {
		return store.Row{}, errors.Wrap(err, "encode the number of partitions")
	}
	txn := &store.Transaction{}
	txn.Require(countKey, 0)
	txn.Put(countKey, value)
	res, err := rws.table.Commit(ctx, txn)
	if err != nil {
		return store.Row{}, errors.Wrap(err, "write the number of partitions")
	}
	if !res.Committed() {
		return res.Conflicts()[0], nil
	}
	return store.NewRow(countKey, value, res.Version()), nil
}
