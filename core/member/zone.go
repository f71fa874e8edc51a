package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Limits of the judgement of whole data centres.
const (
	// zoneMinimum is the number of members below which a data centre is judged member by member.
	zoneMinimum = 4
	// zoneMisses is the number of members that must fail to answer, one after the
	// other and with nothing heard from the data centre meanwhile.
	zoneMisses = 3
	// checkedMisses is the same for a zone that others find silent or whose region does.
	checkedMisses = 2
	// zoneAccusers is the expected number of processes that accuse a member of a silent zone.
	zoneAccusers = 4
	// zoneTryPeriod spaces the pings to members of silent data centres.
	zoneTryPeriod = time.Second
)

// zone is a data centre as this process reaches it. When a data centre falls
// silent at once, accusing its members one by one would cost traffic that grows
// with the square of the fleet. Each process therefore judges for itself and in
// silence: it counts all members of a silent zone as dead, spreads nothing about
// them, and restores them with the first datagram from the zone.
type zone struct {
	region   fleet.Region
	members  int // not dead when the lists were last rebuilt
	heardAt  time.Time
	missed   []*entry // failed to answer since the zone was last heard, not accused yet
	silent   bool
	silentAt time.Time
	checked  bool // probed next, because another process or another zone of its region suggests that it is silent
}

func (mac *Machine) zoneOf(loc fleet.Location) *zone {
	key := fleet.NewLocation(loc.Region(), loc.DataCentre(), "")
	zon, found := mac.zones.Get(key)
	if !found {
		zon = &zone{region: loc.Region()}
		mac.zones.Set(key, zon)
	}
	return zon
}

// state returns the state of the member as this process counts it.
func (ent *entry) state() State {
	if ent.unreachable() {
		return StateDead
	}
	return ent.update.state
}

func (ent *entry) unreachable() bool { return ent.zone != nil && ent.zone.silent }

// undecided reports whether it may turn out that the whole zone of the member is silent.
func (ent *entry) undecided() bool {
	return ent.zone != nil && (ent.zone.checked || len(ent.zone.missed) > 0)
}

// withhold reports whether a member that did not answer is not accused yet,
// because its whole zone may be silent.
func (mac *Machine) withhold(now time.Time, ent *entry, began time.Time) bool {
	zon := ent.zone
	if zon == nil || zon.members < zoneMinimum || !zon.heardAt.Before(began) {
		return false
	}
	if !slices.Contains(zon.missed, ent) {
		zon.missed = append(zon.missed, ent)
	}
	if len(zon.missed) >= zoneMisses || (zon.checked && len(zon.missed) >= checkedMisses) {
		mac.silence(now, zon)
	}
	return true
}

// check makes the zone of a member that others suspect the next to be probed,
// unless it was heard just now. So the loss of a zone is seen by all as soon as one has seen it.
func (mac *Machine) check(now time.Time, zon *zone) {
	if zon != nil && !zon.silent && zon.members >= zoneMinimum && now.Sub(zon.heardAt) > 2*ProbePeriod {
		zon.checked = true
	}
}

// silence counts all members of a zone as dead. Other zones of its region that
// were not heard since are probed next. A few of all processes, whatever their
// number, accuse one member each, which tells the others to check the zone.
func (mac *Machine) silence(now time.Time, zon *zone) {
	if !zon.checked && mac.random.IntN(mac.liveCount()) < zoneAccusers {
		mac.suspect(now, zon.missed[0], true)
	}
	mac.report(zon, func(ent *entry) Change {
		return Change{instance: ent.update.instance, from: ent.update.state, to: StateDead}
	})
	zon.silent, zon.silentAt, zon.missed, zon.checked = true, now, nil, false
	mac.stale = true
	for _, oth := range mac.zones.All() {
		if oth.region == zon.region && oth.region != mac.region() {
			mac.check(now, oth)
		}
	}
}

// report adds a change for each member of the zone that is not dead by itself.
func (mac *Machine) report(zon *zone, change func(ent *entry) Change) {
	for _, ent := range mac.roster.All() {
		if ent.zone == zon && ent.update.state != StateDead {
			mac.changes = append(mac.changes, change(ent))
		}
	}
}

// heard notes that something arrived from a member. What the other members of
// its zone missed is now held against each of them alone.
func (mac *Machine) heard(now time.Time, from *entry) {
	zon := from.zone
	if zon == nil {
		return
	}
	zon.heardAt, zon.checked = now, false
	missed := zon.missed
	zon.missed = nil
	for _, ent := range missed {
		if ent != from && !ent.doubted && ent.update.state != StateDead {
			mac.suspect(now, ent, true)
		}
	}
	if zon.silent {
		mac.restore(now, zon)
	}
}

// restore takes the members of a zone for what they were before it fell silent
// and tries the other silent zones of its region. Deaths that were missed
// meanwhile come with the next comparison or are found by probes.
func (mac *Machine) restore(now time.Time, zon *zone) {
	zon.silent = false
	mac.stale = true
	mac.dropHearsay(zon)
	mac.report(zon, func(ent *entry) Change {
		return Change{instance: ent.update.instance, from: StateDead, to: ent.update.state}
	})
	mac.learned(now)
	for _, oth := range mac.zones.All() {
		if oth.silent && oth.region == zon.region {
			mac.tryZone(oth)
		}
	}
}

// dropHearsay ends the suspicions of members of the zone that this process only
// heard of. Whoever accused them asks them again, and a death would be spread; if
// all processes asked, one member would get the pings of the whole fleet.
func (mac *Machine) dropHearsay(zon *zone) {
	for _, ent := range mac.suspects {
		if ent.zone == zon && !ent.accused && ent.update.state == StateSuspect {
			ent.doubted, ent.update.state = false, StateAlive
		}
	}
}

// trySilent pings a member of one silent zone.
func (mac *Machine) trySilent() {
	var silent []*zone
	for _, zon := range mac.zones.All() {
		if zon.silent {
			silent = append(silent, zon)
		}
	}
	if len(silent) > 0 {
		mac.tryZone(silent[mac.random.IntN(len(silent))])
	}
}

func (mac *Machine) tryZone(zon *zone) {
	if ent := mac.witness(zon, nil); ent != nil {
		mac.challenge(ent)
	}
}

// witness returns a random member of the zone other than those given, nil if there is none.
func (mac *Machine) witness(zon *zone, others []*entry) *entry {
	var chosen *entry
	count := 0
	for _, ent := range mac.roster.All() {
		if ent.zone != zon || ent.doubted || ent.update.state == StateDead || slices.Contains(others, ent) {
			continue
		}
		if count++; mac.random.IntN(count) == 0 {
			chosen = ent
		}
	}
	return chosen
}

// doubtfulMember returns a member of a zone that may be silent, nil if there is no such zone.
func (mac *Machine) doubtfulMember() *entry {
	for _, zon := range mac.zones.All() {
		if !zon.silent && (zon.checked || len(zon.missed) > 0) {
			if ent := mac.witness(zon, zon.missed); ent != nil {
				return ent
			}
		}
	}
	return nil
}
