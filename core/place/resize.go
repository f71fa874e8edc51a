package place

import "jacinthpost/core/resource"

// AtLeast returns the task with a lower bound of its size, taken from the use of an earlier attempt.
func (tsk Task) AtLeast(floor resource.Vector) Task {
	tsk.floor = tsk.floor.Max(floor)
	return tsk
}

// Resize records that the agent has changed the amounts committed to a placed task. It returns
// the former amounts, and false if the task is not placed or the size is invalid.
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

// Peak returns the highest reported use of a placed task.
func (sch *Scheduler[P]) Peak(id TaskID) resource.Vector {
	if plc, found := sch.placements[id]; found {
		return plc.peak
	}
	return resource.Vector{}
}
