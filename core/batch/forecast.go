package batch

import (
	"slices"
	"time"

	"jacinthpost/core/admission"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// sizesKnownAfter is when every worker that lives has told its size to a new owner.
const sizesKnownAfter = 15 * time.Second

// learnSize remembers the largest workers of each service, also those that are gone: one may come back.
func (sch *Scheduler[O, P]) learnSize(rep Report) {
	old := sch.sizes[rep.Service]
	fits := func(siz resource.Vector) bool { return rep.Capacity.FitsIn(siz) }
	if rep.Incarnation == "" || slices.ContainsFunc(old, fits) {
		return
	}
	if sch.sizes == nil {
		sch.sizes = make(map[fleet.Service][]resource.Vector)
	}
	sch.sizes[rep.Service] = admission.Maximal(append(slices.Clone(old), rep.Capacity))
}

// Sizes returns the sizes of the largest workers of each service, nil until they are known.
func (sch *Scheduler[O, P]) WorkerSizes(now time.Time) map[fleet.Service][]resource.Vector {
	if now.Sub(sch.since) < sizesKnownAfter {
		return nil
	}
	return sch.sizes
}

// forecastsAfter is when a new owner can predict: by then the instances have reported to it, and it
// has seen for some seconds how many processors filling tasks use.
const forecastsAfter = 6 * time.Second

// amount is work, or the rate at which a service carries it out, by what binds it:
// processors reserved by short tasks, processors used by filling ones, and memory.
type amount struct {
	short, fills, memory float64 // in mCPU and MB, times seconds for work
}

func (amt *amount) add(oth amount) {
	amt.short += oth.short
	amt.fills += oth.fills
	amt.memory += oth.memory
}

// over returns how long work takes at a rate.
func (amt amount) over(rate amount) time.Duration {
	return seconds(max(ratio(amt.short, rate.short), ratio(amt.fills, rate.fills), ratio(amt.memory, rate.memory)))
}

// longestForecast stands for work that nothing can carry out, in seconds.
const longestForecast = 3600

func ratio(work, rate float64) float64 {
	switch {
	case work <= 0:
		return 0
	case rate <= 0:
		return longestForecast
	default:
		return min(longestForecast, work/rate)
	}
}

// backlog is the unfinished work of a queue and what a usual job of it looks like.
type backlog struct {
	service          fleet.Service
	priority         int
	work             amount
	jobs             int
	chain, objective time.Duration // sums over the jobs
	blocked          time.Duration // the longest time for which a step has found no place
	flowing          bool          // a step that wants to start is not blocked
}

// Forecasts predicts by queue what happens to a job that is handed in now. The work of
// all queues of the same or a higher priority goes before, and drains at the rate that the
// service has for it. Queues without unfinished jobs are left out. A new owner predicts nothing at
// first: it would take instances that have not reported for lost, and refuse jobs while they stand idle.
func (sch *Scheduler[O, P]) Forecasts(now time.Time) map[string]admission.Forecast {
	if now.Sub(sch.since) < forecastsAfter {
		return nil
	}
	queues := sch.backlogs(now)
	rates := sch.rates()
	out := make(map[string]admission.Forecast, len(queues))
	for name, bkl := range queues {
		var ahead amount
		for _, oth := range queues {
			if oth.service == bkl.service && oth.priority <= bkl.priority {
				ahead.add(oth.work)
			}
		}
		fct := admission.Forecast{
			Wait: ahead.over(rates[bkl.service]), JobDuration: bkl.chain / time.Duration(bkl.jobs), Objective: bkl.objective / time.Duration(bkl.jobs),
		}
		if !bkl.flowing {
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
	chain := job.spec.CriticalPath(func(num int) time.Duration { return sch.learned.predict(job.spec.Queue(), occ.steps[num]) })
	bkl.jobs++
	bkl.chain += chain
	bkl.objective += time.Duration(job.spec.Stretch()*float64(chain)) + job.spec.TargetLatency()
	for num, stp := range occ.steps {
		left := float64(len(stp.tasks)-stp.done) * sch.learned.predict(job.spec.Queue(), stp).Seconds()
		bkl.work.memory += left * float64(stp.spec.Need().MemoryMB())
		if stp.spec.BestEffort() {
			bkl.work.fills += left * float64(stp.spec.MilliCPU())
		} else {
			bkl.work.short += left * float64(stp.spec.MilliCPU())
		}
		switch {
		case !occ.turn(num) || !stp.wants(now):
		case stp.blocked.IsZero():
			bkl.flowing = true
		default:
			bkl.blocked = max(bkl.blocked, now.Sub(stp.blocked))
		}
	}
}

// leastFillRate is the part of the idle processors that filling tasks get at least in the end.
const leastFillRate = 0.4

// fillUseWeight is the weight of one tick in the mean use by filling tasks: it covers some
// seconds, several pauses.
const fillUseWeight = 0.02

// noteFillUse follows how many processors filling tasks really use: less than what is idle,
// because they pause for the sake of serving tasks.
func (sch *Scheduler[O, P]) noteFillUse() {
	used := make(map[fleet.Service]float64)
	sch.eachAttempt(func(job *jobState, tid TaskID, _ *task, att *attempt) {
		if stp, _ := job.task(tid); stp.spec.BestEffort() {
			used[fleet.Service(job.spec.Service())] += att.figure
		}
	})
	if sch.fillUse == nil {
		sch.fillUse = make(map[fleet.Service]float64)
	}
	for _, ins := range sch.instances {
		if _, found := sch.fillUse[ins.service]; !found {
			sch.fillUse[ins.service] = 0
		}
	}
	for svc, old := range sch.fillUse {
		sch.fillUse[svc] = old + fillUseWeight*(used[svc]-old)
	}
}

// noteFillWait works out for how long the filling tasks that could start now keep each service busy.
func (sch *Scheduler[O, P]) noteFillWait(now time.Time) {
	work := make(map[fleet.Service]float64)
	sch.eachOccurrence(func(job *jobState, occ *occurrence) {
		work[fleet.Service(job.spec.Service())] += sch.waitingFill(job, occ, now)
	})
	rates := sch.rates()
	sch.fillWait = make(map[fleet.Service]time.Duration, len(work))
	for svc, amt := range work {
		sch.fillWait[svc] = seconds(ratio(amt, rates[svc].fills))
	}
}

// waitingFill returns the work of the filling tasks of an occurrence that wait for a place, in mCPU seconds.
func (sch *Scheduler[O, P]) waitingFill(job *jobState, occ *occurrence, now time.Time) float64 {
	sum := 0.0
	for num, stp := range occ.steps {
		if !stp.spec.BestEffort() || !occ.turn(num) || !stp.wants(now) {
			continue
		}
		waits := 0
		for _, tsk := range stp.tasks {
			if tsk.ready(now) {
				waits++
			}
		}
		sum += float64(waits) * sch.learned.predict(job.spec.Queue(), stp).Seconds() * float64(stp.spec.MilliCPU())
	}
	return sum
}

// rates returns what each service can carry out in a second beside its lasting tasks, while
// work waits. Filling tasks get what they have used lately, once that is known.
func (sch *Scheduler[O, P]) rates() map[fleet.Service]amount {
	out := make(map[fleet.Service]amount)
	for _, ins := range sch.instances {
		if !ins.usable(sch.out) {
			continue
		}
		rate := out[ins.service]
		rate.add(amount{
			short:  float64(ins.free().MilliCPU() + ins.shortCPU),
			fills:  ins.site().idle() + float64(ins.fillCPU),
			memory: float64(ins.capacity.MemoryMB() - ins.lastingMB),
		})
		out[ins.service] = rate
	}
	for svc, rate := range out {
		rate.fills = min(rate.fills, max(leastFillRate*rate.fills, sch.fillUse[svc]))
		out[svc] = rate
	}
	return out
}
