package place

import (
	"slices"

	"jacinthpost/core/blame"
	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// Knowledge holds what the scheduler has learned about classes, jobs and instances.
type Knowledge struct {
	sizes    Sizes
	pairings interfere.Pairings
	blame    blame.Ledger
	jobs     map[string]*jobCounts
	largest  resource.Vector
	// instances is the number of present instances.
	instances int
	services  []fleet.Service // of all instances ever seen, sorted
}

// jobCounts counts the tasks of a job.
type jobCounts struct {
	open     int32 // waiting, placed or parked
	placed   int32
	finished int32
	parked   []Task
	racks    tally // placed tasks by rack
	sites    tally // placed tasks by data centre
}

// Sizes returns the learned sizes.
func (knw *Knowledge) Sizes() *Sizes { return &knw.sizes }

// Pairings returns the learned costs of co-location.
func (knw *Knowledge) Pairings() *interfere.Pairings { return &knw.pairings }

// Blame returns the record of failures.
func (knw *Knowledge) Blame() *blame.Ledger { return &knw.blame }

// LearnedSize returns the size to reserve for a task, learned from its class: at most the largest
// instance and at least what an earlier attempt of the task has used. Of the processors only the
// part is counted that the guard is expected to let the task use.
func (knw *Knowledge) LearnedSize(tsk *Task) resource.Vector {
	size := knw.boundedByLargest(tsk, knw.sizes.Estimate(tsk.class, tsk.declared).Max(tsk.floor))
	part := knw.usablePart(tsk, size)
	return resource.New(max(1, int64(float64(size.MilliCPU())*part)), size.MemoryMB(), size.Accelerators())
}

// usablePart returns the part of its processors that the guard is expected to leave to a task. It
// assumes that other tasks cause half of the planned slowdown and that the task runs next to the
// service that it disturbs least. Reserving the rest as well kept up to a third of a worker idle.
func (knw *Knowledge) usablePart(tsk *Task, size resource.Vector) float64 {
	if knw.largest.MilliCPU() == 0 || len(knw.services) == 0 {
		return 1
	}
	share := float64(size.MilliCPU()) / float64(knw.largest.MilliCPU())
	part := minimumPart
	for _, svc := range knw.services {
		est := knw.pairings.Find(svc, tsk.class).Estimate()
		own := est.Cost() * share
		if !est.Known() || own <= interfere.PlannedSlowdown()/2 {
			return 1
		}
		part = max(part, interfere.PlannedSlowdown()/2/own)
	}
	return part
}

// boundedByLargest limits the size of a task to the largest instance, once its class is learned.
func (knw *Knowledge) boundedByLargest(tsk *Task, size resource.Vector) resource.Vector {
	if size.FitsIn(knw.largest) || knw.largest == (resource.Vector{}) {
		return size
	}
	if knw.sizes.Samples(tsk.class) < minimumSamples {
		return size
	}
	return resource.New(
		min(size.MilliCPU(), knw.largest.MilliCPU()),
		min(size.MemoryMB(), knw.largest.MemoryMB()),
		size.Accelerators(),
	)
}

// Slowdown is the expected relative slowdown of the service that is slowed down most on an
// instance with one more task.
type Slowdown struct {
	total float64 // by all tasks
	// afterThrottling is the part by the task and the classes that cost no more than its own.
	// The guard throttles the other classes first.
	afterThrottling float64
	own             float64 // by the task
}

// Total returns the slowdown caused by all tasks.
func (sld Slowdown) Total() float64 { return sld.total }

// withinPlan reports whether the task can run unthrottled.
func (sld Slowdown) withinPlan() bool { return sld.afterThrottling <= interfere.PlannedSlowdown() }

// throttledSpeed returns the part of its processor time that the guard would leave to the task.
func (sld Slowdown) throttledSpeed() float64 {
	return (interfere.PlannedSlowdown() - sld.afterThrottling + sld.own) / sld.own
}

// Slowdown returns the expected slowdown by the tasks of an instance and one more.
func (knw *Knowledge) Slowdown(viw *InstanceView, tsk *Task, need resource.Vector) Slowdown {
	cores := float64(max(1, viw.instance.capacity.MilliCPU()))
	var worst Slowdown
	for pos, svc := range viw.instance.services {
		cost := knw.pairings.Find(svc, tsk.class).Estimate().UpperCost()
		sld := Slowdown{own: cost * float64(need.MilliCPU()) / cores}
		sld.total, sld.afterThrottling = sld.own, sld.own
		for ind := range viw.classes {
			cus := &viw.classes[ind]
			other := cus.row.pairings[pos].Cost()
			part := other * float64(cus.milliCPU) / cores
			sld.total += part
			if other <= cost {
				sld.afterThrottling += part
			}
		}
		if sld.total > worst.total {
			worst = sld
		}
	}
	return worst
}

const (
	// minimumSpeed is the part of its processor time below which a task is not started: it would
	// occupy its reservation without using it.
	minimumSpeed = 0.3
	// minimumPart is the least part of its processors that is reserved for a task.
	minimumPart = 0.25
	// urgentInterferingLimit is the number of throttled tasks on an instance from which no
	// urgent task that would be throttled is added.
	urgentInterferingLimit = 1
	// slowDivisor limits the tasks of one class that run below minimumSpeed to the number of
	// instances divided by it. The limit is at least one, so that no class is excluded for ever.
	slowDivisor = 8
)

// Admissible reports whether a task may be added to an instance without slowing its services down
// too much. Either the expected slowdown is within the plan of the instance's guard, or the task
// is the only one there that exceeds it and runs throttled. The number of running tasks of a pairing
// with little evidence is limited, unless even the worst known cost would be negligible. For
// urgent tasks only urgentInterferingLimit holds: with more interfering tasks, the guard would
// throttle all tasks on the instance to its limit.
func (knw *Knowledge) Admissible(viw *InstanceView, tsk *Task, need resource.Vector, sld Slowdown) bool {
	if tsk.urgent {
		return sld.withinPlan() || viw.interfering < urgentInterferingLimit
	}
	if !sld.withinPlan() && (viw.interfering > 0 || !knw.mayRunSlowly(viw, tsk, sld)) {
		return false
	}
	share := float64(need.MilliCPU()) / float64(max(1, viw.instance.capacity.MilliCPU()))
	if share*interfere.MaxExpectedCost < interfere.NegligibleSlowdown {
		return true
	}
	for _, svc := range viw.instance.services {
		pai := knw.pairings.Find(svc, tsk.class)
		est := pai.Estimate()
		if !est.Known() && pai.Running() >= est.TrialLimit(knw.instances) {
			return false
		}
	}
	return true
}

// mayRunSlowly reports whether a task may start although it will be throttled.
func (knw *Knowledge) mayRunSlowly(viw *InstanceView, tsk *Task, sld Slowdown) bool {
	if sld.throttledSpeed() >= minimumSpeed {
		return true
	}
	for _, svc := range viw.instance.services {
		if knw.pairings.Find(svc, tsk.class).Running() >= max(1, knw.instances/slowDivisor) {
			return false
		}
	}
	return true
}

// Concentration returns the fractions of the placed tasks of the job that are in
// the rack and in the data centre of the instance.
func (knw *Knowledge) Concentration(viw *InstanceView, tsk *Task) (rack, dataCentre float64) {
	job := knw.jobs[tsk.job]
	if job == nil || job.placed == 0 {
		return 0, 0
	}
	placed := float64(job.placed)
	return float64(job.racks.count(viw.rack)) / placed, float64(job.sites.count(viw.site.index)) / placed
}

// addServices adds the services of an instance that joined.
func (knw *Knowledge) addServices(svcs []fleet.Service) {
	for _, svc := range svcs {
		if pos, found := slices.BinarySearch(knw.services, svc); !found {
			knw.services = slices.Insert(knw.services, pos, svc)
		}
	}
}

// HasService reports whether any instance, present or past, has run the service.
func (knw *Knowledge) HasService(svc fleet.Service) bool {
	_, found := slices.BinarySearch(knw.services, svc)
	return found
}

// FailedOn reports whether the job of the task has failed on the instance.
func (knw *Knowledge) FailedOn(viw *InstanceView, tsk *Task) bool {
	return knw.blame.FailedOn(knw.failureKey(tsk), viw.instance.id)
}

// failureKey returns the name under which failures are recorded: the job until one of its tasks
// has finished, then the single task, because a job that has succeeded can still contain a task
// that always fails.
func (knw *Knowledge) failureKey(tsk *Task) string {
	if job := knw.jobs[tsk.job]; job != nil && job.finished > 0 {
		return string(tsk.id)
	}
	return tsk.job
}

func (knw *Knowledge) countsOf(name string) *jobCounts {
	if knw.jobs == nil {
		knw.jobs = make(map[string]*jobCounts)
	}
	job, found := knw.jobs[name]
	if !found {
		job = new(jobCounts)
		knw.jobs[name] = job
	}
	return job
}

// closeTask counts the end of a task and deletes the record of a job without open tasks.
func (knw *Knowledge) closeTask(tsk *Task) {
	knw.blame.Forget(string(tsk.id))
	job := knw.countsOf(tsk.job)
	job.open--
	if job.open <= 0 {
		delete(knw.jobs, tsk.job)
		knw.blame.Forget(tsk.job)
	}
}

// countPlaced adds change to the number of placed tasks of the job, by rack and data centre, and
// to the running tasks of the pairings with the services of the instance.
func (knw *Knowledge) countPlaced(viw *InstanceView, tsk *Task, change int32) {
	job := knw.countsOf(tsk.job)
	job.placed += change
	job.racks.add(viw.rack, change)
	job.sites.add(viw.site.index, change)
	for _, svc := range viw.instance.services {
		knw.pairings.Find(svc, tsk.class).AddRunning(int(change))
	}
}
