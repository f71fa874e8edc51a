// Package ring provides a ring buffer that keeps the newest values.
//
// A Ring must be used from one goroutine at a time. Its memory grows as values are added, up to the
// capacity. The zero value is empty and has a capacity of DefaultCapacity values.
package ring

import "iter"

// DefaultCapacity is the capacity of a zero Ring, in values.
const DefaultCapacity = 16

// Ring is a ring buffer. When it is full, each new value overwrites the oldest one.
type Ring[T any] struct {
	values   []T
	first    int
	capacity int
}

// New returns a ring with the given capacity. A capacity below one counts as one.
func New[T any](capacity int) Ring[T] {
	return Ring[T]{capacity: max(1, capacity)}
}

// Capacity returns the maximum number of values.
func (rng *Ring[T]) Capacity() int {
	if rng.capacity == 0 {
		return DefaultCapacity
	}
	return rng.capacity
}

// Len returns the number of values in the ring.
func (rng *Ring[T]) Len() int { return len(rng.values) }

// Push adds a value. If the ring is full, it overwrites the oldest value and returns that, and true.
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

// At returns the value at a position, which must be below Len. The oldest value is at position zero.
func (rng *Ring[T]) At(pos int) T {
	return rng.values[(rng.first+pos)%len(rng.values)]
}

// ReplaceNewest overwrites the newest value. The ring must not be empty.
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

// Clear removes all values but keeps the allocated memory.
func (rng *Ring[T]) Clear() {
	clear(rng.values)
	rng.values, rng.first = rng.values[:0], 0
}
