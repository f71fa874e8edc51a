package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// quietPart is the part of the budget up to which the classes with the lowest costs, taken
	// together at full speed, count as quiet. The rest is left for what the other classes cause at
	// the throttle limit.
	quietPart = 0.75
	// minorPart replaces quietPart for classes whose cost is at most the minorRatio-th part of the
	// highest one. While that class runs, their small costs are the least certain.
	minorPart  = 1.5
	minorRatio = 4
	// escalateTime is how long the disturbing tasks must have been throttled to the limit without
	// effect before quiet ones are throttled too. It covers the averaging of the latency signal at
	// a few dozen requests a second.
	escalateTime = 5 * time.Second
)

// demand is a task with the expected slowdown that it causes.
type demand struct {
	run          *running
	relativeCost float64 // of its class, in budgets
	unthrottled  float64 // part of the budget that the task uses at full speed
	quiet        bool    // not throttled while throttling the others helps
}

// demands returns the tasks in the order in which they are throttled: by descending cost and,
// within a class, the latest start first.
func (con *Controller) demands() []demand {
	dems := make([]demand, 0, len(con.tasks))
	for pos := len(con.tasks) - 1; pos >= 0; pos-- {
		run := con.tasks[pos]
		relativeCost := con.relativeCost(run)
		unthrottled := relativeCost * run.share(0, con.capacity)
		dems = append(dems, demand{run: run, relativeCost: relativeCost, unthrottled: unthrottled})
	}
	slices.SortStableFunc(dems, func(one, two demand) int { return cmp.Compare(two.relativeCost, one.relativeCost) })
	markQuiet(dems)
	return dems
}

// markQuiet marks the tasks of the classes with the lowest costs that fit into quietPart of the
// budget together. The demands must be sorted by descending cost.
func markQuiet(dems []demand) {
	sum, end := 0.0, len(dems)
	for end > 0 {
		begin := end
		for begin > 0 && dems[begin-1].relativeCost == dems[end-1].relativeCost {
			begin--
			sum += dems[begin].unthrottled
		}
		for pos := begin; pos < end; pos++ {
			dems[pos].quiet = sum <= quietPart || sum <= minorPart && dems[pos].relativeCost*minorRatio <= dems[0].relativeCost
			dems[pos].run.quiet = dems[pos].quiet
		}
		end = begin
	}
}

// plan sets the throttle of each task so that the expected slowdown stays
// within the budget.
func (con *Controller) plan(now time.Time) []Action {
	dems := con.demands()
	excess := -con.gain
	for _, dem := range dems {
		excess += dem.unthrottled
	}
	con.updateProbe(dems, now)
	escalated := con.escalated(now)
	var acts []Action
	allLimited, disturbing := len(dems) > 0, 0
	disturbingLimited := true
	for _, dem := range dems {
		percent := 0
		if excess > 0 && dem.unthrottled > negligibleBudgetShare && (!dem.quiet || escalated) {
			percent = min(throttleLimit, int(math.Ceil(excess/dem.unthrottled*100/throttleStep))*throttleStep)
			excess -= dem.unthrottled * float64(percent) / 100
		}
		percent = con.probeThrottle(dem.run, percent)
		if act, changed := con.throttle(dem.run, percent, now); changed {
			acts = append(acts, act)
		}
		allLimited = allLimited && dem.run.percent >= throttleLimit
		if !dem.quiet {
			disturbing++
			disturbingLimited = disturbingLimited && dem.run.percent >= throttleLimit
		}
	}
	con.trackLimited(allLimited, disturbingLimited && (disturbing > 0 || con.overBudget()), now)
	return acts
}

// probeThrottle returns the throttle of a task: the planned one, or a lower one while its class is
// being probed.
func (con *Controller) probeThrottle(run *running, percent int) int {
	if con.probes.active(run.task.class) {
		percent = max(0, min(percent, run.percent)-probeRelief)
		if run.probing {
			percent = run.percent
		}
	}
	run.probing = con.probes.active(run.task.class)
	return percent
}

// escalated reports whether quiet tasks have to be throttled too: a service is too slow although
// the disturbing tasks are throttled to the limit, and that has not helped. Where it has helped,
// the rest of the slowdown is more likely caused by the disturbing tasks as well.
func (con *Controller) escalated(now time.Time) bool {
	if !con.disturbingLimitedFor(escalateTime, now) {
		return false
	}
	disturbed := slices.ContainsFunc(con.tasks, func(run *running) bool { return !run.quiet })
	return slices.ContainsFunc(con.monitors, func(mon *monitor) bool {
		return mon.overBudget() && !(disturbed && mon.relievedByDisturbing())
	})
}

// overBudget reports whether any service is over its budget.
func (con *Controller) overBudget() bool {
	return slices.ContainsFunc(con.monitors, (*monitor).overBudget)
}

// disturbingLimitedFor reports whether all disturbing tasks have been throttled to the limit for a
// period.
func (con *Controller) disturbingLimitedFor(period time.Duration, now time.Time) bool {
	return !con.disturbingLimitedSince.IsZero() && now.Sub(con.disturbingLimitedSince) >= period
}

// trackLimited records since when tasks are throttled to the limit, and the slowdown before that.
func (con *Controller) trackLimited(allLimited, disturbingLimited bool, now time.Time) {
	switch {
	case !allLimited:
		con.allLimitedSince = time.Time{}
	case con.allLimitedSince.IsZero():
		con.allLimitedSince = now
		for _, mon := range con.monitors {
			mon.peakAllLimited = mon.signal.peak
		}
	}
	if !disturbingLimited {
		con.disturbingLimitedSince = time.Time{}
		return
	}
	if con.disturbingLimitedSince.IsZero() {
		con.disturbingLimitedSince = now
		// After a short interruption the earlier peak holds unless the new one is higher, because
		// the slowdown without the throttle had no time to develop.
		recent := now.Sub(con.disturbingLimitedLast) < attributedShiftDelay
		for _, mon := range con.monitors {
			// The average still lags behind when a disturbing task is throttled in its first window.
			if peak := max(mon.signal.peak, mon.signal.current); !recent || peak > mon.peakDisturbingLimited {
				mon.peakDisturbingLimited = peak
			}
		}
	}
	con.disturbingLimitedLast = now
}
