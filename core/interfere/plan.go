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
	run   *running
	harm  float64
	full  float64 // part of the budget that the task uses at full speed
	quiet bool
}

// demands returns the tasks in the order in which they are throttled: the most
// harmful class first and, within a class, the latest start first.
func (con *Controller) demands() []demand {
	dems := make([]demand, 0, len(con.tasks))
	for pos := len(con.tasks) - 1; pos >= 0; pos-- {
		run := con.tasks[pos]
		harm := con.harm(run)
		full := harm * run.share(0, con.capacity)
		dems = append(dems, demand{run: run, harm: harm, full: full})
	}
	slices.SortStableFunc(dems, func(one, two demand) int { return cmp.Compare(two.harm, one.harm) })
	markQuiet(dems)
	return dems
}

// markQuiet marks the tasks of the least harmful classes that fit into
// quietPart of the budget together. The demands are in the order of demands.
func markQuiet(dems []demand) {
	sum, end := 0.0, len(dems)
	for end > 0 {
		begin := end
		for begin > 0 && dems[begin-1].harm == dems[end-1].harm {
			begin--
			sum += dems[begin].full
		}
		for pos := begin; pos < end; pos++ {
			dems[pos].quiet = sum <= quietPart || sum <= minorPart && dems[pos].harm*minorRatio <= dems[0].harm
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
		excess += dem.full
	}
	con.probe(dems, now)
	escalated := con.escalated(now)
	var acts []Action
	limited, disturbing := len(dems) > 0, 0
	cornered := true
	for _, dem := range dems {
		percent := 0
		if excess > 0 && dem.full > negligibleHarm && (!dem.quiet || escalated) {
			percent = min(throttleLimit, int(math.Ceil(excess/dem.full*100/throttleStep))*throttleStep)
			excess -= dem.full * float64(percent) / 100
		}
		percent = con.probed(dem.run, percent)
		if act, changed := con.throttle(dem.run, percent, now); changed {
			acts = append(acts, act)
		}
		limited = limited && dem.run.percent >= throttleLimit
		if !dem.quiet {
			disturbing++
			cornered = cornered && dem.run.percent >= throttleLimit
		}
	}
	con.noteSaturation(limited, cornered && (disturbing > 0 || con.alarmed()), now)
	return acts
}

// probed returns the throttle of a task while its class may be released for a measurement.
func (con *Controller) probed(run *running, percent int) int {
	if con.probes.active(run.task.class) {
		percent = max(0, min(percent, run.percent)-probeRelief)
		if run.probed {
			percent = run.percent
		}
	}
	run.probed = con.probes.active(run.task.class)
	return percent
}

// escalated reports whether quiet tasks have to be throttled too: a service is
// too slow although the disturbing tasks are at the limit, and throttling those
// has not helped. Where it has, the rest is more likely theirs as well.
func (con *Controller) escalated(now time.Time) bool {
	if !con.corneredFor(escalateTime, now) {
		return false
	}
	disturbed := slices.ContainsFunc(con.tasks, func(run *running) bool { return !run.quiet })
	return slices.ContainsFunc(con.monitors, func(mon *monitor) bool {
		return mon.alarmed() && !(disturbed && mon.relieved())
	})
}

// alarmed reports whether any service is too slow beyond doubt.
func (con *Controller) alarmed() bool { return slices.ContainsFunc(con.monitors, (*monitor).alarmed) }

// corneredFor reports whether all disturbing tasks have been at the throttle limit for a period.
func (con *Controller) corneredFor(period time.Duration, now time.Time) bool {
	return !con.cornered.IsZero() && now.Sub(con.cornered) >= period
}

func (con *Controller) noteSaturation(limited, cornered bool, now time.Time) {
	switch {
	case !limited:
		con.saturated = time.Time{}
	case con.saturated.IsZero():
		con.saturated = now
		for _, mon := range con.monitors {
			mon.before = mon.signal.peak
		}
	}
	if !cornered {
		con.cornered = time.Time{}
		return
	}
	if con.cornered.IsZero() {
		con.cornered = now
		// Tasks that leave the limit for a moment have not shown what the slowdown is without them.
		recent := now.Sub(con.held) < shiftTime
		for _, mon := range con.monitors {
			// The average still lags behind when a noisy task is throttled in its first window.
			if peak := max(mon.signal.peak, mon.signal.current); !recent || peak > mon.disturbed {
				mon.disturbed = peak
			}
		}
	}
	con.held = now
}
