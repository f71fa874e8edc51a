package route

import (
	"sync/atomic"
	"time"
)

// Periods and limits for avoiding endpoints that fail or refuse requests.
const (
	// ejectAfter is the number of consecutive failures after which an endpoint is ejected.
	ejectAfter = 5
	// ejectBase is the duration of the first ejection. Each further ejection without a success in
	// between lasts twice as long.
	ejectBase = time.Second
	// ejectMax limits the duration of an ejection, so that a repaired endpoint is used again.
	ejectMax = 30 * time.Second
	// fullPeriod is how long an endpoint that refused a request for lack of room is avoided.
	fullPeriod = 50 * time.Millisecond
	// unavailablePeriod is how long an endpoint that takes no requests at present is avoided.
	// Membership and configuration, which are slower, remove it from the routing set afterwards.
	unavailablePeriod = 500 * time.Millisecond
	// smoothing determines the moving average of latency: a new measurement has a weight of one
	// eighth.
	smoothing = 8
)

// Load holds what this process has measured of one endpoint. The goroutines that send requests
// update it while others choose an endpoint by it, so its fields are atomic. It is kept when the
// routing sets that refer to it are replaced. The zero value is an endpoint without measurements.
type Load struct {
	outstanding   atomic.Int64
	latencyMicros atomic.Int64
	failures      atomic.Int64
	ejections     atomic.Int64
	ejectedUntil  atomic.Int64
	avoidedUntil  atomic.Int64
}

// Outstanding returns the number of requests in flight from this process.
func (loa *Load) Outstanding() int64 { return loa.outstanding.Load() }

// Latency returns the moving average of the latency of answered requests, zero if there were none.
func (loa *Load) Latency() time.Duration {
	return time.Duration(loa.latencyMicros.Load()) * time.Microsecond
}

// Begin adds a request to those in flight.
func (loa *Load) Begin() { loa.outstanding.Add(1) }

// End removes a request from those in flight.
func (loa *Load) End() { loa.outstanding.Add(-1) }

// RecordSuccess records an answer and resets the consecutive failures and ejections.
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

// RecordFailure records an attempt without an answer and ejects the endpoint after ejectAfter
// consecutive ones. After an ejection, the next failure ejects the endpoint again.
func (loa *Load) RecordFailure(now time.Time) {
	if loa.failures.Add(1) < ejectAfter {
		return
	}
	loa.failures.Store(ejectAfter - 1)
	times := loa.ejections.Add(1)
	ejection := min(ejectMax, ejectBase<<min(times-1, 10))
	loa.ejectedUntil.Store(now.Add(ejection).UnixNano())
}

// RecordFull records that the endpoint refused a request for lack of room.
func (loa *Load) RecordFull(now time.Time) { loa.avoidedUntil.Store(now.Add(fullPeriod).UnixNano()) }

// RecordUnavailable records that the endpoint takes no requests at present.
func (loa *Load) RecordUnavailable(now time.Time) {
	loa.avoidedUntil.Store(now.Add(unavailablePeriod).UnixNano())
}

// Ejected reports whether the endpoint is ejected because of failures.
func (loa *Load) Ejected(now time.Time) bool { return now.UnixNano() < loa.ejectedUntil.Load() }

// Avoided reports whether the endpoint was full or unavailable a moment ago, so that others are
// preferred.
func (loa *Load) Avoided(now time.Time) bool { return now.UnixNano() < loa.avoidedUntil.Load() }

// expectedWait estimates the wait at the endpoint in microseconds: the requests in flight,
// including the next one, times the average latency.
func (loa *Load) expectedWait() int64 {
	return (loa.outstanding.Load() + 1) * max(1, loa.latencyMicros.Load())
}
