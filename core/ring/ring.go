// Package ring provides a bounded buffer that keeps the newest values.
//
// A Ring must be used from one goroutine at a time. Memory grows with the
// values added and never beyond the capacity. The zero value holds DefaultCapacity values.
package ring

import "iter"

// DefaultCapacity is the number of values that the zero Ring keeps.
const DefaultCapacity = 16

// Ring keeps the newest values up to its capacity.
type Ring[T any] struct {
	values   []T
	first    int
	capacity int
}

// New returns a ring of the given capacity, which must be at least one.
func New[T any](capacity int) Ring[T] {
	return Ring[T]{capacity: max(1, capacity)}
}

// Capacity returns the number of values the ring keeps.
func (rng *Ring[T]) Capacity() int {
	if rng.capacity == 0 {
		return DefaultCapacity
	}
	return rng.capacity
}

// Len returns the number of values held.
func (rng *Ring[T]) Len() int { return len(rng.values) }

// Push adds a value. When the ring is full, the oldest value makes room and is returned.
func (rng *Ring[T]) Push(val T) (dropped T, full bool) {
	if len(rng.values) < rng.Capacity() {
		rng.values = append(rng.values, val)
		return dropped, false
	}
	dropped = rng.values[rng.first]
	rng.values[rng.first] = val
	rng.first = (rng.first + 1) % len(rng.values)
	return dropped, true
}

// At returns the value at a position, zero being the oldest. The position must be below Len.
func (rng *Ring[T]) At(pos int) T {
	return rng.values[(rng.first+pos)%len(rng.values)]
}

// Replace sets the newest value of a ring that is not empty.
func (rng *Ring[T]) ReplaceNewest(val T) {
	rng.values[(rng.first+len(rng.values)-1)%len(rng.values)] = val
}

// All yields the values from oldest to newest.
func (rng *Ring[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for pos := range rng.values {
			if !yield(rng.At(pos)) {
				return
			}
		}
	}
}

// Clear removes all values and keeps the memory.
func (rng *Ring[T]) Clear() {
	clear(rng.values)
	rng.values, rng.first = rng.values[:0], 0
}
