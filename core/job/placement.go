package job

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Health is the state of an instance according to the cluster membership.
type Health int

// Health of instances.
const (
	Alive Health = iota
	Suspect
	Leaving
)

// Instance describes an instance that may run tasks. The description may be out of date: the instance
// decides about each offer.
type Instance struct {
	holder   fleet.Process
	location fleet.Location
	service  fleet.Service
	capacity resource.Vector
	health   Health
}

// NewInstance returns the description of an instance without an endpoint.
func NewInstance(hol fleet.Process, loc fleet.Location, capacity resource.Vector, hlt Health) Instance {
	return Instance{holder: hol, location: loc, capacity: capacity, health: hlt}
}

// WithService returns the description with the service of the endpoint on the instance.
func (ins Instance) WithService(srv fleet.Service) Instance {
	ins.service = srv
	return ins
}

// Holder returns the agent process: the instance ID and the incarnation.
func (ins Instance) Holder() fleet.Process { return ins.holder }

// ID returns the ID of the instance.
func (ins Instance) ID() fleet.InstanceID { return ins.holder.Instance() }

// Location returns the region, data centre and rack of the instance.
func (ins Instance) Location() fleet.Location { return ins.location }

// Service returns the service of the endpoint on the instance.
func (ins Instance) Service() fleet.Service { return ins.service }

// Capacity returns the total resources for tasks.
func (ins Instance) Capacity() resource.Vector { return ins.capacity }

// Health returns the state according to the cluster membership.
func (ins Instance) Health() Health { return ins.health }

// Task describes a task to placements and agents.
type Task struct {
	ref          Ref
	spec         Spec
	counters     Counters
	checkpoint   string
	lastInstance fleet.InstanceID
}

// Ref returns the task, with the token of the offer if there is one.
func (tsk Task) Ref() Ref { return tsk.ref }

// Spec returns the specification of the task's job.
func (tsk Task) Spec() Spec { return tsk.spec }

// Counters returns the attempts, evictions and failures so far.
func (tsk Task) Counters() Counters { return tsk.counters }

// Checkpoint returns the reference to resume from, empty for a fresh start.
func (tsk Task) Checkpoint() string { return tsk.checkpoint }

// LastInstance returns the instance of the latest assignment, empty for none.
func (tsk Task) LastInstance() fleet.InstanceID { return tsk.lastInstance }

// Lane is a part of the queue. The tasks in a lane are ordered by the latest start that meets their
// deadline, see DefaultStartWindow for those without one.
type Lane string

// Verdict is the decision of a placement to park or to retry a failed task.
type Verdict struct {
	park        bool
	explanation string
	delay       time.Duration
}

// Park returns the verdict not to run the task again unless an operator retries it.
func Park(explanation string) Verdict { return Verdict{park: true, explanation: explanation} }

// Retry returns the verdict to queue the task again after a delay.
func Retry(delay time.Duration) Verdict { return Verdict{delay: delay} }

// Placement is the policy that chooses instances, orders the queue and decides whether a failed task is
// retried. Its methods run on the control goroutine and must not block. The partitions of one process
// may share a Placement.
type Placement interface {
	// Observe replaces the instances that may run tasks, sorted by ID.
	Observe(instances []Instance, now time.Time)
	// Admits reports whether some instance is large enough for a task of the job when it runs nothing
	// else, and the largest size that is possible if none is.
	Admits(spc Spec) (fits bool, largest resource.Vector)
	// Lane returns the lane of the tasks of a job. It must always return the same lane for a job.
	Lane(spc Spec) Lane
	// RunTime returns the expected run time of a task of the job, zero if it is unknown.
	RunTime(spc Spec) time.Duration
	// CompareLanes orders lanes by precedence: the lane to serve next is the least.
	CompareLanes(one, two Lane) int
	// Choose returns the instance to offer a task to, and false if there is none. starts reports whether
	// tasks may start in a data centre.
	Choose(tsk Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool)
	// Committed is called when a task is offered to an instance, and after a takeover for each task that
	// is assigned to one.
	Committed(tsk Task, ins fleet.InstanceID)
	// Withdrawn is called when an offer ends without an assignment.
	Withdrawn(tsk Task, ins fleet.InstanceID)
	// Answered is called with the answer to an offer, or with NoAnswer.
	Answered(ans Answer, now time.Time)
	// Checkpointed is called when a running task has a new checkpoint.
	Checkpointed(ref Ref, now time.Time)
	// Evictions returns the tasks of the partition to stop so that others can start. Each eviction is
	// returned once.
	Evictions(now time.Time) []Eviction
	// Ended is called when an assignment ends. The verdict counts only if the assignment failed.
	Ended(tsk Task, ins fleet.InstanceID, end End, now time.Time) Verdict
}

// Eviction names a task to checkpoint and stop so that another one can start.
type Eviction struct {
	ref    Ref
	reason string
}

// NewEviction returns the eviction of an assignment with a reason that is shown to operators.
func NewEviction(ref Ref, reason string) Eviction { return Eviction{ref: ref, reason: reason} }

// Ref returns the assignment to stop.
func (evi Eviction) Ref() Ref { return evi.ref }

// Reason returns why it is stopped.
func (evi Eviction) Reason() string { return evi.reason }

// Answer is an instance's answer to an offer.
type Answer struct {
	ref      Ref
	instance fleet.InstanceID
	accepted bool
	failed   bool
	reason   string
	free     resource.Vector
	idle     bool
}

// NewAnswer returns the answer of an instance with its free resources.
func NewAnswer(ref Ref, from fleet.InstanceID, accepted bool, reason string, free resource.Vector) Answer {
	return Answer{ref: ref, instance: from, accepted: accepted, reason: reason, free: free}
}

// WithIdle returns the answer with whether the service of the instance receives almost no requests.
func (ans Answer) WithIdle(idle bool) Answer {
	ans.idle = idle
	return ans
}

// NoAnswer returns the result of an offer that could not be delivered or was not answered.
func NoAnswer(ref Ref, from fleet.InstanceID) Answer {
	return Answer{ref: ref, instance: from, failed: true, reason: "noAnswer"}
}

// Ref returns the offer answered.
func (ans Answer) Ref() Ref { return ans.ref }

// Instance returns the instance that the offer was sent to.
func (ans Answer) Instance() fleet.InstanceID { return ans.instance }

// Accepted reports whether the instance has reserved the resources.
func (ans Answer) Accepted() bool { return ans.accepted }

// Failed reports whether there was no answer, in which case Free is not set.
func (ans Answer) Failed() bool { return ans.failed }

// Reason returns why the offer was refused.
func (ans Answer) Reason() string { return ans.reason }

// Free returns the free resources after the answer.
func (ans Answer) Free() resource.Vector { return ans.free }

// Idle reports whether the service of the instance receives almost no requests, so that tasks cannot
// slow it down.
func (ans Answer) Idle() bool { return ans.idle }
