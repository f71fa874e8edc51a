package job

import (
	"fmt"

	"jacinthpost/core/fleet"
)

// Report is an ended assignment as its agent reports it.
type Report struct {
	ref Ref
	end End
}

// NewReport returns the report of an ended assignment.
func NewReport(ref Ref, end End) Report { return Report{ref: ref, end: end} }

// Ref returns the assignment.
func (rpt Report) Ref() Ref { return rpt.ref }

// End returns how it ended.
func (rpt Report) End() End { return rpt.end }

// Report takes in ended assignments. An end with an outdated token changes
// nothing. Both kinds are acknowledged once the records are durable.
func (par *Partition[P]) Report(env Env, tag Tag, reps []Report) *Output {
	out := &Output{}
	ack := ReportReply{tag: tag}
	for _, rpt := range reps {
		par.ended(env, out, rpt.ref, rpt.end)
		ack.recorded = append(ack.recorded, rpt.ref)
		if ent := par.jobs[rpt.ref.job]; ent != nil {
			ack.after = max(ack.after, ent.recorded)
		}
	}
	out.emit(ack)
	par.dispatch(env, out)
	return out
}

// ended takes in the end of one assignment.
func (par *Partition[P]) ended(env Env, out *Output, ref Ref, end End) {
	tsk := par.find(ref)
	if tsk == nil {
		return
	}
	if tsk.state == Offered && tsk.act.token == ref.token {
		par.withdraw(tsk)
		return
	}
	if !tsk.open || tsk.assigned != ref.token || tsk.state == Finished || tsk.state == Cancelled {
		return
	}
	if tsk.state == Parked && tsk.normalize(end).kind == EndLost {
		return // it is parked for this reason
	}
	if tsk.state == Offered {
		// The offer was made after the assignment had been given up for lost. It
		// would resume from an older checkpoint.
		par.withdraw(tsk)
	}
	par.endTask(env, out, tsk, end)
}

// endTask records the end of the open assignment and decides about a failure.
func (par *Partition[P]) endTask(env Env, out *Output, tsk *task, end End) {
	held := tsk.act != nil
	end = tsk.normalize(end)
	end.evicted = end.evicted || tsk.state == Stopping && !tsk.entry.cancelled
	if held && tsk.parksLost(end) {
		end.detail = tsk.mayHaveRun(end, env.now)
	}
	viw, ins := tsk.view(), tsk.holder.Instance()
	ref := tsk.ref(tsk.assigned)
	par.record(out, NewRecord(TaskEnded, ref, env.now.UnixMilli()).WithEnd(end))
	if !held {
		return
	}
	vdt := par.placement.Ended(viw, ins, end, env.now)
	if end.kind != EndFailed || tsk.state != Queued {
		return
	}
	if vdt.park {
		par.record(out, NewRecord(TaskParked, ref, env.now.UnixMilli()).
			WithEnd(NewEnd(EndFailed, "").WithResult(nil, vdt.explanation)))
		return
	}
	if vdt.delay > 0 {
		par.queue.remove(par.placement.Lane(tsk.entry.spec), tsk)
		tsk.queued = false
		par.delayed = append(par.delayed, delay{until: env.now.Add(vdt.delay), task: tsk})
	}
}

// normalize replaces ends that the job does not allow.
func (tsk *task) normalize(end End) End {
	if !tsk.entry.spec.Checkpointable() {
		end.checkpoint = ""
	}
	if end.kind == EndFinished && tsk.entry.spec.kind == KindWatch {
		end.kind, end.result, end.detail = EndFailed, nil, "a watch ended by itself"
	}
	if len(end.result) > MaxResultBytes {
		end.kind, end.detail = EndFailed, fmt.Sprintf("result of %d bytes: at most %d", len(end.result), MaxResultBytes)
		if tsk.entry.spec.rerun == RerunNever {
			end.kind = EndLost // it has run to its end, so another try would be a second run
		}
	}
	if end.kind != EndFinished {
		end.result = nil
	}
	return end
}

// Adopted takes in an instance's list of the assignments of this partition that
// it holds. Until it is ready, that is, until its list is rebuilt from its
// worker, the answer proves nothing.
func (par *Partition[P]) Adopted(env Env, hol fleet.Process, ready bool, held []Ref) *Output {
	out := &Output{}
	if !ready {
		return out
	}
	stp := Stop{to: hol.Instance()}
	listed := make(map[Ref]bool, len(held))
	for _, ref := range held {
		listed[ref] = true
		tsk := par.find(ref)
		if tsk != nil && tsk.current(ref, hol.Instance()) {
			tsk.act.unconfirmed = false
			tsk.act.location = par.instances[hol.Instance()].location
			continue
		}
		if tsk == nil || tsk.act == nil || tsk.act.token != ref.token {
			stp.orders = append(stp.orders, tsk.outdated(ref))
		}
	}
	if len(stp.orders) > 0 {
		out.emit(stp)
	}
	for _, tsk := range par.active {
		if tsk.act == nil || !tsk.act.unconfirmed || tsk.act.holder != hol || listed[tsk.ref(tsk.assigned)] {
			continue
		}
		par.endTask(env, out, tsk, NewEnd(EndLost, ""))
	}
	par.dispatch(env, out)
	return out
}

// Tick lets time pass: it ends offers and leases, repeats Adopt, moves tasks out
// of data centres, removes old jobs and offers tasks.
func (par *Partition[P]) Tick(env Env) *Output {
	out := &Output{}
	if !env.owns() {
		return out
	}
	kept := par.active[:0]
	for _, tsk := range par.active {
		if tsk.act != nil && par.over(tsk, env.now) {
			par.expire(env, out, tsk)
		}
		if tsk.act != nil {
			kept = append(kept, tsk)
		} else {
			tsk.listed = false
		}
	}
	clear(par.active[len(kept):])
	par.active = kept
	if env.now.Sub(par.adoptAt) >= AdoptPeriod {
		par.adopt(env, out)
	}
	if env.now.Sub(par.drainAt) >= DrainPeriod {
		par.drain(env, out)
	}
	if env.now.Sub(par.removeAt) >= removePeriod {
		par.removeEnded(env, out)
	}
	par.findLate(env)
	par.evict(env, out)
	par.dispatch(env, out)
	return out
}

// expire ends an offer or an assignment whose time is over. The holder of a
// lease has certainly stopped by the granter's end.
func (par *Partition[P]) expire(env Env, out *Output, tsk *task) {
	if tsk.state == Offered {
		par.placement.Answered(NoAnswer(tsk.ref(tsk.act.token), tsk.act.holder.Instance()), env.now)
		par.withdraw(tsk)
		return
	}
	par.endTask(env, out, tsk, NewEnd(EndLost, tsk.act.seen))
}

// removeEnded forgets jobs that ended longer than the retention ago.
func (par *Partition[P]) removeEnded(env Env, out *Output) {
	par.removeAt = env.now
	limit := env.now.Add(-par.limits.retention).UnixMilli()
	var old []ID
	for _, ent := range par.order {
		if ent.endedAt != 0 && ent.endedAt < limit && len(old) < maxRemoved {
			old = append(old, ent.id)
		}
	}
	for _, id := range old {
		par.record(out, NewRecord(JobRemoved, jobRef(id), env.now.UnixMilli()))
	}
}

// Observe takes in the instances that may run tasks, sorted by ID. Offers to
// instances that are gone, suspected or replaced are withdrawn. Assignments stay
// with their instance, because only its report or the lease proves their end.
func (par *Partition[P]) Observe(env Env, list []Instance) *Output {
	out := &Output{}
	clear(par.instances)
	for _, ins := range list {
		par.instances[ins.ID()] = ins
	}
	par.placement.Observe(list, env.now)
	for _, tsk := range par.active {
		if tsk.act == nil || tsk.state != Offered {
			continue
		}
		if ins, found := par.instances[tsk.act.holder.Instance()]; !found || ins.holder != tsk.act.holder || ins.health != Alive {
			par.withdraw(tsk)
		}
	}
	par.dispatch(env, out)
	return out
}

// TakeOut sets the data centres whose tasks have to move elsewhere. It is called
// when the set changes: the share to move counts from the tasks found at the call.
func (par *Partition[P]) DrainDataCentres(env Env, centres []fleet.DataCentre) *Output {
	out := &Output{}
	clear(par.out)
	for _, dce := range centres {
		par.out[dce] = 0
	}
	for _, tsk := range par.active {
		if tsk.act == nil {
			continue
		}
		if _, gone := par.out[tsk.act.location.DataCentre()]; !gone {
			continue
		}
		if tsk.state == Offered {
			par.withdraw(tsk)
			continue
		}
		par.out[tsk.act.location.DataCentre()]++
	}
	par.dispatch(env, out)
	return out
}

// drain orders a share of the tasks in data centres taken out to checkpoint and
// stop, so that they resume elsewhere without a burst of evictions. Those that
// start from the beginning go last, because some of them end until then.
func (par *Partition[P]) drain(env Env, out *Output) {
	par.drainAt = env.now
	if len(par.out) == 0 {
		return
	}
	quota := make(map[fleet.DataCentre]int, len(par.out))
	par.drainTasks(out, quota, true)
	par.drainTasks(out, quota, false)
}

func (par *Partition[P]) drainTasks(out *Output, quota map[fleet.DataCentre]int, checkpointable bool) {
	for _, tsk := range par.active {
		if tsk.act == nil || tsk.state != Running && tsk.state != Assigned || tsk.entry.spec.Checkpointable() != checkpointable {
			continue
		}
		dce := tsk.act.location.DataCentre()
		total, gone := par.out[dce]
		if !gone || quota[dce]*100 >= max(total, 1)*DrainPercent {
			continue
		}
		quota[dce]++
		par.setState(tsk, Stopping)
		out.emit(Stop{durable: durable{after: tsk.entry.recorded}, to: tsk.act.holder.Instance(), orders: []StopOrder{tsk.stopOrder()}})
	}
}
