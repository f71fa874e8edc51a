package dispatch

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// Placement places the tasks of one partition while this process owns it.
type Placement[P place.Policy] struct {
	dispatcher  *Dispatcher[P]
	number      int
	commitments map[place.TaskID]struct{}
	evictions   []job.Eviction // not yet returned by Evictions
	closed      bool
}

var _ job.Placement = (*Placement[place.Scored])(nil)

// Placement returns a new placement of a partition and closes the previous one.
func (dsp *Dispatcher[P]) Placement(number int) *Placement[P] {
	if old := dsp.placements[number]; old != nil {
		old.Close()
	}
	pla := &Placement[P]{dispatcher: dsp, number: number, commitments: make(map[place.TaskID]struct{})}
	dsp.placements[number] = pla
	return pla
}

// Close releases the commitments of the partition. The caller closes a placement when
// the process loses the partition.
func (pla *Placement[P]) Close() {
	if pla.closed {
		return
	}
	pla.closed = true
	ids := make([]place.TaskID, 0, len(pla.commitments))
	for id := range pla.commitments {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		pla.dispatcher.withdraw(id)
	}
	clear(pla.commitments)
	if pla.dispatcher.placements[pla.number] == pla {
		delete(pla.dispatcher.placements, pla.number)
	}
	if !pla.dispatcher.Owns() {
		pla.dispatcher.reporter.Leave()
	}
}

// Observe implements job.Placement.
func (pla *Placement[P]) Observe(list []job.Instance, now time.Time) {
	pla.dispatcher.observe(list, now)
}

// Admits implements job.Placement. While no instance is known, every size is admitted.
func (pla *Placement[P]) Admits(spc job.Spec) (bool, resource.Vector) {
	return pla.dispatcher.admits(spc)
}

// Lane implements job.Placement.
func (*Placement[P]) Lane(spc job.Spec) job.Lane { return laneOf(spc) }

// RunTime implements job.Placement.
func (pla *Placement[P]) RunTime(spc job.Spec) time.Duration {
	return pla.dispatcher.runTime(spc.Class())
}

// CompareLanes implements job.Placement.
func (pla *Placement[P]) CompareLanes(one, two job.Lane) int {
	return pla.dispatcher.compareLanes(one, two)
}

// Choose implements job.Placement.
func (pla *Placement[P]) Choose(tsk job.Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool) {
	return pla.dispatcher.choose(tsk, starts, now)
}

// Committed implements job.Placement.
func (pla *Placement[P]) Committed(tsk job.Task, ins fleet.InstanceID) {
	if !pla.closed && pla.dispatcher.commit(tsk, ins, pla.number) {
		pla.commitments[taskID(tsk.Ref())] = struct{}{}
	}
}

// Withdrawn implements job.Placement.
func (pla *Placement[P]) Withdrawn(tsk job.Task, _ fleet.InstanceID) {
	if id := taskID(tsk.Ref()); pla.hasCommitted(id) {
		delete(pla.commitments, id)
		pla.dispatcher.withdraw(id)
	}
}

func (pla *Placement[P]) hasCommitted(id place.TaskID) bool {
	_, found := pla.commitments[id]
	return found
}

// Answered implements job.Placement.
func (pla *Placement[P]) Answered(ans job.Answer, now time.Time) { pla.dispatcher.answered(ans, now) }

// Ended implements job.Placement.
func (pla *Placement[P]) Ended(tsk job.Task, ins fleet.InstanceID, end job.End, now time.Time) job.Verdict {
	delete(pla.commitments, taskID(tsk.Ref()))
	return pla.dispatcher.ended(tsk, ins, end, now)
}

// Used records the current usage of a running task.
func (pla *Placement[P]) Used(ref job.Ref, used resource.Vector, now time.Time) {
	pla.dispatcher.Used(ref, used, now)
}

// CostMeasured records the measured cost of running a class beside a service.
func (pla *Placement[P]) CostMeasured(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	pla.dispatcher.CostMeasured(svc, cls, cost, weight, now)
}

// ServiceIdle records that a class runs beside a service that gets almost no requests.
func (pla *Placement[P]) ServiceIdle(svc fleet.Service, cls fleet.JobClass, now time.Time) {
	pla.dispatcher.ServiceIdle(svc, cls, now)
}

// Resized records what the agent has committed to a running task.
func (pla *Placement[P]) Resized(ref job.Ref, committed resource.Vector, now time.Time) {
	if id := taskID(ref); pla.hasCommitted(id) {
		pla.dispatcher.resized(id, committed, now)
	}
}

// Terms returns the amounts to offer for a task, the estimated cost of its class
// beside the service of the chosen instance, and the weight of the evidence for it.
func (pla *Placement[P]) Terms(tsk job.Task) (size resource.Vector, cost, weight float64) {
	return pla.dispatcher.terms(tsk)
}

// Explain returns the decisions about a job, its tasks and its team, one per line.
func (pla *Placement[P]) Explain(sta job.Status) []string { return pla.dispatcher.ExplainJob(sta) }
