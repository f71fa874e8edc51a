package dispatch

import (
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// wantLife is how long a team counts as waiting after a task of it found no instance.
const wantLife = 2 * quota.ReportPeriod

// want is the first waiting task of a team.
type want struct {
	need resource.Vector
	at   time.Time
}

// granularity returns the amounts below which changes are not reported to the census.
// The parts of all processes together stay below one part in 400 of the fleet.
func (dsp *Dispatcher[P]) granularity() resource.Vector {
	return dsp.sched.FleetCapacity().Over(quota.GranularityParts * dsp.owners())
}

// ReportDue reports whether the process should report to the census now.
func (dsp *Dispatcher[P]) ReportDue(now time.Time) bool {
	return dsp.reporter.Due(dsp.uses(now), now)
}

// Report returns what the teams hold through this process for the census, what
// has changed since the last report unless it is complete, and the granularity of changes.
func (dsp *Dispatcher[P]) Report(now time.Time) (complete bool, uses []quota.Use, granularity resource.Vector) {
	complete, uses = dsp.reporter.Report(dsp.uses(now), dsp.granularity(), now)
	return complete, uses, dsp.sched.FleetCapacity().Over(quota.GranularityParts)
}

// uses returns what each team holds through this process.
func (dsp *Dispatcher[P]) uses(now time.Time) []quota.Use {
	var all []quota.Use
	for _, name := range dsp.sched.Teams() {
		if now.Sub(dsp.wants[name].at) > wantLife {
			delete(dsp.wants, name)
		}
		use := quota.NewUse(name, dsp.sched.LocalAmountsOf(name)).Waiting(dsp.wants[name].need)
		if bound, bounded := dsp.bound(name); bounded {
			use = use.Bounded(bound, dsp.limit(name, bound))
		}
		if !use.Empty() {
			all = append(all, use)
		}
	}
	return all
}

// Owns reports whether the process has partitions, so that it takes part in the census.
func (dsp *Dispatcher[P]) Owns() bool { return len(dsp.parts) > 0 }

// Reported takes in the answer to a report.
func (dsp *Dispatcher[P]) ReportAnswered(sent []quota.Use, ans quota.Answer) {
	dsp.reporter.Answered(sent, ans)
	for _, alm := range ans.Allotments() {
		dsp.sched.SetElsewhere(alm.Team(), alm.Elsewhere())
	}
}

// ReportLost learns that a report was not answered.
func (dsp *Dispatcher[P]) ReportLost() { dsp.reporter.Lost() }

// bound returns what a team that may not borrow may hold in the fleet.
func (dsp *Dispatcher[P]) bound(name fleet.Team) (resource.Vector, bool) {
	sha, found := dsp.share(name)
	if !found || sha.mayBorrow {
		return resource.Vector{}, false
	}
	return sha.of(dsp.sched.FleetCapacity()), true
}

func (dsp *Dispatcher[P]) limit(name fleet.Team, bound resource.Vector) resource.Vector {
	return dsp.reporter.Limit(name, bound, dsp.owners())
}

// mayUse reports whether the team of a task may use more, and records why not.
func (dsp *Dispatcher[P]) mayUse(req place.Task) bool {
	name := req.Team()
	bound, bounded := dsp.bound(name)
	here := dsp.sched.LocalAmountsOf(name)
	if !bounded {
		return true
	}
	limit := dsp.limit(name, bound)
	if here.Plus(req.Declared()).FitsIn(limit) {
		return true
	}
	dsp.sched.Record(explain.New(explain.TeamOverShare, dsp.now, string(req.ID())).With(string(name)).
		Counts(int(thousandths(dsp.sched.UsedBy(name))), int(dsp.thousandthsOf(name))))
	return false
}

// waits notes that a task of a team found no instance. Of several the smallest counts.
func (dsp *Dispatcher[P]) waits(name fleet.Team, need resource.Vector) {
	if old, found := dsp.wants[name]; !found || dsp.now.Sub(old.at) > wantLife || need.FitsIn(old.need) {
		dsp.wants[name] = want{need: need, at: dsp.now}
	}
}

// thousandthsOf returns the share of a team in thousandths.
func (dsp *Dispatcher[P]) thousandthsOf(name fleet.Team) int64 {
	sha, _ := dsp.share(name)
	return int64(sha.part * weightUnit)
}
