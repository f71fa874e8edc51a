package batch

import (
	"slices"
	"time"

	"jacinthpost/core/decision"
)

// stopReason is why a run is stopped, for the decision log.
type stopReason string

// Reasons for stops.
const (
	stopCancelled  stopReason = "job cancelled"
	stopFailed     stopReason = "job failed"
	stopTaskDone   stopReason = "task done"  // by another copy
	stopGangEnded  stopReason = "gang ended" // another member is gone
	stopUnassigned stopReason = "unassigned" // the owner knows no such run
	stopDraining   stopReason = "drain"
	stopUpkeep     stopReason = "upkeep"
	stopOverdue    stopReason = "overdue"
	stopThrottled  stopReason = "slowed down"
	stopDisturbing stopReason = "disturbs serving tasks"
)

func preemptedFor(job string) stopReason { return stopReason("preempted for " + job) }

// unwanted returns why the attempt serves no purpose any more, or an empty string if it does. The reason
// follows from what is stored, so that a new owner also stops the runs that the former one was stopping.
func (att *attempt) unwanted() stopReason {
	switch {
	case att.job.state == JobCancelled:
		return stopCancelled
	case att.job.state == JobFailed:
		return stopFailed
	case att.job.state.Final() || att.task.phase == Done:
		return stopTaskDone
	case att.step.spec.Gang() && !att.step.complete():
		return stopGangEnded
	default:
		return ""
	}
}

// complete reports whether every task of the step has an attempt. A gang in which one has none can't
// work.
func (stp *stepState) complete() bool {
	return !slices.ContainsFunc(stp.tasks, func(tsk *task) bool { return len(tsk.attempts) == 0 })
}

// stop orders an attempt to stop. An attempt whose start order has not been released is dropped at
// once.
func (sch *Scheduler[O, P]) stop(att *attempt, why stopReason, now time.Time) {
	if att.stopping {
		return
	}
	sch.note(now, decision.RunStopped, att.job.spec.ID(), att.id(), att.instance, string(why))
	if !att.released {
		sch.drop(att)
		return
	}
	att.stopping = true
	sch.push(sch.instance(att.instance), Order{Kind: StopRun, ID: att.id()})
}

// stopGang stops the other members of a gang after the end of a member that may not have run,
// because they would wait for it forever. Members of a running gang end by themselves when one of
// them ends.
func (sch *Scheduler[O, P]) stopGang(ended *attempt, cause EndCause, now time.Time) {
	if !ended.step.spec.Gang() || ended.task.phase == Done || cause == EndDone || cause == EndFailed || cause == EndGangEnded {
		return
	}
	for _, oth := range ended.step.tasks {
		for _, att := range slices.Clone(oth.attempts) {
			sch.stop(att, stopGangEnded, now)
		}
	}
}

// stopOrphan orders a listed run without an attempt to stop.
func (sch *Scheduler[O, P]) stopOrphan(ins *instance, rid RunID, now time.Time) {
	if ins.orphans[rid] {
		return
	}
	if ins.orphans == nil {
		ins.orphans = make(map[RunID]bool)
	}
	ins.orphans[rid] = true
	sch.note(now, decision.RunStopped, rid.Task.Job, rid, ins.id, string(stopUnassigned))
	sch.push(ins, Order{Kind: StopRun, ID: rid})
}

// Totals counts what an owner has to do with.
type Totals struct {
	Jobs     int // including final ones that are kept for callers
	Active   int // jobs that are not final
	Runs     int // that may be running
	Unwanted int // runs that serve no purpose any more
}

// Totals returns the present totals.
func (sch *Scheduler[O, P]) Totals() Totals {
	tot := Totals{Jobs: len(sch.jobs), Active: len(sch.active)}
	for _, ins := range sch.instanceList {
		tot.Runs += len(ins.attempts)
		for _, att := range ins.attempts {
			if att.unwanted() != "" {
				tot.Unwanted++
			}
		}
	}
	return tot
}
