package member

import (
	"math/bits"
	"slices"

	"jacinthpost/core/fleet"
)

// Limits of the pending broadcasts. Digest comparisons repair what is dropped.
const (
	briefLimit = 1024
	fullLimit  = 64
)

// broadcast is an update about a member that is still to be piggybacked on datagrams. The update
// itself is read from the roster when it is sent, so that it is always the latest.
type broadcast struct {
	instance fleet.InstanceID
	sends    int
}

// broadcasts holds the pending broadcasts, those sent least often first. Updates without a profile
// are sent before those with one, so that deaths and refutations are not delayed while many members
// join.
type broadcasts struct {
	briefs []broadcast
	fulls  []broadcast
}

// add makes an update about a member pending, with its profile if full is set.
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

// transmitLimit returns how often each update is sent in a fleet of the given size.
func transmitLimit(members int) int { return transmitFactor * bits.Len(uint(max(members-1, 1))) }

// packer fills the free space of one datagram with updates.
type packer struct {
	room         int // bytes
	limit        int // number of times each update is sent
	latestUpdate func(id fleet.InstanceID, full bool) (Update, bool)
	updates      []Update
}

// take adds the pending updates that fit and counts them as sent.
func (bro *broadcasts) take(pck *packer) {
	bro.briefs = pck.pick(bro.briefs, false)
	bro.fulls = pck.pick(bro.fulls, true)
}

// pick adds the updates of a list that fit and returns the broadcasts that remain pending.
func (pck *packer) pick(list []broadcast, full bool) []broadcast {
	var sent []broadcast
	kept := list[:0]
	for pos, itm := range list {
		if pck.room < briefOverhead {
			kept = append(kept, list[pos:]...)
			break
		}
		upd, found := pck.latestUpdate(itm.instance, full)
		if !found {
			continue // removed from the roster meanwhile
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

// add adds an update if it fits and reports whether it did.
func (pck *packer) add(upd Update) bool {
	size := upd.Size()
	if size > pck.room {
		return false
	}
	pck.room -= size
	pck.updates = append(pck.updates, upd)
	return true
}

// mergeSorted merges two lists that are ordered by the number of sends. For equal numbers the first
// list goes first, so that all updates take turns.
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

// sentAtLeast reports whether the update about the member was sent at least num times or is no
// longer pending. Updates with a profile do not count.
func (bro *broadcasts) sentAtLeast(id fleet.InstanceID, num int) bool {
	return !slices.ContainsFunc(bro.briefs, func(itm broadcast) bool { return itm.instance == id && itm.sends < num })
}
