// Package store declares the ports to the platform's transactional table
// service and object store.
//
// Rows have versions. A transaction applies all its writes or none, and only if
// every condition holds. An error tells what is known: ErrUnavailable means the
// operation certainly had no effect, ErrUncertain means it may have taken
// effect, so the caller must read back its own identity before deciding.
package store

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable reports that the service is down or refused the call; nothing was applied.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain reports that the answer was lost; the operation may have been applied.
	ErrUncertain = errors.New("store outcome uncertain")
	// ErrNotFound reports a missing object.
	ErrNotFound = errors.New("object not found")
)

// Version counts the changes of a row. Zero means that the row does not exist.
type Version uint64

// Row is a key with its value and version.
type Row struct {
	key     string
	value   []byte
	version Version
}

// NewRow returns a row.
func NewRow(key string, value []byte, ver Version) Row {
	return Row{key: key, value: value, version: ver}
}

// Key returns the key of the row.
func (row Row) Key() string { return row.key }

// Value returns the value, which the caller must not change.
func (row Row) Value() []byte { return row.value }

// Version returns the version, zero when the row does not exist.
func (row Row) Version() Version { return row.version }

// Exists reports whether the row exists.
func (row Row) Exists() bool { return row.version != 0 }

// Transaction is a set of conditions and writes.
type Transaction struct {
	conditions []Condition
	writes     []Write
}

// Condition requires a row to have a version.
type Condition struct {
	key     string
	version Version
}

// Key returns the key of the row.
func (con Condition) Key() string { return con.key }

// Version returns the required version, zero for an absent row.
func (con Condition) Version() Version { return con.version }

// Write sets or deletes a row.
type Write struct {
	key    string
	value  []byte
	delete bool
}

// Key returns the key of the row.
func (wrt Write) Key() string { return wrt.key }

// Value returns the new value.
func (wrt Write) Value() []byte { return wrt.value }

// Delete reports whether the row is deleted.
func (wrt Write) IsDeletion() bool { return wrt.delete }

// Require adds the condition that a row has a version, zero for absent.
func (txn *Transaction) Require(key string, ver Version) {
	txn.conditions = append(txn.conditions, Condition{key: key, version: ver})
}

// Put adds a write of a row.
func (txn *Transaction) Put(key string, value []byte) {
	txn.writes = append(txn.writes, Write{key: key, value: value})
}

// Delete adds the deletion of a row.
func (txn *Transaction) Delete(key string) {
	txn.writes = append(txn.writes, Write{key: key, delete: true})
}

// Conditions returns the conditions in the order added.
func (txn *Transaction) Conditions() []Condition { return txn.conditions }

// Writes returns the writes in the order added.
func (txn *Transaction) Writes() []Write { return txn.writes }

// Result tells whether a transaction was committed.
type Result struct {
	committed bool
	version   Version
	conflicts []Row
}

// Committed returns the result of an applied transaction; every row written has the version.
func Committed(ver Version) Result { return Result{committed: true, version: ver} }

// Conflicted returns the result of a refused transaction with the present rows of the failed conditions.
func Conflicted(rows []Row) Result { return Result{conflicts: rows} }

// Committed reports whether the transaction was applied.
func (res Result) Committed() bool { return res.committed }

// Version returns the version given to every row written.
func (res Result) Version() Version { return res.version }

// Conflicts returns the present rows of the conditions that failed.
func (res Result) Conflicts() []Row { return res.conflicts }

// Table is the transactional table service.
type Table interface {
	// Commit applies a transaction. A conflict is a result and not an error.
	Commit(ctx context.Context, txn *Transaction) (Result, error)
	// Read returns one row per key in the order asked; absent rows have version zero.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// List returns at most limit rows whose key has the prefix and is greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object, replacing an earlier one.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object; a missing object is no error.
	Delete(ctx context.Context, key string) error
}

// ErrCompacted reports that the history asked for is gone; the table has to be read anew.
var ErrCompacted = errors.New("history no longer available")

// Changes is a part of the history of a table, in order. A row without a version was removed.
type Changes struct {
	rows    []Row
	version Version
}

// NewChanges returns the changes up to a version.
func NewChanges(rows []Row, ver Version) Changes { return Changes{rows: rows, version: ver} }

// Rows returns the changed rows.
func (chg Changes) Rows() []Row { return chg.rows }

// Version returns the version from which to continue.
func (chg Changes) Version() Version { return chg.version }

// Feed tells what changes in a table. A table is the part of the keys before the first slash.
type Feed interface {
	// Snapshot returns all rows of a table whose keys have the prefix, with a version
	// from which Changes misses nothing.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Changes waits until a row of the table changes after the version, or until the time has passed.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}
