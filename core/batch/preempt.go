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
	minHeadroomFraction    = 0.04                    // of the service's processors that lasting tasks leave free
	headroomFactor         = 1.5                     // on the processors that short tasks used at most lately
	shortPeakDecay         = 0.995                   // of the remembered use with each tick
	headroomWait           = 1500 * time.Millisecond // after which a lasting task takes what is free
	ampleRoomFactor        = 2                       // an instance with so much room for a lasting task takes it all the same
	preemptAfter           = 200 * time.Millisecond  // without a place
	preemptInterval        = 250 * time.Millisecond  // between preemptions: one makes room for several short tasks
	longRunningRestartCost = 4.0                     // core-seconds that a restart of a lasting task is worth
)

// short reports whether a task reserves processors for a limited time.
func (stp *stepState) short() bool { return !stp.spec.LongRunning() && !stp.spec.BestEffort() }

// noteDemand remembers how many processors short tasks use at most.
func (sch *Scheduler[O, P]) updateShortPeak() {
	used := make(map[fleet.Service]int64)
	for _, ins := range sch.instances {
		used[ins.service] += ins.shortCPU
	}
	if sch.shortPeak == nil {
		sch.shortPeak = make(map[fleet.Service]float64)
	}
	for svc, cpu := range used {
		sch.shortPeak[svc] = max(float64(cpu), shortPeakDecay*sch.shortPeak[svc])
	}
}

// spare reports whether a lasting task leaves enough room for short ones.
func (sch *Scheduler[O, P]) keepsHeadroom(svc fleet.Service, stp *stepState) bool {
	var free, total, short float64
	for _, ins := range sch.instances {
		if ins.service == svc && ins.usable(sch.excluded) {
			free += float64(ins.free().MilliCPU())
			total += float64(ins.capacity.MilliCPU())
			short += float64(ins.shortCPU)
		}
	}
	headroom := max(minHeadroomFraction*total, headroomFactor*sch.shortPeak[svc])
	return free+short-float64(stp.spec.Need().MilliCPU()) >= headroom
}

// waitedFor reports whether a task of the step has found no place for a time.
func (stp *stepState) blockedFor(dur time.Duration, now time.Time) bool {
	return !stp.blockedSince.IsZero() && now.Sub(stp.blockedSince) >= dur
}

// roomy reports whether an instance has room for a task of the step several times over.
func (ins *instance) hasAmpleRoom(stp *stepState) bool {
	return stp.spec.Need().Times(ampleRoomFactor).FitsIn(ins.free())
}

// block notes that a step found no place and makes room for a short one after a while.
func (sch *Scheduler[O, P]) recordBlocked(can waitingStep, stp *stepState, now time.Time) {
	if stp.blockedSince.IsZero() {
		stp.blockedSince = now
	}
	if !stp.short() || !stp.blockedFor(preemptAfter, now) || now.Sub(sch.preemptedAt) < preemptInterval {
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
func (sch *Scheduler[O, P]) preempt(can waitingStep, stp *stepState, now time.Time) {
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
	sch.preemptedAt = now
	sch.note(now, decision.RunStopped, best.job.spec.ID(), RunID{Task: best.tid, Run: best.att.run}, best.att.instance, "preempted for "+can.job.spec.ID())
	sch.stop(best.job, best.tid, best.tsk, best.att)
}

// mayPreempt judges a victim and sets its cost.
func (sch *Scheduler[O, P]) mayPreempt(vic *victim, can waitingStep, stp *stepState, now time.Time) bool {
	ins := sch.instance(vic.att.instance)
	old, _ := vic.job.task(vic.tid)
	longRunning := old.spec.LongRunning()
	if vic.job.spec.Service() != can.job.spec.Service() {
		return false
	}
	if vic.att.stopping || old.spec.Gang() || !ins.usable(sch.excluded) || !ins.hasLabel(stp.spec.Label()) || stp.atLimit(ins.id) {
		return false
	}
	if vic.job.spec.Priority() < can.Priority || !longRunning && vic.job.spec.Priority() == can.Priority {
		return false
	}
	if longRunning && !old.mayStop(vic.tsk, now) {
		return false
	}
	if !stp.spec.Need().FitsIn(ins.free().Plus(old.spec.Need())) || !covers(old.spec.Need(), stp.spec.Need().Minus(ins.free())) {
		return false
	}
	vic.cost = longRunningRestartCost
	if !longRunning {
		vic.cost = now.Sub(vic.att.orderedAt).Seconds() * float64(old.spec.MilliCPU()) / 1000
	}
	return true
}

// helps reports whether an amount covers some of what is missing.
func covers(amount, missing resource.Vector) bool {
	return missing.MilliCPU() > 0 && amount.MilliCPU() > 0 || missing.MemoryMB() > 0 && amount.MemoryMB() > 0 ||
		missing.Accelerators() > 0 && amount.Accelerators() > 0
}

// mayLose reports whether the budget of a lasting step allows to take down one more
// task. Every task that is not surely at work counts as away, with those that came
// back a short time ago.
func (stp *stepState) mayStop(tsk *task, now time.Time) bool {
	if stp.spec.MaxUnavailable() == 0 {
		return true
	}
	away := 0
	for _, oth := range stp.tasks {
		if oth != tsk && !oth.serving(now) {
			away++
		}
	}
	return away < stp.spec.MaxUnavailable()
}

// settledAfter is how long a lasting task must be listed as fully started before it
// counts as at work: reports are half a second old, and the notice of an outage lags.
const stableAfter = time.Second

// atWork reports whether a lasting task serves.
func (tsk *task) serving(now time.Time) bool {
	for _, att := range tsk.attempts {
		if !att.stopping && att.percent >= fullyStarted && !att.workingSince.IsZero() && now.Sub(att.workingSince) >= stableAfter {
			return true
		}
	}
	return false
}

const fullyStarted = 100 // percent
