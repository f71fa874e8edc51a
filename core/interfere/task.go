package interfere

import (
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Task is a batch task on the instance.
type Task struct {
	id    string
	class fleet.JobClass
	size  resource.Vector
}

// NewTask returns a task with its reserved amounts.
func NewTask(id string, cls fleet.JobClass, size resource.Vector) Task {
	return Task{id: id, class: cls, size: size}
}

// ID returns the identifier of the task.
func (tsk Task) ID() string { return tsk.id }

// Class returns the job class of the task.
func (tsk Task) Class() fleet.JobClass { return tsk.class }

// Size returns the reserved amounts.
func (tsk Task) Size() resource.Vector { return tsk.size }

// Kind is a type of action.
type Kind int

// Kinds of action, in the order in which they are used.
const (
	Throttle Kind = iota
	Checkpoint
	Evict
)

// Action is a request to the worker to throttle, checkpoint or evict a task.
type Action struct {
	kind    Kind
	task    string
	percent int
	reason  explain.Reason
}

// Kind returns the type of the action.
func (act Action) Kind() Kind { return act.kind }

// Task returns the task to act on.
func (act Action) Task() string { return act.task }

// Percent returns the share of its processor time that a throttled task loses.
func (act Action) Percent() int { return act.percent }

// Reason explains the action.
func (act Action) Reason() explain.Reason { return act.reason }

// Guard protects the services of one instance from its tasks. Controller is the one in use; the
// others are baselines to compare it with.
type Guard interface {
	// Started records the start of a task.
	Started(tsk Task, now time.Time)
	// Ended records the end of a task.
	Ended(id string)
	// Resized records that the amounts reserved for a task have changed.
	Resized(id string, size resource.Vector)
	// ObserveLatency records the latency of one request to a service.
	ObserveLatency(svc fleet.Service, latency time.Duration)
	// ObserveUsage records the amounts that a task used some seconds ago.
	ObserveUsage(id string, used resource.Vector, now time.Time)
	// Checkpointed records a checkpoint of a task.
	Checkpointed(id string, now time.Time)
	// Decide ends a window of measurement and returns the actions to take. It has to be called
	// periodically.
	Decide(now time.Time) []Action
	// TakeObservations returns what was measured since the last call.
	TakeObservations() []Observation
	// SetPrior sets the cost of a pairing as learned by other instances.
	SetPrior(svc fleet.Service, cls fleet.JobClass, est Estimate)
}

// running is a task with its usage, its throttle and the state of its eviction.
type running struct {
	task                Task
	used                resource.Vector // latest report, the reservation before the first
	started             time.Time
	savedAt             time.Time // latest checkpoint or start
	percent             int
	raisedAt            time.Time // latest increase of the throttle
	changedAt           time.Time // latest change of the throttle
	starvedSince        time.Time // since when the throttle is near its limit, zero when it is not
	checkpointAsked     time.Time // when a checkpoint before eviction was asked for, zero when none
	checkpointConfirmed bool      // the checkpoint asked for is confirmed
	probing             bool      // released for a measurement
	quiet               bool      // its class keeps its speed while others can be throttled
}

func newRunning(tsk Task, now time.Time) *running {
	return &running{task: tsk, used: tsk.size, started: now, savedAt: now}
}

// share returns the part of the processors that the task uses when it is throttled by percent.
func (run *running) share(percent int, capacity resource.Vector) float64 {
	return float64(run.used.MilliCPU()) / float64(max(1, capacity.MilliCPU())) * float64(100-percent) / 100
}
