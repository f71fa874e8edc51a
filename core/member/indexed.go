package member

import "iter"

// Indexed is a map whose entries also have positions, so that a random entry is
// found in constant time and the order of iteration depends only on the
// operations made. The zero value is empty.
type IndexedMap[K comparable, V any] struct {
	index  map[K]int
	keys   []K
	values []V
}

// Len returns the number of entries.
func (ind *IndexedMap[K, V]) Len() int { return len(ind.keys) }

// Get returns the value of a key and whether it exists.
func (ind *IndexedMap[K, V]) Get(key K) (V, bool) {
	pos, found := ind.index[key]
	if !found {
		var zero V
		return zero, false
	}
	return ind.values[pos], true
}

// Set adds or replaces an entry. A new entry takes the last position.
func (ind *IndexedMap[K, V]) Set(key K, val V) {
	if pos, found := ind.index[key]; found {
		ind.values[pos] = val
		return
	}
	if ind.index == nil {
		ind.index = make(map[K]int)
	}
	ind.index[key] = len(ind.keys)
	ind.keys = append(ind.keys, key)
	ind.values = append(ind.values, val)
}

// Delete removes an entry; the last entry takes its position.
func (ind *IndexedMap[K, V]) Delete(key K) {
	pos, found := ind.index[key]
	if !found {
		return
	}
	last := len(ind.keys) - 1
	ind.keys[pos], ind.values[pos] = ind.keys[last], ind.values[last]
	ind.index[ind.keys[pos]] = pos
	delete(ind.index, key)
	var zero V
	ind.values[last] = zero
	ind.keys, ind.values = ind.keys[:last], ind.values[:last]
}

// At returns the entry at a position.
func (ind *IndexedMap[K, V]) At(pos int) (K, V) { return ind.keys[pos], ind.values[pos] }

// All yields the entries by position. Entries must not be deleted meanwhile.
func (ind *IndexedMap[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for pos, key := range ind.keys {
			if !yield(key, ind.values[pos]) {
				return
			}
		}
	}
}
