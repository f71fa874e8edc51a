package quota

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Reporter is the side of a process in the census: it finds what has to be
// reported and keeps the allotments. Until it has heard from a settled census,
// the limit of a team is an equal part of its bound; while the census is lost,
// the limits stay as they are, because together they are within the bound.
//
// Changes are merged and told each QuietPeriod. A process reports earlier when a
// team that may not borrow waits or no longer waits, and when it has to confirm a
// lower limit, which is free for others only then; the number of such reports is
// bounded. The zero value works.
type Reporter struct {
	settled bool
	known   bool // the census has a complete report
	sent    map[fleet.Team]Use
	limits  map[fleet.Team]resource.Vector
	lowered bool      // the last answer lowered a limit
	at      time.Time // of the last report
	spent   time.Time // when all reports before their quiet time will have come back
}

// Limit returns what a team with a bound may hold through this process, one of a number of processes.
func (rpr *Reporter) Limit(name fleet.Team, bound resource.Vector, processes int64) resource.Vector {
	limit, granted := rpr.limits[name]
	if !granted && !rpr.settled {
		limit = bound.Over(processes)
	}
	return limit.Min(bound)
}

// Due reports whether a report has to be sent now, given all uses of this process.
func (rpr *Reporter) Due(uses []Use, now time.Time) bool {
	if !rpr.known || rpr.quiet(now) {
		return true
	}
	urgent := rpr.lowered || slices.ContainsFunc(uses, func(use Use) bool {
		return use.urgent() || use.bounded() && rpr.sent[use.team].waits()
	})
	return urgent && rpr.spent.Sub(now) <= (UrgentBurst-1)*UrgentSpacing
}

// quiet reports whether a report is due without any reason. The tolerance of half
// a period keeps a timer that is a little early from delaying it by a whole one.
func (rpr *Reporter) quiet(now time.Time) bool {
	return now.Sub(rpr.at) >= QuietPeriod-ReportPeriod/2
}

// Report returns what has to be sent, given all uses of this process, and
// whether it is complete. Changes below the granularity are left out. One that is
// not complete has at most ChangeLimit teams: those that wait for their share,
// then those that were reported longest ago.
func (rpr *Reporter) Report(uses []Use, granularity resource.Vector, now time.Time) (complete bool, changed []Use) {
	complete = !rpr.known
	if complete {
		rpr.sent = make(map[fleet.Team]Use)
	} else if !rpr.quiet(now) {
		if rpr.spent.Before(now) {
			rpr.spent = now
		}
		rpr.spent = rpr.spent.Add(UrgentSpacing)
	}
	rpr.at, rpr.lowered = now, false
	present := make(map[fleet.Team]bool, len(uses))
	for _, use := range uses {
		present[use.team] = true
		old, sent := rpr.sent[use.team]
		if sent && old.similar(use, granularity) {
			continue
		}
		if use.bounded() && !old.Empty() && use.bound == old.bound && use.limit == old.limit {
			use = use.WithBoundsKnown()
		}
		changed = append(changed, use)
	}
	for _, name := range sortedTeams(rpr.sent) {
		if !present[name] {
			changed = append(changed, Use{team: name})
		}
	}
	if !complete && len(changed) > ChangeLimit {
		slices.SortStableFunc(changed, func(one, two Use) int {
			return byUrgency(one.urgent(), two.urgent(), rpr.sent[one.team].at, rpr.sent[two.team].at)
		})
		changed = changed[:ChangeLimit]
	}
	for pos := range changed {
		changed[pos].at = now
	}
	return complete, changed
}

// Lost learns that a report was not answered. The next one is complete.
func (rpr *Reporter) Lost() { rpr.known = false }

// Leave ends the part of this process in the census. When it returns, no team
// may hold anything before the census has answered.
func (rpr *Reporter) Leave() { *rpr = Reporter{settled: rpr.settled} }

// Answered takes in the answer to a report. One that comes after Leave says
// nothing about what the process holds since.
func (rpr *Reporter) Answered(sent []Use, ans Answer) {
	if rpr.sent == nil {
		return
	}
	rpr.known = ans.known
	if !ans.known {
		return
	}
	for _, use := range sent {
		use.kept = false
		rpr.sent[use.team] = use
		if use.Empty() {
			delete(rpr.sent, use.team)
			delete(rpr.limits, use.team)
		}
	}
	rpr.settled = rpr.settled || ans.settled
	if rpr.limits == nil {
		rpr.limits = make(map[fleet.Team]resource.Vector)
	}
	for _, alm := range ans.allotments {
		use, known := rpr.sent[alm.team]
		if known && use.bounded() {
			rpr.lowered = rpr.lowered || !use.limit.FitsIn(alm.limit)
			rpr.limits[alm.team] = alm.limit
			use.limit = alm.limit
			rpr.sent[alm.team] = use
		}
	}
}
