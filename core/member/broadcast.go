package member

import (
	"math/bits"
	"slices"

	"jacinthpost/core/fleet"
)

// Bounds of pending news. What is dropped is repaired by the comparison of digests.
const (
	briefLimit = 1024
	fullLimit  = 64
)

// broadcast is news about a member that still has to be piggybacked. The
// statement itself is read from the roster when it is sent, so it is always the latest.
type broadcast struct {
	instance fleet.InstanceID
	sends    int
}

// broadcasts holds pending news, least sent first. Brief news goes before
// profiles, so that deaths and refutations aren't delayed while many members join.
type broadcasts struct {
	briefs []broadcast
	fulls  []broadcast
}

// add makes news about a member pending, with its profile if full.
func (bro *broadcasts) add(id fleet.InstanceID, full bool) {
	if full {
		bro.fulls = prepend(bro.fulls, id, fullLimit)
		return
	}
	bro.briefs = prepend(bro.briefs, id, briefLimit)
}

func prepend(list []broadcast, id fleet.InstanceID, limit int) []broadcast {
	list = slices.DeleteFunc(list, func(itm broadcast) bool { return itm.instance == id })
	return slices.Insert(list[:min(len(list), limit-1)], 0, broadcast{instance: id})
}

// transmitLimit returns how often news is sent in a fleet of the given size.
func transmitLimit(members int) int { return transmitFactor * bits.Len(uint(max(members-1, 1))) }

// take returns the news that fits into the room in bytes and counts it as sent.
// The function statement returns the present statement, false if there is none.
func (bro *broadcasts) take(room, limit int, statement func(id fleet.InstanceID, full bool) (Update, bool)) []Update {
	var taken []Update
	pick := func(list []broadcast, full bool) []broadcast {
		var sent []broadcast
		kept := list[:0]
		for pos, itm := range list {
			if room < briefOverhead {
				kept = append(kept, list[pos:]...)
				break
			}
			upd, found := statement(itm.instance, full)
			switch size := upd.Size(); {
			case !found:
				continue
			case size > room:
				kept = append(kept, itm)
				continue
			default:
				room -= size
			}
			taken = append(taken, upd)
			if itm.sends++; itm.sends < limit {
				sent = append(sent, itm)
			}
		}
		return mergeSorted(kept, sent)
	}
	bro.briefs = pick(bro.briefs, false)
	bro.fulls = pick(bro.fulls, true)
	return taken
}

// mergeSorted merges two lists that are ordered by sends. At equal numbers the
// first list goes first, so that news takes turns.
func mergeSorted(one, two []broadcast) []broadcast {
	if len(two) == 0 {
		return one
	}
	merged := make([]broadcast, 0, len(one)+len(two))
	for len(one) > 0 && len(two) > 0 {
		if one[0].sends <= two[0].sends {
			merged, one = append(merged, one[0]), one[1:]
		} else {
			merged, two = append(merged, two[0]), two[1:]
		}
	}
	return append(append(merged, one...), two...)
}

// sentOften reports whether brief news about the member was sent at least num times or is no longer pending.
func (bro *broadcasts) sentOften(id fleet.InstanceID, num int) bool {
	return !slices.ContainsFunc(bro.briefs, func(itm broadcast) bool { return itm.instance == id && itm.sends < num })
}
