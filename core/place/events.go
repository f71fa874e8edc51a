package place

import (
	"strings"
	"time"

	"jacinthpost/core/blame"
	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Join adds an instance, or replaces it after a restart. The tasks of the former process stay
// placed until the caller reports their end.
func (sch *Scheduler[P]) Join(ins Instance, now time.Time) {
	sch.Leave(ins.id)
	viw := sch.instances.join(ins)
	sch.knowledge.instances = sch.instances.Len()
	sch.knowledge.addServices(ins.services)
	sch.knowledge.largest = sch.knowledge.largest.Max(ins.capacity)
	sch.queue.SetCapacity(sch.instances.total())
	switch sch.knowledge.blame.State(ins.id, now) {
	case blame.Suspended:
		sch.backOff(viw)
	case blame.Probation:
		viw.onProbation = true
	}
	sch.refresh(viw)
}

// Leave removes an instance. Its tasks stay placed until their end is reported, because they may
// start elsewhere only then or after the end of their lease.
func (sch *Scheduler[P]) Leave(id fleet.InstanceID) {
	viw := sch.instances.leave(id)
	if viw == nil {
		return
	}
	sch.knowledge.instances = sch.instances.Len()
	sch.queue.SetCapacity(sch.instances.total())
	sch.knowledge.largest = resource.Vector{}
	for _, sit := range sch.instances.sites {
		for _, oth := range sit.views {
			if oth != nil {
				sch.knowledge.largest = sch.knowledge.largest.Max(oth.instance.capacity)
			}
		}
	}
}

// SetFree sets the free amounts of an instance as reported by its agent.
func (sch *Scheduler[P]) SetFree(id fleet.InstanceID, free resource.Vector) {
	if viw := sch.instances.Find(id); viw != nil {
		viw.reported = free
		sch.refresh(viw)
	}
}

// Drain stops offers to an instance for the given reason; an empty reason ends the drain.
func (sch *Scheduler[P]) Drain(id fleet.InstanceID, reason string, now time.Time) {
	viw := sch.instances.Find(id)
	if viw == nil {
		return
	}
	viw.drainReason = reason
	if reason != "" {
		sch.record(explain.New(explain.Drained, now, string(id)).WithDetail(reason))
	}
	sch.refresh(viw)
}

// SetDataCentreOut takes a data centre out of service or puts it back. Offers to it then grow
// over RampPeriod.
func (sch *Scheduler[P]) SetDataCentreOut(name fleet.DataCentre, out bool, now time.Time) {
	sch.instances.setOut(name, out, now)
	sch.queue.SetCapacity(sch.instances.total())
	if !out {
		sch.queue.WakeAll()
	}
}

// PlacedIn returns the tasks placed in a data centre, in the order of their start.
func (sch *Scheduler[P]) PlacedIn(name fleet.DataCentre) []TaskID {
	var found []*placement
	for _, plc := range sch.placements {
		if plc.view.instance.location.DataCentre() == name {
			found = append(found, plc)
		}
	}
	sortByStart(found)
	ids := make([]TaskID, 0, len(found))
	for _, plc := range found {
		ids = append(ids, plc.task.id)
	}
	return ids
}

// Restore records a task that already runs, after a change of owner. It returns false when the
// instance is unknown or the task is already placed.
func (sch *Scheduler[P]) Restore(tsk Task, id fleet.InstanceID, size resource.Vector, now time.Time) bool {
	viw := sch.instances.Find(id)
	if viw == nil || sch.placements[tsk.id] != nil {
		return false
	}
	sch.countOpen(&tsk)
	sch.reserve(tsk, viw, size, now)
	// The free amounts reported by the agent already count the task.
	sch.Accepted(tsk.id, viw.reported)
	return true
}

// ObserveUsage records the present usage of a running task.
func (sch *Scheduler[P]) ObserveUsage(id TaskID, used resource.Vector, now time.Time) {
	plc, found := sch.placements[id]
	if !found {
		return
	}
	plc.peak = plc.peak.Max(used)
	if !plc.sampled && now.Sub(plc.placed) >= SamplePeriod {
		plc.sampled = true
		sch.knowledge.sizes.Observe(plc.task.class, plc.task.declared, plc.peak)
	}
}

// ObserveCost records a measured cost of running a class next to a service.
func (sch *Scheduler[P]) ObserveCost(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	sch.knowledge.pairings.Observe(svc, cls, cost, weight, now)
}

// End is how a placed task ended.
type End int

// Ends of a placed task.
const (
	Finished    End = iota // successful
	Failed                 // tried again or parked
	Interrupted            // checkpointed, evicted or lost; queued again
	Cancelled              // not to be started again
)

// Ended records the end of a placed task with the peak usage that its agent measured. It returns
// the jobs to park and the instances to suspend or restore.
func (sch *Scheduler[P]) Ended(id TaskID, end End, used resource.Vector, detail string, now time.Time) blame.Verdict {
	plc, found := sch.placements[id]
	if !found {
		return blame.Verdict{}
	}
	plc.peak = plc.peak.Max(used)
	if plc.peak != (resource.Vector{}) && (end == Finished || end == Failed) {
		sch.knowledge.sizes.Observe(plc.task.class, plc.task.declared, plc.peak)
	}
	sch.unreserve(plc)
	switch end {
	case Finished:
		return sch.finished(plc, now)
	case Failed:
		return sch.failed(plc, detail, now)
	case Interrupted:
		sch.requeue(plc.task, now)
	case Cancelled:
		sch.knowledge.closeTask(&plc.task)
	}
	return blame.Verdict{}
}

func (sch *Scheduler[P]) finished(plc *placement, now time.Time) blame.Verdict {
	ver := sch.knowledge.blame.Succeeded(sch.knowledge.failureKey(&plc.task), plc.view.instance.id, now)
	sch.knowledge.countsOf(plc.task.job).finished++
	sch.knowledge.closeTask(&plc.task)
	sch.apply(ver, now)
	return ver
}

func (sch *Scheduler[P]) failed(plc *placement, detail string, now time.Time) blame.Verdict {
	id := plc.view.instance.id
	unit := sch.knowledge.failureKey(&plc.task)
	if plc.peak.MemoryMB() >= plc.size.MemoryMB() {
		// The task outgrew its reservation: the size was wrong, so neither the job nor the
		// instance is at fault.
		grown := resource.New(0, plc.peak.MemoryMB()*3/2, 0)
		plc.task.floor = plc.task.floor.Max(resource.New(0, min(grown.MemoryMB(), sch.knowledge.largest.MemoryMB()), 0))
		sch.delay(plc.task, now.Add(RetryPeriod))
		return blame.Verdict{}
	}
	ver := sch.knowledge.blame.Failed(unit, id, now)
	sch.record(explain.New(explain.Failed, now, string(plc.task.id)).WithOther(string(id)).WithDetail(detail).WithPeriod(ver.Retry()))
	if sch.knowledge.blame.Parked(unit) {
		job := sch.knowledge.countsOf(plc.task.job)
		job.parked = append(job.parked, plc.task)
	} else {
		sch.delay(plc.task, now.Add(ver.Retry()))
	}
	sch.apply(ver, now)
	return ver
}

// apply parks jobs and suspends or restores instances according to a verdict.
func (sch *Scheduler[P]) apply(ver blame.Verdict, now time.Time) {
	for _, pjb := range ver.Parked() {
		cod := explain.JobParkedUndetermined
		if pjb.Proven() {
			cod = explain.JobParked
		}
		sch.record(explain.New(cod, now, pjb.Job()).WithCounts(len(pjb.Instances()), 0).WithDetail(joinIDs(pjb.Instances())))
		sch.parkDelayed(pjb.Job())
	}
	for _, sus := range ver.Suspended() {
		sch.record(explain.New(explain.WorkerSuspended, now, string(sus.Instance())).
			WithPeriod(sus.Period()).WithCounts(len(sus.Jobs()), 0).WithDetail(strings.Join(sus.Jobs(), ", ")))
		if viw := sch.instances.Find(sus.Instance()); viw != nil {
			viw.onProbation = false
			sch.backOff(viw)
			viw.site.refresh(viw)
		}
	}
	for _, id := range ver.Restored() {
		sch.record(explain.New(explain.WorkerRestored, now, string(id)).WithCounts(blame.ProbationRuns, 0))
		if viw := sch.instances.Find(id); viw != nil {
			viw.onProbation = false
			sch.refresh(viw)
		}
	}
}

// parkDelayed parks the delayed tasks of a parked job. Tasks still in the queue are parked when
// Next reaches them.
func (sch *Scheduler[P]) parkDelayed(name string) {
	job, found := sch.knowledge.jobs[name]
	if !found {
		return
	}
	var tsks []Task
	for _, itm := range sch.delayItems {
		if tsk := itm.Value().task; tsk.job == name {
			tsks = append(tsks, tsk)
		}
	}
	sortByID(tsks)
	for _, tsk := range tsks {
		sch.delays.Remove(sch.delayItems[tsk.id])
		delete(sch.delayItems, tsk.id)
		job.parked = append(job.parked, tsk)
	}
}

// Parked returns the number of parked tasks of a job.
func (sch *Scheduler[P]) Parked(name string) int {
	if job, found := sch.knowledge.jobs[name]; found {
		return len(job.parked)
	}
	return 0
}

// ParkedTasks returns the number of parked tasks of all jobs.
func (sch *Scheduler[P]) ParkedTasks() int {
	sum := 0
	for _, job := range sch.knowledge.jobs {
		sum += len(job.parked)
	}
	return sum
}

// Release queues the parked tasks of a job again after its owner has changed it, and returns
// their number.
func (sch *Scheduler[P]) Release(name string, now time.Time) int {
	job, found := sch.knowledge.jobs[name]
	if !found {
		return 0
	}
	tsks := job.parked
	job.parked = nil
	sch.knowledge.blame.Release(name)
	for _, tsk := range tsks {
		sch.knowledge.blame.Release(string(tsk.id))
		sch.requeue(tsk, now)
	}
	return len(tsks)
}

func joinIDs(ids []fleet.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}
