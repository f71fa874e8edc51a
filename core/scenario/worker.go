package scenario

import (
	"slices"
	"time"

	"jacinthpost/core/interfere"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// contention returns the present contention on a worker.
func (run *Runner[P, G]) contention(wrk *worker[G]) contention {
	cores := float64(run.config.capacity.MilliCPU()) / 1000
	ctn := contention{serviceLoad: run.requestRate() * run.config.latency.Seconds() / 8}
	demand := 0.0
	for _, exe := range wrk.tasks {
		use := exe.task.cores * float64(100-exe.throttlePercent) / 100
		demand += use
		ctn.interference += exe.task.class.interference * use / cores
	}
	ctn.busy = demand/cores + ctn.serviceLoad*8/cores
	return ctn
}

// requestRate returns the requests per second and worker. During an outage the requests of the data
// centre move to the workers of the others.
func (run *Runner[P, G]) requestRate() float64 {
	open := 0
	for _, wrk := range run.workers {
		if !wrk.out {
			open++
		}
	}
	return run.config.requestRate * float64(len(run.workers)) / float64(max(1, open))
}

// advance runs the tasks of a worker for a step.
func (run *Runner[P, G]) advance(wrk *worker[G]) {
	speed := 1 / max(1, run.contention(wrk).busy)
	memory := int64(0)
	for _, exe := range slices.Clone(wrk.tasks) {
		run.progress(exe, speed)
		memory += exe.task.used.MemoryMB()
		switch {
		case (exe.task.alwaysFails || wrk.broken) && run.now-exe.startedAt >= failureDelay:
			run.end(wrk, exe, place.Failed)
		case exe.task.remainingSeconds() == 0:
			run.end(wrk, exe, place.Finished)
		case exe.checkpointAt != 0 && run.now >= exe.checkpointAt:
			run.checkpointed(wrk, exe)
		}
	}
	if memory > run.config.capacity.MemoryMB() {
		run.killForMemory(wrk)
	}
	if run.isDue(UsagePeriod) {
		run.report(wrk, speed)
	}
}

func (run *Runner[P, G]) progress(exe *execution, speed float64) {
	tsk := exe.task
	done := min(tsk.remainingSeconds(), speed*float64(100-exe.throttlePercent)/100*run.config.step.Seconds())
	tsk.doneSeconds += done
	if !tsk.alwaysFails {
		run.result.work += done * tsk.cores
		if run.now >= run.config.settled {
			run.result.steadyWork += done * tsk.cores
		}
		if cfg := &run.config; cfg.outageSite != "" && run.now >= cfg.outageStart && run.now < cfg.outageEnd+place.RampPeriod {
			run.result.outageWork += done * tsk.cores
		}
	}
	if run.now/checkpointPeriod != (run.now-run.config.step)/checkpointPeriod {
		tsk.savedSeconds = tsk.doneSeconds
		run.scheduler.Checkpointed(exe.id, run.time())
	}
}

func (run *Runner[P, G]) checkpointed(wrk *worker[G], exe *execution) {
	exe.task.savedSeconds, exe.checkpointAt = exe.task.doneSeconds, 0
	run.scheduler.Checkpointed(exe.id, run.time())
	wrk.guard.Checkpointed(string(exe.id), run.time())
	if exe.evicting {
		run.end(wrk, exe, place.Interrupted)
	}
}

// killForMemory fails the task that exceeds its memory reservation most.
func (run *Runner[P, G]) killForMemory(wrk *worker[G]) {
	if len(wrk.tasks) == 0 {
		return
	}
	worst := slices.MaxFunc(wrk.tasks, func(one, two *execution) int {
		over := func(exe *execution) int64 { return exe.task.used.MemoryMB() - exe.size.MemoryMB() }
		return int(over(one) - over(two))
	})
	run.end(wrk, worst, place.Failed)
}

// end removes a task from its worker. Unless it finished, its work since the last checkpoint is lost.
func (run *Runner[P, G]) end(wrk *worker[G], exe *execution, end place.End) {
	tsk := exe.task
	wrk.tasks = slices.DeleteFunc(wrk.tasks, func(oth *execution) bool { return oth == exe })
	wrk.committed = wrk.committed.Minus(exe.size)
	wrk.guard.Ended(string(exe.id))
	if end != place.Finished {
		if !tsk.alwaysFails {
			run.result.lostWork += (tsk.doneSeconds - tsk.savedSeconds) * tsk.cores
		}
		tsk.doneSeconds = tsk.savedSeconds
		run.waiting[exe.id] = tsk
	}
	used := tsk.used
	if run.now-exe.startedAt < UsagePeriod {
		used = resource.Vector{} // too short for a report
	}
	run.addToHash("end", string(exe.id), string(wrk.instance.ID()), string(rune('0'+end)))
	run.scheduler.Ended(exe.id, end, used, "exit status 1", run.time())
}

// report delivers the usage of the previous period to the guard and the scheduler, and the observed
// costs of the guard to the scheduler.
func (run *Runner[P, G]) report(wrk *worker[G], speed float64) {
	wrk.used = resource.Vector{}
	for _, exe := range wrk.tasks {
		if exe.lastUsage != (resource.Vector{}) {
			wrk.guard.ObserveUsage(string(exe.id), exe.lastUsage, run.time())
			run.scheduler.ObserveUsage(exe.id, exe.task.used, run.time())
			wrk.used = wrk.used.Plus(exe.lastUsage)
		}
		part := speed * float64(100-exe.throttlePercent) / 100
		exe.lastUsage = resource.New(int64(part*float64(exe.task.used.MilliCPU())), exe.task.used.MemoryMB(), 0)
	}
	for _, obs := range wrk.guard.TakeObservations() {
		run.scheduler.ObserveCost(obs.Service(), obs.Class(), obs.Cost(), obs.Weight(), run.time())
	}
}

// serveRequests draws the requests of a step, passes their latencies to the guards and applies the
// actions of the guards.
func (run *Runner[P, G]) serveRequests() {
	rate := run.requestRate()
	for _, wrk := range run.workers {
		if wrk.out {
			continue
		}
		ctn := run.contention(wrk)
		wrk.pendingRequests += rate * run.config.step.Seconds()
		count := int(wrk.pendingRequests)
		wrk.pendingRequests -= float64(count)
		for range count {
			latency := run.config.latencyOf(ctn, run.requestRand)
			wrk.guard.ObserveLatency(run.config.service, latency)
			if run.now > run.config.warmUp {
				run.result.latencies.add(latency)
			}
		}
		run.applyActions(wrk)
	}
}

// decidePeriod is the period of the guards' decisions.
const decisionPeriod = 500 * time.Millisecond

func (run *Runner[P, G]) applyActions(wrk *worker[G]) {
	if !run.isDue(decisionPeriod) {
		return
	}
	for _, act := range wrk.guard.Decide(run.time()) {
		pos := slices.IndexFunc(wrk.tasks, func(exe *execution) bool { return string(exe.id) == act.Task() })
		if pos < 0 {
			continue
		}
		exe := wrk.tasks[pos]
		run.addToHash("act", act.Task(), string(rune('0'+act.Kind())), string(rune('0'+act.Percent())))
		switch act.Kind() {
		case interfere.Throttle:
			exe.throttlePercent = act.Percent()
		case interfere.Checkpoint:
			exe.checkpointAt = run.now + checkpointTime
		case interfere.Evict:
			run.result.evictions++
			run.end(wrk, exe, place.Interrupted)
		}
	}
}

// Violations returns the violated invariants: a worker over its capacity, a task that runs or waits
// twice, a task that neither waits nor runs, or a start in a data centre during its outage.
func (run *Runner[P, G]) Violations() []string {
	var faults []string
	seen := make(map[place.TaskID]bool)
	for _, wrk := range run.workers {
		sum := resource.Vector{}
		for _, exe := range wrk.tasks {
			sum = sum.Plus(exe.size)
			if seen[exe.id] || run.waiting[exe.id] != nil {
				faults = append(faults, "task in two places: "+string(exe.id))
			}
			seen[exe.id] = true
			if wrk.out && exe.startedAt > run.config.outageStart {
				faults = append(faults, "start in a data centre that is out: "+string(exe.id))
			}
		}
		if !sum.FitsIn(run.config.batchCapacity()) || sum != wrk.committed {
			faults = append(faults, "worker over capacity: "+string(wrk.instance.ID()))
		}
	}
	if held := run.scheduler.Waiting() + run.scheduler.Delayed() + run.scheduler.ParkedTasks(); held != len(run.waiting) {
		faults = append(faults, "waiting tasks lost")
	}
	if run.scheduler.Placed() != len(seen) {
		faults = append(faults, "placed tasks lost")
	}
	return faults
}
