package batch

import (
	"slices"
	"time"

	"jacinthpost/core/admission"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// sizesKnownAfter is when every worker that lives has told its size to a new owner.
const sizesCompleteAfter = 15 * time.Second

// learnSize remembers the largest workers of each service, also those that are gone: one may come back.
func (sch *Scheduler[O, P]) recordSize(rep Report) {
	old := sch.sizes[rep.Service]
	covered := func(siz resource.Vector) bool { return rep.Capacity.FitsIn(siz) }
	if rep.Incarnation == "" || slices.ContainsFunc(old, covered) {
		return
	}
	if sch.sizes == nil {
		sch.sizes = make(map[fleet.Service][]resource.Vector)
	}
	sch.sizes[rep.Service] = admission.Largest(append(slices.Clone(old), rep.Capacity))
}

// Sizes returns the sizes of the largest workers of each service, nil until they are known.
func (sch *Scheduler[O, P]) WorkerSizes(now time.Time) map[fleet.Service][]resource.Vector {
	if now.Sub(sch.takeoverAt) < sizesCompleteAfter {
		return nil
	}
	return sch.sizes
}

// forecastsAfter is when a new owner can predict: by then the instances have reported to it, and it
// has seen for some seconds how many processors filling tasks use.
const forecastWarmUp = 6 * time.Second

// amount is work, or the rate at which a service carries it out, by what binds it:
// processors reserved by short tasks, processors used by filling ones, and memory.
type workVector struct {
	shortCPU, bestEffortCPU, memoryMB float64 // in mCPU and MB, times seconds for work
}

func (wvc *workVector) add(oth workVector) {
	wvc.shortCPU += oth.shortCPU
	wvc.bestEffortCPU += oth.bestEffortCPU
	wvc.memoryMB += oth.memoryMB
}

// over returns how long work takes at a rate.
func (wvc workVector) timeAt(rate workVector) time.Duration {
	return seconds(max(ratio(wvc.shortCPU, rate.shortCPU), ratio(wvc.bestEffortCPU, rate.bestEffortCPU), ratio(wvc.memoryMB, rate.memoryMB)))
}

// longestForecast stands for work that nothing can carry out, in seconds.
const maxForecastSeconds = 3600

func ratio(work, rate float64) float64 {
	switch {
	case work <= 0:
		return 0
	case rate <= 0:
		return maxForecastSeconds
	default:
		return min(maxForecastSeconds, work/rate)
	}
}

// backlog is the unfinished work of a queue and what a usual job of it looks like.
type backlog struct {
	service                 fleet.Service
	priority                int
	work                    workVector
	jobs                    int
	criticalPath, objective time.Duration // sums over the jobs
	blocked                 time.Duration // the longest time for which a step has found no place
	progressing             bool          // a step that wants to start is not blocked
}

// Forecasts predicts by queue what happens to a job that is handed in now. The work of
// all queues of the same or a higher priority goes before, and drains at the rate that the
// service has for it. Queues without unfinished jobs are left out. A new owner predicts nothing at
// first: it would take instances that have not reported for lost, and refuse jobs while they stand idle.
func (sch *Scheduler[O, P]) Forecasts(now time.Time) map[string]admission.Forecast {
	if now.Sub(sch.takeoverAt) < forecastWarmUp {
		return nil
	}
	queues := sch.backlogs(now)
	rates := sch.rates()
	out := make(map[string]admission.Forecast, len(queues))
	for name, bkl := range queues {
		var ahead workVector
		for _, oth := range queues {
			if oth.service == bkl.service && oth.priority <= bkl.priority {
				ahead.add(oth.work)
			}
		}
		fct := admission.Forecast{
			Wait: ahead.timeAt(rates[bkl.service]), Chain: bkl.criticalPath / time.Duration(bkl.jobs), Objective: bkl.objective / time.Duration(bkl.jobs),
		}
		if !bkl.progressing {
			fct.Blocked = bkl.blocked
		}
		out[name] = fct
	}
	return out
}

func (sch *Scheduler[O, P]) backlogs(now time.Time) map[string]*backlog {
	out := make(map[string]*backlog)
	sch.eachOccurrence(func(job *jobState, occ *occurrence) {
		if job.spec.LongRunning() {
			return
		}
		bkl := out[job.spec.Queue()]
		if bkl == nil {
			bkl = &backlog{service: fleet.Service(job.spec.Service()), priority: job.spec.Priority()}
			out[job.spec.Queue()] = bkl
		}
		sch.addOccurrence(bkl, job, occ, now)
	})
	return out
}

func (sch *Scheduler[O, P]) addOccurrence(bkl *backlog, job *jobState, occ *occurrence, now time.Time) {
	chain := job.spec.CriticalPath(func(num int) time.Duration { return sch.runTimes.predict(job.spec.Queue(), occ.steps[num]) })
	bkl.jobs++
	bkl.criticalPath += chain
	bkl.objective += time.Duration(job.spec.Stretch()*float64(chain)) + job.spec.TargetLatency()
	for num, stp := range occ.steps {
		left := float64(len(stp.tasks)-stp.done) * sch.runTimes.predict(job.spec.Queue(), stp).Seconds()
		bkl.work.memoryMB += left * float64(stp.spec.Need().MemoryMB())
		if stp.spec.BestEffort() {
			bkl.work.bestEffortCPU += left * float64(stp.spec.MilliCPU())
		} else {
			bkl.work.shortCPU += left * float64(stp.spec.MilliCPU())
		}
		switch {
		case !occ.dependenciesDone(num) || !stp.startable(now):
		case stp.blockedSince.IsZero():
			bkl.progressing = true
		default:
			bkl.blocked = max(bkl.blocked, now.Sub(stp.blockedSince))
		}
	}
}

// leastFillRate is the part of the idle processors that filling tasks get at least in the end.
const minBestEffortFraction = 0.4

// fillUseWeight is the weight of one tick in the mean use by filling tasks: it covers some
// seconds, several pauses.
const bestEffortUseWeight = 0.02

// noteFillUse follows how many processors filling tasks really use: less than what is idle,
// because they pause for the sake of serving tasks.
func (sch *Scheduler[O, P]) updateBestEffortUse() {
	used := make(map[fleet.Service]float64)
	sch.eachAttempt(func(job *jobState, tid TaskID, _ *task, att *attempt) {
		if stp, _ := job.task(tid); stp.spec.BestEffort() {
			used[fleet.Service(job.spec.Service())] += att.measurement
		}
	})
	if sch.bestEffortUse == nil {
		sch.bestEffortUse = make(map[fleet.Service]float64)
	}
	for _, ins := range sch.instances {
		if _, found := sch.bestEffortUse[ins.service]; !found {
			sch.bestEffortUse[ins.service] = 0
		}
	}
	for svc, old := range sch.bestEffortUse {
		sch.bestEffortUse[svc] = old + bestEffortUseWeight*(used[svc]-old)
	}
}

// noteFillWait works out for how long the filling tasks that could start now keep each service busy.
func (sch *Scheduler[O, P]) updateBestEffortWait(now time.Time) {
	work := make(map[fleet.Service]float64)
	sch.eachOccurrence(func(job *jobState, occ *occurrence) {
		work[fleet.Service(job.spec.Service())] += sch.waitingBestEffort(job, occ, now)
	})
	rates := sch.rates()
	sch.bestEffortWait = make(map[fleet.Service]time.Duration, len(work))
	for svc, sum := range work {
		sch.bestEffortWait[svc] = seconds(ratio(sum, rates[svc].bestEffortCPU))
	}
}

// waitingFill returns the work of the filling tasks of an occurrence that wait for a place, in mCPU seconds.
func (sch *Scheduler[O, P]) waitingBestEffort(job *jobState, occ *occurrence, now time.Time) float64 {
	sum := 0.0
	for num, stp := range occ.steps {
		if !stp.spec.BestEffort() || !occ.dependenciesDone(num) || !stp.startable(now) {
			continue
		}
		waits := 0
		for _, tsk := range stp.tasks {
			if tsk.ready(now) {
				waits++
			}
		}
		sum += float64(waits) * sch.runTimes.predict(job.spec.Queue(), stp).Seconds() * float64(stp.spec.MilliCPU())
	}
	return sum
}

// rates returns what each service can carry out in a second beside its lasting tasks, while
// work waits. Filling tasks get what they have used lately, once that is known.
func (sch *Scheduler[O, P]) rates() map[fleet.Service]workVector {
	out := make(map[fleet.Service]workVector)
	for _, ins := range sch.instances {
		if !ins.usable(sch.excluded) {
			continue
		}
		rate := out[ins.service]
		rate.add(workVector{
			shortCPU:      float64(ins.free().MilliCPU() + ins.shortCPU),
			bestEffortCPU: ins.info().idle() + float64(ins.bestEffortCPU),
			memoryMB:      float64(ins.capacity.MemoryMB() - ins.longRunningMB),
		})
		out[ins.service] = rate
	}
	for svc, rate := range out {
		rate.bestEffortCPU = min(rate.bestEffortCPU, max(minBestEffortFraction*rate.bestEffortCPU, sch.bestEffortUse[svc]))
		out[svc] = rate
	}
	return out
}
