package job

import (
	"maps"
	"slices"
	"strconv"
)

// Clone copies a partition without delayed tasks, so that an explorer can branch.
func Clone(par *Partition[*SimplePlacement]) *Partition[*SimplePlacement] {
	cpy := *par
	sim := *par.placement
	sim.instances, sim.byID = slices.Clone(sim.instances), maps.Clone(sim.byID)
	cpy.placement, cpy.jobs, cpy.order = &sim, make(map[ID]*entry), nil
	cpy.instances, cpy.out, cpy.groups = maps.Clone(par.instances), maps.Clone(par.out), maps.Clone(par.groups)
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
	return &cpy
}

// Fingerprint appends the durable and volatile state of a partition.
func Fingerprint(buf []byte, par *Partition[*SimplePlacement]) []byte {
	buf = Put(buf, int64(par.epoch), int64(par.sequence), par.adoptAt.UnixNano(), int64(len(par.delayed)))
	for _, ent := range par.order {
		buf = Put(buf, -1, Bit(ent.cancelled))
		for idx := range ent.tasks {
			tsk := &ent.tasks[idx]
			buf = Put(buf, int64(tsk.state), Bit(tsk.open), Bit(tsk.queued), int64(tsk.assigned.Epoch()), int64(tsk.assigned.Sequence()),
				int64(tsk.holder.Incarnation()))
			buf = append(append(buf, tsk.holder.Instance()...), tsk.checkpoint...)
			if act := tsk.act; act != nil {
				buf = Put(buf, int64(act.token.Epoch()), int64(act.token.Sequence()), int64(act.holder.Incarnation()), act.until.UnixNano(), Bit(act.unconfirmed))
				buf = append(buf, act.holder.Instance()...)
			}
		}
	}
	for _, ins := range slices.Sorted(maps.Keys(par.groups)) {
		grp := par.groups[ins]
		buf = Put(append(buf, ins...), int64(grp.set.Count()), int64(grp.set.Digest()), int64(grp.after), grp.renewedAt.UnixNano(), grp.checkAt.UnixNano())
	}
	for _, viw := range par.placement.instances {
		buf = Put(buf, viw.free.MilliCPU(), viw.committed.MilliCPU(), viw.freeAt.UnixNano(), viw.pausedTo.UnixNano())
	}
	return buf
}

// Put appends numbers; it is much faster than formatting under the race detector.
func Put(buf []byte, values ...int64) []byte {
	for _, val := range values {
		buf = append(strconv.AppendInt(buf, val, 36), ' ')
	}
	return buf
}

// Bit returns one for true.
func Bit(val bool) int64 {
	if val {
		return 1
	}
	return 0
}
