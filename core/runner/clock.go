package runner

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/worker"
)

// clock converts between the agent's and the worker's clocks, based on the last worker report.
type clock struct {
	incarnation fleet.Incarnation
	workerTime  worker.Instant // in the last report
	receivedAt  time.Time      // when the report arrived
}

// toWorker converts a time of the agent's clock to an instant that the worker's
// clock reaches no later. The worker read its clock before the report arrived,
// and its clock may run slower by up to the drift bound.
func (clo clock) toWorker(end time.Time) worker.Instant {
	left := end.Sub(clo.receivedAt)
	return clo.workerTime.Add(left * (100 - lease.DriftPercent) / 100)
}

// toAgent converts an instant of the worker's clock to a time that the agent's
// clock reaches no later.
func (clo clock) toAgent(deadline worker.Instant) time.Time {
	left := deadline.Sub(clo.workerTime)
	return clo.receivedAt.Add(left * (100 - lease.DriftPercent) / 100)
}
