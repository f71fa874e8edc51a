package place

import "jacinthpost/core/resource"

// AtLeast returns the task with the least amounts that an earlier attempt is
// known to need.
func (tsk Task) AtLeast(floor resource.Vector) Task {
	tsk.floor = tsk.floor.Max(floor)
	return tsk
}

// Resize takes in that the agent has committed other amounts to a placed task
// than those offered. It returns the former amounts and whether the task is placed.
func (sch *Scheduler[P]) Resize(id TaskID, size resource.Vector) (resource.Vector, bool) {
	plc, found := sch.placements[id]
	if !found || !size.Valid() {
		return resource.Vector{}, false
	}
	old, viw := plc.size, plc.view
	change := size.Minus(old)
	if plc.accepted {
		viw.reported = viw.reported.Minus(change)
	} else {
		viw.pending = viw.pending.Plus(change)
	}
	viw.addUse(plc.row, change.MilliCPU())
	sch.queue.Ended(plc.task.team, plc.task.urgent, old)
	sch.queue.Started(plc.task.team, plc.task.urgent, size)
	plc.size = size
	sch.refresh(viw)
	return old, true
}

// Peak returns the highest use of a placed task that was reported.
func (sch *Scheduler[P]) Peak(id TaskID) resource.Vector {
	if plc, found := sch.placements[id]; found {
		return plc.peak
	}
	return resource.Vector{}
}
