package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Limits of the judgement of whole data centres.
const (
	// centreMinimum is the number of members below which a data centre is judged member by member.
	minDataCentreMembers = 4
	// centreMisses is the number of members that must fail to answer, one after the
	// other and with nothing heard from the data centre meanwhile.
	unreachableMisses = 3
	// checkedMisses is the same for a data centre that others find silent or whose region does.
	prioritizedMisses = 2
	// centreAccusers is the expected number of processes that accuse a member of a silent data centre.
	expectedReporters = 4
	// centreTryPeriod spaces the pings to members of silent data centres.
	unreachablePingPeriod = time.Second
)

// centre is a data centre as this process reaches it. When a data centre falls
// silent at once, accusing its members one by one would cost traffic that grows
// with the square of the fleet. Each process therefore judges for itself and in
// silence: it counts all members of a silent data centre as dead, spreads nothing about
// them, and restores them with the first datagram from the data centre.
type dataCentre struct {
	region           fleet.Region
	members          int // not dead when the lists were last rebuilt
	lastContact      time.Time
	unanswered       []*entry // failed to answer since the data centre was last heard, not accused yet
	unreachable      bool
	unreachableSince time.Time
	prioritized      bool // probed next, because another process or another data centre of its region suggests that it is silent
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

// state returns the state of the member as this process counts it.
func (ent *entry) state() State {
	if ent.unreachable() {
		return StateDead
	}
	return ent.update.state
}

func (ent *entry) unreachable() bool { return ent.dataCentre != nil && ent.dataCentre.unreachable }

// undecided reports whether it may turn out that the whole data centre of the
// suspect is silent. A data centre that was not heard since the suspicion began
// is probed first: its members would otherwise die in some views at a cut, and
// at its end the whole fleet would ask each of them whether it lives.
func (ent *entry) awaitsDataCentreProbe(now time.Time) bool {
	cen := ent.dataCentre
	if cen == nil || now.Sub(ent.suspicionEndsAt) >= SuspicionPeriod {
		return false // the probe may have found nobody else to ask
	}
	if cen.members >= minDataCentreMembers && cen.lastContact.Before(ent.suspicionEndsAt.Add(-SuspicionPeriod)) {
		cen.prioritized = true
	}
	return cen.prioritized || len(cen.unanswered) > 0
}

// withhold reports whether a member that did not answer is not accused yet,
// because its whole data centre may be silent.
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

// check makes the data centre of a member that others suspect the next to be probed,
// unless it was heard just now. So the loss of a data centre is seen by all as soon as one has seen it.
func (mac *Machine) prioritize(now time.Time, cen *dataCentre) {
	if cen != nil && !cen.unreachable && cen.members >= minDataCentreMembers && now.Sub(cen.lastContact) > 2*ProbePeriod {
		cen.prioritized = true
	}
}

// silence counts all members of a data centre as dead. Other data centres of its region that
// were not heard since are probed next. A few of all processes, whatever their
// number, accuse one member each, which tells the others to check the data centre.
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

// revokeDeaths takes members of a data centre for alive again whose death was declared since it was last heard. At its
// return each process that holds a member dead would ping it: with 700 of them in another region 23 times a second.
func (mac *Machine) revokeDeaths(cen *dataCentre) {
	for _, ent := range mac.roster.All() {
		if ent.dataCentre == cen && ent.update.state == StateDead && ent.diedAt.After(cen.lastContact) {
			ent.update.state = StateAlive
			mac.rehash(ent)
		}
	}
}

// report adds a change for each member of the data centre that is not dead by itself.
func (mac *Machine) recordChanges(cen *dataCentre, change func(ent *entry) Change) {
	for _, ent := range mac.roster.All() {
		if ent.dataCentre == cen && ent.update.state != StateDead {
			mac.changes = append(mac.changes, change(ent))
		}
	}
}

// heard notes that something arrived from a member. What the other members of
// its data centre missed is now held against each of them alone.
func (mac *Machine) recordContact(now time.Time, from *entry) {
	cen := from.dataCentre
	if cen == nil {
		return
	}
	cen.lastContact, cen.prioritized = now, false
	missed := cen.unanswered
	cen.unanswered = nil
	for _, ent := range missed {
		if ent != from && !ent.underSuspicion && ent.update.state != StateDead {
			mac.suspect(now, ent, true)
		}
	}
	if cen.unreachable {
		mac.markReachable(now, cen)
	}
}

// restore takes the members of a data centre for what they were before it fell silent
// and tries the other silent data centres of its region. Deaths that were missed
// meanwhile come with the next comparison or are found by probes.
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

// dropHearsay ends the suspicions of members of the data centre that this process only
// heard of. Whoever accused them asks them again, and a death would be spread; if
// all processes asked, one member would get the pings of the whole fleet.
func (mac *Machine) dropGossipedSuspicions(cen *dataCentre) {
	for _, ent := range mac.suspects {
		if ent.dataCentre == cen && !ent.suspectedLocally && ent.update.state == StateSuspect {
			ent.underSuspicion, ent.update.state = false, StateAlive
		}
	}
}

// trySilent pings a member of one silent data centre.
func (mac *Machine) pingUnreachable() {
	var silent []*dataCentre
	for _, cen := range mac.dataCentres.All() {
		if cen.unreachable {
			silent = append(silent, cen)
		}
	}
	if len(silent) > 0 {
		mac.pingDataCentre(silent[mac.random.IntN(len(silent))])
	}
}

func (mac *Machine) pingDataCentre(cen *dataCentre) {
	if ent := mac.randomMemberOf(cen, nil); ent != nil {
		mac.pingToConfirm(ent)
	}
}

// witness returns a random member of the data centre other than those given, nil if there is none.
func (mac *Machine) randomMemberOf(cen *dataCentre, others []*entry) *entry {
	var chosen *entry
	count := 0
	for _, ent := range mac.roster.All() {
		if ent.dataCentre != cen || ent.underSuspicion || ent.update.state == StateDead || slices.Contains(others, ent) {
			continue
		}
		if count++; mac.random.IntN(count) == 0 {
			chosen = ent
		}
	}
	return chosen
}

// doubtfulMember returns a member of a data centre that may be silent, nil if there is no such data centre.
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
