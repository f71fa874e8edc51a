package dispatch

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// Part is the placement of one partition during one tenure.
type Placement[P place.Policy] struct {
	dispatcher *Dispatcher[P]
	number     int
	holds      map[place.TaskID]struct{}
	evictions  []job.Eviction // not yet handed to the partition
	closed     bool
}

var _ job.Placement = (*Placement[place.Scored])(nil)

// Part returns the placement of a partition. A former one of the same partition is closed.
func (dsp *Dispatcher[P]) Placement(number int) *Placement[P] {
	if old := dsp.parts[number]; old != nil {
		old.Close()
	}
	prt := &Placement[P]{dispatcher: dsp, number: number, holds: make(map[place.TaskID]struct{})}
	dsp.parts[number] = prt
	return prt
}

// Close gives the commitments of the partition back, when the process no longer owns it.
func (prt *Placement[P]) Close() {
	if prt.closed {
		return
	}
	prt.closed = true
	ids := make([]place.TaskID, 0, len(prt.holds))
	for id := range prt.holds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		prt.dispatcher.withdraw(id)
	}
	clear(prt.holds)
	if prt.dispatcher.parts[prt.number] == prt {
		delete(prt.dispatcher.parts, prt.number)
	}
	if !prt.dispatcher.Owns() {
		prt.dispatcher.reporter.Leave()
	}
}

// Observe implements job.Placement.
func (prt *Placement[P]) Observe(list []job.Instance, now time.Time) {
	prt.dispatcher.observe(list, now)
}

// Admits implements job.Placement. While no instance is known, every size is admitted.
func (prt *Placement[P]) Admits(spc job.Spec) (bool, resource.Vector) {
	return prt.dispatcher.admits(spc)
}

// Lane implements job.Placement.
func (*Placement[P]) Lane(spc job.Spec) job.Lane { return laneOf(spc) }

// RunTime implements job.Placement.
func (prt *Placement[P]) RunTime(spc job.Spec) time.Duration {
	return prt.dispatcher.runTime(spc.Class())
}

// CompareLanes implements job.Placement.
func (prt *Placement[P]) CompareLanes(one, two job.Lane) int {
	return prt.dispatcher.compareLanes(one, two)
}

// Choose implements job.Placement.
func (prt *Placement[P]) Choose(tsk job.Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool) {
	return prt.dispatcher.choose(tsk, starts, now)
}

// Committed implements job.Placement.
func (prt *Placement[P]) Committed(tsk job.Task, ins fleet.InstanceID) {
	if !prt.closed && prt.dispatcher.commit(tsk, ins, prt.number) {
		prt.holds[taskID(tsk.Ref())] = struct{}{}
	}
}

// Withdrawn implements job.Placement.
func (prt *Placement[P]) Withdrawn(tsk job.Task, _ fleet.InstanceID) {
	if id := taskID(tsk.Ref()); prt.owns(id) {
		delete(prt.holds, id)
		prt.dispatcher.withdraw(id)
	}
}

func (prt *Placement[P]) owns(id place.TaskID) bool {
	_, found := prt.holds[id]
	return found
}

// Answered implements job.Placement.
func (prt *Placement[P]) Answered(ans job.Answer, now time.Time) { prt.dispatcher.answered(ans, now) }

// Ended implements job.Placement.
func (prt *Placement[P]) Ended(tsk job.Task, ins fleet.InstanceID, end job.End, now time.Time) job.Verdict {
	delete(prt.holds, taskID(tsk.Ref()))
	return prt.dispatcher.ended(tsk, ins, end, now)
}

// Used takes in the present usage of a running task.
func (prt *Placement[P]) Used(ref job.Ref, used resource.Vector, now time.Time) {
	prt.dispatcher.Used(ref, used, now)
}

// Learned takes in the measured cost of running a class beside a service.
func (prt *Placement[P]) CostMeasured(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	prt.dispatcher.CostMeasured(svc, cls, cost, weight, now)
}

// Idle notes that a class runs beside a service that gets next to no requests.
func (prt *Placement[P]) ServiceIdle(svc fleet.Service, cls fleet.JobClass, now time.Time) {
	prt.dispatcher.ServiceIdle(svc, cls, now)
}

// Resized takes in what the agent has committed to a running task.
func (prt *Placement[P]) Resized(ref job.Ref, committed resource.Vector, now time.Time) {
	if id := taskID(ref); prt.owns(id) {
		prt.dispatcher.resized(id, committed, now)
	}
}

// Terms returns the amounts to offer for a task, and the cost of its class
// beside the service of the instance with the weight of the evidence.
func (prt *Placement[P]) Terms(tsk job.Task) (size resource.Vector, cost, weight float64) {
	return prt.dispatcher.terms(tsk)
}

// Explain returns what was decided about a job, its tasks and its team, as lines.
func (prt *Placement[P]) Explain(sta job.Status) []string { return prt.dispatcher.ExplainJob(sta) }
