// Package heap provides an indexed binary heap: items keep a handle through
// which they are updated or removed in O(log n).
//
// A Heap must be used from one goroutine at a time. The zero value is empty
// and ready to use. Values that are equal in order leave in an unspecified but
// repeatable order; callers that need more add a sequence number to the value.
package heap

// Ordered is a value that knows whether it leaves the heap before another one.
type Ordered[T any] interface {
	Before(oth T) bool
}

// Item is the handle of one value in a heap.
type Item[T Ordered[T]] struct {
	value T
	index int
}

// Value returns the value of the item.
func (itm *Item[T]) Value() T { return itm.value }

// Heap is a priority queue of values.
type Heap[T Ordered[T]] struct {
	items []*Item[T]
}

// Len returns the number of values.
func (hea *Heap[T]) Len() int { return len(hea.items) }

// Push adds a value and returns its handle.
func (hea *Heap[T]) Push(val T) *Item[T] {
	itm := &Item[T]{value: val, index: len(hea.items)}
	hea.items = append(hea.items, itm)
	hea.siftUp(itm.index)
	return itm
}

// Peek returns the first value without removing it.
func (hea *Heap[T]) Peek() (T, bool) {
	if len(hea.items) == 0 {
		var zero T
		return zero, false
	}
	return hea.items[0].value, true
}

// Pop removes and returns the first value.
func (hea *Heap[T]) Pop() (T, bool) {
	if len(hea.items) == 0 {
		var zero T
		return zero, false
	}
	itm := hea.items[0]
	hea.Remove(itm)
	return itm.value, true
}

// Contains reports whether the handle belongs to a value still in this heap.
func (hea *Heap[T]) Contains(itm *Item[T]) bool {
	return itm != nil && itm.index >= 0 && itm.index < len(hea.items) && hea.items[itm.index] == itm
}

// Update replaces the value of an item and restores the order. It does nothing
// for an item that has left the heap.
func (hea *Heap[T]) Update(itm *Item[T], val T) {
	if !hea.Contains(itm) {
		return
	}
	itm.value = val
	hea.fix(itm.index)
}

// Remove takes an item out and reports whether it was in the heap.
func (hea *Heap[T]) Remove(itm *Item[T]) bool {
	if !hea.Contains(itm) {
		return false
	}
	pos, last := itm.index, len(hea.items)-1
	hea.swap(pos, last)
	hea.items[last] = nil
	hea.items = hea.items[:last]
	if pos < last {
		hea.fix(pos)
	}
	itm.index = -1
	return true
}

func (hea *Heap[T]) fix(pos int) {
	if !hea.siftUp(pos) {
		hea.siftDown(pos)
	}
}

func (hea *Heap[T]) swap(one, two int) {
	hea.items[one], hea.items[two] = hea.items[two], hea.items[one]
	hea.items[one].index, hea.items[two].index = one, two
}

func (hea *Heap[T]) siftUp(pos int) bool {
	start := pos
	for pos > 0 {
		parent := (pos - 1) / 2
		if !hea.items[pos].value.Before(hea.items[parent].value) {
			break
		}
		hea.swap(pos, parent)
		pos = parent
	}
	return pos != start
}

func (hea *Heap[T]) siftDown(pos int) {
	for {
		first := pos
		for child := 2*pos + 1; child <= 2*pos+2 && child < len(hea.items); child++ {
			if hea.items[child].value.Before(hea.items[first].value) {
				first = child
			}
		}
		if first == pos {
			return
		}
		hea.swap(pos, first)
		pos = first
	}
}
