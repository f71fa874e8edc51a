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
	// shelfLimit is the number of tasks on the shelf of a class.
	shelfLimit = 1 << 20
	// shelfRetries is the number of tasks of a class that start a new try in each RetryPeriod.
	shelfRetries = 8
)

func (sch *Scheduler[P]) findShelf(cls fleet.JobClass) (int, bool) {
	return slices.BinarySearchFunc(sch.shelves, cls, func(she *shelf, key fleet.JobClass) int {
		return strings.Compare(string(she.class), string(key))
	})
}

func (sch *Scheduler[P]) shelfHas(cls fleet.JobClass) bool {
	pos, found := sch.findShelf(cls)
	return found && sch.shelves[pos].tasks.Len() > 0
}

// shelve keeps a task until tasks of its class may be placed again.
func (sch *Scheduler[P]) shelve(id TaskID, wai waiting, now time.Time) {
	pos, found := sch.findShelf(wai.task.class)
	if !found {
		she := &shelf{class: wai.task.class, tasks: *queue.New[TaskID, waiting](shelfLimit)}
		sch.shelves = slices.Insert(sch.shelves, pos, she)
	}
	if wai.since.IsZero() {
		wai.since = now
	}
	wai.retried = false
	sch.shelves[pos].tasks.Push(id, 0, wai.since, wai)
	sch.shelved++
}

// unshelve queues some tasks of a class again. Each that is placed brings one
// more, so a shelf whose limit was lifted empties as fast as tasks start.
func (sch *Scheduler[P]) unshelve(cls fleet.JobClass, limit int) {
	pos, found := sch.findShelf(cls)
	if !found {
		return
	}
	she := sch.shelves[pos]
	for range limit {
		ent, found := she.tasks.Pop()
		if !found {
			return
		}
		wai := ent.Value()
		wai.retried = true
		if !sch.queue.Add(ent.Key(), wai.task.team, wai.task.urgent, wai.task.deadline, wai) {
			she.tasks.Push(ent.Key(), 0, wai.since, wai)
			return
		}
		sch.shelved--
	}
}

func (sch *Scheduler[P]) cancelShelved(id TaskID) bool {
	for _, she := range sch.shelves {
		if ent, found := she.tasks.Remove(id); found {
			sch.shelved--
			tsk := ent.Value().task
			sch.know.closeTask(&tsk)
			return true
		}
	}
	return false
}

// gateRefusal explains why a policy takes no instance although one has room.
func (sch *Scheduler[P]) gateRefusal(hos *Host, tsk *Task, now time.Time) explain.Reason {
	for _, svc := range hos.instance.services {
		pai := sch.know.pairings.Find(svc, tsk.class)
		limit := pai.Estimate().TrialLimit(sch.know.instances)
		if !pai.Estimate().Known() && pai.Running() >= limit {
			return explain.New(explain.TrialLimit, now, string(tsk.id)).With(string(tsk.class)).Counts(pai.Running(), limit)
		}
	}
	return explain.New(explain.PressureLimit, now, string(tsk.id)).With(string(tsk.class))
}
