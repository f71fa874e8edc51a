package batch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Limits of the headroom that is kept for short tasks, and of preemptions for them. Without
// headroom, long-running tasks would fill the service over time, and after a burst or the loss of a
// data centre there would be no room for short tasks, which have far more value for the CPU that
// they use.
const (
	// minHeadroomFraction is the least fraction of a service's CPU to keep free.
	minHeadroomFraction = 0.04
	// headroomFactor is the headroom relative to the recent peak of the CPU that short tasks reserve.
	headroomFactor = 1.5
	// shortPeakDecay is the factor on the remembered peak at each tick.
	shortPeakDecay = 0.995
	// headroomWait is the time after which a blocked long-running task may use the headroom.
	headroomWait = 1500 * time.Millisecond
	// ampleRoomFactor is the number of long-running tasks for which an instance must have room so that
	// one may start on it even if the headroom is not kept.
	ampleRoomFactor = 2
	// preemptAfter is the time after which a blocked short task may preempt another task.
	preemptAfter = 200 * time.Millisecond
	// preemptInterval is the time between preemptions. One makes room for several short tasks.
	preemptInterval = 250 * time.Millisecond
	// longRunningRestartCost is the cost of restarting a long-running task, in core-seconds of lost work.
	longRunningRestartCost = 4.0
)

// short reports whether the tasks are short: they reserve CPU, and for a limited time.
func (stp *stepState) short() bool { return !stp.spec.LongRunning() && !stp.spec.BestEffort() }

// updateShortPeak updates the decaying peak of the CPU that short tasks reserve in each service.
func (sch *Scheduler[O, P]) updateShortPeak() {
	used := make(map[fleet.Service]int64)
	for _, ins := range sch.instanceList {
		used[ins.service] += ins.shortCPU
	}
	if sch.shortPeak == nil {
		sch.shortPeak = make(map[fleet.Service]float64)
	}
	for svc, cpu := range used {
		sch.shortPeak[svc] = max(float64(cpu), shortPeakDecay*sch.shortPeak[svc])
	}
}

// keepsHeadroom reports whether the headroom for short tasks remains free when a long-running task
// starts.
func (sch *Scheduler[O, P]) keepsHeadroom(svc fleet.Service, stp *stepState) bool {
	var free, total, short float64
	for _, ins := range sch.instanceList {
		if ins.service == svc && ins.usable(sch.excluded) {
			free += float64(ins.free().MilliCPU())
			total += float64(ins.capacity.MilliCPU())
			short += float64(ins.shortCPU)
		}
	}
	headroom := max(minHeadroomFraction*total, headroomFactor*sch.shortPeak[svc])
	return free+short-float64(stp.spec.Need().MilliCPU()) >= headroom
}

// blockedFor reports whether a task of the step has found no instance for at least a time.
func (stp *stepState) blockedFor(dur time.Duration, now time.Time) bool {
	return !stp.blockedSince.IsZero() && now.Sub(stp.blockedSince) >= dur
}

// hasAmpleRoom reports whether an instance has room for several tasks of the step.
func (ins *instance) hasAmpleRoom(stp *stepState) bool {
	return stp.spec.Need().Times(ampleRoomFactor).FitsIn(ins.free())
}

// recordBlocked records that a task of the step found no instance. If a short step has been blocked
// for some time it preempts another task.
func (sch *Scheduler[O, P]) recordBlocked(can waitingStep, stp *stepState, now time.Time) {
	if stp.blockedSince.IsZero() {
		stp.blockedSince = now
	}
	if !stp.short() || !stp.blockedFor(preemptAfter, now) || now.Sub(sch.preemptedAt) < preemptInterval {
		return
	}
	sch.preempt(can, stp, now)
}

// victim is an attempt that may be stopped to make room, with the cost of stopping it.
type victim struct {
	att  *attempt
	cost float64
}

// before reports whether a victim is to be stopped rather than another one. The task ID breaks ties, so
// that decisions are deterministic.
func (vic victim) before(oth victim) bool {
	if oth.att == nil || vic.cost != oth.cost {
		return oth.att == nil || vic.cost < oth.cost
	}
	return vic.att.taskID.String() < oth.att.taskID.String()
}

// preempt stops the attempt with the lowest cost among those whose end makes room for a task.
func (sch *Scheduler[O, P]) preempt(can waitingStep, stp *stepState, now time.Time) {
	var best victim
	sch.eachAttempt(func(att *attempt) {
		if cost, found := sch.preemptionCost(att, can, stp, now); found {
			if vic := (victim{att: att, cost: cost}); vic.before(best) {
				best = vic
			}
		}
	})
	if best.att == nil {
		return
	}
	sch.preemptedAt = now
	sch.stop(best.att, preemptedFor(can.job.spec.ID()), now)
}

// preemptionCost returns the cost of stopping an attempt for a step, and whether it may be stopped.
func (sch *Scheduler[O, P]) preemptionCost(att *attempt, can waitingStep, stp *stepState, now time.Time) (float64, bool) {
	ins, old := sch.instance(att.instance), att.step
	longRunning := old.spec.LongRunning()
	if att.job.spec.Service() != can.job.spec.Service() {
		return 0, false
	}
	if att.stopping || old.spec.Gang() || !ins.usable(sch.excluded) || !ins.hasLabel(stp.spec.Label()) || stp.atLimit(ins.id) {
		return 0, false
	}
	if att.job.spec.Priority() < can.Priority || !longRunning && att.job.spec.Priority() == can.Priority {
		return 0, false
	}
	if longRunning && !old.mayStop(att.task, now) {
		return 0, false
	}
	if !stp.spec.Need().FitsIn(ins.free().Plus(old.spec.Need())) || !covers(old.spec.Need(), stp.spec.Need().Minus(ins.free())) {
		return 0, false
	}
	if longRunning {
		return longRunningRestartCost, true
	}
	return now.Sub(att.orderedAt).Seconds() * float64(old.spec.MilliCPU()) / 1000, true
}

// covers reports whether an amount contains some of a missing resource.
func covers(amount, missing resource.Vector) bool {
	return missing.MilliCPU() > 0 && amount.MilliCPU() > 0 || missing.MemoryMB() > 0 && amount.MemoryMB() > 0 ||
		missing.Accelerators() > 0 && amount.Accelerators() > 0
}

// mayStop reports whether the disruption budget of a long-running step allows one more task to be
// stopped. Tasks that are not certainly serving count as unavailable, including those that started a
// short time ago.
func (stp *stepState) mayStop(tsk *task, now time.Time) bool {
	if stp.spec.MaxUnavailable() == 0 {
		return true
	}
	unavailable := 0
	for _, oth := range stp.tasks {
		if oth != tsk && !oth.serving(now) {
			unavailable++
		}
	}
	return unavailable < stp.spec.MaxUnavailable()
}

// stableAfter is how long a long-running task must have been running before it counts as serving.
// Reports are up to half a second old, and outages are noticed with a delay.
const stableAfter = time.Second

// serving reports whether a long-running task is certainly serving.
func (tsk *task) serving(now time.Time) bool {
	for _, att := range tsk.attempts {
		if !att.stopping && att.percent >= fullyStarted && !att.workingSince.IsZero() && now.Sub(att.workingSince) >= stableAfter {
			return true
		}
	}
	return false
}

const fullyStarted = 100 // percent
