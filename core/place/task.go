package place

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// TaskID identifies a task within a Scheduler.
type TaskID string

// Task describes a task to the scheduler.
type Task struct {
	id       TaskID
	job      string
	team     fleet.Team
	class    fleet.JobClass
	declared resource.Vector
	urgent   bool
	floor    resource.Vector
	origin   fleet.Location
	deadline time.Time
	evicted  int
	restarts bool
}

// NewTask returns a task of a job with its declared amounts.
func NewTask(id TaskID, job string, team fleet.Team, cls fleet.JobClass, declared resource.Vector) Task {
	return Task{id: id, job: job, team: team, class: cls, declared: declared}
}

// Urgent returns the task marked as urgent: it is placed before others, and they may be evicted in
// its favour.
func (tsk Task) Urgent() Task {
	tsk.urgent = true
	return tsk
}

// Due returns the task with the latest time at which it has to start, which orders the tasks of a
// team. A task near that time is not evicted in favour of an ordinary one.
func (tsk Task) Due(deadline time.Time) Task {
	tsk.deadline = deadline
	return tsk
}

// Evicted returns the task with the number of its earlier evictions.
func (tsk Task) Evicted(count int) Task {
	tsk.evicted = count
	return tsk
}

// Restarts returns the task marked as starting from the beginning after each eviction, or not.
func (tsk Task) Restarts(restarts bool) Task {
	tsk.restarts = restarts
	return tsk
}

// Near returns the task with the location of its payload. Traffic between regions is billed by
// volume, so instances in that region are preferred.
func (tsk Task) Near(origin fleet.Location) Task {
	tsk.origin = origin
	return tsk
}

// ID returns the identifier of the task.
func (tsk Task) ID() TaskID { return tsk.id }

// Job returns the job of the task.
func (tsk Task) Job() string { return tsk.job }

// Team returns the team whose quota pays for the task.
func (tsk Task) Team() fleet.Team { return tsk.team }

// Class returns the job class.
func (tsk Task) Class() fleet.JobClass { return tsk.class }

// Declared returns the amounts that the submission declared.
func (tsk Task) Declared() resource.Vector { return tsk.declared }

// IsUrgent reports whether the task is marked as urgent.
func (tsk Task) IsUrgent() bool { return tsk.urgent }

// Deadline returns the time set by Due, or zero when there is none.
func (tsk Task) Deadline() time.Time { return tsk.deadline }

// Origin returns the location of the payload, or zero when it was not set.
func (tsk Task) Origin() fleet.Location { return tsk.origin }

// Instance describes an instance that joins.
type Instance struct {
	capacity resource.Vector // first, so that it is near the first fields of InstanceView
	services []fleet.Service
	id       fleet.InstanceID
	free     resource.Vector
	location fleet.Location
}

// NewInstance returns an instance with its total and free amounts and the services on it.
func NewInstance(id fleet.InstanceID, loc fleet.Location, capacity, free resource.Vector, services ...fleet.Service) Instance {
	return Instance{id: id, location: loc, capacity: capacity, free: free, services: services}
}

// ID returns the identifier of the instance.
func (ins Instance) ID() fleet.InstanceID { return ins.id }

// Location returns the region, data centre and rack of the instance.
func (ins Instance) Location() fleet.Location { return ins.location }

// Capacity returns the amounts that tasks may use on the instance.
func (ins Instance) Capacity() resource.Vector { return ins.capacity }

// Services returns the services on the instance.
func (ins Instance) Services() []fleet.Service { return ins.services }

func sortByStart(plcs []*placement) {
	slices.SortFunc(plcs, func(one, two *placement) int { return cmp.Compare(one.sequence, two.sequence) })
}

func sortByID(tsks []Task) {
	slices.SortFunc(tsks, func(one, two Task) int { return cmp.Compare(one.id, two.id) })
}
