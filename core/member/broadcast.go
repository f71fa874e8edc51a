package member

import (
	"math/bits"
	"slices"

	"jacinthpost/core/fleet"
)

// broadcast is news about a member that still has to be piggybacked. The
// statement itself is read from the roster when it is sent, so it is always the latest.
type broadcast struct {
	instance fleet.InstanceID
	full     bool
	sends    int
}

// broadcasts holds the pending news, least sent first.
type broadcasts struct {
	pending []broadcast
}

// add makes news about a member pending, with its profile if full.
func (bro *broadcasts) add(id fleet.InstanceID, full bool) {
	pos := slices.IndexFunc(bro.pending, func(itm broadcast) bool { return itm.instance == id })
	if pos >= 0 {
		// A profile that was still pending stays so: some members lack it.
		full = full || bro.pending[pos].full
		bro.pending = slices.Delete(bro.pending, pos, pos+1)
	}
	bro.pending = slices.Insert(bro.pending, 0, broadcast{instance: id, full: full})
}

// transmitLimit returns how often news is sent in a fleet of the given size.
func transmitLimit(members int) int { return transmitFactor * bits.Len(uint(max(members-1, 1))) }

// take returns the news that fits into the room in bytes and counts it as sent.
// The function statement returns the present statement, false if there is none.
func (bro *broadcasts) take(room, limit int, statement func(itm broadcast) (Update, bool)) []Update {
	var taken []Update
	kept := bro.pending[:0]
	var sent []broadcast
	for pos, itm := range bro.pending {
		if room < briefOverhead {
			kept = append(kept, bro.pending[pos:]...)
			break
		}
		upd, found := statement(itm)
		size := upd.Size()
		switch {
		case !found:
			continue
		case size > room:
			kept = append(kept, itm)
			continue
		}
		room -= size
		taken = append(taken, upd)
		if itm.sends++; itm.sends < limit {
			sent = append(sent, itm)
		}
	}
	bro.pending = append(kept, sent...)
	slices.SortStableFunc(bro.pending, func(one, two broadcast) int { return one.sends - two.sends })
	return taken
}

// idle reports whether news about the member is not pending.
func (bro *broadcasts) idle(id fleet.InstanceID) bool {
	return !slices.ContainsFunc(bro.pending, func(itm broadcast) bool { return itm.instance == id })
}
