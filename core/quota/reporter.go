package quota

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Reporter is the side of a process in the census: it finds what has to be
// reported and keeps the allotments. Until it has heard from a settled census,
// the limit of a team is an equal part of its bound; while the census is lost,
// the limits stay as they are, because together they are within the bound. The
// zero value works.
type Reporter struct {
	settled bool
	known   bool // the census has a complete report
	sent    map[fleet.Team]Use
	limits  map[fleet.Team]resource.Vector
}

// Limit returns what a team with a bound may hold through this process, one of a number of processes.
func (rpr *Reporter) Limit(name fleet.Team, bound resource.Vector, processes int64) resource.Vector {
	limit, granted := rpr.limits[name]
	if !granted && !rpr.settled {
		limit = bound.Over(processes)
	}
	return limit.Min(bound)
}

// Report returns what has to be sent, given all uses of this process, and
// whether it is complete. Changes below the granularity are left out.
func (rpr *Reporter) Report(uses []Use, granularity resource.Vector) (complete bool, changed []Use) {
	complete = !rpr.known
	if complete {
		rpr.sent = make(map[fleet.Team]Use)
	}
	present := make(map[fleet.Team]bool, len(uses))
	for _, use := range uses {
		present[use.team] = true
		old, sent := rpr.sent[use.team]
		if !sent || !old.similar(use, granularity) {
			changed = append(changed, use)
		}
	}
	for _, name := range sortedTeams(rpr.sent) {
		if !present[name] {
			changed = append(changed, Use{team: name})
		}
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
		if known && use.bound != (resource.Vector{}) {
			rpr.limits[alm.team] = alm.limit
			use.limit = alm.limit
			rpr.sent[alm.team] = use
		}
	}
}
