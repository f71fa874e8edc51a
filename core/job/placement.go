package job

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Health is what membership knows about an instance.
type Health int

// Health of instances.
const (
	Alive Health = iota
	Suspect
	Leaving
)

// Instance is a hint about an instance that may run tasks.
type Instance struct {
	holder   fleet.Process
	location fleet.Location
	service  fleet.Service
	capacity resource.Vector
	health   Health
}

// NewInstance returns a hint.
func NewInstance(hol fleet.Process, loc fleet.Location, capacity resource.Vector, hlt Health) Instance {
	return Instance{holder: hol, location: loc, capacity: capacity, health: hlt}
}

// WithService returns the hint with the service of the endpoint on the instance.
func (ins Instance) WithService(srv fleet.Service) Instance {
	ins.service = srv
	return ins
}

// Holder returns the instance and its incarnation.
func (ins Instance) Holder() fleet.Process { return ins.holder }

// ID returns the instance.
func (ins Instance) ID() fleet.InstanceID { return ins.holder.Instance() }

// Location returns where the instance is.
func (ins Instance) Location() fleet.Location { return ins.location }

// Service returns the service of the endpoint on the instance.
func (ins Instance) Service() fleet.Service { return ins.service }

// Capacity returns the total resources for tasks.
func (ins Instance) Capacity() resource.Vector { return ins.capacity }

// Health returns what membership knows.
func (ins Instance) Health() Health { return ins.health }

// Task is what a placement and an agent need to know about a task.
type Task struct {
	ref        Ref
	spec       Spec
	counters   Counters
	checkpoint string
	last       fleet.InstanceID
}

// Ref returns the task, with the token of the offer if there is one.
func (tsk Task) Ref() Ref { return tsk.ref }

// Spec returns the job of the task.
func (tsk Task) Spec() Spec { return tsk.spec }

// Counters returns the attempts, evictions and failures so far.
func (tsk Task) Counters() Counters { return tsk.counters }

// Checkpoint returns the reference to resume from, empty for a fresh start.
func (tsk Task) Checkpoint() string { return tsk.checkpoint }

// Last returns the instance of the latest assignment, empty for none.
func (tsk Task) LastInstance() fleet.InstanceID { return tsk.last }

// Lane is a part of the queue. Tasks in a lane are in the order of the latest
// start that meets their deadline; see Patience for those without one.
type Lane string

// Verdict is what a placement decides about a failed task.
type Verdict struct {
	park        bool
	explanation string
	delay       time.Duration
}

// Park returns the verdict to set the task aside.
func Park(explanation string) Verdict { return Verdict{park: true, explanation: explanation} }

// Retry returns the verdict to try the task again after a delay.
func Retry(delay time.Duration) Verdict { return Verdict{delay: delay} }

// Placement is the port to the policies of placement, queue order and blame.
// Its methods run on the control goroutine and must not block. It may be shared
// by the partitions of one process.
type Placement interface {
	// Observe takes in the instances that may run tasks, sorted by ID.
	Observe(instances []Instance, now time.Time)
	// Admits reports whether some instance could ever run a task of the size,
	// and otherwise the largest size that could run.
	Admits(spc Spec) (fits bool, largest resource.Vector)
	// Lane returns the part of the queue for a task. It must not change over time.
	Lane(spc Spec) Lane
	// RunTime returns how long a task of a job is expected to run, zero if that is not known.
	RunTime(spc Spec) time.Duration
	// CompareLanes orders lanes: the lane to serve next comes first.
	CompareLanes(one, two Lane) int
	// Choose returns the instance to offer a task to; starts tells whether tasks may start in a data centre.
	Choose(tsk Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool)
	// Committed learns that a task is offered to an instance, or was found to run there after a takeover.
	Committed(tsk Task, ins fleet.InstanceID)
	// Withdrawn learns that a commitment ended without a result.
	Withdrawn(tsk Task, ins fleet.InstanceID)
	// Answered learns the answer to an offer.
	Answered(ans Answer, now time.Time)
	// Checkpointed learns that a running task has a new checkpoint.
	Checkpointed(ref Ref, now time.Time)
	// Evictions returns the tasks of the partition to stop so that others can
	// start; each is returned once.
	Evictions(now time.Time) []Eviction
	// Ended learns how an assignment ended and decides about a failed one.
	Ended(tsk Task, ins fleet.InstanceID, end End, now time.Time) Verdict
}

// Eviction names a running task to be checkpointed and stopped to make room for
// another one.
type Eviction struct {
	ref    Ref
	reason string
}

// NewEviction returns the eviction of an assignment for a reason that is told to people.
func NewEviction(ref Ref, reason string) Eviction { return Eviction{ref: ref, reason: reason} }

// Ref returns the assignment.
func (evi Eviction) Ref() Ref { return evi.ref }

// Reason returns why it is stopped.
func (evi Eviction) Reason() string { return evi.reason }

// Answer is an instance's answer to an offer.
type Answer struct {
	ref      Ref
	from     fleet.InstanceID
	accepted bool
	failed   bool
	reason   string
	free     resource.Vector
	idle     bool
}

// NewAnswer returns the answer of an instance with its free resources.
func NewAnswer(ref Ref, from fleet.InstanceID, accepted bool, reason string, free resource.Vector) Answer {
	return Answer{ref: ref, from: from, accepted: accepted, reason: reason, free: free}
}

// WithIdle returns the answer with whether the service of the instance gets next to no requests.
func (ans Answer) WithIdle(idle bool) Answer {
	ans.idle = idle
	return ans
}

// NoAnswer returns the result of an offer that could not be delivered or was not answered.
func NoAnswer(ref Ref, from fleet.InstanceID) Answer {
	return Answer{ref: ref, from: from, failed: true, reason: "noAnswer"}
}

// Ref returns the offer answered.
func (ans Answer) Ref() Ref { return ans.ref }

// From returns the instance.
func (ans Answer) Instance() fleet.InstanceID { return ans.from }

// Accepted reports whether the instance reserved the resources.
func (ans Answer) Accepted() bool { return ans.accepted }

// Failed reports whether there was no answer, so that Free says nothing.
func (ans Answer) Failed() bool { return ans.failed }

// Reason returns why the offer was refused.
func (ans Answer) Reason() string { return ans.reason }

// Free returns the free resources after the answer.
func (ans Answer) Free() resource.Vector { return ans.free }

// Idle reports whether the service of the instance gets next to no requests, so
// that no task disturbs it.
func (ans Answer) Idle() bool { return ans.idle }
