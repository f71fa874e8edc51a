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

// The methods in this file serve an owner that keeps the queue of tasks itself
// and asks for one task at a time: Choose, Commit, then Accepted or Withdraw,
// then Conclude. Such a caller uses neither Submit nor Next.

// Choose returns the instance and the amounts for one task and commits nothing.
// The function accept limits the instances; nil accepts all. When none is
// found, the reason is recorded under the task.
func (sch *Scheduler[P]) Choose(tsk Task, accept func(id fleet.InstanceID) bool, now time.Time) (Offer, bool) {
	if !now.Before(sch.nextTick) {
		sch.nextTick = now.Add(RetryPeriod)
		sch.review(now)
	}
	need := sch.policy.Reserve(&tsk, &sch.know)
	sch.candidates.reset(&sch.instances, tsk.id, need, now, sch.random())
	sch.candidates.accept = accept
	viw := sch.policy.Choose(&sch.candidates, &tsk, &sch.know)
	if viw == nil {
		sch.log.Update(sch.unchosen(&tsk, need, now))
	}
	sch.candidates.accept = nil
	if viw == nil {
		return Offer{}, false
	}
	return Offer{task: tsk, instance: viw.instance.id, size: need}, true
}

func (sch *Scheduler[P]) unchosen(tsk *Task, need resource.Vector, now time.Time) explain.Reason {
	if viw := sch.candidates.First(); viw != nil {
		return sch.gateRefusal(viw, tsk, now)
	}
	sch.candidates.accept = nil
	if sch.candidates.First() != nil {
		return explain.New(explain.Excluded, now, string(tsk.id)).With(string(tsk.class)).Amounts(need, need)
	}
	return sch.refusal(tsk, need, now)
}

// NewOffer returns an offer that was not chosen here, for a task that is found
// running after a change of owner.
func NewOffer(tsk Task, id fleet.InstanceID, size resource.Vector) Offer {
	return Offer{task: tsk, instance: id, size: size}
}

// Commit reserves the amounts of an offer. It reports false when the instance
// is unknown or the task is already committed.
func (sch *Scheduler[P]) Commit(off Offer, now time.Time) bool {
	viw := sch.instances.Find(off.instance)
	if viw == nil || sch.placements[off.task.id] != nil {
		return false
	}
	sch.put(off.task, viw, off.size, now)
	return true
}

// Withdraw undoes Commit without a result.
func (sch *Scheduler[P]) Withdraw(id TaskID) {
	if plc, found := sch.placements[id]; found {
		sch.take(plc)
	}
}

// Rest gives an instance no task until the next review, because it refused or did not answer.
func (sch *Scheduler[P]) BackOff(id fleet.InstanceID) {
	viw := sch.instances.Find(id)
	if viw == nil || viw.barred {
		return
	}
	sch.rest(viw)
	viw.site.refresh(viw)
}

// Conclude records the end of a committed task and returns what follows for
// jobs and instances, and whether the task must be set aside.
func (sch *Scheduler[P]) Conclude(id TaskID, end End, detail string, now time.Time) (ver blame.Verdict, parked bool) {
	plc, found := sch.placements[id]
	if !found {
		return ver, false
	}
	if plc.peak != (resource.Vector{}) && (end == Finished || end == Failed) {
		sch.know.sizes.Observe(plc.task.class, plc.task.declared, plc.peak)
	}
	ins, unit := plc.view.instance.id, sch.know.unit(&plc.task)
	sch.take(plc)
	switch end {
	case Finished:
		ver = sch.know.blame.Succeeded(unit, ins, now)
		sch.know.countsOf(plc.task.job).finished++
		sch.know.blame.Forget(string(id))
		sch.record(explain.New(explain.Ended, now, string(id)).With(string(ins)).Detail("finished"))
	case Failed:
		ver = sch.know.blame.Failed(unit, ins, now)
		parked = sch.know.blame.Parked(unit)
		sch.record(explain.New(explain.Failed, now, string(id)).With(string(ins)).Detail(detail).For(ver.Retry()))
	default:
		sch.record(explain.New(explain.Ended, now, string(id)).With(string(ins)).Detail(detail))
	}
	sch.apply(ver, now)
	return ver, parked
}

// FailedOn returns on how many of the present instances the job of a task failed.
func (sch *Scheduler[P]) FailedOn(tsk Task) int {
	count := 0
	for _, viw := range sch.instances.byID {
		count += int(countIf(sch.know.FailedOn(viw, &tsk)))
	}
	return count
}

// Forget drops what is known of a job without committed tasks and reports whether it did.
func (sch *Scheduler[P]) Forget(job string) bool {
	if tal, found := sch.know.jobs[job]; found && tal.placed > 0 {
		return false
	}
	delete(sch.know.jobs, job)
	sch.know.blame.Forget(job)
	return true
}

// Change replaces the description of an instance and keeps the tasks on it.
func (sch *Scheduler[P]) UpdateInstance(ins Instance, now time.Time) {
	var plcs []*placement
	for _, plc := range sch.placements {
		if plc.view.instance.id == ins.id {
			plcs = append(plcs, plc)
		}
	}
	slices.SortFunc(plcs, func(one, two *placement) int { return cmp.Compare(one.sequence, two.sequence) })
	for _, plc := range plcs {
		sch.take(plc)
	}
	sch.Join(ins, now)
	viw := sch.instances.Find(ins.id)
	for _, old := range plcs {
		plc := sch.put(old.task, viw, old.size, old.placed)
		plc.peak, plc.sampled = old.peak, old.sampled
		if old.accepted {
			sch.Accepted(old.task.id, viw.reported.Minus(old.size))
		}
	}
}

// Record adds a reason to the log.
func (sch *Scheduler[P]) Record(rsn explain.Reason) { sch.log.Update(rsn) }

// Relative returns the use of a team for its weight.
func (sch *Scheduler[P]) RelativeUse(name fleet.Team, urgent bool) float64 {
	return sch.queue.RelativeUse(name, urgent)
}

// UsedBy returns the part of the fleet that a team uses, in units of quota.Unit.
func (sch *Scheduler[P]) UsedBy(name fleet.Team) int64 { return sch.queue.Used(name) }

// ShareOf returns the part of the fleet to which a team is entitled while all
// teams have work, in units of quota.Unit.
func (sch *Scheduler[P]) ShareOf(name fleet.Team) int64 { return sch.queue.Share(name) }

// AmountsOf returns what the tasks of a team hold in the whole fleet.
func (sch *Scheduler[P]) AmountsOf(name fleet.Team) resource.Vector { return sch.queue.Amounts(name) }

// AmountsHere returns what the tasks of a team hold through this scheduler.
func (sch *Scheduler[P]) LocalAmountsOf(name fleet.Team) resource.Vector {
	return sch.queue.AmountsHere(name)
}

// Teams returns the teams that are known, sorted.
func (sch *Scheduler[P]) Teams() []fleet.Team { return sch.queue.Teams() }

// SetElsewhere sets what the tasks of a team hold through other schedulers.
func (sch *Scheduler[P]) SetElsewhere(name fleet.Team, use resource.Vector) {
	sch.queue.SetElsewhere(name, use)
}

// FleetCapacity returns what tasks may use on all instances.
func (sch *Scheduler[P]) FleetCapacity() resource.Vector { return sch.queue.Capacity() }

// Checkpointed records that a running task has a new checkpoint.
func (sch *Scheduler[P]) Checkpointed(id TaskID, now time.Time) {
	if plc, found := sch.placements[id]; found {
		plc.saved = now
	}
}
