package scenario

import (
	"slices"
	"time"

	"jacinthpost/core/interfere"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// contention returns the present disturbance of a worker.
func (run *Runner[P, G]) contention(wrk *worker[G]) contention {
	cores := float64(run.shape.capacity.MilliCPU()) / 1000
	ctn := contention{load: run.rate() * run.shape.latency.Seconds() / 8}
	demand := 0.0
	for _, exe := range wrk.tasks {
		use := exe.truth.cores * float64(100-exe.percent) / 100
		demand += use
		ctn.noise += exe.truth.class.noise * use / cores
	}
	ctn.busy = demand/cores + ctn.load*8/cores
	return ctn
}

// rate returns the requests per second of one open worker. The requests of a
// data centre that is out move to the others.
func (run *Runner[P, G]) rate() float64 {
	open := 0
	for _, wrk := range run.workers {
		if !wrk.out {
			open++
		}
	}
	return run.shape.requests * float64(len(run.workers)) / float64(max(1, open))
}

// advance runs the tasks of a worker for one step.
func (run *Runner[P, G]) advance(wrk *worker[G]) {
	speed := 1 / max(1, run.contention(wrk).busy)
	memory := int64(0)
	for _, exe := range slices.Clone(wrk.tasks) {
		run.progress(exe, speed)
		memory += exe.truth.used.MemoryMB()
		switch {
		case (exe.truth.poison || wrk.bad) && run.now-exe.since >= failAfter:
			run.end(wrk, exe, place.Failed)
		case exe.truth.left() == 0:
			run.end(wrk, exe, place.Finished)
		case exe.checkAt != 0 && run.now >= exe.checkAt:
			run.checkpointed(wrk, exe)
		}
	}
	if memory > run.shape.capacity.MemoryMB() {
		run.kill(wrk)
	}
	if run.every(UsagePeriod) {
		run.report(wrk, speed)
	}
}

func (run *Runner[P, G]) progress(exe *execution, speed float64) {
	tsk := exe.truth
	done := min(tsk.left(), speed*float64(100-exe.percent)/100*run.shape.step.Seconds())
	tsk.done += done
	if !tsk.poison {
		run.result.work += done * tsk.cores
		if run.now >= run.shape.settled {
			run.result.steadyWork += done * tsk.cores
		}
		if shp := &run.shape; shp.outSite != "" && run.now >= shp.outFrom && run.now < shp.outUntil+place.RampPeriod {
			run.result.outWork += done * tsk.cores
		}
	}
	if run.now/checkpointPeriod != (run.now-run.shape.step)/checkpointPeriod {
		tsk.saved = tsk.done
		run.scheduler.Checkpointed(exe.id, run.time())
	}
}

func (run *Runner[P, G]) checkpointed(wrk *worker[G], exe *execution) {
	exe.truth.saved, exe.checkAt = exe.truth.done, 0
	run.scheduler.Checkpointed(exe.id, run.time())
	wrk.guard.Checkpointed(string(exe.id), run.time())
	if exe.leaving {
		run.end(wrk, exe, place.Interrupted)
	}
}

// kill ends the task that exceeds its reservation most when the memory is used up.
func (run *Runner[P, G]) kill(wrk *worker[G]) {
	if len(wrk.tasks) == 0 {
		return
	}
	worst := slices.MaxFunc(wrk.tasks, func(one, two *execution) int {
		over := func(exe *execution) int64 { return exe.truth.used.MemoryMB() - exe.size.MemoryMB() }
		return int(over(one) - over(two))
	})
	run.end(wrk, worst, place.Failed)
}

// end takes a task off its worker. Work since its checkpoint is lost unless it finished.
func (run *Runner[P, G]) end(wrk *worker[G], exe *execution, end place.End) {
	tsk := exe.truth
	wrk.tasks = slices.DeleteFunc(wrk.tasks, func(oth *execution) bool { return oth == exe })
	wrk.committed = wrk.committed.Minus(exe.size)
	wrk.guard.Ended(string(exe.id))
	if end != place.Finished {
		if !tsk.poison {
			run.result.lost += (tsk.done - tsk.saved) * tsk.cores
		}
		tsk.done = tsk.saved
		run.waiting[exe.id] = tsk
	}
	used := tsk.used
	if run.now-exe.since < UsagePeriod {
		used = resource.Vector{} // too short for a report
	}
	run.note("end", string(exe.id), string(wrk.instance.ID()), string(rune('0'+end)))
	run.scheduler.Ended(exe.id, end, used, "exit status 1", run.time())
}

// report delivers the usage of the previous period and passes on what the guard learned.
func (run *Runner[P, G]) report(wrk *worker[G], speed float64) {
	wrk.used = resource.Vector{}
	for _, exe := range wrk.tasks {
		if exe.lagged != (resource.Vector{}) {
			wrk.guard.ObserveUsage(string(exe.id), exe.lagged, run.time())
			run.scheduler.ObserveUsage(exe.id, exe.truth.used, run.time())
			wrk.used = wrk.used.Plus(exe.lagged)
		}
		part := speed * float64(100-exe.percent) / 100
		exe.lagged = resource.New(int64(part*float64(exe.truth.used.MilliCPU())), exe.truth.used.MemoryMB(), 0)
	}
	for _, obs := range wrk.guard.TakeObservations() {
		run.scheduler.ObserveCost(obs.Service(), obs.Class(), obs.Cost(), obs.Weight(), run.time())
	}
}

// serve draws the requests of one step, shows them to the guards and applies their actions.
func (run *Runner[P, G]) serve() {
	rate := run.rate()
	for _, wrk := range run.workers {
		if wrk.out {
			continue
		}
		ctn := run.contention(wrk)
		wrk.debt += rate * run.shape.step.Seconds()
		count := int(wrk.debt)
		wrk.debt -= float64(count)
		for range count {
			latency := run.shape.latencyOf(ctn, run.requests)
			wrk.guard.ObserveLatency(run.shape.service, latency)
			if run.now > run.shape.warmUp {
				run.result.latencies.add(latency)
			}
		}
		run.act(wrk)
	}
}

// decidePeriod is the period of the guards' decisions.
const decidePeriod = 500 * time.Millisecond

func (run *Runner[P, G]) act(wrk *worker[G]) {
	if !run.every(decidePeriod) {
		return
	}
	for _, act := range wrk.guard.Decide(run.time()) {
		pos := slices.IndexFunc(wrk.tasks, func(exe *execution) bool { return string(exe.id) == act.Task() })
		if pos < 0 {
			continue
		}
		exe := wrk.tasks[pos]
		run.note("act", act.Task(), string(rune('0'+act.Kind())), string(rune('0'+act.Percent())))
		switch act.Kind() {
		case interfere.Throttle:
			exe.percent = act.Percent()
		case interfere.Checkpoint:
			exe.checkAt = run.now + checkpointTime
		case interfere.Evict:
			run.result.evictions++
			run.end(wrk, exe, place.Interrupted)
		}
	}
}

// Audit returns the violated invariants: a worker over its capacity, a task in
// two places, a task that is neither waiting nor running, or a start in a data centre that is out.
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
			if wrk.out && exe.since > run.shape.outFrom {
				faults = append(faults, "start in a data centre that is out: "+string(exe.id))
			}
		}
		if !sum.FitsIn(run.shape.room()) || sum != wrk.committed {
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
