package place

import (
	"slices"
	"strings"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/queue"
)

const (
	// deferredLimit bounds the deferred tasks of one class.
	deferredLimit = 1 << 20
	// deferredRetries is the number of deferred tasks of a class that are queued again in each
	// RetryPeriod.
	deferredRetries = 8
)

func (sch *Scheduler[P]) findDeferred(cls fleet.JobClass) (int, bool) {
	return slices.BinarySearchFunc(sch.deferrals, cls, func(dfr *deferral, key fleet.JobClass) int {
		return strings.Compare(string(dfr.class), string(key))
	})
}

func (sch *Scheduler[P]) hasDeferred(cls fleet.JobClass) bool {
	pos, found := sch.findDeferred(cls)
	return found && sch.deferrals[pos].tasks.Len() > 0
}

// deferTask moves a task from the queue to the deferral of its class.
func (sch *Scheduler[P]) deferTask(id TaskID, wai waiting, now time.Time) {
	pos, found := sch.findDeferred(wai.task.class)
	if !found {
		dfr := &deferral{class: wai.task.class, tasks: *queue.New[TaskID, waiting](deferredLimit)}
		sch.deferrals = slices.Insert(sch.deferrals, pos, dfr)
	}
	if wai.since.IsZero() {
		wai.since = now
	}
	wai.retried = false
	sch.deferrals[pos].tasks.Push(id, 0, wai.since, wai)
	sch.deferred++
}

// requeueDeferred queues up to limit deferred tasks of a class again. Each of them that is placed
// causes one more to be queued, so a deferral drains as fast as tasks start once its class is no
// longer limited.
func (sch *Scheduler[P]) requeueDeferred(cls fleet.JobClass, limit int) {
	pos, found := sch.findDeferred(cls)
	if !found {
		return
	}
	dfr := sch.deferrals[pos]
	for range limit {
		ent, found := dfr.tasks.Pop()
		if !found {
			return
		}
		wai := ent.Value()
		wai.retried = true
		if !sch.queue.Add(ent.Key(), wai.task.team, wai.task.urgent, wai.task.deadline, wai) {
			dfr.tasks.Push(ent.Key(), 0, wai.since, wai)
			return
		}
		sch.deferred--
	}
}

func (sch *Scheduler[P]) cancelDeferred(id TaskID) bool {
	for _, dfr := range sch.deferrals {
		if ent, found := dfr.tasks.Remove(id); found {
			sch.deferred--
			tsk := ent.Value().task
			sch.knowledge.closeTask(&tsk)
			return true
		}
	}
	return false
}

// policyReason explains why the policy rejects all instances although the task fits on one.
func (sch *Scheduler[P]) policyReason(viw *InstanceView, tsk *Task, now time.Time) explain.Reason {
	for _, svc := range viw.instance.services {
		pai := sch.knowledge.pairings.Find(svc, tsk.class)
		limit := pai.Estimate().TrialLimit(sch.knowledge.instances)
		if !pai.Estimate().Known() && pai.Running() >= limit {
			return explain.New(explain.TrialLimit, now, string(tsk.id)).WithOther(string(tsk.class)).WithCounts(pai.Running(), limit)
		}
	}
	return explain.New(explain.InterferenceLimit, now, string(tsk.id)).WithOther(string(tsk.class))
}
