package runner

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/worker"
)

// clock relates the agent's clock to that of the worker.
type clock struct {
	incarnation fleet.Incarnation
	reading     worker.Instant // in the last report
	received    time.Time      // when the report arrived
}

// deadline returns an instant that the worker's clock reaches no later than the
// agent's clock reaches a time. The worker read its clock before the report
// arrived and may run slower by the drift bound.
func (clo clock) deadline(end time.Time) worker.Instant {
	left := end.Sub(clo.received)
	return clo.reading.Add(left * (100 - lease.DriftPercent) / 100)
}

// ends returns a time that is no later than the worker's clock reaches an instant.
func (clo clock) ends(deadline worker.Instant) time.Time {
	left := deadline.Sub(clo.reading)
	return clo.received.Add(left * (100 - lease.DriftPercent) / 100)
}
