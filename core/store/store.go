// Package store declares the interfaces to the platform's transactional table service and object
// store.
//
// Rows have versions. A transaction applies all its writes or none, and only if every condition
// holds. Errors distinguish whether an operation may have taken effect: after ErrUnavailable it
// certainly has not; after ErrUncertain it may have, and the caller must read the rows and look for
// its own write before it goes on.
package store

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable reports that the service is down or refused the call. Nothing was applied.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain reports that no answer was received. The operation may have been applied.
	ErrUncertain = errors.New("store outcome uncertain")
	// ErrNotFound reports that no object has the key.
	ErrNotFound = errors.New("object not found")
)

// Version distinguishes the successive states of a row and increases with each write. Zero means
// that the row does not exist.
type Version uint64

// Row is a key with its value and version.
type Row struct {
	key     string
	value   []byte
	version Version
}

// NewRow returns a row. It keeps the value without a copy.
func NewRow(key string, value []byte, ver Version) Row {
	return Row{key: key, value: value, version: ver}
}

// Key returns the key of the row.
func (row Row) Key() string { return row.key }

// Value returns the value, which the caller must not modify.
func (row Row) Value() []byte { return row.value }

// Version returns the version, zero if the row does not exist.
func (row Row) Version() Version { return row.version }

// Exists reports whether the row exists.
func (row Row) Exists() bool { return row.version != 0 }

// Transaction is a set of writes that are applied together if all its conditions hold.
type Transaction struct {
	conditions []Condition
	writes     []Write
}

// Condition requires that a row has a certain version.
type Condition struct {
	key     string
	version Version
}

// Key returns the key of the row.
func (con Condition) Key() string { return con.key }

// Version returns the required version, zero if the row must not exist.
func (con Condition) Version() Version { return con.version }

// Write sets or deletes a row.
type Write struct {
	key    string
	value  []byte
	delete bool
}

// Key returns the key of the row.
func (wrt Write) Key() string { return wrt.key }

// Value returns the new value, nil for a deletion.
func (wrt Write) Value() []byte { return wrt.value }

// IsDeletion reports whether the write deletes the row.
func (wrt Write) IsDeletion() bool { return wrt.delete }

// Require adds the condition that a row has a version, zero if it must not exist.
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

// Conditions returns the conditions in the order of the calls of Require.
func (txn *Transaction) Conditions() []Condition { return txn.conditions }

// Writes returns the writes in the order of the calls of Put and Delete.
func (txn *Transaction) Writes() []Write { return txn.writes }

// Result is the result of a transaction: committed, or refused because of conflicts.
type Result struct {
	committed bool
	version   Version
	conflicts []Row
}

// Committed returns the result of an applied transaction. All rows that it wrote have the version.
func Committed(ver Version) Result { return Result{committed: true, version: ver} }

// Conflicted returns the result of a refused transaction, with the current rows of the conditions
// that failed.
func Conflicted(rows []Row) Result { return Result{conflicts: rows} }

// Committed reports whether the transaction was applied.
func (res Result) Committed() bool { return res.committed }

// Version returns the version of all rows that the transaction wrote.
func (res Result) Version() Version { return res.version }

// Conflicts returns the current rows of the conditions that failed.
func (res Result) Conflicts() []Row { return res.conflicts }

// Table is the transactional table service.
type Table interface {
	// Commit applies a transaction. A conflict is reported in the result and not as an error.
	Commit(ctx context.Context, txn *Transaction) (Result, error)
	// Read returns one row per key, in the order of the keys. Rows that don't exist have version
	// zero.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// List returns at most limit rows whose key has the prefix and is greater than after, in key
	// order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object and replaces an earlier one with the key.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the value of an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. It is not an error if the object doesn't exist.
	Delete(ctx context.Context, key string) error
}

// ErrCompacted reports that the requested changes are no longer available. The caller must take a
// new snapshot.
var ErrCompacted = errors.New("history no longer available")

// Changes is a list of changed rows of a table, in the order of the changes. A row with version
// zero was deleted.
type Changes struct {
	rows    []Row
	version Version
}

// NewChanges returns the changes up to and including a version.
func NewChanges(rows []Row, ver Version) Changes { return Changes{rows: rows, version: ver} }

// Rows returns the changed rows in the order of the changes.
func (chg Changes) Rows() []Row { return chg.rows }

// Version returns the version after which to ask for further changes.
func (chg Changes) Version() Version { return chg.version }

// Feed returns the changes of tables. The name of a table is the part of its keys before the first
// slash.
type Feed interface {
	// Snapshot returns all rows of a table whose keys have the prefix, and a version after which
	// Changes returns every change that the snapshot doesn't contain.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Changes returns the changes of a table after a version. If there are none, it waits for one,
	// at most for the given time.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}
