package ticket

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Versioned is an immutable map whose values carry the number of the ticket that set them. A change
// copies all entries to a new map, because changes are rare (about 1,100 a day) compared with
// reads. The zero value is empty.
type Versioned[K cmp.Ordered, V any] struct {
	entries map[K]versionedEntry[V]
}

type versionedEntry[V any] struct {
	value   V
	version Number
}

// Get returns the value of a key and whether it exists.
func (ver Versioned[K, V]) Get(key K) (V, bool) {
	ent, found := ver.entries[key]
	return ent.value, found
}

// Version returns the number of the ticket that set the key, zero if it doesn't exist.
func (ver Versioned[K, V]) Version(key K) Number { return ver.entries[key].version }

// Len returns the number of keys.
func (ver Versioned[K, V]) Len() int { return len(ver.entries) }

// All yields the keys and values in key order.
func (ver Versioned[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range sortedKeys(ver.entries) {
			if !yield(key, ver.entries[key].value) {
				return
			}
		}
	}
}

// edit returns a copy of the map that change has modified through the function it is given. A key
// that already has a higher version keeps its value.
func (ver Versioned[K, V]) edit(change func(set func(key K, val V, num Number))) Versioned[K, V] {
	entries := maps.Clone(ver.entries)
	if entries == nil {
		entries = make(map[K]versionedEntry[V])
	}
	change(func(key K, val V, num Number) {
		if num >= entries[key].version {
			entries[key] = versionedEntry[V]{value: val, version: num}
		}
	})
	return Versioned[K, V]{entries: entries}
}

func sortedKeys[K cmp.Ordered, V any](set map[K]V) []K { return slices.Sorted(maps.Keys(set)) }
