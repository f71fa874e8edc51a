// Package pacing decides how fast filling tasks may work beside tasks that serve.
//
// A serving task has a target for its tail latency. Filling tasks on the same
// worker disturb it by amounts that depend on the pair of images and change within
// seconds, and the measured tail lags by half a second. A Controller therefore
// works by feedback: it cuts the share of all filling tasks by a factor when a
// target is in danger and gives it back in small steps when there is room.
// It answers waves of noisy tasks beside services with a swinging load.
//
// A Controller must be used from one goroutine at a time; the zero value works.
package pacing

import "time"

// Limits of the feedback.
const (
	dangerRatio  = 0.9 // of the tail to the target, from which the share is cut
	severeRatio  = 1.3 // from which the share is cut at once to a quarter
	calmRatio    = 0.7 // below which the share is raised
	cutFactor    = 0.55
	severeFactor = 0.25
	raiseStep    = 12.0 // percent
	lowestShare  = 8.0  // a smaller share becomes a pause
	fullShare    = 100.0
	// reactionTime is how long a change takes to show: the pace takes effect after
	// about 100 ms and the measure covers half a second.
	reactionTime = 550 * time.Millisecond
)

// Serving is the measure of one serving task.
type Serving struct {
	Tail   time.Duration
	Target time.Duration
}

// Controller holds the share of the filling tasks of one worker.
type Controller struct {
	cut     float64 // percent taken away
	changed time.Time
}

// Share returns the percentage at which filling tasks may work.
func (con *Controller) Share() int { return int(fullShare - con.cut) }

// Observe updates the share from the measures of all serving tasks.
func (con *Controller) Observe(srvs []Serving, now time.Time) int {
	if len(srvs) == 0 {
		con.cut = 0
		return con.Share()
	}
	if now.Sub(con.changed) < reactionTime {
		return con.Share()
	}
	share := fullShare - con.cut
	switch worst := worstRatio(srvs); {
	case worst >= severeRatio:
		share *= severeFactor
	case worst >= dangerRatio:
		share *= cutFactor
	case worst < calmRatio:
		share += raiseStep
	}
	if share < lowestShare && share < fullShare-con.cut {
		share = 0
	}
	share = min(fullShare, share)
	if share != fullShare-con.cut {
		con.cut = fullShare - share
		con.changed = now
	}
	return con.Share()
}

func worstRatio(srvs []Serving) float64 {
	worst := 0.0
	for _, srv := range srvs {
		if srv.Target > 0 {
			worst = max(worst, float64(srv.Tail)/float64(srv.Target))
		}
	}
	return worst
}
