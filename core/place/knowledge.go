package place

import (
	"slices"

	"jacinthpost/core/blame"
	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// Knowledge is what has been learned and is shared by all placements.
type Knowledge struct {
	sizes    Sizes
	pairings interfere.Pairings
	blame    blame.Ledger
	jobs     map[string]*jobCounts
	largest  resource.Vector
	// instances is the number of instances that have joined.
	instances int
	services  []fleet.Service // of all instances ever seen, sorted
}

// jobCounts counts the tasks of a job that are waiting, running or set aside.
type jobCounts struct {
	open     int32
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

// Learned returns the learned size of a task, at most the largest instance and
// at least what an earlier attempt of the task is known to need. Processors are
// only counted as far as the guard will let the task use them.
func (knw *Knowledge) LearnedSize(tsk *Task) resource.Vector {
	size := knw.bounded(tsk, knw.sizes.Estimate(tsk.class, tsk.declared).Max(tsk.floor))
	part := knw.usablePart(tsk, size)
	return resource.New(max(1, int64(float64(size.MilliCPU())*part)), size.MemoryMB(), size.Accelerators())
}

// usablePart returns the part of its processors that the guard is expected to
// leave to a task next to others that use half of the planned slowdown, beside
// the service that it disturbs least. In trials, reserving the rest as well kept
// up to a third of a worker idle.
func (knw *Knowledge) usablePart(tsk *Task, size resource.Vector) float64 {
	if knw.largest.MilliCPU() == 0 || len(knw.services) == 0 {
		return 1
	}
	share := float64(size.MilliCPU()) / float64(knw.largest.MilliCPU())
	part := lowestPart
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

func (knw *Knowledge) bounded(tsk *Task, size resource.Vector) resource.Vector {
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

// Pressure is the expected slowdown of the service that suffers most on an
// instance with one more task.
type Slowdown struct {
	total      float64 // by all tasks
	unyielding float64 // by the classes that hurt no more than the task; the others are throttled before it
	own        float64 // by the task
}

// Total returns the slowdown by all tasks.
func (prr Slowdown) Total() float64 { return prr.total }

// fits reports whether the task can run unthrottled.
func (prr Slowdown) fits() bool { return prr.unyielding <= interfere.PlannedSlowdown() }

// speed returns the part of its processor time that the guard would leave to the task.
func (prr Slowdown) speed() float64 {
	return (interfere.PlannedSlowdown() - prr.unyielding + prr.own) / prr.own
}

// Pressure returns the expected slowdown by the tasks of an instance and one more.
func (knw *Knowledge) Slowdown(viw *InstanceView, tsk *Task, need resource.Vector) Slowdown {
	cores := float64(max(1, viw.instance.capacity.MilliCPU()))
	var worst Slowdown
	for pos, svc := range viw.instance.services {
		cost := knw.pairings.Find(svc, tsk.class).Estimate().UpperCost()
		prr := Slowdown{own: cost * float64(need.MilliCPU()) / cores}
		prr.total, prr.unyielding = prr.own, prr.own
		for ind := range viw.classes {
			cus := &viw.classes[ind]
			other := cus.row.pairings[pos].Cost()
			part := other * float64(cus.milliCPU) / cores
			prr.total += part
			if other <= cost {
				prr.unyielding += part
			}
		}
		if prr.total > worst.total {
			worst = prr
		}
	}
	return worst
}

const (
	// lowestSpeed is the part of its processor time below which a task is not
	// started: it would hold its reservation without using it.
	lowestSpeed = 0.3
	// lowestPart is the least part of its processors that is reserved for a task.
	lowestPart = 0.25
	// urgentInterfering is the number of tasks on an instance that don't fit beyond
	// which even urgent ones are not added.
	urgentInterfering = 1
	// slowPart is the part of the instances, as a divisor, that may run tasks
	// of one class more slowly, so that a class is never stopped for good.
	slowPart = 8
)

// Bearable reports whether the services of an instance bear one more task: it
// fits into what the guard of the instance plans for, or it is the only task
// there that does not fit and runs throttled. The number of tasks of an
// unproven pairing is limited, unless even the worst known cost would be
// negligible. Urgent tasks only keep to urgentInterfering: more interfering tasks on one
// instance would be throttled to a standstill with everything else there.
func (knw *Knowledge) Admissible(viw *InstanceView, tsk *Task, need resource.Vector, prr Slowdown) bool {
	if tsk.urgent {
		return prr.fits() || viw.interfering < urgentInterfering
	}
	if !prr.fits() && (viw.interfering > 0 || !knw.bearsSlow(viw, tsk, prr)) {
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

// bearsSlow reports whether a task may start although it will be throttled.
func (knw *Knowledge) bearsSlow(viw *InstanceView, tsk *Task, prr Slowdown) bool {
	if prr.speed() >= lowestSpeed {
		return true
	}
	for _, svc := range viw.instance.services {
		if knw.pairings.Find(svc, tsk.class).Running() >= max(1, knw.instances/slowPart) {
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

// meet notes the services of an instance that joined.
func (knw *Knowledge) meet(svcs []fleet.Service) {
	for _, svc := range svcs {
		if pos, found := slices.BinarySearch(knw.services, svc); !found {
			knw.services = slices.Insert(knw.services, pos, svc)
		}
	}
}

// Serves reports whether some instance ever had a service.
func (knw *Knowledge) HasService(svc fleet.Service) bool {
	_, found := slices.BinarySearch(knw.services, svc)
	return found
}

// FailedOn reports whether the job of the task has failed on the instance.
func (knw *Knowledge) FailedOn(viw *InstanceView, tsk *Task) bool {
	return knw.blame.FailedOn(knw.unit(tsk), viw.instance.id)
}

// unit returns the name under which failures are judged: the whole job until
// one of its tasks has finished, then the single task, because a job that has
// succeeded can still contain a task that never will.
func (knw *Knowledge) unit(tsk *Task) string {
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

// closeTask counts the end of a task and forgets a job without open tasks.
func (knw *Knowledge) closeTask(tsk *Task) {
	knw.blame.Forget(string(tsk.id))
	job := knw.countsOf(tsk.job)
	job.open--
	if job.open <= 0 {
		delete(knw.jobs, tsk.job)
		knw.blame.Forget(tsk.job)
	}
}

// spread counts a task in or out of the rack and data centre of an instance
// and in or out of the pairings with its services.
func (knw *Knowledge) spread(viw *InstanceView, tsk *Task, change int32) {
	job := knw.countsOf(tsk.job)
	job.placed += change
	job.racks.add(viw.rack, change)
	job.sites.add(viw.site.index, change)
	for _, svc := range viw.instance.services {
		knw.pairings.Find(svc, tsk.class).AddRunning(int(change))
	}
}
