package batch

import (
	"slices"
	"time"

	"jacinthpost/core/admission"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// sizesCompleteAfter is the time after a takeover by which every running worker has reported its
// size to the new owner.
const sizesCompleteAfter = 15 * time.Second

// recordSize keeps the sizes of the largest workers of each service. It keeps those of lost workers
// too, because a worker of that size may return.
func (sch *Scheduler[O, P]) recordSize(rep Report) {
	old := sch.sizes[rep.Service]
	covered := func(siz resource.Vector) bool { return rep.Capacity.FitsIn(siz) }
	if rep.Incarnation == "" || slices.ContainsFunc(old, covered) {
		return
	}
	if sch.sizes == nil {
		sch.sizes = make(map[fleet.Service][]resource.Vector)
	}
	sch.sizes[rep.Service] = admission.Maximal(append(slices.Clone(old), rep.Capacity))
}

// WorkerSizes returns the sizes of the largest workers of each service, or nil until all workers
// have had the time to report.
func (sch *Scheduler[O, P]) WorkerSizes(now time.Time) map[fleet.Service][]resource.Vector {
	if now.Sub(sch.takeoverAt) < sizesCompleteAfter {
		return nil
	}
	return sch.sizes
}

// forecastWarmUp is the time after a takeover before forecasts are made. By then the instances have
// reported, and the CPU use of best-effort tasks has been observed for some seconds.
const forecastWarmUp = 6 * time.Second

// workVector is an amount of work, or the rate at which a service processes work, for each resource
// that may limit it: CPU reserved by short tasks, CPU used by best-effort tasks, and memory.
type workVector struct {
	shortCPU, bestEffortCPU, memoryMB float64 // rates in mCPU and MB, work in mCPU seconds and MB seconds
}

func (wvc *workVector) add(oth workVector) {
	wvc.shortCPU += oth.shortCPU
	wvc.bestEffortCPU += oth.bestEffortCPU
	wvc.memoryMB += oth.memoryMB
}

// timeAt returns the time that the work takes at a rate.
func (wvc workVector) timeAt(rate workVector) time.Duration {
	return seconds(max(ratio(wvc.shortCPU, rate.shortCPU), ratio(wvc.bestEffortCPU, rate.bestEffortCPU), ratio(wvc.memoryMB, rate.memoryMB)))
}

// maxForecastSeconds is the forecast for work that no instance can process.
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

// backlog is the unfinished work of a queue, with the sums from which the averages of its jobs are
// computed.
type backlog struct {
	service                 fleet.Service
	priority                int
	work                    workVector
	jobs                    int
	criticalPath, objective time.Duration // sums over the jobs
	blocked                 time.Duration // longest time for which a step has found no instance
	progressing             bool          // a startable step is not blocked
}

// Forecasts returns a forecast by queue for a job that is submitted now. The job waits for the work
// of all queues with the same or a higher priority, which the service processes at its current
// rate. Queues without unfinished jobs are left out. The result is nil during the first seconds
// after a takeover: instances that have not reported yet would be missing, and jobs would be
// refused while those instances are idle.
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
			Wait: ahead.timeAt(rates[bkl.service]), JobDuration: bkl.criticalPath / time.Duration(bkl.jobs), Objective: bkl.objective / time.Duration(bkl.jobs),
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

// minBestEffortFraction is the fraction of the idle CPU that best-effort tasks are assumed to get
// at least.
const minBestEffortFraction = 0.4

// bestEffortUseWeight is the weight of one tick in the average CPU use of best-effort tasks. The
// average covers some seconds, so that it includes several pauses.
const bestEffortUseWeight = 0.02

// updateBestEffortUse updates the average CPU that best-effort tasks use. It is less than the idle
// CPU, because best-effort tasks pause to protect serving tasks.
func (sch *Scheduler[O, P]) updateBestEffortUse() {
	used := make(map[fleet.Service]float64)
	sch.eachAttempt(func(att *attempt) {
		if att.step.spec.BestEffort() {
			used[fleet.Service(att.job.spec.Service())] += att.measurement
		}
	})
	if sch.bestEffortUse == nil {
		sch.bestEffortUse = make(map[fleet.Service]float64)
	}
	for _, ins := range sch.instanceList {
		if _, found := sch.bestEffortUse[ins.service]; !found {
			sch.bestEffortUse[ins.service] = 0
		}
	}
	for svc, old := range sch.bestEffortUse {
		sch.bestEffortUse[svc] = old + bestEffortUseWeight*(used[svc]-old)
	}
}

// updateBestEffortWait updates the time that each service needs to process the best-effort tasks
// that could start now.
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

// waitingBestEffort returns the work of the best-effort tasks of an occurrence that wait for an
// instance, in mCPU seconds.
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

// rates returns the rate at which each service can process work beside its long-running tasks. The
// rate for best-effort tasks is limited to their recent average use, because they pause, but not
// below minBestEffortFraction of the idle CPU.
func (sch *Scheduler[O, P]) rates() map[fleet.Service]workVector {
	out := make(map[fleet.Service]workVector)
	for _, ins := range sch.instanceList {
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
