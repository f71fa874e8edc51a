package place

import (
	"strings"
	"time"

	"jacinthpost/core/blame"
	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Join adds an instance, or replaces it after a restart. The caller ends the
// tasks of the former process itself when it knows their fate.
func (sch *Scheduler[P]) Join(ins Instance, now time.Time) {
	sch.Leave(ins.id)
	viw := sch.instances.join(ins)
	sch.know.instances = sch.instances.Len()
	sch.know.meet(ins.services)
	sch.know.largest = sch.know.largest.Max(ins.capacity)
	sch.queue.SetCapacity(sch.instances.total())
	switch sch.know.blame.State(ins.id, now) {
	case blame.Suspended:
		sch.rest(viw)
	case blame.Probation:
		viw.trial = true
	}
	sch.refresh(viw)
}

// Leave removes an instance. Its tasks stay placed until their end is
// reported, because only then, or after the end of their lease, may they start elsewhere.
func (sch *Scheduler[P]) Leave(id fleet.InstanceID) {
	viw := sch.instances.leave(id)
	if viw == nil {
		return
	}
	sch.know.instances = sch.instances.Len()
	sch.queue.SetCapacity(sch.instances.total())
	sch.know.largest = resource.Vector{}
	for _, sit := range sch.instances.sites {
		for _, oth := range sit.views {
			if oth != nil {
				sch.know.largest = sch.know.largest.Max(oth.instance.capacity)
			}
		}
	}
}

// Hint corrects the free amounts of an instance from a report of its agent.
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
	viw.drained = reason
	if reason != "" {
		sch.record(explain.New(explain.Drained, now, string(id)).Detail(reason))
	}
	sch.refresh(viw)
}

// SetDataCentre takes a data centre out or brings it back. After its return
// offers grow over RampPeriod.
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

// Restore records a task that already runs, after a change of owner.
func (sch *Scheduler[P]) Restore(tsk Task, id fleet.InstanceID, size resource.Vector, now time.Time) bool {
	viw := sch.instances.Find(id)
	if viw == nil || sch.placements[tsk.id] != nil {
		return false
	}
	sch.open(&tsk)
	sch.put(tsk, viw, size, now)
	// The free amounts reported by the agent already count the task.
	sch.Accepted(tsk.id, viw.reported)
	return true
}

// Used records the present usage of a running task.
func (sch *Scheduler[P]) ObserveUsage(id TaskID, used resource.Vector, now time.Time) {
	plc, found := sch.placements[id]
	if !found {
		return
	}
	plc.peak = plc.peak.Max(used)
	if !plc.sampled && now.Sub(plc.placed) >= SamplePeriod {
		plc.sampled = true
		sch.know.sizes.Observe(plc.task.class, plc.task.declared, plc.peak)
	}
}

// Paired records a measured cost of running a class next to a service.
func (sch *Scheduler[P]) ObserveCost(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	sch.know.pairings.Observe(svc, cls, cost, weight, now)
}

// End is how a placed task ended.
type End int

// Ends of a placed task.
const (
	Finished    End = iota // done
	Failed                 // the task failed; tried again or parked
	Interrupted            // checkpointed, evicted or lost; continues elsewhere
	Cancelled              // stopped for good
)

// Ended records the end of a placed task with the peak usage that the agent
// saw. It returns what follows for jobs and instances.
func (sch *Scheduler[P]) Ended(id TaskID, end End, used resource.Vector, detail string, now time.Time) blame.Verdict {
	plc, found := sch.placements[id]
	if !found {
		return blame.Verdict{}
	}
	plc.peak = plc.peak.Max(used)
	if plc.peak != (resource.Vector{}) && (end == Finished || end == Failed) {
		sch.know.sizes.Observe(plc.task.class, plc.task.declared, plc.peak)
	}
	sch.take(plc)
	switch end {
	case Finished:
		return sch.finished(plc, now)
	case Failed:
		return sch.failed(plc, detail, now)
	case Interrupted:
		sch.requeue(plc.task, now)
	case Cancelled:
		sch.know.closeTask(&plc.task)
	}
	return blame.Verdict{}
}

func (sch *Scheduler[P]) finished(plc *placement, now time.Time) blame.Verdict {
	ver := sch.know.blame.Succeeded(sch.know.unit(&plc.task), plc.view.instance.id, now)
	sch.know.countsOf(plc.task.job).finished++
	sch.know.closeTask(&plc.task)
	sch.apply(ver, now)
	return ver
}

func (sch *Scheduler[P]) failed(plc *placement, detail string, now time.Time) blame.Verdict {
	id := plc.view.instance.id
	unit := sch.know.unit(&plc.task)
	if plc.peak.MemoryMB() >= plc.size.MemoryMB() {
		// The task outgrew its reservation: that is a wrong size and nobody's fault.
		grown := resource.New(0, plc.peak.MemoryMB()*3/2, 0)
		plc.task.floor = plc.task.floor.Max(resource.New(0, min(grown.MemoryMB(), sch.know.largest.MemoryMB()), 0))
		sch.delay(plc.task, now.Add(RetryPeriod))
		return blame.Verdict{}
	}
	ver := sch.know.blame.Failed(unit, id, now)
	sch.record(explain.New(explain.Failed, now, string(plc.task.id)).With(string(id)).Detail(detail).For(ver.Retry()))
	if sch.know.blame.Parked(unit) {
		job := sch.know.countsOf(plc.task.job)
		job.parked = append(job.parked, plc.task)
	} else {
		sch.delay(plc.task, now.Add(ver.Retry()))
	}
	sch.apply(ver, now)
	return ver
}

// apply carries out a verdict.
func (sch *Scheduler[P]) apply(ver blame.Verdict, now time.Time) {
	for _, prk := range ver.Parked() {
		cod := explain.JobUndetermined
		if prk.Proven() {
			cod = explain.JobParked
		}
		sch.record(explain.New(cod, now, prk.Job()).Counts(len(prk.Instances()), 0).Detail(join(prk.Instances())))
		sch.parkWaiting(prk.Job())
	}
	for _, sus := range ver.Suspended() {
		sch.record(explain.New(explain.WorkerSuspended, now, string(sus.Instance())).
			For(sus.Period()).Counts(len(sus.Jobs()), 0).Detail(strings.Join(sus.Jobs(), ", ")))
		if viw := sch.instances.Find(sus.Instance()); viw != nil {
			viw.trial = false
			sch.rest(viw)
			viw.site.refresh(viw)
		}
	}
	for _, id := range ver.Restored() {
		sch.record(explain.New(explain.WorkerRestored, now, string(id)).Counts(blame.ProbationRuns, 0))
		if viw := sch.instances.Find(id); viw != nil {
			viw.trial = false
			sch.refresh(viw)
		}
	}
}

// parkWaiting moves the delayed tasks of a parked job out of the retries.
// Tasks still in the queue are parked when they fail next.
func (sch *Scheduler[P]) parkWaiting(name string) {
	job, found := sch.know.jobs[name]
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
	if job, found := sch.know.jobs[name]; found {
		return len(job.parked)
	}
	return 0
}

// ParkedTasks returns the number of parked tasks of all jobs.
func (sch *Scheduler[P]) ParkedTasks() int {
	sum := 0
	for _, job := range sch.know.jobs {
		sum += len(job.parked)
	}
	return sum
}

// Release queues the parked tasks of a job again, after its owner changed it.
func (sch *Scheduler[P]) Release(name string, now time.Time) int {
	job, found := sch.know.jobs[name]
	if !found {
		return 0
	}
	tsks := job.parked
	job.parked = nil
	sch.know.blame.Release(name)
	for _, tsk := range tsks {
		sch.know.blame.Release(string(tsk.id))
		sch.requeue(tsk, now)
	}
	return len(tsks)
}

func join(ids []fleet.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}
