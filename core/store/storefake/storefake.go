// Package storefake provides an in-memory fake of the platform's table service and object store
// for tests. Inject makes individual operations fail, SetDown all of them.
//
// A Store and its ObjectStore may be used from any goroutine.
package storefake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"jacinthpost/core/store"
)

// Fault is the way in which an operation fails.
type Fault int

// The faults. None lets an operation succeed between others that fail.
const (
	None       Fault = iota
	Refuse           // the operation has no effect and returns ErrUnavailable
	LoseAnswer       // the operation takes effect and returns ErrUncertain
	LoseCall         // the operation has no effect and returns ErrUncertain
)

// Store implements store.Table. The zero value is empty and has no faults.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	version store.Version
	faults  []Fault
	down    bool
	commits int
	reads   int
}

var (
	_ store.Table   = (*Store)(nil)
	_ store.Objects = (*ObjectStore)(nil)
)

// Inject queues faults. Each of the following operations consumes one.
func (sto *Store) Inject(faults ...Fault) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.faults = append(sto.faults, faults...)
}

// SetDown starts or ends an outage, during which all operations are refused. Queued faults are kept
// for the operations after it.
func (sto *Store) SetDown(down bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = down
}

// Commits returns the number of calls of Commit, including those that failed.
func (sto *Store) Commits() int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.commits
}

// Reads returns the number of calls of Read and List, including those that failed.
func (sto *Store) Reads() int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.reads
}

func (sto *Store) nextFault() Fault {
	if sto.down {
		return Refuse
	}
	if len(sto.faults) == 0 {
		return None
	}
	flt := sto.faults[0]
	sto.faults = sto.faults[1:]
	return flt
}

// run executes the operation unless the next fault prevents it, and returns the error of the fault.
func (sto *Store) run(ctx context.Context, operation func()) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	flt := sto.nextFault()
	if flt == None || flt == LoseAnswer {
		operation()
	}
	return [...]error{None: nil, Refuse: store.ErrUnavailable, LoseAnswer: store.ErrUncertain, LoseCall: store.ErrUncertain}[flt]
}

// Commit implements store.Table.
func (sto *Store) Commit(ctx context.Context, txn *store.Transaction) (store.Result, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.commits++
	var res store.Result
	err := sto.run(ctx, func() { res = sto.apply(txn) })
	if err != nil {
		return store.Result{}, err
	}
	return res, nil
}

func (sto *Store) apply(txn *store.Transaction) store.Result {
	var conflicts []store.Row
	for _, con := range txn.Conditions() {
		if sto.rows[con.Key()].Version() != con.Version() {
			conflicts = append(conflicts, sto.row(con.Key()))
		}
	}
	if len(conflicts) > 0 {
		return store.Conflicted(conflicts)
	}
	sto.version++
	if sto.rows == nil {
		sto.rows = make(map[string]store.Row)
	}
	for _, wrt := range txn.Writes() {
		if wrt.IsDeletion() {
			delete(sto.rows, wrt.Key())
			continue
		}
		sto.rows[wrt.Key()] = store.NewRow(wrt.Key(), slices.Clone(wrt.Value()), sto.version)
	}
	return store.Committed(sto.version)
}

func (sto *Store) row(key string) store.Row {
	row, found := sto.rows[key]
	if !found {
		return store.NewRow(key, nil, 0)
	}
	return row
}

// Read implements store.Table.
func (sto *Store) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.reads++
	rows := make([]store.Row, 0, len(keys))
	err := sto.run(ctx, func() {
		for _, key := range keys {
			rows = append(rows, sto.row(key))
		}
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// List implements store.Table.
func (sto *Store) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.reads++
	var rows []store.Row
	err := sto.run(ctx, func() {
		for key, row := range sto.rows {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, row)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(one, two store.Row) int { return strings.Compare(one.Key(), two.Key()) })
	return rows[:min(limit, len(rows))], nil
}

// ObjectStore implements store.Objects. Its operations consume the faults of the Store.
type ObjectStore struct {
	// Store holds the objects and the queue of faults.
	*Store
}

// Put implements store.Objects.
func (obj *ObjectStore) Put(ctx context.Context, key string, value []byte) error {
	obj.mu.Lock()
	defer obj.mu.Unlock()
	return obj.run(ctx, func() {
		if obj.objects == nil {
			obj.objects = make(map[string][]byte)
		}
		obj.objects[key] = slices.Clone(value)
	})
}

// Get implements store.Objects.
func (obj *ObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	obj.mu.Lock()
	defer obj.mu.Unlock()
	var value []byte
	var found bool
	err := obj.run(ctx, func() { value, found = obj.objects[key] })
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, store.ErrNotFound
	}
	return value, nil
}

// Delete implements store.Objects.
func (obj *ObjectStore) Delete(ctx context.Context, key string) error {
	obj.mu.Lock()
	defer obj.mu.Unlock()
	return obj.run(ctx, func() { delete(obj.objects, key) })
}
