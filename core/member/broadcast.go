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

// packer fills the room of one datagram with news.
type packer struct {
	room      int // bytes
	limit     int // sends of each news
	statement func(id fleet.InstanceID, full bool) (Update, bool)
	updates   []Update
}

// take adds the pending news that fits and counts it as sent.
func (bro *broadcasts) take(pck *packer) {
	bro.briefs = pck.pick(bro.briefs, false)
	bro.fulls = pck.pick(bro.fulls, true)
}

// pick returns what remains pending of a list.
func (pck *packer) pick(list []broadcast, full bool) []broadcast {
	var sent []broadcast
	kept := list[:0]
	for pos, itm := range list {
		if pck.room < briefOverhead {
			kept = append(kept, list[pos:]...)
			break
		}
		upd, found := pck.statement(itm.instance, full)
		if !found {
			continue // forgotten meanwhile
		}
		if !pck.add(upd) {
			kept = append(kept, itm)
			continue
		}
		if itm.sends++; itm.sends < pck.limit {
			sent = append(sent, itm)
		}
	}
	return mergeSorted(kept, sent)
}

// add adds an update if it fits.
func (pck *packer) add(upd Update) bool {
	size := upd.Size()
	if size > pck.room {
		return false
	}
	pck.room -= size
	pck.updates = append(pck.updates, upd)
	return true
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
func (bro *broadcasts) sentAtLeast(id fleet.InstanceID, num int) bool {
	return !slices.ContainsFunc(bro.briefs, func(itm broadcast) bool { return itm.instance == id && itm.sends < num })
}
