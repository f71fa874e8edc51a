package batch

import (
	"maps"
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
// Presence with an instance in Reported before it grants lease time to that instance.
type Presence struct {
	Own        fleet.InstanceID                   // on the owner's machine, empty if there is none
	Reported   []fleet.InstanceID                 // have reported to this owner and may have a grant from it
	Unreported map[fleet.InstanceID]time.Duration // have runs, and have had no new grant for this time
}

// presencePeriod is the time after which a presence with unreported instances may have changed.
const presencePeriod = 200 * time.Millisecond

// PresenceChanged reports whether Presence may return something else than at its last call.
func (sch *Scheduler[O, P]) PresenceChanged(now time.Time) bool {
	if sch.presenceChanged || sch.presenceAt.IsZero() {
		return true
	}
	return now.Sub(sch.presenceAt) >= presencePeriod && slices.ContainsFunc(sch.instanceList, func(ins *instance) bool {
		return ins.session == 0 && len(ins.attempts) > 0
	})
}

// Presence returns the present state of the instances. Times are rounded down to seconds, so that
// the result changes rarely.
func (sch *Scheduler[O, P]) Presence(now time.Time) Presence {
	sch.presenceChanged, sch.presenceAt = false, now
	prs := Presence{Own: sch.option().Own}
	for _, ins := range sch.instanceList {
		id := ins.id
		switch {
		case ins.session != 0:
			prs.Reported = append(prs.Reported, id)
		case len(ins.attempts) > 0:
			if prs.Unreported == nil {
				prs.Unreported = make(map[fleet.InstanceID]time.Duration)
			}
			prs.Unreported[id] = (sch.unreportedFor[id] + now.Sub(sch.takeoverAt)).Truncate(time.Second)
		}
	}
	slices.Sort(prs.Reported)
	return prs
}

// RestorePresence sets the state that the former owner stored. It must be called at most once,
// before the first Tick.
func (sch *Scheduler[O, P]) RestorePresence(prs Presence) {
	sch.unreportedFor = maps.Clone(prs.Unreported)
	if slices.Contains(prs.Reported, prs.Own) {
		// Its last grant has ended earlier than any other, as if it had been silent for a time before the takeover.
		if sch.unreportedFor == nil {
			sch.unreportedFor = make(map[fleet.InstanceID]time.Duration)
		}
		sch.unreportedFor[prs.Own] = sch.option().InheritedAfter - sch.option().InheritedOwnAfter
	}
}

// ReportedInstances returns the number of instances that have reported to this owner.
func (sch *Scheduler[O, P]) ReportedInstances() int {
	return sch.reported
}
