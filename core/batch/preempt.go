package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Limits of the room that is kept and made for short tasks. Lasting tasks would
// fill the service in time, and then a burst or the loss of a data centre leaves no
// room for short tasks, which are worth far more for the processors that they use.
const (
	leastHeadroom   = 0.04                    // of the service's processors that lasting tasks leave free
	headroomFactor  = 1.5                     // on the processors that short tasks used at most lately
	headroomDecay   = 0.995                   // of the remembered use with each tick
	headroomWait    = 1500 * time.Millisecond // after which a lasting task takes what is free
	roomyFactor     = 2                       // an instance with so much room for a lasting task takes it all the same
	preemptAfter    = 200 * time.Millisecond  // without a place
	preemptInterval = 250 * time.Millisecond  // between preemptions: one makes room for several short tasks
	lastingCost     = 4.0                     // core-seconds that a restart of a lasting task is worth
)

// short reports whether a task reserves processors for a limited time.
func (stp *stepState) short() bool { return !stp.spec.LongRunning() && !stp.spec.BestEffort() }

// noteDemand remembers how many processors short tasks use at most.
func (sch *Scheduler[O, P]) noteDemand() {
	used := make(map[fleet.Service]int64)
	for _, ins := range sch.instances {
		used[ins.service] += ins.shortCPU
	}
	if sch.demand == nil {
		sch.demand = make(map[fleet.Service]float64)
	}
	for svc, cpu := range used {
		sch.demand[svc] = max(float64(cpu), headroomDecay*sch.demand[svc])
	}
}

// spare reports whether a lasting task leaves enough room for short ones.
func (sch *Scheduler[O, P]) spare(svc fleet.Service, stp *stepState) bool {
	var free, whole, short float64
	for _, ins := range sch.instances {
		if ins.service == svc && ins.usable(sch.out) {
			free += float64(ins.free().MilliCPU())
			whole += float64(ins.capacity.MilliCPU())
			short += float64(ins.shortCPU)
		}
	}
	headroom := max(leastHeadroom*whole, headroomFactor*sch.demand[svc])
	return free+short-float64(stp.spec.Need().MilliCPU()) >= headroom
}

// waitedFor reports whether a task of the step has found no place for a time.
func (stp *stepState) waitedFor(dur time.Duration, now time.Time) bool {
	return !stp.blocked.IsZero() && now.Sub(stp.blocked) >= dur
}

// roomy reports whether an instance has room for a task of the step several times over.
func (ins *instance) roomy(stp *stepState) bool {
	return stp.spec.Need().Times(roomyFactor).FitsIn(ins.free())
}

// block notes that a step found no place and makes room for a short one after a while.
func (sch *Scheduler[O, P]) block(can waiting, stp *stepState, now time.Time) {
	if stp.blocked.IsZero() {
		stp.blocked = now
	}
	if !stp.short() || !stp.waitedFor(preemptAfter, now) || now.Sub(sch.preempted) < preemptInterval {
		return
	}
	sch.preempt(can, stp, now)
}

// victim is an attempt whose end makes room.
type victim struct {
	job  *jobState
	tid  TaskID
	tsk  *task
	att  *attempt
	cost float64
}

// preempt stops the attempt that costs least among those whose end makes room for a task.
func (sch *Scheduler[O, P]) preempt(can waiting, stp *stepState, now time.Time) {
	var best *victim
	sch.eachAttempt(func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		vic := victim{job: job, tid: tid, tsk: tsk, att: att}
		if sch.mayPreempt(&vic, can, stp, now) && (best == nil || vic.cost < best.cost) {
			best = &vic
		}
	})
	if best == nil {
		return
	}
	sch.preempted = now
	sch.note(now, decision.RunStopped, best.job.spec.ID(), RunID{Task: best.tid, Run: best.att.run}, best.att.instance, "preempted for "+can.job.spec.ID())
	sch.stop(best.job, best.tid, best.tsk, best.att)
}

// mayPreempt judges a victim and sets its cost.
func (sch *Scheduler[O, P]) mayPreempt(vic *victim, can waiting, stp *stepState, now time.Time) bool {
	ins := sch.instance(vic.att.instance)
	old, _ := vic.job.task(vic.tid)
	lasts := old.spec.LongRunning()
	if vic.job.spec.Service() != can.job.spec.Service() {
		return false
	}
	if vic.att.stopping || old.spec.Gang() || !ins.usable(sch.out) || !ins.hasLabel(stp.spec.Label()) || stp.full(ins.id) {
		return false
	}
	if vic.job.spec.Priority() < can.Priority || !lasts && vic.job.spec.Priority() == can.Priority {
		return false
	}
	if lasts && !old.mayLose(vic.tsk, now) {
		return false
	}
	if !stp.spec.Need().FitsIn(ins.free().Plus(old.spec.Need())) || !helps(old.spec.Need(), stp.spec.Need().Minus(ins.free())) {
		return false
	}
	vic.cost = lastingCost
	if !lasts {
		vic.cost = now.Sub(vic.att.orderedAt).Seconds() * float64(old.spec.MilliCPU()) / 1000
	}
	return true
}

// helps reports whether an amount covers some of what is missing.
func helps(amount, missing resource.Vector) bool {
	return missing.MilliCPU() > 0 && amount.MilliCPU() > 0 || missing.MemoryMB() > 0 && amount.MemoryMB() > 0 ||
		missing.Accelerators() > 0 && amount.Accelerators() > 0
}

// mayLose reports whether the budget of a lasting step allows to take down one more
// task. Every task that is not surely at work counts as away, with those that came
// back a short time ago.
func (stp *stepState) mayLose(tsk *task, now time.Time) bool {
	if stp.spec.MaxUnavailable() == 0 {
		return true
	}
	away := 0
	for _, oth := range stp.tasks {
		if oth != tsk && !oth.atWork(now) {
			away++
		}
	}
	return away < stp.spec.MaxUnavailable()
}

// settledAfter is how long a lasting task must be listed as fully started before it
// counts as at work: reports are half a second old, and the notice of an outage lags.
const settledAfter = time.Second

// atWork reports whether a lasting task serves.
func (tsk *task) atWork(now time.Time) bool {
	for _, att := range tsk.attempts {
		if !att.stopping && att.percent >= fullyStarted && !att.working.IsZero() && now.Sub(att.working) >= settledAfter {
			return true
		}
	}
	return false
}

const fullyStarted = 100 // percent
