package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/upkeep"
)

// SetLeaving replaces the instances that must get no new work and be emptied, because
// their machines are about to go down.
func (sch *Scheduler[O, P]) SetEvacuating(leaves func(Incarnation) bool) {
	for _, ins := range sch.instances {
		leaving := ins.life != "" && leaves(ins.life)
		if ins.leaving && !leaving {
			sch.planned = false
		}
		ins.leaving = leaving
	}
}

// Load returns what runs on the workers of the lives that match.
func (sch *Scheduler[O, P]) Load(matches func(Incarnation) bool) upkeep.Load {
	var lod upkeep.Load
	for _, ins := range sch.instances {
		if !matches(ins.life) {
			continue
		}
		sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, _ *task, att *attempt) {
			if att.life != ins.life {
				return
			}
			if stp, _ := job.task(tid); stp.spec.LongRunning() {
				lod.Lasting++
			} else {
				lod.Short++
			}
		})
	}
	return lod
}

// emptyLeaving moves tasks away from instances that leave: lasting ones as far as their
// disruption budgets allow, and those that lose no work. Other tasks end by themselves.
func (sch *Scheduler[O, P]) emptyLeaving(now time.Time) {
	for _, ins := range sch.instances {
		if !ins.leaving {
			continue
		}
		sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
			stp, _ := job.task(tid)
			if att.stopping || stp.spec.Gang() || job.state.Final() {
				return
			}
			if stp.spec.LongRunning() && stp.mayLose(tsk, now) || !stp.spec.LongRunning() && stp.spec.Checkpointing() {
				sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, ins.id, "upkeep")
				sch.stop(job, tid, tsk, att)
			}
		})
	}
}
