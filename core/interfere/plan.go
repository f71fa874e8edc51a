package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// quietPart is the part of the budget that the least harmful classes may use
	// up together, at full speed, and count as quiet. The rest is left for what
	// the others cause at the throttle limit.
	quietPart = 0.75
	// minorPart is the same for classes that are harmful at most one minorRatio-th
	// as much as the worst one: their small costs are the least certain while it runs.
	minorPart  = 1.5
	minorRatio = 4
	// escalateTime is how long the disturbing tasks must be at the limit, while
	// that does not help, before quiet ones are throttled too. It covers the
	// average of the latency signal at a few dozen requests a second.
	escalateTime = 5 * time.Second
)

// demand is a task with the harm of its class.
type demand struct {
	run          *running
	relativeCost float64
	unthrottled  float64 // part of the budget that the task uses at full speed
	quiet        bool
}

// demands returns the tasks in the order in which they are throttled: the most
// harmful class first and, within a class, the latest start first.
func (con *Controller) demands() []demand {
	dems := make([]demand, 0, len(con.tasks))
	for pos := len(con.tasks) - 1; pos >= 0; pos-- {
		run := con.tasks[pos]
		harm := con.relativeCost(run)
		full := harm * run.share(0, con.capacity)
		dems = append(dems, demand{run: run, relativeCost: harm, unthrottled: full})
	}
	slices.SortStableFunc(dems, func(one, two demand) int { return cmp.Compare(two.relativeCost, one.relativeCost) })
	markQuiet(dems)
	return dems
}

// markQuiet marks the tasks of the least harmful classes that fit into
// quietPart of the budget together. The demands are in the order of demands.
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

// probed returns the throttle of a task while its class may be released for a measurement.
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

// escalated reports whether quiet tasks have to be throttled too: a service is
// too slow although the disturbing tasks are at the limit, and throttling those
// has not helped. Where it has, the rest is more likely theirs as well.
func (con *Controller) escalated(now time.Time) bool {
	if !con.disturbingLimitedFor(escalateTime, now) {
		return false
	}
	disturbed := slices.ContainsFunc(con.tasks, func(run *running) bool { return !run.quiet })
	return slices.ContainsFunc(con.monitors, func(mon *monitor) bool {
		return mon.overBudget() && !(disturbed && mon.relievedByDisturbing())
	})
}

// alarmed reports whether any service is too slow beyond doubt.
func (con *Controller) overBudget() bool {
	return slices.ContainsFunc(con.monitors, (*monitor).overBudget)
}

// corneredFor reports whether all disturbing tasks have been at the throttle limit for a period.
func (con *Controller) disturbingLimitedFor(period time.Duration, now time.Time) bool {
	return !con.disturbingLimitedSince.IsZero() && now.Sub(con.disturbingLimitedSince) >= period
}

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
		// Tasks that leave the limit for a moment have not shown what the slowdown is without them.
		recent := now.Sub(con.disturbingLimitedLast) < attributedShiftDelay
		for _, mon := range con.monitors {
			// The average still lags behind when a noisy task is throttled in its first window.
			if peak := max(mon.signal.peak, mon.signal.current); !recent || peak > mon.peakDisturbingLimited {
				mon.peakDisturbingLimited = peak
			}
		}
	}
	con.disturbingLimitedLast = now
}
