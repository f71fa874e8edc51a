package dispatch

import (
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// waitingLifetime is how long a team counts as waiting after one of its tasks found
// no instance.
const waitingLifetime = 2 * quota.ReportPeriod

// waitingTask describes the smallest task of a team that recently found no instance.
type waitingTask struct {
	need resource.Vector
	at   time.Time
}

// granularity returns the amounts up to which changes are not reported to the
// allocator. It is divided by the number of owners, so that the unreported changes
// of all processes together stay within 1/quota.GranularityParts of the fleet.
func (dsp *Dispatcher[P]) granularity() resource.Vector {
	return dsp.sched.FleetCapacity().DividedBy(quota.GranularityParts * dsp.owners())
}

// ReportDue reports whether the process should report to the allocator now.
func (dsp *Dispatcher[P]) ReportDue(now time.Time) bool {
	return dsp.reporter.Due(dsp.uses(now), now)
}

// Report returns the next report to the allocator: what each team holds through
// this process, limited to what has changed unless the report is complete, and the
// granularity of the changes that the allocator should send back.
func (dsp *Dispatcher[P]) Report(now time.Time) (complete bool, uses []quota.Use, granularity resource.Vector) {
	complete, uses = dsp.reporter.Report(dsp.uses(now), dsp.granularity(), now)
	return complete, uses, dsp.sched.FleetCapacity().DividedBy(quota.GranularityParts)
}

// uses returns what each team holds through this process.
func (dsp *Dispatcher[P]) uses(now time.Time) []quota.Use {
	var all []quota.Use
	for _, name := range dsp.sched.Teams() {
		if now.Sub(dsp.waiting[name].at) > waitingLifetime {
			delete(dsp.waiting, name)
		}
		use := quota.NewUse(name, dsp.sched.LocalAmountsOf(name)).Waiting(dsp.waiting[name].need)
		if bound, bounded := dsp.teamBound(name); bounded {
			use = use.Bounded(bound, dsp.teamAllowance(name, bound))
		}
		if !use.Empty() {
			all = append(all, use)
		}
	}
	return all
}

// Owns reports whether the process owns a partition. Other processes send no reports.
func (dsp *Dispatcher[P]) Owns() bool { return len(dsp.placements) > 0 }

// ReportAnswered applies the answer to a report.
func (dsp *Dispatcher[P]) ReportAnswered(sent []quota.Use, ans quota.Answer) {
	dsp.reporter.Answered(sent, ans)
	for _, alm := range ans.Allotments() {
		dsp.sched.SetElsewhere(alm.Team(), alm.Elsewhere())
	}
}

// ReportLost records that a report was not answered.
func (dsp *Dispatcher[P]) ReportLost() { dsp.reporter.Lost() }

// teamBound returns what a team may hold in the whole fleet, and false if the team
// may borrow and therefore has no bound.
func (dsp *Dispatcher[P]) teamBound(name fleet.Team) (resource.Vector, bool) {
	sha, found := dsp.share(name)
	if !found || sha.mayBorrow {
		return resource.Vector{}, false
	}
	return sha.amounts(dsp.sched.FleetCapacity()), true
}

func (dsp *Dispatcher[P]) teamAllowance(name fleet.Team, bound resource.Vector) resource.Vector {
	return dsp.reporter.Limit(name, bound, dsp.owners())
}

// mayUse reports whether the team of a task stays within its limit with the task.
// Otherwise it records the reason for ExplainJob.
func (dsp *Dispatcher[P]) mayUse(req place.Task) bool {
	name := req.Team()
	bound, bounded := dsp.teamBound(name)
	here := dsp.sched.LocalAmountsOf(name)
	if !bounded {
		return true
	}
	limit := dsp.teamAllowance(name, bound)
	if here.Plus(req.Declared()).FitsIn(limit) {
		return true
	}
	dsp.sched.Record(explain.New(explain.TeamOverShare, dsp.now, string(req.ID())).WithOther(string(name)).
		WithCounts(int(thousandths(dsp.sched.UsedBy(name))), int(dsp.shareThousandths(name))))
	return false
}

// recordWaiting records that a task of a team found no instance. It keeps the
// smallest of them.
func (dsp *Dispatcher[P]) recordWaiting(name fleet.Team, need resource.Vector) {
	if old, found := dsp.waiting[name]; !found || dsp.now.Sub(old.at) > waitingLifetime || need.FitsIn(old.need) {
		dsp.waiting[name] = waitingTask{need: need, at: dsp.now}
	}
}

// shareThousandths returns the share of a team in thousandths.
func (dsp *Dispatcher[P]) shareThousandths(name fleet.Team) int64 {
	sha, _ := dsp.share(name)
	return int64(sha.processors * weightUnit)
}
