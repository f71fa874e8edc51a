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

// ID returns the identity of the task.
func (tsk Task) ID() string { return tsk.id }

// Class returns the job class of the task.
func (tsk Task) Class() fleet.JobClass { return tsk.class }

// Size returns the reserved amounts.
func (tsk Task) Size() resource.Vector { return tsk.size }

// Kind is a type of action.
type Kind int

// Kinds of action, in the order in which they are tried.
const (
	Throttle Kind = iota
	Checkpoint
	Evict
)

// Action is to be carried out at the worker.
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

// Guard protects the services of one instance from its tasks. Controller is
// the product's guard; the others are baselines.
type Guard interface {
	// Started and Ended tell which tasks run.
	Started(tsk Task, now time.Time)
	Ended(id string)
	// Resized tells that other amounts are reserved for a task than before.
	Resized(id string, size resource.Vector)
	// Request reports the latency of one request of a service.
	ObserveLatency(svc fleet.Service, latency time.Duration)
	// Usage reports the amounts a task used a while ago.
	ObserveUsage(id string, used resource.Vector, now time.Time)
	// Checkpointed tells that the work of a task up to now is safe.
	Checkpointed(id string, now time.Time)
	// Decide ends a window and returns what to do. It is called at a fixed period.
	Decide(now time.Time) []Action
	// Report returns what was learned since the last report.
	TakeObservations() []Observation
	// Prime passes on what other instances have learned.
	SetPrior(svc fleet.Service, cls fleet.JobClass, est Estimate)
}

// running is a task and what the guard knows of it.
type running struct {
	task       Task
	used       resource.Vector // latest report, the reservation before the first
	started    time.Time
	saved      time.Time // latest checkpoint or start
	percent    int
	raised     time.Time // latest increase of the throttle
	changed    time.Time // latest change of the throttle
	starved    time.Time // since when the throttle is near its limit, zero when it is not
	asked      time.Time // when a checkpoint before eviction was asked for, zero when none
	checkpoint bool      // the checkpoint asked for is confirmed
	probed     bool      // released for a measurement
	quiet      bool      // its class keeps its speed while others can be throttled
}

func newRunning(tsk Task, now time.Time) *running {
	return &running{task: tsk, used: tsk.size, started: now, saved: now}
}

// share returns the part of the processors that the task uses when it is throttled by percent.
func (run *running) share(percent int, capacity resource.Vector) float64 {
	return float64(run.used.MilliCPU()) / float64(max(1, capacity.MilliCPU())) * float64(100-percent) / 100
}
