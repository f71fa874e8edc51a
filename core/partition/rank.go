package partition

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/fleet"
)

// MaxWatchers is the number of best ranked candidates that watch a partition. If every process watched
// every partition, their reads of the rows would exceed the capacity of the store.
const MaxWatchers = 3

// Candidate is a live process that can own partitions.
type Candidate struct {
	instance      fleet.InstanceID
	inStoreRegion bool
}

// NewCandidate returns a candidate; near means that it is in the region of the store.
func NewCandidate(ins fleet.InstanceID, near bool) Candidate {
	return Candidate{instance: ins, inStoreRegion: near}
}

// Instance returns the instance of the candidate.
func (can Candidate) Instance() fleet.InstanceID { return can.instance }

// InStoreRegion reports whether the candidate is in the region of the store.
func (can Candidate) InStoreRegion() bool { return can.inStoreRegion }

// Rank returns how many candidates are preferred over self for a partition. Candidates in the store's
// region are preferred; among equals the rendezvous hash decides.
func Rank(num int, self Candidate, others []Candidate) int {
	mine := weight(num, self)
	rank := 0
	for _, can := range others {
		if can.instance != self.instance && compare(can, weight(num, can), self, mine) < 0 {
			rank++
		}
	}
	return rank
}

func compare(one Candidate, wgtOne uint64, two Candidate, wgtTwo uint64) int {
	if one.inStoreRegion != two.inStoreRegion {
		if one.inStoreRegion {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(wgtTwo, wgtOne), cmp.Compare(one.instance, two.instance))
}

func weight(num int, can Candidate) uint64 {
	buf := strconv.AppendInt(make([]byte, 0, 64), int64(num), 10)
	buf = append(append(buf, '/'), can.instance...)
	return xxhash.Sum64(buf)
}
