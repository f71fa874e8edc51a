package place

import (
	"cmp"
	"slices"
)

// tally maps keys to counts, sorted by key. Most jobs run in few racks, whose counts then fit into
// one or two cache lines; a map would spread them over several. The zero value is empty.
type tally []struct{ key, count int32 }

func (tal tally) find(key int32) (int, bool) {
	return slices.BinarySearchFunc(tal, key, func(itm struct{ key, count int32 }, key int32) int {
		return cmp.Compare(itm.key, key)
	})
}

func (tal tally) count(key int32) int32 {
	if pos, found := tal.find(key); found {
		return tal[pos].count
	}
	return 0
}

// add changes the count of a key and removes the key when its count is zero.
func (tal *tally) add(key, change int32) {
	pos, found := tal.find(key)
	if !found {
		*tal = slices.Insert(*tal, pos, struct{ key, count int32 }{key: key})
	}
	if (*tal)[pos].count += change; (*tal)[pos].count == 0 {
		*tal = slices.Delete(*tal, pos, pos+1)
	}
}
