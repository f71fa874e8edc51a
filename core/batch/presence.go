package batch

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Presence is the stored state of the instances, which an owner passes on to its successor.
//
// An owner grants lease time to the instances that report to it. A new owner must not treat a
// silent instance as lost until the grants of all former owners have certainly expired. Without a
// Presence this wait would restart at each takeover, so that owners that are replaced in quick
// succession would never treat an instance as lost. For a correct result, each owner must store a
// Presence with an instance in Reported before it grants lease time to that instance, and grant none to it from the
// moment at which it tries to store one without it.
type Presence struct {
	Reported []fleet.InstanceID // report to this owner and may have a grant from it
	// Silent holds the other instances with runs, those that reported to a former owner and may report to this one, and those
	// that were lost, and for how long they have had no new grant. The time is negative if a former owner may still grant time.
	Silent map[fleet.InstanceID]time.Duration
	// Validity is how long after its last transaction the owner may grant time on its own. It is zero in a Presence of an
	// earlier version.
	Validity time.Duration
}

// Names reports whether an instance reports to the owner, or has been silent for less than the time after which it is lost.
// The owner knows then that the process of the instance may take over from it.
func (prs Presence) Names(id fleet.InstanceID, lostAfter time.Duration) bool {
	dur, silent := prs.Silent[id]
	return slices.Contains(prs.Reported, id) || silent && dur < lostAfter
}

// Named returns the instances that the presence names, see Names.
func (prs Presence) Named(lostAfter time.Duration) []fleet.InstanceID {
	out := slices.Clone(prs.Reported)
	for id, dur := range prs.Silent {
		if dur < lostAfter {
			out = append(out, id)
		}
	}
	return out
}

// Succession is what a new owner knows of the grants of the former one.
type Succession struct {
	QuietSince time.Time // the former owner has stored nothing since then
	// Bound is set if the former owner may have granted time until Presence.Validity after QuietSince, because it needed the
	// abstention of this process for more. Otherwise it may have done so for MaxValidity.
	Bound bool
}

const (
	// presencePeriod is the time after which a presence with silent instances may have changed.
	presencePeriod = 200 * time.Millisecond
	// silentStep is the step in which the silence of an instance is stored, so that a presence changes rarely.
	silentStep = 500 * time.Millisecond
)

// PresenceChanged reports whether Presence may return something else than at its last call.
func (sch *Scheduler[O, P]) PresenceChanged(now time.Time) bool {
	if sch.presenceChanged || sch.presenceAt.IsZero() {
		return true
	}
	return now.Sub(sch.presenceAt) >= presencePeriod && slices.ContainsFunc(sch.instanceList, func(ins *instance) bool {
		return !ins.present && sch.counts(ins, now)
	})
}

// Presence returns the present state of the instances.
func (sch *Scheduler[O, P]) Presence(now time.Time) Presence {
	sch.presenceChanged, sch.presenceAt = false, now
	prs := Presence{Validity: sch.option().Validity}
	for _, ins := range sch.instanceList {
		switch {
		case ins.present:
			prs.Reported = append(prs.Reported, ins.id)
		case sch.counts(ins, now):
			if prs.Silent == nil {
				prs.Silent = make(map[fleet.InstanceID]time.Duration)
			}
			prs.Silent[ins.id] = sch.silence(ins, now)
		}
	}
	slices.Sort(prs.Reported)
	return prs
}

// counts reports whether a presence contains an instance that does not report.
func (sch *Scheduler[O, P]) counts(ins *instance, now time.Time) bool {
	return ins.session != 0 || len(ins.attempts) > 0 || now.Sub(sch.lastGrant(ins)) < sch.option().LostAfter
}

// silence returns for how long an instance has had no new grant, rounded down. Times over LostAfter are all the same.
func (sch *Scheduler[O, P]) silence(ins *instance, now time.Time) time.Duration {
	dur := min(now.Sub(sch.lastGrant(ins)), sch.option().LostAfter)
	if rest := dur % silentStep; rest < 0 {
		return dur - rest - silentStep
	}
	return dur.Truncate(silentStep)
}

// lastGrant returns the time after which an instance has certainly had no new grant.
func (sch *Scheduler[O, P]) lastGrant(ins *instance) time.Time {
	if ins.session != 0 {
		return ins.reportedAt
	}
	if at, found := sch.formerGrants[ins.id]; found {
		return at
	}
	return sch.formerGrantsEnd
}

// RestorePresence sets the state that the former owner stored. It must be called at most once,
// before the first Tick.
func (sch *Scheduler[O, P]) RestorePresence(prs Presence, suc Succession) {
	sch.formerGrantsEnd = suc.QuietSince.Add(sch.option().MaxValidity)
	sch.formerGrants = make(map[fleet.InstanceID]time.Time)
	if prs.Validity == 0 {
		for id, dur := range prs.Silent {
			// Earlier versions stored the time since their takeover, at which the grants of the owner before were valid.
			sch.formerGrants[id] = sch.formerGrantsEnd.Add(-dur)
		}
		return
	}
	if suc.Bound {
		for _, id := range prs.Reported {
			sch.formerGrants[id] = suc.QuietSince.Add(prs.Validity)
		}
	}
	for id, dur := range prs.Silent {
		sch.formerGrants[id] = suc.QuietSince.Add(-dur)
	}
	for _, id := range slices.Sorted(slices.Values(prs.Named(sch.option().LostAfter))) {
		sch.instance(id) // may report, or take over from this owner before it does
	}
}

// Present returns the number of instances that report to this owner.
func (sch *Scheduler[O, P]) Present() int { return sch.present }

// setPresent records that an instance has begun or ceased to report.
func (sch *Scheduler[O, P]) setPresent(ins *instance, present bool) {
	if ins.present == present {
		return
	}
	ins.present, sch.presenceChanged = present, true
	if present {
		sch.present++
	} else {
		sch.present--
	}
}
