// Package pacing decides when filling tasks pause beside tasks that serve.
//
// A serving task has a target for its tail latency. Filling tasks on the same
// worker disturb it by amounts that depend on the pair of images: most pairs hardly
// matter, a few lengthen the tail twentyfold. The load of the serving task itself
// swings too, and all measures lag by half a second.
//
// A tail is either within its target or not, so a filling task that works at half
// its speed beside a tail that stays over the target costs the serving task twice
// the time and gains nothing. A Controller therefore knows two states: everything
// that fills works at full speed, or pauses because a tail has been over its target
// for nearly as long as users bear. A Model learns the effect of each pair, so that
// placement can choose where filling tasks disturb least.
//
// The types must be used from one goroutine at a time; their zero values work.
package pacing

import "time"

// Limits of the control.
const (
	// defaultPatience is what users bear where a deployment does not say it.
	defaultPatience = 4 * time.Second
	// reaction is the part of the patience that is left for the measures and for the
	// pause: up to 0.9 s until an excess is measured, up to 0.7 s until a pause works,
	// and a margin.
	reaction = 1800 * time.Millisecond
	// Measures are rough, so an excess ends with a tail well within its target, or with
	// calmSamples in a row within it.
	calmPart    = 0.8 // of the target
	calmSamples = 2
	// pauseAfter is how long a pause goes on after the last excess: less than the
	// time between two samples, so that it ends with the first sample without one.
	pauseAfter = 200 * time.Millisecond
)

// Percentages of its speed at which a filling task works.
const (
	FullShare   = 100
	PausedShare = 0
)

// Controller decides for the filling tasks of one worker.
type Controller struct {
	limit   time.Duration     // of an excess, until what fills pauses; zero is the default
	over    map[string]excess // of serving tasks, by the task
	until   time.Time         // what fills pauses until then
	pausing bool
}

// excess is a time in which the tail of a serving task is over its target.
type excess struct {
	since  time.Time
	within int // samples in a row within the target
}

// New returns a controller for users who bear a tail over its target for a time. Zero
// means the default; a time that is too short for a reaction means pauses at once.
func New(patience time.Duration) Controller {
	if patience == 0 {
		return Controller{}
	}
	return Controller{limit: max(time.Nanosecond, patience-reaction)}
}

// Share returns the percentage at which filling tasks may work.
func (con *Controller) Share() int {
	if con.pausing {
		return PausedShare
	}
	return FullShare
}

// Observe updates the share from a sample.
func (con *Controller) Observe(smp Sample, now time.Time) {
	if con.over = follow(con.over, smp, now); exceeded(con.over, con.overLimit(), now) {
		con.until = now.Add(pauseAfter)
	}
	con.pausing = now.Before(con.until)
}

func (con *Controller) overLimit() time.Duration {
	if con.limit == 0 {
		return defaultPatience - reaction
	}
	return con.limit
}

// Advance begins a pause when an excess has lasted too long by the given time, without
// a new sample: the next one may come too late. It reports whether a pause began.
func (con *Controller) Advance(now time.Time) bool {
	if con.pausing || !exceeded(con.over, con.overLimit(), now) {
		return false
	}
	con.until, con.pausing = now.Add(pauseAfter), true
	return true
}

// follow returns the excesses after one more sample.
func follow(old map[string]excess, smp Sample, now time.Time) map[string]excess {
	out := make(map[string]excess, len(old))
	for _, srv := range smp.Serving {
		exc, found := old[srv.ID]
		switch {
		case srv.TargetMillis <= 0:
			continue
		case srv.TailMillis > srv.TargetMillis:
			exc.within = 0
			if !found {
				exc.since = now
			}
		default:
			exc.within++
			if !found || exc.within >= calmSamples || srv.TailMillis <= calmPart*srv.TargetMillis {
				continue
			}
		}
		out[srv.ID] = exc
	}
	return out
}

// exceeded reports whether an excess has lasted too long.
func exceeded(over map[string]excess, limit time.Duration, now time.Time) bool {
	for _, exc := range over {
		if now.Sub(exc.since) >= limit {
			return true
		}
	}
	return false
}
