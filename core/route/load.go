package route

import (
	"sync/atomic"
	"time"
)

// Ejection of endpoints that fail.
const (
	// ejectAfter is the number of consecutive failures that ejects an endpoint.
	ejectAfter = 5
	// ejectBase is the first ejection; each further one without a success doubles it.
	ejectBase = time.Second
	// ejectMax bounds the ejection, so that a repaired endpoint returns by itself.
	ejectMax = 30 * time.Second
	// fullFor is how long an endpoint that refused for lack of room is passed over.
	fullFor = 50 * time.Millisecond
	// awayFor is how long an endpoint that takes no requests at present is passed
	// over. Membership and configuration, which are slower, then take it out.
	awayFor = 500 * time.Millisecond
	// smoothing is the weight of history in the moving average of latency: one part in eight is new.
	smoothing = 8
)

// Load is what this process has measured of one endpoint. Its fields are
// atomic: traffic goroutines update it while others choose by it. It outlives
// the routing sets that refer to it. The zero value is an unmeasured endpoint.
type Load struct {
	outstanding   atomic.Int64
	latencyMicros atomic.Int64
	failures      atomic.Int64
	ejections     atomic.Int64
	ejectedUntil  atomic.Int64
	fullUntil     atomic.Int64
}

// Outstanding returns the number of requests in flight from this process.
func (loa *Load) Outstanding() int64 { return loa.outstanding.Load() }

// Latency returns the moving average of answered requests.
func (loa *Load) Latency() time.Duration {
	return time.Duration(loa.latencyMicros.Load()) * time.Microsecond
}

// Begin counts a request in flight.
func (loa *Load) Begin() { loa.outstanding.Add(1) }

// End removes a request from those in flight.
func (loa *Load) End() { loa.outstanding.Add(-1) }

// Succeed records an answer and ends a run of failures.
func (loa *Load) RecordSuccess(took time.Duration) {
	loa.failures.Store(0)
	loa.ejections.Store(0)
	old := loa.latencyMicros.Load()
	if old == 0 {
		loa.latencyMicros.Store(max(1, took.Microseconds()))
		return
	}
	loa.latencyMicros.Store(max(1, old+(took.Microseconds()-old)/smoothing))
}

// Fail records an attempt without an answer and ejects the endpoint after
// ejectAfter of them in a row. A returned endpoint is ejected again by its first failure.
func (loa *Load) RecordFailure(now time.Time) {
	if loa.failures.Add(1) < ejectAfter {
		return
	}
	loa.failures.Store(ejectAfter - 1)
	times := loa.ejections.Add(1)
	pause := min(ejectMax, ejectBase<<min(times-1, 10))
	loa.ejectedUntil.Store(now.Add(pause).UnixNano())
}

// Refuse records that the endpoint had no room.
func (loa *Load) RecordFull(now time.Time) { loa.fullUntil.Store(now.Add(fullFor).UnixNano()) }

// Away records that the endpoint takes no requests at present.
func (loa *Load) RecordUnavailable(now time.Time) { loa.fullUntil.Store(now.Add(awayFor).UnixNano()) }

// Ejected reports whether the endpoint gets no requests at present.
func (loa *Load) Ejected(now time.Time) bool { return now.UnixNano() < loa.ejectedUntil.Load() }

// Full reports whether the endpoint refused a moment ago.
func (loa *Load) Avoided(now time.Time) bool { return now.UnixNano() < loa.fullUntil.Load() }

// cost estimates the wait at the endpoint: requests in flight times their usual latency.
func (loa *Load) cost() int64 {
	return (loa.outstanding.Load() + 1) * max(1, loa.latencyMicros.Load())
}
