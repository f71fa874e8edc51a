package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Limits for treating a whole data centre as unreachable.
const (
	// minDataCentreMembers is the smallest number of members for which a data centre is treated as
	// a whole; with fewer, each member is suspected by itself.
	minDataCentreMembers = 4
	// unreachableMisses is the number of members that must fail to answer one after the other, with
	// nothing received from the data centre in between.
	unreachableMisses = 3
	// prioritizedMisses replaces unreachableMisses for a data centre that other processes find
	// unreachable or whose region has another unreachable data centre.
	prioritizedMisses = 2
	// expectedReporters is the expected number of processes that suspect a member of an unreachable
	// data centre.
	expectedReporters = 4
	// unreachablePingPeriod is the time between pings to members of unreachable data centres.
	unreachablePingPeriod = time.Second
)

// dataCentre is the reachability of a data centre from this process. When all members of a data
// centre become unreachable at once, suspecting them one by one would cause traffic that grows with
// the square of the fleet. So each process decides by itself and without gossip: it counts all
// members of an unreachable data centre as dead, spreads no updates about them, and restores them
// with the first datagram from the data centre.
type dataCentre struct {
	region           fleet.Region
	members          int // not dead when the lists of probe targets were last rebuilt
	lastContact      time.Time
	unanswered       []*entry // failed to answer since lastContact, not suspected yet
	unreachable      bool
	unreachableSince time.Time
	prioritized      bool // probed next: other processes, or other data centres of its region, suggest that it is unreachable
}

func (mac *Machine) dataCentreOf(loc fleet.Location) *dataCentre {
	key := fleet.NewLocation(loc.Region(), loc.DataCentre(), "")
	cen, found := mac.dataCentres.Get(key)
	if !found {
		cen = &dataCentre{region: loc.Region()}
		mac.dataCentres.Set(key, cen)
	}
	return cen
}

// state returns the state of the member as seen by this process.
func (ent *entry) state() State {
	if ent.unreachable() {
		return StateDead
	}
	return ent.update.state
}

func (ent *entry) unreachable() bool { return ent.dataCentre != nil && ent.dataCentre.unreachable }

// awaitsDataCentreProbe reports whether the whole data centre of the suspect may still turn out to
// be unreachable. A data centre from which nothing was received since the suspicion began is probed
// first. Otherwise some processes would declare its members dead when a network partition starts,
// and when it ends the whole fleet would ping each of them.
func (ent *entry) awaitsDataCentreProbe(now time.Time) bool {
	cen := ent.dataCentre
	if cen == nil || now.Sub(ent.suspicionEndsAt) >= SuspicionPeriod {
		return false // there may be no other member of the data centre to probe
	}
	if cen.members >= minDataCentreMembers && cen.lastContact.Before(ent.suspicionEndsAt.Add(-SuspicionPeriod)) {
		cen.prioritized = true
	}
	return cen.prioritized || len(cen.unanswered) > 0
}

// deferSuspicion reports whether a member that did not answer is not suspected yet, because its
// whole data centre may be unreachable.
func (mac *Machine) deferSuspicion(now time.Time, ent *entry, began time.Time) bool {
	cen := ent.dataCentre
	if cen == nil || cen.members < minDataCentreMembers || !cen.lastContact.Before(began) {
		return false
	}
	if !slices.Contains(cen.unanswered, ent) {
		cen.unanswered = append(cen.unanswered, ent)
	}
	if len(cen.unanswered) >= unreachableMisses || (cen.prioritized && len(cen.unanswered) >= prioritizedMisses) {
		mac.markUnreachable(now, cen)
	}
	return true
}

// prioritize has the data centre of a member that other processes suspect probed next, unless
// something was received from it recently. So all processes soon notice the loss of a data centre
// that one of them has noticed.
func (mac *Machine) prioritize(now time.Time, cen *dataCentre) {
	if cen != nil && !cen.unreachable && cen.members >= minDataCentreMembers && now.Sub(cen.lastContact) > 2*ProbePeriod {
		cen.prioritized = true
	}
}

// markUnreachable counts all members of a data centre as dead. Other data centres of its region
// from which nothing was received recently are probed next. Of all processes, about
// expectedReporters suspect one member each, which makes the others probe the data centre.
func (mac *Machine) markUnreachable(now time.Time, cen *dataCentre) {
	if !cen.prioritized && mac.random.IntN(mac.liveCount()) < expectedReporters {
		mac.suspect(now, cen.unanswered[0], true)
	}
	mac.recordChanges(cen, func(ent *entry) Change {
		return Change{instance: ent.update.instance, from: ent.update.state, to: StateDead}
	})
	mac.revokeDeaths(cen)
	cen.unreachable, cen.unreachableSince, cen.unanswered, cen.prioritized = true, now, nil, false
	mac.listsStale = true
	for _, oth := range mac.dataCentres.All() {
		if oth.region == cen.region && oth.region != mac.region() {
			mac.prioritize(now, oth)
		}
	}
}

// revokeDeaths counts those members of a data centre as alive again that were declared dead since
// the last contact with it. Otherwise, when the data centre is reachable again, each process that
// holds a member dead would ping it: with 700 processes in another region 23 times a second.
func (mac *Machine) revokeDeaths(cen *dataCentre) {
	for _, ent := range mac.roster.All() {
		if ent.dataCentre == cen && ent.update.state == StateDead && ent.diedAt.After(cen.lastContact) {
			ent.update.state = StateAlive
			mac.rehash(ent)
		}
	}
}

// recordChanges adds a change for each member of the data centre that was not declared dead itself.
func (mac *Machine) recordChanges(cen *dataCentre, change func(ent *entry) Change) {
	for _, ent := range mac.roster.All() {
		if ent.dataCentre == cen && ent.update.state != StateDead {
			mac.changes = append(mac.changes, change(ent))
		}
	}
}

// recordContact notes that a datagram arrived from a member, which shows that its data centre is
// reachable. The other members of the data centre that did not answer are now suspected.
func (mac *Machine) recordContact(now time.Time, from *entry) {
	cen := from.dataCentre
	if cen == nil {
		return
	}
	cen.lastContact, cen.prioritized = now, false
	unanswered := cen.unanswered
	cen.unanswered = nil
	for _, ent := range unanswered {
		if ent != from && !ent.underSuspicion && ent.update.state != StateDead {
			mac.suspect(now, ent, true)
		}
	}
	if cen.unreachable {
		mac.markReachable(now, cen)
	}
}

// markReachable restores the members of a data centre to their states from before it became
// unreachable and pings the other unreachable data centres of its region. Deaths that this process
// missed meanwhile arrive with the next digest comparison or are found by probes.
func (mac *Machine) markReachable(now time.Time, cen *dataCentre) {
	cen.unreachable = false
	mac.listsStale = true
	mac.dropGossipedSuspicions(cen)
	mac.recordChanges(cen, func(ent *entry) Change {
		return Change{instance: ent.update.instance, from: StateDead, to: ent.update.state}
	})
	mac.syncSoon(now)
	for _, oth := range mac.dataCentres.All() {
		if oth.unreachable && oth.region == cen.region {
			mac.pingDataCentre(oth)
		}
	}
}

// dropGossipedSuspicions ends the suspicions of members of the data centre that this process knows
// of only from others. The process that started a suspicion pings the member again and would spread
// its death; if all processes did, one member would receive the pings of the whole fleet.
func (mac *Machine) dropGossipedSuspicions(cen *dataCentre) {
	for _, ent := range mac.suspects {
		if ent.dataCentre == cen && !ent.suspectedLocally && ent.update.state == StateSuspect {
			ent.underSuspicion, ent.update.state = false, StateAlive
		}
	}
}

// pingUnreachable pings a member of a random unreachable data centre.
func (mac *Machine) pingUnreachable() {
	var unreachable []*dataCentre
	for _, cen := range mac.dataCentres.All() {
		if cen.unreachable {
			unreachable = append(unreachable, cen)
		}
	}
	if len(unreachable) > 0 {
		mac.pingDataCentre(unreachable[mac.random.IntN(len(unreachable))])
	}
}

func (mac *Machine) pingDataCentre(cen *dataCentre) {
	if ent := mac.randomMemberOf(cen, nil); ent != nil {
		mac.pingToConfirm(ent)
	}
}

// randomMemberOf returns a random member of the data centre that is neither dead, under suspicion,
// nor among the excluded ones, nil if there is none.
func (mac *Machine) randomMemberOf(cen *dataCentre, excluded []*entry) *entry {
	var chosen *entry
	count := 0
	for _, ent := range mac.roster.All() {
		if ent.dataCentre != cen || ent.underSuspicion || ent.update.state == StateDead || slices.Contains(excluded, ent) {
			continue
		}
		if count++; mac.random.IntN(count) == 0 {
			chosen = ent
		}
	}
	return chosen
}

// priorityTarget returns a member of a data centre that may be unreachable, nil if there is no such
// data centre.
func (mac *Machine) priorityTarget() *entry {
	for _, cen := range mac.dataCentres.All() {
		if !cen.unreachable && (cen.prioritized || len(cen.unanswered) > 0) {
			if ent := mac.randomMemberOf(cen, cen.unanswered); ent != nil {
				return ent
			}
		}
	}
	return nil
}
