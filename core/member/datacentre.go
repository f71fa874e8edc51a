package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Limits of the judgement of whole data centres.
const (
	// centreMinimum is the number of members below which a data centre is judged member by member.
	centreMinimum = 4
	// centreMisses is the number of members that must fail to answer, one after the
	// other and with nothing heard from the data centre meanwhile.
	centreMisses = 3
	// checkedMisses is the same for a data centre that others find silent or whose region does.
	checkedMisses = 2
	// centreAccusers is the expected number of processes that accuse a member of a silent data centre.
	centreAccusers = 4
	// centreTryPeriod spaces the pings to members of silent data centres.
	centreTryPeriod = time.Second
)

// centre is a data centre as this process reaches it. When a data centre falls
// silent at once, accusing its members one by one would cost traffic that grows
// with the square of the fleet. Each process therefore judges for itself and in
// silence: it counts all members of a silent data centre as dead, spreads nothing about
// them, and restores them with the first datagram from the data centre.
type centre struct {
	region   fleet.Region
	members  int // not dead when the lists were last rebuilt
	heardAt  time.Time
	missed   []*entry // failed to answer since the data centre was last heard, not accused yet
	silent   bool
	silentAt time.Time
	checked  bool // probed next, because another process or another data centre of its region suggests that it is silent
}

func (mac *Machine) centreOf(loc fleet.Location) *centre {
	key := fleet.NewLocation(loc.Region(), loc.DataCentre(), "")
	cen, found := mac.centres.Get(key)
	if !found {
		cen = &centre{region: loc.Region()}
		mac.centres.Set(key, cen)
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

func (ent *entry) unreachable() bool { return ent.centre != nil && ent.centre.silent }

// undecided reports whether it may turn out that the whole data centre of the
// suspect is silent. A data centre that was not heard since the suspicion began
// is probed first: its members would otherwise die in some views at a cut, and
// at its end the whole fleet would ask each of them whether it lives.
func (ent *entry) undecided(now time.Time) bool {
	cen := ent.centre
	if cen == nil || now.Sub(ent.expiresAt) >= SuspicionPeriod {
		return false // the probe may have found nobody else to ask
	}
	if cen.members >= centreMinimum && cen.heardAt.Before(ent.expiresAt.Add(-SuspicionPeriod)) {
		cen.checked = true
	}
	return cen.checked || len(cen.missed) > 0
}

// withhold reports whether a member that did not answer is not accused yet,
// because its whole data centre may be silent.
func (mac *Machine) withhold(now time.Time, ent *entry, began time.Time) bool {
	cen := ent.centre
	if cen == nil || cen.members < centreMinimum || !cen.heardAt.Before(began) {
		return false
	}
	if !slices.Contains(cen.missed, ent) {
		cen.missed = append(cen.missed, ent)
	}
	if len(cen.missed) >= centreMisses || (cen.checked && len(cen.missed) >= checkedMisses) {
		mac.silence(now, cen)
	}
	return true
}

// check makes the data centre of a member that others suspect the next to be probed,
// unless it was heard just now. So the loss of a data centre is seen by all as soon as one has seen it.
func (mac *Machine) check(now time.Time, cen *centre) {
	if cen != nil && !cen.silent && cen.members >= centreMinimum && now.Sub(cen.heardAt) > 2*ProbePeriod {
		cen.checked = true
	}
}

// silence counts all members of a data centre as dead. Other data centres of its region that
// were not heard since are probed next. A few of all processes, whatever their
// number, accuse one member each, which tells the others to check the data centre.
func (mac *Machine) silence(now time.Time, cen *centre) {
	if !cen.checked && mac.random.IntN(mac.liveCount()) < centreAccusers {
		mac.suspect(now, cen.missed[0], true)
	}
	mac.report(cen, func(ent *entry) Change {
		return Change{instance: ent.update.instance, from: ent.update.state, to: StateDead}
	})
	mac.revokeDeaths(cen)
	cen.silent, cen.silentAt, cen.missed, cen.checked = true, now, nil, false
	mac.stale = true
	for _, oth := range mac.centres.All() {
		if oth.region == cen.region && oth.region != mac.region() {
			mac.check(now, oth)
		}
	}
}

// revokeDeaths takes members of a data centre for alive again whose death was declared since it was last heard. At its
// return each process that holds a member dead would ping it: with 700 of them in another region 23 times a second.
func (mac *Machine) revokeDeaths(cen *centre) {
	for _, ent := range mac.roster.All() {
		if ent.centre == cen && ent.update.state == StateDead && ent.diedAt.After(cen.heardAt) {
			ent.update.state = StateAlive
			mac.rehash(ent)
		}
	}
}

// report adds a change for each member of the data centre that is not dead by itself.
func (mac *Machine) report(cen *centre, change func(ent *entry) Change) {
	for _, ent := range mac.roster.All() {
		if ent.centre == cen && ent.update.state != StateDead {
			mac.changes = append(mac.changes, change(ent))
		}
	}
}

// heard notes that something arrived from a member. What the other members of
// its data centre missed is now held against each of them alone.
func (mac *Machine) heard(now time.Time, from *entry) {
	cen := from.centre
	if cen == nil {
		return
	}
	cen.heardAt, cen.checked = now, false
	missed := cen.missed
	cen.missed = nil
	for _, ent := range missed {
		if ent != from && !ent.doubted && ent.update.state != StateDead {
			mac.suspect(now, ent, true)
		}
	}
	if cen.silent {
		mac.restore(now, cen)
	}
}

// restore takes the members of a data centre for what they were before it fell silent
// and tries the other silent data centres of its region. Deaths that were missed
// meanwhile come with the next comparison or are found by probes.
func (mac *Machine) restore(now time.Time, cen *centre) {
	cen.silent = false
	mac.stale = true
	mac.dropHearsay(cen)
	mac.report(cen, func(ent *entry) Change {
		return Change{instance: ent.update.instance, from: StateDead, to: ent.update.state}
	})
	mac.learned(now)
	for _, oth := range mac.centres.All() {
		if oth.silent && oth.region == cen.region {
			mac.tryCentre(oth)
		}
	}
}

// dropHearsay ends the suspicions of members of the data centre that this process only
// heard of. Whoever accused them asks them again, and a death would be spread; if
// all processes asked, one member would get the pings of the whole fleet.
func (mac *Machine) dropHearsay(cen *centre) {
	for _, ent := range mac.suspects {
		if ent.centre == cen && !ent.accused && ent.update.state == StateSuspect {
			ent.doubted, ent.update.state = false, StateAlive
		}
	}
}

// trySilent pings a member of one silent data centre.
func (mac *Machine) trySilent() {
	var silent []*centre
	for _, cen := range mac.centres.All() {
		if cen.silent {
			silent = append(silent, cen)
		}
	}
	if len(silent) > 0 {
		mac.tryCentre(silent[mac.random.IntN(len(silent))])
	}
}

func (mac *Machine) tryCentre(cen *centre) {
	if ent := mac.witness(cen, nil); ent != nil {
		mac.challenge(ent)
	}
}

// witness returns a random member of the data centre other than those given, nil if there is none.
func (mac *Machine) witness(cen *centre, others []*entry) *entry {
	var chosen *entry
	count := 0
	for _, ent := range mac.roster.All() {
		if ent.centre != cen || ent.doubted || ent.update.state == StateDead || slices.Contains(others, ent) {
			continue
		}
		if count++; mac.random.IntN(count) == 0 {
			chosen = ent
		}
	}
	return chosen
}

// doubtfulMember returns a member of a data centre that may be silent, nil if there is no such data centre.
func (mac *Machine) doubtfulMember() *entry {
	for _, cen := range mac.centres.All() {
		if !cen.silent && (cen.checked || len(cen.missed) > 0) {
			if ent := mac.witness(cen, cen.missed); ent != nil {
				return ent
			}
		}
	}
	return nil
}
