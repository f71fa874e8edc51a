package partition

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/fleet"
)

// Watchers is how many of the best ranked candidates watch a partition. With
// every process watching, reads of the rows alone would exceed the store.
const MaxWatchers = 3

// Candidate is a live process that can own partitions.
type Candidate struct {
	instance fleet.InstanceID
	near     bool
}

// NewCandidate returns a candidate; near means that it is in the store's region.
func NewCandidate(ins fleet.InstanceID, near bool) Candidate {
	return Candidate{instance: ins, near: near}
}

// Instance returns the instance of the candidate.
func (can Candidate) Instance() fleet.InstanceID { return can.instance }

// Near reports whether the candidate is in the store's region.
func (can Candidate) InStoreRegion() bool { return can.near }

// Rank returns how many candidates are preferred over the instance for a
// partition: candidates near the store first, then by rendezvous hash.
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
	if one.near != two.near {
		if one.near {
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
