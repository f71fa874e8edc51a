package place

import (
	"jacinthpost/core/blame"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// Knowledge is what has been learned and is shared by all placements.
type Knowledge struct {
	sizes    Sizes
	pairings interfere.Pairings
	blame    blame.Ledger
	jobs     map[string]*jobTally
	largest  resource.Vector
	// instances is the number of instances that have joined.
	instances int
}

// jobTally counts the tasks of a job that are waiting, running or set aside.
type jobTally struct {
	open     int32
	placed   int32
	finished int32
	parked   []Task
	racks    map[int32]int32 // placed tasks by rack
	sites    map[int32]int32 // placed tasks by data centre
}

// Sizes returns the learned sizes.
func (knw *Knowledge) Sizes() *Sizes { return &knw.sizes }

// Pairings returns the learned costs of co-location.
func (knw *Knowledge) Pairings() *interfere.Pairings { return &knw.pairings }

// Blame returns the record of failures.
func (knw *Knowledge) Blame() *blame.Ledger { return &knw.blame }

// Learned returns the learned size of a task, at most the largest instance and
// at least what an earlier attempt of the task is known to need.
func (knw *Knowledge) Learned(tsk *Task) resource.Vector {
	size := knw.sizes.Estimate(tsk.class, tsk.declared).Max(tsk.floor)
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

// Pressure returns the expected slowdown of the service that suffers most on
// an instance with one more task: in total, and counting only the classes that
// hurt no more than the task. The others are throttled before it.
func (knw *Knowledge) Pressure(hos *Host, tsk *Task, need resource.Vector) (total, unyielding float64) {
	cores := float64(max(1, hos.instance.capacity.MilliCPU()))
	for pos, svc := range hos.instance.services {
		own := knw.pairings.Find(svc, tsk.class).Estimate().Upper()
		all := own * float64(need.MilliCPU())
		kept := all
		for ind := range hos.classes {
			cus := &hos.classes[ind]
			cost := cus.pairings[pos].Cost()
			part := cost * float64(cus.milliCPU)
			all += part
			if cost <= own {
				kept += part
			}
		}
		total, unyielding = max(total, all/cores), max(unyielding, kept/cores)
	}
	return total, unyielding
}

// Bearable reports whether the services of an instance bear one more task with
// the given unyielding pressure: it fits into what the guard of the instance
// plans for, or the task is the only one there that does not fit and runs
// throttled. The number of tasks of an unproven pairing is limited, unless
// even the worst known cost would be negligible.
func (knw *Knowledge) Bearable(hos *Host, tsk *Task, need resource.Vector, unyielding float64) bool {
	if unyielding > interfere.PlannedSlowdown() && hos.loud > 0 {
		return false
	}
	share := float64(need.MilliCPU()) / float64(max(1, hos.instance.capacity.MilliCPU()))
	if share*interfere.WorstCost < interfere.Negligible {
		return true
	}
	for _, svc := range hos.instance.services {
		pai := knw.pairings.Find(svc, tsk.class)
		est := pai.Estimate()
		if !est.Known() && pai.Running() >= est.TrialLimit(knw.instances) {
			return false
		}
	}
	return true
}

// Crowding returns the fractions of the placed tasks of the job that are in
// the rack and in the data centre of the instance.
func (knw *Knowledge) Crowding(hos *Host, tsk *Task) (rack, dataCentre float64) {
	job := knw.jobs[tsk.job]
	if job == nil || job.placed == 0 {
		return 0, 0
	}
	placed := float64(job.placed)
	return float64(job.racks[hos.rack]) / placed, float64(job.sites[hos.site.index]) / placed
}

// FailedOn reports whether the job of the task has failed on the instance.
func (knw *Knowledge) FailedOn(hos *Host, tsk *Task) bool {
	return knw.blame.FailedOn(knw.unit(tsk), hos.instance.id)
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

func (knw *Knowledge) tally(name string) *jobTally {
	if knw.jobs == nil {
		knw.jobs = make(map[string]*jobTally)
	}
	job, found := knw.jobs[name]
	if !found {
		job = &jobTally{racks: make(map[int32]int32), sites: make(map[int32]int32)}
		knw.jobs[name] = job
	}
	return job
}

// closeTask counts the end of a task and forgets a job without open tasks.
func (knw *Knowledge) closeTask(tsk *Task) {
	knw.blame.Forget(string(tsk.id))
	job := knw.tally(tsk.job)
	job.open--
	if job.open <= 0 {
		delete(knw.jobs, tsk.job)
		knw.blame.Forget(tsk.job)
	}
}

// spread counts a task in or out of the rack and data centre of an instance
// and in or out of the pairings with its services.
func (knw *Knowledge) spread(hos *Host, tsk *Task, change int32) {
	job := knw.tally(tsk.job)
	job.placed += change
	count(job.racks, hos.rack, change)
	count(job.sites, hos.site.index, change)
	for _, svc := range hos.instance.services {
		knw.pairings.Find(svc, tsk.class).Count(int(change))
	}
}

func count(counts map[int32]int32, key, change int32) {
	if counts[key] += change; counts[key] == 0 {
		delete(counts, key)
	}
}
