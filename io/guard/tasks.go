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

// task is a running task as of the last period.
type task struct {
	ref             worker.Ref
	id              string
	class           fleet.JobClass
	size            resource.Vector
	usage           resource.Vector
	checkpoint      string
	prior           interfere.Estimate
	reportedSize    resource.Vector // committed resources last acknowledged by the owner
	idleReports     int             // messages that reported the service as idle for its class
	throttlePercent int             // reduction of its speed
	lastOrder       time.Time       // when a throttle order was last sent
	speedConfirmed  bool            // the worker has confirmed that order
}

func (tsk *task) descriptor() interfere.Task { return interfere.NewTask(tsk.id, tsk.class, tsk.size) }

// taskName returns the ID of an assignment in the interfere.Guard and in explanations.
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

// followTasks passes the changes of the tasks since the last period to the interfere.Guard, if there is
// one. A task that is being stopped can no longer be throttled or evicted and counts as ended.
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
		if sti.created && !slices.Contains(next, tsk) {
			sti.guard.Ended(tsk.id)
		}
	}
	sti.tasks = next
}

func (sti *state[G]) addTask(cur runner.Status, now time.Time) *task {
	tsk := &task{ref: cur.Ref(), id: taskName(cur.Ref()), class: sti.boundClass(cur.Class()), size: cur.Resources(), reportedSize: cur.Resources()}
	tsk.prior = interfere.NewEstimate(cur.Prior())
	if sti.created {
		sti.setPrior(tsk)
		sti.guard.Started(tsk.descriptor(), now)
	}
	return tsk
}

// setPrior passes the owner's estimate for the class of a task to the interfere.Guard.
func (sti *state[G]) setPrior(tsk *task) {
	if tsk.prior.Weight() > 0 {
		sti.guard.SetPrior(sti.service, tsk.class, tsk.prior)
	}
}

// update passes on what the worker has newly reported. Usage is zero before the first report.
func (sti *state[G]) update(tsk *task, cur runner.Status, now time.Time) {
	tsk.speedConfirmed = cur.SpeedConfirmed()
	if !sti.created {
		tsk.size = cur.Resources()
		return
	}
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

// boundClass returns the class itself for the first classLimit classes and otherClass for the rest.
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
