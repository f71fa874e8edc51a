package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/upkeep"
)

// SetEvacuating sets the workers to evacuate before maintenance of their machines. They get no new
// runs, and their tasks are moved away. All other workers may get runs again.
func (sch *Scheduler[O, P]) SetEvacuating(selected func(Incarnation) bool) {
	for _, ins := range sch.instances {
		evacuating := ins.incarnation != "" && selected(ins.incarnation)
		if ins.evacuating && !evacuating {
			sch.planned = false
		}
		ins.evacuating = evacuating
	}
}

// Load returns the number of runs on the workers whose incarnations match.
func (sch *Scheduler[O, P]) Load(matches func(Incarnation) bool) upkeep.Load {
	var lod upkeep.Load
	for _, ins := range sch.instances {
		if !matches(ins.incarnation) {
			continue
		}
		sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, _ *task, att *attempt) {
			if att.incarnation != ins.incarnation {
				return
			}
			if stp, _ := job.task(tid); stp.spec.LongRunning() {
				lod.LongRunning++
			} else {
				lod.Short++
			}
		})
	}
	return lod
}

// evacuate stops tasks on the instances to evacuate: long-running ones as far as their disruption
// budgets allow, and those with checkpoints, because they lose no work. Other tasks run to their
// end.
func (sch *Scheduler[O, P]) evacuate(now time.Time) {
	for _, ins := range sch.instances {
		if !ins.evacuating {
			continue
		}
		sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
			stp, _ := job.task(tid)
			if att.stopping || stp.spec.Gang() || job.state.Final() {
				return
			}
			if stp.spec.LongRunning() && stp.mayStop(tsk, now) || !stp.spec.LongRunning() && stp.spec.Checkpointing() {
				sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, ins.id, "upkeep")
				sch.stop(job, tid, tsk, att)
			}
		})
	}
}
