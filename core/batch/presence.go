package batch

import (
	"maps"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Presence is what an owner leaves to its successor about the instances.
//
// A new owner must wait until the grants of all former owners have certainly ended before it
// gives up an instance that does not report. Without a Presence each takeover begins that
// wait anew, and owners that are replaced in quick succession never give up an instance that is gone.
// It holds only if an owner grants no time to an instance before a Presence that
// names it as heard is stored.
type Presence struct {
	Reported   []fleet.InstanceID                 // reported to this owner, and may have been granted time
	Unreported map[fleet.InstanceID]time.Duration // run tasks, and were granted nothing for so long
}

// Presence returns the instances as they are now. Times are rounded down to seconds, so that it changes seldom.
func (sch *Scheduler[O, P]) Presence(now time.Time) Presence {
	var prs Presence
	for id, ins := range sch.instances {
		switch {
		case ins.session != 0:
			prs.Reported = append(prs.Reported, id)
		case ins.runs > 0:
			if prs.Unreported == nil {
				prs.Unreported = make(map[fleet.InstanceID]time.Duration)
			}
			prs.Unreported[id] = (sch.silent[id] + now.Sub(sch.since)).Truncate(time.Second)
		}
	}
	slices.Sort(prs.Reported)
	return prs
}

// Inherit sets what the former owner stored. It is called once, before the first Tick.
func (sch *Scheduler[O, P]) RestorePresence(prs Presence) { sch.silent = maps.Clone(prs.Unreported) }

// Heard returns the number of instances that have reported to this owner.
func (sch *Scheduler[O, P]) ReportedInstances() int {
	num := 0
	for _, ins := range sch.instances {
		if ins.session != 0 {
			num++
		}
	}
	return num
}
