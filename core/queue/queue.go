// Package queue provides a bounded priority queue ordered by class, then deadline, then arrival.
// Entries can be removed by key in O(log n).
//
// A Queue must be used from one goroutine at a time. The zero value is empty and has a capacity of
// DefaultCapacity entries. An entry with a zero deadline has none and comes after all entries of its
// class that have one.
package queue

import (
	"time"

	"jacinthpost/core/heap"
)

// DefaultCapacity is the capacity of a zero Queue, in entries.
const DefaultCapacity = 1024

// Class is a priority class. Entries with a lower number are popped first.
type Class int

// Entry is a queued value with its key and its place in the order.
type Entry[K comparable, T any] struct {
	key      K
	class    Class
	deadline time.Time
	sequence uint64
	value    T
}

// Key returns the key, which is unique in the queue.
func (ent Entry[K, T]) Key() K { return ent.key }

// Class returns the priority class.
func (ent Entry[K, T]) Class() Class { return ent.class }

// Deadline returns the deadline, zero if there is none.
func (ent Entry[K, T]) Deadline() time.Time { return ent.deadline }

// Value returns the queued value.
func (ent Entry[K, T]) Value() T { return ent.value }

// Before implements heap.Ordered: entries are ordered by class, deadline and arrival.
func (ent Entry[K, T]) Before(oth Entry[K, T]) bool {
	if ent.class != oth.class {
		return ent.class < oth.class
	}
	if order := compareDeadlines(ent.deadline, oth.deadline); order != 0 {
		return order < 0
	}
	return ent.sequence < oth.sequence
}

func compareDeadlines(one, two time.Time) int {
	switch {
	case one.IsZero() && two.IsZero():
		return 0
	case one.IsZero():
		return 1
	case two.IsZero():
		return -1
	default:
		return one.Compare(two)
	}
}

// expiry is the deadline of an entry. The heap of expiries covers all classes.
type expiry[K comparable] struct {
	key      K
	deadline time.Time
	sequence uint64
}

// Before implements heap.Ordered: expiries are ordered by deadline and arrival.
func (exp expiry[K]) Before(oth expiry[K]) bool {
	if order := exp.deadline.Compare(oth.deadline); order != 0 {
		return order < 0
	}
	return exp.sequence < oth.sequence
}

// handles are the items of an entry in the two heaps. The expiry is nil if there is no deadline.
type handles[K comparable, T any] struct {
	entry  *heap.Item[Entry[K, T]]
	expiry *heap.Item[expiry[K]]
}

// Queue is a bounded priority queue of values with unique keys.
type Queue[K comparable, T any] struct {
	capacity int
	sequence uint64
	entries  heap.Heap[Entry[K, T]]
	expiries heap.Heap[expiry[K]]
	index    map[K]handles[K, T]
}

// New returns a queue with the given capacity, at least one.
func New[K comparable, T any](capacity int) *Queue[K, T] {
	return &Queue[K, T]{capacity: max(1, capacity)}
}

// Capacity returns the maximum number of entries.
func (que *Queue[K, T]) Capacity() int {
	if que.capacity == 0 {
		return DefaultCapacity
	}
	return que.capacity
}

// Len returns the number of entries in the queue.
func (que *Queue[K, T]) Len() int { return que.entries.Len() }

// Push adds a value. It returns false, and changes nothing, if the queue is full or already has an
// entry with the key.
func (que *Queue[K, T]) Push(key K, cls Class, deadline time.Time, val T) bool {
	if _, found := que.index[key]; found || que.Len() >= que.Capacity() {
		return false
	}
	if que.index == nil {
		que.index = make(map[K]handles[K, T])
	}
	que.sequence++
	han := handles[K, T]{entry: que.entries.Push(Entry[K, T]{
		key: key, class: cls, deadline: deadline, sequence: que.sequence, value: val,
	})}
	if !deadline.IsZero() {
		han.expiry = que.expiries.Push(expiry[K]{key: key, deadline: deadline, sequence: que.sequence})
	}
	que.index[key] = han
	return true
}

// Peek returns the first entry without removing it, and false if the queue is empty.
func (que *Queue[K, T]) Peek() (Entry[K, T], bool) { return que.entries.Peek() }

// Pop removes and returns the first entry. It returns false if the queue is empty.
func (que *Queue[K, T]) Pop() (Entry[K, T], bool) {
	ent, found := que.entries.Peek()
	if found {
		que.Remove(ent.key)
	}
	return ent, found
}

// Remove removes and returns the entry with the key. It returns false if there is none.
func (que *Queue[K, T]) Remove(key K) (Entry[K, T], bool) {
	han, found := que.index[key]
	if !found {
		return Entry[K, T]{}, false
	}
	que.entries.Remove(han.entry)
	que.expiries.Remove(han.expiry)
	delete(que.index, key)
	return han.entry.Value(), true
}

// PopExpired removes and returns the entry with the earliest deadline of all classes if that
// deadline is not after now. Otherwise it returns false.
func (que *Queue[K, T]) PopExpired(now time.Time) (Entry[K, T], bool) {
	exp, found := que.expiries.Peek()
	if !found || exp.deadline.After(now) {
		return Entry[K, T]{}, false
	}
	return que.Remove(exp.key)
}

// NextDeadline returns the earliest deadline of all classes, and false if no entry has one.
func (que *Queue[K, T]) NextDeadline() (time.Time, bool) {
	exp, found := que.expiries.Peek()
	return exp.deadline, found
}
