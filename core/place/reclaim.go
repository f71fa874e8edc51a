package place

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Limits of the tasks stopped for others.
const (
	// evictionBurst and evictionPeriod bound the tasks stopped: a burst, then one
	// each period, so that a wave of urgent work does not stop a whole fleet.
	evictionBurst  = 16
	evictionPeriod = 250 * time.Millisecond
	// claimPeriod is how long the room made on an instance is kept for its task:
	// the time of a checkpoint and a start.
	claimPeriod = 5 * time.Second
	// claimAgain is the time after which a task may claim room again when it did
	// not use what was made for it.
	claimAgain = 30 * time.Second
	// leastRun is how long a task runs before it may be stopped, so that a flood of
	// urgent work leaves the ordinary tasks that get their turn some progress.
	leastRun = 5 * time.Second
	// ordinaryRun is the same for room that is not for urgent work. With less, the
	// scenario sen-vang lost batch work during the outage of a data centre.
	ordinaryRun = time.Minute
	// sampleLimit bounds the running tasks whose instances are compared, and
	// planLimit the tasks stopped on one instance.
	sampleLimit = 128
	planLimit   = 8
)

// Costs of stopping a task beyond the time since its latest checkpoint. They
// only have to differ clearly. The first ones count once and again for each
// processor of the task: a large one loses more and waits longer for room.
const (
	stopCost     = 30 * time.Second // each checkpoint, stop and start
	againCost    = 2 * time.Minute  // each time it was stopped before
	shareCost    = time.Hour        // its team is then below its share
	deadlineCost = 10 * time.Hour   // it would miss its deadline
	// restartCost is more than any plan costs without such a task.
	restartCost = 10_000 * time.Hour // it would start from the beginning
	// spareTime is the time before the latest start for a deadline from which a
	// task is spared: a restart may take as long on a full fleet.
	spareTime = 5 * time.Minute
)

// Victim is a running task to be checkpointed and stopped for another one.
type Victim struct {
	task     TaskID
	instance fleet.InstanceID
	claimant Task
}

// Task returns the task to stop.
func (vic Victim) Task() TaskID { return vic.task }

// Instance returns where it runs.
func (vic Victim) Instance() fleet.InstanceID { return vic.instance }

// Claimant returns the team that needs the room.
func (vic Victim) Claimant() fleet.Team { return vic.claimant.team }

// Urgent reports whether the room is for urgent work.
func (vic Victim) Urgent() bool { return vic.claimant.urgent }

// claim keeps an instance for the task for which room is made there.
type claim struct {
	task  TaskID
	until time.Time
}

func (clm claim) admits(id TaskID, now time.Time) bool {
	return clm.task == "" || clm.task == id || !now.Before(clm.until)
}

// claimed is where a task has claimed room, and when it may do so again.
type claimed struct {
	view  *InstanceView
	again time.Time
}

// evictionBudget bounds the rate of evictions. The zero value holds a burst.
type evictionBudget struct {
	spent time.Time // the time at which the budget is full again
}

func (bud *evictionBudget) take(count int, now time.Time) bool {
	if bud.spent.Before(now) {
		bud.spent = now
	}
	next := bud.spent.Add(time.Duration(count) * evictionPeriod)
	if next.Sub(now) > evictionBurst*evictionPeriod {
		return false
	}
	bud.spent = next
	return true
}

// list adds a placement to those that run.
func (sch *Scheduler[P]) list(plc *placement) {
	plc.position = len(sch.accepted)
	sch.accepted = append(sch.accepted, plc)
	plc.view.placed = append(plc.view.placed, plc)
}

func (sch *Scheduler[P]) unlist(plc *placement) {
	last := len(sch.accepted) - 1
	sch.accepted[plc.position] = sch.accepted[last]
	sch.accepted[plc.position].position = plc.position
	sch.accepted[last] = nil
	sch.accepted = sch.accepted[:last]
	plc.view.placed = slices.DeleteFunc(plc.view.placed, func(oth *placement) bool { return oth == plc })
}

// Reclaim returns the tasks to be stopped for the waiting tasks of the queue.
func (sch *Scheduler[P]) Reclaim(now time.Time) []Victim {
	var vics []Victim
	for _, clm := range sch.queue.Claims(now) {
		vics = append(vics, sch.Evict(clm.Value().task, nil, clm.Waited(), now)...)
	}
	return vics
}

// Evict returns the tasks to be stopped on one instance so that a waiting task
// fits there, and keeps the instance for it for claimPeriod. It returns none
// while some instance has room, when no stop helps, and when too many tasks
// were stopped just now.
//
// Urgent tasks are never stopped, and others not before leastRun or ordinaryRun.
// An ordinary task takes room only from other teams that keep their share, and
// only while its own team stays within its share. An urgent task also takes the
// room of ordinary tasks of its team and, while its team stays within its share,
// if need be that of any ordinary task.
// Among the instances, the one whose tasks lose least work is chosen.
func (sch *Scheduler[P]) Evict(tsk Task, accept func(id fleet.InstanceID) bool, waited time.Duration, now time.Time) []Victim {
	return sch.EvictFor(tsk, sch.WithinShare(tsk), accept, waited, now)
}

// WithinShare reports whether the team of a task stays within its share with it.
func (sch *Scheduler[P]) WithinShare(tsk Task) bool {
	need := sch.policy.Reserve(&tsk, &sch.know)
	return sch.queue.UsedWith(tsk.team, need) <= sch.queue.Share(tsk.team)
}

// Short reports whether a task has claimed no room and no instance seems to have any.
func (sch *Scheduler[P]) LacksCapacity(tsk Task, now time.Time) bool {
	need := sch.policy.Reserve(&tsk, &sch.know)
	return !now.Before(sch.claims[tsk.id].again) && !sch.hasRoom(&tsk, need, nil, now)
}

// EvictFor is Evict for a task that another scheduler may have, which knows
// whether its team stays within its share.
func (sch *Scheduler[P]) EvictFor(tsk Task, within bool, accept func(id fleet.InstanceID) bool, waited time.Duration, now time.Time) []Victim {
	need := sch.policy.Reserve(&tsk, &sch.know)
	if now.Before(sch.claims[tsk.id].again) || !within && !tsk.urgent || sch.hasRoom(&tsk, need, accept, now) {
		return nil
	}
	srh := search[P]{scheduler: sch, task: &tsk, need: need, within: within, now: now}
	sch.visit++
	best := plan{}
	for step := range min(sampleLimit, len(sch.accepted)) {
		viw := sch.accepted[(int(sch.visit)*sampleLimit+step)%len(sch.accepted)].view
		if viw.visit == sch.visit || accept != nil && !accept(viw.instance.id) {
			continue
		}
		viw.visit = sch.visit
		pln := srh.plan(viw)
		if len(pln.tasks) > 0 && (len(best.tasks) == 0 || pln.cost < best.cost) && srh.accepted(viw, pln) {
			best = pln
		}
	}
	if len(best.tasks) == 0 || !sch.budget.take(len(best.tasks), now) {
		return nil
	}
	sch.keep(best.tasks[0].view, tsk.id, now)
	return sch.stop(best.tasks, tsk, waited, now)
}

// hasRoom reports whether some instance has room for a task now. Then it waits for another reason.
func (sch *Scheduler[P]) hasRoom(tsk *Task, need resource.Vector, accept func(id fleet.InstanceID) bool, now time.Time) bool {
	sch.candidates.reset(&sch.instances, tsk.id, need, now, sch.random())
	sch.candidates.accept = accept
	found := sch.candidates.First() != nil
	sch.candidates.accept = nil
	return found
}

// keep reserves an instance for a task.
func (sch *Scheduler[P]) keep(viw *InstanceView, id TaskID, now time.Time) {
	if sch.claims == nil {
		sch.claims = make(map[TaskID]claimed)
	}
	for old, clm := range sch.claims {
		if !now.Before(clm.again) {
			delete(sch.claims, old)
		}
	}
	viw.claim = claim{task: id, until: now.Add(claimPeriod)}
	sch.claims[id] = claimed{view: viw, again: now.Add(claimAgain)}
	sch.instances.claimed = true
}

// settleClaim ends the claim of a task that has found an instance.
func (sch *Scheduler[P]) settleClaim(id TaskID) {
	clm, found := sch.claims[id]
	if !found {
		return
	}
	delete(sch.claims, id)
	sch.instances.claimed = len(sch.claims) > 0
	if clm.view.claim.task == id {
		clm.view.claim = claim{}
	}
}

// stop marks the tasks of a plan.
func (sch *Scheduler[P]) stop(plcs []*placement, tsk Task, waited time.Duration, now time.Time) []Victim {
	vics := make([]Victim, 0, len(plcs))
	for _, plc := range plcs {
		plc.stopping = true
		cod := explain.Reclaimed
		if tsk.urgent {
			cod = explain.Preempted
		}
		sch.record(explain.New(cod, now, string(plc.task.id)).With(string(tsk.team)).For(waited))
		vics = append(vics, Victim{task: plc.task.id, instance: plc.view.instance.id, claimant: tsk})
	}
	return vics
}

// plan is the set of tasks to stop on one instance and what it costs.
type plan struct {
	tasks []*placement
	cost  time.Duration
}

// search looks for the tasks to stop for one waiting task.
type search[P Policy] struct {
	scheduler *Scheduler[P]
	task      *Task
	need      resource.Vector
	within    bool // the team of the task stays within its share with it
	now       time.Time
}

// accepter is a policy that does not take every instance with room.
type accepter interface {
	// Accepts reports whether a task may be placed on an instance that has room.
	Accepts(viw *InstanceView, tsk *Task, need resource.Vector, knw *Knowledge) bool
}

// Accepts reports whether the services on an instance bear one more task.
func (Scored) Accepts(viw *InstanceView, tsk *Task, need resource.Vector, knw *Knowledge) bool {
	return knw.Admissible(viw, tsk, need, knw.Slowdown(viw, tsk, need))
}

// accepted reports whether the policy would take the instance without the tasks of a plan.
func (srh *search[P]) accepted(viw *InstanceView, pln plan) bool {
	sch := srh.scheduler
	acc, limited := any(sch.policy).(accepter)
	if !limited || len(pln.tasks) == 0 {
		return true
	}
	sch.reassess(viw)
	for _, plc := range pln.tasks {
		viw.use(plc.row, -plc.size.MilliCPU())
		viw.interfering -= countIf(plc.interfering)
	}
	taken := acc.Accepts(viw, srh.task, srh.need, &sch.know)
	for _, plc := range pln.tasks {
		viw.use(plc.row, plc.size.MilliCPU())
		viw.interfering += countIf(plc.interfering)
	}
	return taken
}

// reassess marks anew which running tasks of an instance interfere. What is known
// of their classes may have changed since they were placed.
func (sch *Scheduler[P]) reassess(viw *InstanceView) {
	for _, plc := range viw.placed {
		viw.interfering -= countIf(plc.interfering)
		viw.use(plc.row, -plc.size.MilliCPU())
		plc.interfering = !sch.know.Slowdown(viw, &plc.task, plc.size).fits()
		viw.use(plc.row, plc.size.MilliCPU())
		viw.interfering += countIf(plc.interfering)
	}
}

// plan returns the tasks to stop on an instance: the cheapest single one that
// makes enough room or else, for urgent work, several, cheapest first, without
// those that turn out not to be needed.
func (srh *search[P]) plan(viw *InstanceView) plan {
	if viw.site.out || viw.available() == closed || !viw.claim.admits(srh.task.id, srh.now) {
		return plan{}
	}
	list := slices.Clone(viw.placed)
	slices.SortFunc(list, func(one, two *placement) int {
		return cmp.Or(cmp.Compare(countIf(one.task.restarts), countIf(two.task.restarts)), cmp.Compare(srh.loss(one), srh.loss(two)), cmp.Compare(two.sequence, one.sequence))
	})
	best, several, free := plan{}, plan{}, viw.Free()
	for _, plc := range list {
		cost, allowed := srh.cost(plc, nil)
		if allowed && srh.need.FitsIn(viw.Free().Plus(plc.size)) && (len(best.tasks) == 0 || cost < best.cost) {
			best = plan{tasks: []*placement{plc}, cost: cost}
		}
		cost, allowed = srh.cost(plc, several.tasks)
		if allowed && len(several.tasks) < planLimit && !srh.need.FitsIn(free) {
			several.tasks, several.cost, free = append(several.tasks, plc), several.cost+cost, free.Plus(plc.size)
		}
	}
	if len(best.tasks) > 0 || !srh.task.urgent || !srh.need.FitsIn(free) {
		return best
	}
	for pos := len(several.tasks) - 1; pos >= 0; pos-- {
		if plc := several.tasks[pos]; srh.need.FitsIn(free.Minus(plc.size)) {
			cost, _ := srh.cost(plc, nil)
			several.tasks, several.cost, free = slices.Delete(several.tasks, pos, pos+1), several.cost-cost, free.Minus(plc.size)
		}
	}
	return several
}

// loss returns the work since the latest checkpoint of a task.
func (srh *search[P]) loss(plc *placement) time.Duration {
	begin := plc.placed
	if plc.saved.After(begin) {
		begin = plc.saved
	}
	return srh.now.Sub(begin)
}

// cost returns what it costs to stop a task besides others of the same plan,
// and false if it may not be stopped.
func (srh *search[P]) cost(plc *placement, others []*placement) (time.Duration, bool) {
	least := ordinaryRun
	if srh.task.urgent {
		least = leastRun
	}
	if plc.stopping || plc.task.urgent || srh.now.Sub(plc.placed) < least {
		return 0, false
	}
	cost := srh.loss(plc) + stopCost + time.Duration(plc.task.evicted)*againCost
	cost += cost * time.Duration(plc.size.MilliCPU()) / 1000
	if due := plc.task.deadline; !due.IsZero() && srh.now.Add(spareTime).After(due) {
		if !srh.task.urgent {
			return 0, false
		}
		cost += deadlineCost
	}
	if plc.task.restarts {
		cost += restartCost
	}
	switch {
	case plc.task.team == srh.task.team:
		return cost, srh.task.urgent
	case srh.spares(plc, others):
		return cost, true
	default:
		return cost + shareCost, srh.task.urgent && srh.within
	}
}

// spares reports whether the team of a task keeps its share without it and
// without the others, so that it does not claim the capacity back at once.
func (srh *search[P]) spares(plc *placement, others []*placement) bool {
	name, gone := plc.task.team, plc.size
	for _, oth := range others {
		if oth.task.team == name {
			gone = gone.Plus(oth.size)
		}
	}
	que := &srh.scheduler.queue
	return que.UsedWith(name, resource.Vector{}.Minus(gone)) >= que.Share(name)
}
