// Package pacing protects the tail latency of serving tasks from best-effort tasks on the same
// worker.
//
// Best-effort tasks are batch tasks that use spare capacity.
// They slow a serving task down by an amount that depends on the two images: most pairs hardly
// interfere, a few raise the tail latency twentyfold. The load of the serving task itself varies too,
// and all measurements lag by half a second.
//
// A tail latency either meets its target or not. Running a best-effort task at half speed while the
// target is still violated makes the violation last twice as long for the same work. A Controller
// therefore either runs all best-effort tasks of a worker at full speed or pauses all of them, when a
// target has been violated for nearly as long as tolerated. A Model learns the interference of each
// pair of images, so that the scheduler can place best-effort tasks where they interfere least.
//
// The types must be used from one goroutine at a time. Their zero values are ready to use.
package pacing

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the controller.
const (
	// defaultMaxViolation applies if the deployment does not set a tolerated time.
	defaultMaxViolation = 4 * time.Second
	// reactionTime is reserved for measurement and pause: up to 0.9 s until a violation is measured,
	// up to 0.7 s until a pause takes effect, and a margin.
	reactionTime = 1800 * time.Millisecond
	// Measurements are noisy, so a violation ends with a tail latency of at most recoveredFraction of
	// its target, or with recoveredSamples consecutive samples within the target.
	recoveredFraction = 0.8
	recoveredSamples  = 2
	// pauseDuration is the time for which a pause continues after the last sample with an overdue
	// violation. It is shorter than the time between two samples, so that a pause ends with the first
	// sample without one.
	pauseDuration = 200 * time.Millisecond
)

// The shares of a best-effort task, in percent of its full speed.
const (
	FullShare   = 100
	PausedShare = 0
)

// Controller decides whether the best-effort tasks of one worker run or pause.
type Controller struct {
	pauseAfter  time.Duration        // until a violation leads to a pause; zero selects the default
	violations  map[string]violation // by serving task
	pausedUntil time.Time
	pausing     bool
}

// violation is a period in which the tail latency of a serving task is over its target.
type violation struct {
	task          ServingTask
	since         time.Time
	withinSamples int // consecutive samples within the target
}

// New returns a controller that keeps violations of latency targets shorter than maxViolation. Zero
// selects the default of 4 s. If maxViolation is too short to react in, best-effort tasks pause at
// the first sample over a target.
func New(maxViolation time.Duration) Controller {
	if maxViolation == 0 {
		return Controller{}
	}
	return Controller{pauseAfter: max(time.Nanosecond, maxViolation-reactionTime)}
}

// Share returns the share of all best-effort tasks: FullShare or PausedShare.
func (con *Controller) Share() int {
	if con.pausing {
		return PausedShare
	}
	return FullShare
}

// Change reports that a violation of the target of a serving task began, or that it ended or the task
// is gone.
type Change struct {
	Task  ServingTask
	Began bool
}

// Observe updates the share from a sample and returns the violations that began or ended with it,
// ordered by task.
func (con *Controller) Observe(smp Sample, now time.Time) []Change {
	old := con.violations
	if con.violations = updateViolations(old, smp, now); anyLongerThan(con.violations, con.violationLimit(), now) {
		con.pausedUntil = now.Add(pauseDuration)
	}
	con.pausing = now.Before(con.pausedUntil)
	return changes(old, con.violations)
}

func changes(old, current map[string]violation) []Change {
	var out []Change
	for id, vio := range old {
		if _, found := current[id]; !found {
			out = append(out, Change{Task: vio.task})
		}
	}
	for id, vio := range current {
		if _, found := old[id]; !found {
			out = append(out, Change{Task: vio.task, Began: true})
		}
	}
	slices.SortFunc(out, func(fst, snd Change) int { return cmp.Compare(fst.Task.ID, snd.Task.ID) })
	return out
}

func (con *Controller) violationLimit() time.Duration {
	if con.pauseAfter == 0 {
		return defaultMaxViolation - reactionTime
	}
	return con.pauseAfter
}

// Advance begins a pause if a violation has become overdue by now. It needs no new sample, because
// the next one may arrive too late. It reports whether a pause began.
func (con *Controller) Advance(now time.Time) bool {
	if con.pausing || !anyLongerThan(con.violations, con.violationLimit(), now) {
		return false
	}
	con.pausedUntil, con.pausing = now.Add(pauseDuration), true
	return true
}

// updateViolations returns the violations that continue or begin with a sample.
func updateViolations(old map[string]violation, smp Sample, now time.Time) map[string]violation {
	out := make(map[string]violation, len(old))
	for _, srv := range smp.Serving {
		vio, found := old[srv.ID]
		switch {
		case srv.TargetMillis <= 0:
			continue
		case srv.TailMillis > srv.TargetMillis:
			vio.withinSamples = 0
			if !found {
				vio.since = now
			}
		default:
			vio.withinSamples++
			if !found || vio.withinSamples >= recoveredSamples || srv.TailMillis <= recoveredFraction*srv.TargetMillis {
				continue
			}
		}
		vio.task = srv
		out[srv.ID] = vio
	}
	return out
}

// anyLongerThan reports whether a violation has lasted for at least limit.
func anyLongerThan(violations map[string]violation, limit time.Duration, now time.Time) bool {
	for _, vio := range violations {
		if now.Sub(vio.since) >= limit {
			return true
		}
	}
	return false
}
