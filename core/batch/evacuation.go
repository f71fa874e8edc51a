package batch

import (
	"time"

	"jacinthpost/core/upkeep"
)

// SetEvacuating sets the workers to evacuate before maintenance of their machines. They get no new
// runs, and their tasks are moved away. All other workers may get runs again.
func (sch *Scheduler[O, P]) SetEvacuating(selected func(Incarnation) bool) {
	for _, ins := range sch.instanceList {
		evacuating := ins.incarnation != "" && selected(ins.incarnation)
		if ins.evacuating != evacuating {
			ins.evacuating = evacuating
			sch.touch(ins)
			sch.planned = false
		}
	}
}

// Load returns the number of runs on the workers whose incarnations match.
func (sch *Scheduler[O, P]) Load(matches func(Incarnation) bool) upkeep.Load {
	var lod upkeep.Load
	for _, ins := range sch.instanceList {
		if !matches(ins.incarnation) {
			continue
		}
		ins.eachAttempt(func(att *attempt) {
			if att.incarnation != ins.incarnation {
				return
			}
			if att.step.spec.LongRunning() {
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
	for _, ins := range sch.instanceList {
		if !ins.evacuating {
			continue
		}
		ins.eachAttempt(func(att *attempt) {
			stp := att.step
			if att.stopping || stp.spec.Gang() || att.job.state.Final() {
				return
			}
			if stp.spec.LongRunning() && stp.mayStop(att.task, now) || !stp.spec.LongRunning() && stp.spec.Checkpointing() {
				sch.stop(att, stopUpkeep, now)
			}
		})
	}
}
