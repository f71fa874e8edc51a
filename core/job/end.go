package job

import (
	"fmt"

	"jacinthpost/core/fleet"
)

// Report is an agent's report of an ended assignment.
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

// Report handles the reported ends of assignments. An end with an outdated token is ignored. Current
// and outdated ends are both acknowledged once the records of their jobs are durable.
func (par *Partition[P]) Report(env Env, tag Tag, reps []Report) *Output {
	out := &Output{}
	ack := ReportReply{tag: tag}
	for _, rpt := range reps {
		par.handleEnd(env, out, rpt.ref, rpt.end)
		ack.recorded = append(ack.recorded, rpt.ref)
		if ent := par.jobs[rpt.ref.job]; ent != nil {
			ack.after = max(ack.after, ent.recorded)
		}
	}
	out.emit(ack)
	par.dispatch(env, out)
	return out
}

// handleEnd applies the reported end of one assignment if it is still open.
func (par *Partition[P]) handleEnd(env Env, out *Output, ref Ref, end End) {
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
		return // the loss of this assignment parked the task
	}
	if tsk.state == Offered {
		// The offer was made after the assignment was declared lost and names an older checkpoint.
		par.withdraw(tsk)
	}
	par.endTask(env, out, tsk, end)
}

// endTask records the end of the open assignment. If it failed, the placement decides whether the task
// is parked or retried.
func (par *Partition[P]) endTask(env Env, out *Output, tsk *task, end End) {
	held := tsk.act != nil
	end = tsk.normalize(end)
	end.evicted = end.evicted || tsk.state == Stopping && !tsk.entry.cancelled
	if held && tsk.mustPark(end) {
		end.detail = tsk.unknownEndDetail(end, env.now)
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
		par.delayed = append(par.delayed, delay{notBefore: env.now.Add(vdt.delay), task: tsk})
	}
}

// normalize corrects an end that the job does not allow, such as a watch that finished or a result
// that is too large.
func (tsk *task) normalize(end End) End {
	if !tsk.entry.spec.Checkpointable() {
		end.checkpoint = ""
	}
	if end.kind == EndFinished && tsk.entry.spec.kind == KindWatch {
		end.kind, end.result, end.detail = EndFailed, nil, "a watch ended by itself"
	}
	if len(end.result) > MaxResultBytes {
		end.kind, end.detail = EndFailed, fmt.Sprintf("result is %d bytes, expected at most %d", len(end.result), MaxResultBytes)
		if tsk.entry.spec.rerun == RerunNever {
			end.kind = EndLost // the task has completed, so a retry would run it twice
		}
	}
	if end.kind != EndFinished {
		end.result = nil
	}
	return end
}

// Adopted handles the answer to Adopt: the assignments of this partition that a process holds. An
// agent that is not ready is still rebuilding its list from its worker, so its answer is ignored.
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
			par.locate(tsk)
			continue
		}
		if tsk == nil || tsk.act == nil || tsk.act.token != ref.token {
			stp.orders = append(stp.orders, tsk.outdatedStopOrder(ref))
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

// Tick runs the periodic work: it ends expired offers and leases, repeats Adopt, drains data centres,
// removes old jobs, marks late jobs, evicts tasks and dispatches queued ones.
func (par *Partition[P]) Tick(env Env) *Output {
	out := &Output{}
	if !env.owns() {
		return out
	}
	kept := par.active[:0]
	for _, tsk := range par.active {
		if tsk.act != nil && par.expired(tsk, env.now) {
			par.expire(env, out, tsk)
		}
		if tsk.act != nil {
			kept = append(kept, tsk)
		} else {
			tsk.inActive = false
		}
	}
	clear(par.active[len(kept):])
	par.active = kept
	if env.now.Sub(par.adoptSentAt) >= AdoptPeriod {
		par.adopt(env, out)
	}
	if env.now.Sub(par.drainedAt) >= DrainPeriod {
		par.drain(env, out)
	}
	if env.now.Sub(par.removedAt) >= removePeriod {
		par.removeEnded(env, out)
	}
	par.markLateJobs(env)
	par.evict(env, out)
	par.dispatch(env, out)
	return out
}

// expire ends an offer that has timed out or an assignment whose lease has expired. The holder of a
// lease has certainly stopped by the granter's end.
func (par *Partition[P]) expire(env Env, out *Output, tsk *task) {
	if tsk.state == Offered {
		par.placement.Answered(NoAnswer(tsk.ref(tsk.act.token), tsk.act.holder.Instance()), env.now)
		par.withdraw(tsk)
		return
	}
	par.endTask(env, out, tsk, NewEnd(EndLost, tsk.act.checkpoint))
}

// removeEnded removes jobs whose end is older than the retention, at most maxRemoved in one call.
func (par *Partition[P]) removeEnded(env Env, out *Output) {
	par.removedAt = env.now
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

// Observe replaces the instances that may run tasks, sorted by ID. Offers to instances that are
// missing, not alive or restarted are withdrawn. Assignments are not ended, because only a report or
// the end of the lease proves that a task has stopped.
func (par *Partition[P]) Observe(env Env, list []Instance) *Output {
	out := &Output{}
	clear(par.instances)
	for _, ins := range list {
		par.instances[ins.ID()] = ins
	}
	par.placement.Observe(list, env.now)
	for _, tsk := range par.active {
		if tsk.act == nil {
			continue
		}
		par.locate(tsk)
		if tsk.state != Offered {
			continue
		}
		if ins, found := par.instances[tsk.act.holder.Instance()]; !found || ins.holder != tsk.act.holder || ins.health != Alive {
			par.withdraw(tsk)
		}
	}
	par.dispatch(env, out)
	return out
}

// locate sets the location of a task that was taken over before its instance was known. A drain finds the
// tasks of a data centre by their locations.
func (par *Partition[P]) locate(tsk *task) {
	if tsk.act.location != (fleet.Location{}) {
		return
	}
	tsk.act.location = par.instances[tsk.act.holder.Instance()].location
	if dce := tsk.act.location.DataCentre(); par.drains(dce) {
		par.draining[dce]++
	}
}

func (par *Partition[P]) drains(dce fleet.DataCentre) bool {
	_, drains := par.draining[dce]
	return drains
}

// DrainDataCentres replaces the set of data centres to drain. It is called only when the set changes,
// because DrainPercent refers to the number of tasks in the data centre at the call.
func (par *Partition[P]) DrainDataCentres(env Env, centres []fleet.DataCentre) *Output {
	out := &Output{}
	clear(par.draining)
	for _, dce := range centres {
		par.draining[dce] = 0
	}
	for _, tsk := range par.active {
		if tsk.act == nil {
			continue
		}
		if !par.drains(tsk.act.location.DataCentre()) {
			continue
		}
		if tsk.state == Offered {
			par.withdraw(tsk)
			continue
		}
		par.draining[tsk.act.location.DataCentre()]++
	}
	par.dispatch(env, out)
	return out
}

// drain stops DrainPercent of the tasks in each draining data centre, so that they resume elsewhere
// without a burst of evictions. Tasks without checkpoints would lose their work, so they are stopped
// last: some of them finish in the meantime.
func (par *Partition[P]) drain(env Env, out *Output) {
	par.drainedAt = env.now
	if len(par.draining) == 0 {
		return
	}
	quota := make(map[fleet.DataCentre]int, len(par.draining))
	par.drainTasks(out, quota, true)
	par.drainTasks(out, quota, false)
}

func (par *Partition[P]) drainTasks(out *Output, quota map[fleet.DataCentre]int, checkpointable bool) {
	for _, tsk := range par.active {
		if tsk.act == nil || tsk.state != Running && tsk.state != Assigned || tsk.entry.spec.Checkpointable() != checkpointable {
			continue
		}
		dce := tsk.act.location.DataCentre()
		total, gone := par.draining[dce]
		if !gone || quota[dce]*100 >= max(total, 1)*DrainPercent {
			continue
		}
		quota[dce]++
		par.setState(tsk, Stopping)
		out.emit(Stop{releaseCondition: releaseCondition{after: tsk.entry.recorded}, to: tsk.act.holder.Instance(), orders: []StopOrder{tsk.stopOrder()}})
	}
}
