package place

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/blame"
	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// The methods in this file serve an owner that keeps the queue of tasks itself and places one
// task at a time: Choose, Commit, then Accepted or Withdraw, then Conclude. Such a caller uses
// neither Submit nor Next nor Ended.

// Choose returns the instance and the amounts for one task without reserving them. Only
// instances for which accept returns true are considered; nil accepts all. When none is found,
// the reason is recorded under the task.
func (sch *Scheduler[P]) Choose(tsk Task, accept func(id fleet.InstanceID) bool, now time.Time) (Offer, bool) {
	if !now.Before(sch.nextTick) {
		sch.nextTick = now.Add(RetryPeriod)
		sch.reviewBackedOff(now)
	}
	need := sch.policy.Reserve(&tsk, &sch.knowledge)
	sch.candidates.reset(&sch.instances, tsk.id, need, now, sch.random())
	sch.candidates.accept = accept
	viw := sch.policy.Choose(&sch.candidates, &tsk, &sch.knowledge)
	if viw == nil {
		sch.log.Update(sch.unplacedReason(&tsk, need, now))
	}
	sch.candidates.accept = nil
	if viw == nil {
		return Offer{}, false
	}
	return Offer{task: tsk, instance: viw.instance.id, size: need}, true
}

func (sch *Scheduler[P]) unplacedReason(tsk *Task, need resource.Vector, now time.Time) explain.Reason {
	if viw := sch.candidates.First(); viw != nil {
		return sch.policyReason(viw, tsk, now)
	}
	sch.candidates.accept = nil
	if sch.candidates.First() != nil {
		return explain.New(explain.Excluded, now, string(tsk.id)).WithOther(string(tsk.class)).WithAmounts(need, need)
	}
	return sch.noFitReason(tsk, need, now)
}

// NewOffer returns an offer for a task that was placed by an earlier owner and is still running.
func NewOffer(tsk Task, id fleet.InstanceID, size resource.Vector) Offer {
	return Offer{task: tsk, instance: id, size: size}
}

// Commit reserves the amounts of an offer. It returns false when the instance is unknown or the
// task is already committed.
func (sch *Scheduler[P]) Commit(off Offer, now time.Time) bool {
	viw := sch.instances.Find(off.instance)
	if viw == nil || sch.placements[off.task.id] != nil {
		return false
	}
	sch.reserve(off.task, viw, off.size, now)
	return true
}

// Withdraw releases the amounts of a committed task that was refused or never started.
func (sch *Scheduler[P]) Withdraw(id TaskID) {
	if plc, found := sch.placements[id]; found {
		sch.unreserve(plc)
	}
}

// BackOff stops offers to an instance that refused or did not answer until the next review, of
// which there is one in each RetryPeriod.
func (sch *Scheduler[P]) BackOff(id fleet.InstanceID) {
	viw := sch.instances.Find(id)
	if viw == nil || viw.backedOff {
		return
	}
	sch.backOff(viw)
	viw.site.refresh(viw)
}

// Conclude records the end of a committed task. It returns the jobs to park and the instances to
// suspend or restore, and whether the task itself is parked.
func (sch *Scheduler[P]) Conclude(id TaskID, end End, detail string, now time.Time) (ver blame.Verdict, parked bool) {
	plc, found := sch.placements[id]
	if !found {
		return ver, false
	}
	if plc.peak != (resource.Vector{}) && (end == Finished || end == Failed) {
		sch.knowledge.sizes.Observe(plc.task.class, plc.task.declared, plc.peak)
	}
	ins, unit := plc.view.instance.id, sch.knowledge.failureKey(&plc.task)
	sch.unreserve(plc)
	switch end {
	case Finished:
		ver = sch.knowledge.blame.Succeeded(unit, ins, now)
		sch.knowledge.countsOf(plc.task.job).finished++
		sch.knowledge.blame.Forget(string(id))
		sch.record(explain.New(explain.Ended, now, string(id)).WithOther(string(ins)).WithDetail("finished"))
	case Failed:
		ver = sch.knowledge.blame.Failed(unit, ins, now)
		parked = sch.knowledge.blame.Parked(unit)
		sch.record(explain.New(explain.Failed, now, string(id)).WithOther(string(ins)).WithDetail(detail).WithPeriod(ver.Retry()))
	default:
		sch.record(explain.New(explain.Ended, now, string(id)).WithOther(string(ins)).WithDetail(detail))
	}
	sch.apply(ver, now)
	return ver, parked
}

// FailedOn returns the number of known instances on which the job of a task has failed.
func (sch *Scheduler[P]) FailedOn(tsk Task) int {
	count := 0
	for _, viw := range sch.instances.byID {
		count += int(countIf(sch.knowledge.FailedOn(viw, &tsk)))
	}
	return count
}

// Forget deletes the counts and failures of a job. It returns false when the job still has
// committed tasks.
func (sch *Scheduler[P]) Forget(job string) bool {
	if cnt, found := sch.knowledge.jobs[job]; found && cnt.placed > 0 {
		return false
	}
	delete(sch.knowledge.jobs, job)
	sch.knowledge.blame.Forget(job)
	return true
}

// UpdateInstance replaces the description of an instance and keeps the tasks on it.
func (sch *Scheduler[P]) UpdateInstance(ins Instance, now time.Time) {
	var plcs []*placement
	for _, plc := range sch.placements {
		if plc.view.instance.id == ins.id {
			plcs = append(plcs, plc)
		}
	}
	slices.SortFunc(plcs, func(one, two *placement) int { return cmp.Compare(one.sequence, two.sequence) })
	for _, plc := range plcs {
		sch.unreserve(plc)
	}
	sch.Join(ins, now)
	viw := sch.instances.Find(ins.id)
	for _, old := range plcs {
		plc := sch.reserve(old.task, viw, old.size, old.placed)
		plc.peak, plc.sampled = old.peak, old.sampled
		if old.accepted {
			sch.Accepted(old.task.id, viw.reported.Minus(old.size))
		}
	}
}

// Record adds a reason to the log.
func (sch *Scheduler[P]) Record(rsn explain.Reason) { sch.log.Update(rsn) }

// RelativeUse returns the use of a team divided by its weight.
func (sch *Scheduler[P]) RelativeUse(name fleet.Team, urgent bool) float64 {
	return sch.queue.RelativeUse(name, urgent)
}

// UsedBy returns the fraction of the fleet that a team uses, in units of quota.Unit.
func (sch *Scheduler[P]) UsedBy(name fleet.Team) int64 { return sch.queue.Used(name) }

// ShareOf returns the fraction of the fleet to which a team is entitled while all teams have
// work, in units of quota.Unit.
func (sch *Scheduler[P]) ShareOf(name fleet.Team) int64 { return sch.queue.Share(name) }

// AmountsOf returns the amounts reserved by the tasks of a team in the whole fleet.
func (sch *Scheduler[P]) AmountsOf(name fleet.Team) resource.Vector { return sch.queue.Amounts(name) }

// LocalAmountsOf returns the amounts reserved by the tasks of a team through this scheduler.
func (sch *Scheduler[P]) LocalAmountsOf(name fleet.Team) resource.Vector {
	return sch.queue.AmountsHere(name)
}

// Teams returns the known teams, sorted by name.
func (sch *Scheduler[P]) Teams() []fleet.Team { return sch.queue.Teams() }

// SetElsewhere sets the amounts reserved by the tasks of a team through other schedulers.
func (sch *Scheduler[P]) SetElsewhere(name fleet.Team, use resource.Vector) {
	sch.queue.SetElsewhere(name, use)
}

// FleetCapacity returns the amounts that tasks may use on all instances together.
func (sch *Scheduler[P]) FleetCapacity() resource.Vector { return sch.queue.Capacity() }

// Checkpointed records that a running task has a new checkpoint.
func (sch *Scheduler[P]) Checkpointed(id TaskID, now time.Time) {
	if plc, found := sch.placements[id]; found {
		plc.saved = now
	}
}
