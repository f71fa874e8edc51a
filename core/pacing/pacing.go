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
	// overLimit is how long a tail may stay over its target before what fills
	// pauses. The pause takes effect within a second, and users bear 4 s.
	overLimit = 2500 * time.Millisecond
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
	over    map[string]time.Time // since when the tail of a serving task is over its target
	until   time.Time            // what fills pauses until then
	pausing bool
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
	if con.excess(smp, now) {
		con.until = now.Add(pauseAfter)
	}
	con.pausing = now.Before(con.until)
}

// excess reports whether a serving task has been over its target for too long.
func (con *Controller) excess(smp Sample, now time.Time) bool {
	over := make(map[string]time.Time)
	long := false
	for _, srv := range smp.Serving {
		if srv.Target <= 0 || srv.Tail <= srv.Target {
			continue
		}
		since, found := con.over[srv.ID]
		if !found {
			since = now
		}
		over[srv.ID] = since
		long = long || now.Sub(since) >= overLimit
	}
	con.over = over
	return long
}
