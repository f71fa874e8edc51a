package reqlog

import (
	"slices"

	"jacinthpost/core/fleet"
)

// stream returns the stream of an incarnation, or nil.
func (src *source[A]) stream(inc fleet.Incarnation) *stream[A] {
	for _, stm := range slices.Backward(src.streams) {
		if stm.incarnation == inc {
			return stm
		}
	}
	return nil
}

func (src *source[A]) addStream(inc fleet.Incarnation) *stream[A] {
	stm := &stream[A]{source: src, incarnation: inc, records: make(map[uint64]*record[A])}
	pos := 0
	for pos < len(src.streams) && src.streams[pos].incarnation < inc {
		pos++
	}
	src.streams = slices.Insert(src.streams, pos, stm)
	src.closeOld()
	return stm
}

// closeOld merges every stream but the newest into the closed incarnation when it has no records.
func (src *source[A]) closeOld() {
	newest := src.streams[len(src.streams)-1]
	src.streams = slices.DeleteFunc(src.streams, func(stm *stream[A]) bool {
		if stm == newest || len(stm.records) > 0 || stm.low == 0 {
			return false
		}
		src.closed = max(src.closed, stm.incarnation)
		return true
	})
}

// idle reports whether the source has no records.
func (src *source[A]) idle() bool {
	return !slices.ContainsFunc(src.streams, func(stm *stream[A]) bool { return len(stm.records) > 0 })
}

// drop forgets a record and raises the low-water mark to it.
func (stm *stream[A]) drop(counter uint64) {
	delete(stm.records, counter)
	stm.low = max(stm.low, counter)
	stm.source.closeOld()
}

// fifo is a queue with constant amortised cost.
type fifo[T any] struct {
	items []T
	head  int
}

func (ffo *fifo[T]) len() int { return len(ffo.items) - ffo.head }

func (ffo *fifo[T]) front() T { return ffo.items[ffo.head] }

func (ffo *fifo[T]) push(item T) {
	if ffo.head > 64 && ffo.head > len(ffo.items)/2 {
		ffo.items = slices.Delete(ffo.items, 0, ffo.head)
		ffo.head = 0
	}
	ffo.items = append(ffo.items, item)
}

func (ffo *fifo[T]) pop() {
	var zero T
	ffo.items[ffo.head] = zero
	ffo.head++
}
