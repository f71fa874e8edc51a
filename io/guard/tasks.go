package guard

import (
	"fmt"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/core/worker"
	"jacinthpost/io/agentstate"
)

// task is a running task as the guard last saw it.
type task struct {
	ref             worker.Ref
	id              string
	class           fleet.JobClass
	size            resource.Vector
	usage           resource.Vector
	checkpoint      string
	prior           interfere.Estimate
	reportedSize    resource.Vector // committed, as the owner knows
	idleReports     int             // messages that said that the service beside it is idle
	throttlePercent int             // of its speed that it has to lose
	lastOrder       time.Time       // when the worker was last told
}

func (tsk *task) descriptor() interfere.Task { return interfere.NewTask(tsk.id, tsk.class, tsk.size) }

// taskName names an assignment to the guard and in explanations.
func taskName(ref worker.Ref) string {
	return fmt.Sprintf("%s/%d (token %d.%d)", ref.Job(), ref.Index(), ref.Token().Epoch(), ref.Token().Sequence())
}

func (sti *state[G]) find(id string) *task {
	pos := slices.IndexFunc(sti.tasks, func(tsk *task) bool { return tsk.id == id })
	if pos < 0 {
		return nil
	}
	return sti.tasks[pos]
}

// followTasks tells the guard what has changed since the last period. A task
// that is being stopped can no longer be influenced and counts as ended.
func (grd *Guard[G]) followTasks(sta *agentstate.State, now time.Time) {
	sti := &grd.state
	var next []*task
	for _, cur := range sta.Runner().Tasks() {
		if cur.Phase() != runner.Running {
			continue
		}
		pos, found := slices.BinarySearchFunc(sti.tasks, cur.Ref(), func(tsk *task, ref worker.Ref) int { return tsk.ref.Compare(ref) })
		if found {
			next = append(next, sti.tasks[pos])
		} else {
			next = append(next, sti.addTask(cur, now))
		}
		sti.update(next[len(next)-1], cur, now)
		if addr := sta.Runner().OwnerAddress(cur.Ref()); addr != "" {
			sti.outbox.KeepReceiver(addr, now)
		}
	}
	for _, tsk := range sti.tasks {
		if !slices.Contains(next, tsk) {
			sti.guard.Ended(tsk.id)
		}
	}
	sti.tasks = next
}

func (sti *state[G]) addTask(cur runner.Status, now time.Time) *task {
	tsk := &task{ref: cur.Ref(), id: taskName(cur.Ref()), class: sti.boundClass(cur.Class()), size: cur.Resources(), reportedSize: cur.Resources()}
	tsk.prior = interfere.NewEstimate(cur.Prior())
	sti.setPrior(tsk)
	sti.guard.Started(tsk.descriptor(), now)
	return tsk
}

// prime tells the guard what the owner of a task knows of its class.
func (sti *state[G]) setPrior(tsk *task) {
	if tsk.prior.Weight() > 0 {
		sti.guard.SetPrior(sti.service, tsk.class, tsk.prior)
	}
}

// update passes new reports of the worker on. Usage is zero before the first one.
func (sti *state[G]) update(tsk *task, cur runner.Status, now time.Time) {
	if size := cur.Resources(); size != tsk.size {
		tsk.size = size
		sti.guard.Resized(tsk.id, size)
	}
	if use := cur.Usage(); use != tsk.usage && use != (resource.Vector{}) {
		tsk.usage = use
		sti.guard.ObserveUsage(tsk.id, use, now)
	}
	if cpt := cur.Checkpoint(); cpt != tsk.checkpoint {
		tsk.checkpoint = cpt
		sti.guard.Checkpointed(tsk.id, now)
	}
}

// class bounds the number of classes with a record of their own.
func (sti *state[G]) boundClass(name fleet.JobClass) fleet.JobClass {
	if _, found := sti.classes[name]; found {
		return name
	}
	if len(sti.classes) >= classLimit {
		return otherClass
	}
	if sti.classes == nil {
		sti.classes = make(map[fleet.JobClass]struct{})
	}
	sti.classes[name] = struct{}{}
	return name
}
