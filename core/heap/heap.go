// Package heap provides an indexed binary heap: Push returns a handle through which the value can
// be updated or removed in O(log n).
//
// A Heap must be used from one goroutine at a time. The zero value is empty and ready to use. Values
// of which neither is before the other are popped in an unspecified but deterministic order; callers
// that need a certain order add a sequence number to the value.
package heap

// Ordered is a value with an order. Before must be a strict weak ordering.
type Ordered[T any] interface {
	// Before reports whether the value is popped before the other one.
	Before(oth T) bool
}

// Item is the handle of a value in a heap.
type Item[T Ordered[T]] struct {
	value T
	index int
}

// Value returns the current value of the item, also after it was removed from the heap.
func (itm *Item[T]) Value() T { return itm.value }

// Heap is a priority queue of values in the order of their Before method.
type Heap[T Ordered[T]] struct {
	items []*Item[T]
}

// Len returns the number of values in the heap.
func (hea *Heap[T]) Len() int { return len(hea.items) }

// Push adds a value and returns its handle.
func (hea *Heap[T]) Push(val T) *Item[T] {
	itm := &Item[T]{value: val, index: len(hea.items)}
	hea.items = append(hea.items, itm)
	hea.siftUp(itm.index)
	return itm
}

// Peek returns the first value without removing it, and false if the heap is empty.
func (hea *Heap[T]) Peek() (T, bool) {
	if len(hea.items) == 0 {
		var zero T
		return zero, false
	}
	return hea.items[0].value, true
}

// Pop removes and returns the first value. It returns false if the heap is empty.
func (hea *Heap[T]) Pop() (T, bool) {
	if len(hea.items) == 0 {
		var zero T
		return zero, false
	}
	itm := hea.items[0]
	hea.Remove(itm)
	return itm.value, true
}

// Contains reports whether the item is in this heap. A nil item is not.
func (hea *Heap[T]) Contains(itm *Item[T]) bool {
	return itm != nil && itm.index >= 0 && itm.index < len(hea.items) && hea.items[itm.index] == itm
}

// Update replaces the value of an item and restores the order. It does nothing if the item is not
// in the heap.
func (hea *Heap[T]) Update(itm *Item[T], val T) {
	if !hea.Contains(itm) {
		return
	}
	itm.value = val
	hea.fix(itm.index)
}

// Remove removes an item and reports whether it was in the heap.
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

// fix restores the order after the value at a position has changed.
func (hea *Heap[T]) fix(pos int) {
	if !hea.siftUp(pos) {
		hea.siftDown(pos)
	}
}

func (hea *Heap[T]) swap(one, two int) {
	hea.items[one], hea.items[two] = hea.items[two], hea.items[one]
	hea.items[one].index, hea.items[two].index = one, two
}

// siftUp reports whether it moved the value at the position.
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
