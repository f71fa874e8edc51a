package job

import (
	"fmt"
	"maps"
	"slices"
)

// Clone copies a partition under the built-in placement, so that an explorer can branch.
func Clone(par *Partition[*Simple]) *Partition[*Simple] {
	cpy := *par
	sim := *par.placement
	sim.seats, sim.byID = slices.Clone(sim.seats), maps.Clone(sim.byID)
	cpy.placement, cpy.jobs, cpy.order = &sim, make(map[ID]*entry), nil
	cpy.instances, cpy.out = maps.Clone(par.instances), maps.Clone(par.out)
	cpy.queue, cpy.active, cpy.delayed = newLanes(compareTasks), nil, nil
	for _, ent := range par.order {
		dup := *ent
		dup.tasks = slices.Clone(ent.tasks)
		for idx := range dup.tasks {
			tsk := &dup.tasks[idx]
			tsk.entry = &dup
			if tsk.act != nil {
				act := *tsk.act
				tsk.act = &act
			}
			if tsk.queued {
				cpy.queue.push(sim.Lane(dup.spec), tsk)
			}
		}
		cpy.jobs[dup.id], cpy.order = &dup, append(cpy.order, &dup)
	}
	for _, tsk := range par.active {
		cpy.active = append(cpy.active, &cpy.jobs[tsk.entry.id].tasks[tsk.index])
	}
	for _, dly := range par.delayed {
		cpy.delayed = append(cpy.delayed, delay{until: dly.until, task: &cpy.jobs[dly.task.entry.id].tasks[dly.task.index]})
	}
	return &cpy
}

// Fingerprint appends the durable and volatile state of a partition.
func Fingerprint(buf []byte, par *Partition[*Simple]) []byte {
	buf = fmt.Appendf(buf, "e%d.%d a%d d%d", par.epoch, par.sequence, par.adoptAt.UnixNano(), len(par.delayed))
	for _, ent := range par.order {
		buf = fmt.Appendf(buf, "|%s %t", ent.id, ent.cancelled)
		for idx := range ent.tasks {
			tsk := &ent.tasks[idx]
			buf = fmt.Appendf(buf, ";%d %t %t %v %v %s", tsk.state, tsk.open, tsk.queued, tsk.assigned, tsk.holder, tsk.checkpoint)
			if act := tsk.act; act != nil {
				buf = fmt.Appendf(buf, " %v %v %d %t", act.token, act.holder, act.until.UnixNano(), act.unconfirmed)
			}
		}
	}
	for _, sea := range par.placement.seats {
		buf = fmt.Appendf(buf, "&%v %v %d %d", sea.free, sea.committed, sea.freeAt.UnixNano(), sea.pausedTo.UnixNano())
	}
	return buf
}
