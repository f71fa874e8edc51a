package place

import (
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
	jobs     map[string]*jobTally
	racks    map[tallyKey]int32
	sites    map[tallyKey]int32
	largest  resource.Vector
}

// tallyKey names a job in one rack or data centre.
type tallyKey struct {
	job   string
	index int32
}

// jobTally counts the tasks of a job that are waiting, running or set aside.
type jobTally struct {
	open     int32
	placed   int32
	finished int32
	parked   []Task
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
	for _, svc := range hos.instance.services {
		own := knw.pairings.Estimate(svc, tsk.class).Upper()
		all := own * float64(need.MilliCPU()) / cores
		kept := all
		for _, cus := range hos.classes {
			cost := knw.pairings.Estimate(svc, cus.class).Cost()
			part := cost * float64(cus.milliCPU) / cores
			all += part
			if cost <= own {
				kept += part
			}
		}
		total, unyielding = max(total, all), max(unyielding, kept)
	}
	return total, unyielding
}

// Bearable reports whether the services of an instance bear one more task: its
// expected slowdown fits into what the guard of the instance plans for, or it
// is the only task there that does not fit and runs throttled. The number of
// tasks of an unproven pairing is limited, unless even the worst known cost
// would be negligible.
func (knw *Knowledge) Bearable(hos *Host, tsk *Task, need resource.Vector) bool {
	if _, unyielding := knw.Pressure(hos, tsk, need); unyielding > interfere.PlannedSlowdown() && hos.loud > 0 {
		return false
	}
	share := float64(need.MilliCPU()) / float64(max(1, hos.instance.capacity.MilliCPU()))
	if share*interfere.WorstCost < interfere.Negligible {
		return true
	}
	for _, svc := range hos.instance.services {
		est := knw.pairings.Estimate(svc, tsk.class)
		if !est.Known() && knw.pairings.Running(svc, tsk.class) >= est.TrialLimit() {
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
	rack = float64(knw.racks[tallyKey{tsk.job, hos.rack}]) / placed
	dataCentre = float64(knw.sites[tallyKey{tsk.job, hos.site.index}]) / placed
	return rack, dataCentre
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
		knw.racks = make(map[tallyKey]int32)
		knw.sites = make(map[tallyKey]int32)
	}
	job, found := knw.jobs[name]
	if !found {
		job = new(jobTally)
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
	count(knw.racks, tallyKey{tsk.job, hos.rack}, change)
	count(knw.sites, tallyKey{tsk.job, hos.site.index}, change)
	for _, svc := range hos.instance.services {
		knw.pair(svc, tsk.class, change)
	}
}

func (knw *Knowledge) pair(svc fleet.Service, cls fleet.JobClass, change int32) {
	if change > 0 {
		knw.pairings.Enter(svc, cls)
		return
	}
	knw.pairings.Exit(svc, cls)
}

func count(counts map[tallyKey]int32, key tallyKey, change int32) {
	if counts[key] += change; counts[key] == 0 {
		delete(counts, key)
	}
}
