package quota

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Reporter decides when a process reports to the Allocator and what, and keeps the
// limits from the answers. Until it has an answer from a settled allocator, the limit
// of a team is an equal part of its bound. While the allocator is lost, the limits
// stay as they are, because together they are within the bound.
//
// Changes are collected and reported each QuietPeriod. A process reports earlier when
// a team that may not borrow waits or no longer waits, and when it has to confirm a
// lowered limit, since the difference is available to other processes only after
// that. The number of early reports is bounded. The zero value works.
type Reporter struct {
	settled         bool
	known           bool // the allocator has a complete report
	sent            map[fleet.Team]Use
	limits          map[fleet.Team]resource.Vector
	limitLowered    bool      // the last answer lowered a limit
	reportedAt      time.Time // of the last report
	burstRestoredAt time.Time // when UrgentBurst early reports will be available again
}

// Limit returns what a team with a bound may hold through this process. Processes is
// the number of owner processes in the fleet.
func (rpr *Reporter) Limit(name fleet.Team, bound resource.Vector, processes int64) resource.Vector {
	limit, granted := rpr.limits[name]
	if !granted && !rpr.settled {
		limit = bound.DividedBy(processes)
	}
	return limit.Min(bound)
}

// Due reports whether to send a report now. Uses are all uses of this process.
func (rpr *Reporter) Due(uses []Use, now time.Time) bool {
	if !rpr.known || rpr.quietPeriodOver(now) {
		return true
	}
	urgent := rpr.limitLowered || slices.ContainsFunc(uses, func(use Use) bool {
		return use.urgent() || use.bounded() && rpr.sent[use.team].waits()
	})
	return urgent && rpr.burstRestoredAt.Sub(now) <= (UrgentBurst-1)*UrgentSpacing
}

// quietPeriodOver reports whether a report is due although nothing is urgent. The
// tolerance of half a ReportPeriod prevents a timer that fires slightly early from
// delaying the report by a whole one.
func (rpr *Reporter) quietPeriodOver(now time.Time) bool {
	return now.Sub(rpr.reportedAt) >= QuietPeriod-ReportPeriod/2
}

// Report returns the uses to send out of all uses of this process, and whether they
// are complete. A report that is not complete leaves out changes up to the granularity
// and has at most ChangeLimit teams: those that wait for their share first, then those
// that were reported longest ago.
func (rpr *Reporter) Report(uses []Use, granularity resource.Vector, now time.Time) (complete bool, changed []Use) {
	complete = !rpr.known
	if complete {
		rpr.sent = make(map[fleet.Team]Use)
	} else if !rpr.quietPeriodOver(now) {
		if rpr.burstRestoredAt.Before(now) {
			rpr.burstRestoredAt = now
		}
		rpr.burstRestoredAt = rpr.burstRestoredAt.Add(UrgentSpacing)
	}
	rpr.reportedAt, rpr.limitLowered = now, false
	present := make(map[fleet.Team]bool, len(uses))
	for _, use := range uses {
		present[use.team] = true
		old, sent := rpr.sent[use.team]
		if sent && old.unchanged(use, granularity) {
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
			return compareUrgency(one.urgent(), two.urgent(), rpr.sent[one.team].reportedAt, rpr.sent[two.team].reportedAt)
		})
		changed = changed[:ChangeLimit]
	}
	for pos := range changed {
		changed[pos].reportedAt = now
	}
	return complete, changed
}

// Lost records that a report was not answered. The next report is complete.
func (rpr *Reporter) Lost() { rpr.known = false }

// Leave discards the limits when the process has lost its last partition. If the
// process had an answer from a settled allocator, teams with a bound may then hold
// nothing through it until the allocator answers again.
func (rpr *Reporter) Leave() { *rpr = Reporter{settled: rpr.settled} }

// Answered applies the answer to a report. It ignores an answer that arrives after
// Leave, which does not cover what the process has held since.
func (rpr *Reporter) Answered(sent []Use, ans Answer) {
	if rpr.sent == nil {
		return
	}
	rpr.known = ans.known
	if !ans.known {
		return
	}
	for _, use := range sent {
		use.boundsKnown = false
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
			rpr.limitLowered = rpr.limitLowered || !use.limit.FitsIn(alm.limit)
			rpr.limits[alm.team] = alm.limit
			use.limit = alm.limit
			rpr.sent[alm.team] = use
		}
	}
}
