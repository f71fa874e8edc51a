package place

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Limits of evictions.
const (
	// evictionBurst and evictionPeriod bound the evicted tasks: a burst, then one in each period,
	// so that many urgent tasks at once do not stop all running ones.
	evictionBurst  = 16
	evictionPeriod = 250 * time.Millisecond
	// claimPeriod is how long an instance is reserved for the task for which others were evicted:
	// the time of a checkpoint and a start.
	claimPeriod = 5 * time.Second
	// claimRetryPeriod is the time from one claim of a task to its next one when the first did
	// not lead to a start.
	claimRetryPeriod = 30 * time.Second
	// urgentMinimumRun is how long a task runs before it may be evicted for an urgent one, so that
	// ordinary tasks make some progress even under many urgent ones.
	urgentMinimumRun = 5 * time.Second
	// ordinaryMinimumRun is the same for evictions in favour of ordinary tasks. With less, the
	// scenario sen-vang lost batch work during the outage of a data centre.
	ordinaryMinimumRun = time.Minute
	// evictionSamples bounds the running tasks whose instances are compared, and planTaskLimit
	// the tasks evicted from one instance for one task.
	evictionSamples = 128
	planTaskLimit   = 8
)

// Costs of evicting a task, besides the time since its latest checkpoint. Only their order of
// magnitude matters. That time, stopCost and repeatedStopCost count once and once more for each
// processor of the task: a large one loses more work and waits longer for a free instance.
const (
	stopCost           = 30 * time.Second // each checkpoint, stop and restart
	repeatedStopCost   = 2 * time.Minute  // each earlier eviction
	belowShareCost     = time.Hour        // its team would be below its share
	missedDeadlineCost = 10 * time.Hour   // it would miss its deadline
	// restartCost is more than any plan costs without such a task.
	restartCost = 10_000 * time.Hour // it would start from the beginning
	// deadlineMargin is the time before its latest start from which a task is not evicted for an
	// ordinary one: on a full fleet a restart may take as long.
	deadlineMargin = 5 * time.Minute
)

// Victim is a running task to be checkpointed and evicted in favour of another one.
type Victim struct {
	task     TaskID
	instance fleet.InstanceID
	claimant Task
}

// Task returns the task to evict.
func (vic Victim) Task() TaskID { return vic.task }

// Instance returns the instance on which the task runs.
func (vic Victim) Instance() fleet.InstanceID { return vic.instance }

// Claimant returns the team of the task in whose favour this one is evicted.
func (vic Victim) Claimant() fleet.Team { return vic.claimant.team }

// Urgent reports whether the task is evicted in favour of an urgent one.
func (vic Victim) Urgent() bool { return vic.claimant.urgent }

// claim reserves an instance for the task in whose favour others are evicted there.
type claim struct {
	task  TaskID
	until time.Time
}

func (clm claim) admits(id TaskID, now time.Time) bool {
	return clm.task == "" || clm.task == id || !now.Before(clm.until)
}

// taskClaim is the instance that a task has claimed, and when it may claim one again.
type taskClaim struct {
	view    *InstanceView
	retryAt time.Time
}

// evictionBudget bounds the rate of evictions. The zero value allows a full burst.
type evictionBudget struct {
	fullAt time.Time // when the whole burst is available again
}

func (bud *evictionBudget) take(count int, now time.Time) bool {
	if bud.fullAt.Before(now) {
		bud.fullAt = now
	}
	next := bud.fullAt.Add(time.Duration(count) * evictionPeriod)
	if next.Sub(now) > evictionBurst*evictionPeriod {
		return false
	}
	bud.fullAt = next
	return true
}

// addAccepted adds a placement to the running ones.
func (sch *Scheduler[P]) addAccepted(plc *placement) {
	plc.position = len(sch.accepted)
	sch.accepted = append(sch.accepted, plc)
	plc.view.placed = append(plc.view.placed, plc)
}

func (sch *Scheduler[P]) removeAccepted(plc *placement) {
	last := len(sch.accepted) - 1
	sch.accepted[plc.position] = sch.accepted[last]
	sch.accepted[plc.position].position = plc.position
	sch.accepted[last] = nil
	sch.accepted = sch.accepted[:last]
	plc.view.placed = slices.DeleteFunc(plc.view.placed, func(oth *placement) bool { return oth == plc })
}

// Reclaim returns the tasks to be evicted in favour of tasks waiting in the queue.
func (sch *Scheduler[P]) Reclaim(now time.Time) []Victim {
	var vics []Victim
	for _, clm := range sch.queue.Claims(now) {
		vics = append(vics, sch.Evict(clm.Value().task, nil, clm.Waited(), now)...)
	}
	return vics
}

// Evict returns the tasks to be evicted from one instance so that a waiting task fits there, and
// claims the instance for that task for claimPeriod. It returns none while the task fits on some
// instance, when no eviction helps, and when the budget of evictions is used up.
//
// Urgent tasks are never evicted, and others not before urgentMinimumRun or ordinaryMinimumRun.
// In favour of an ordinary task, only tasks of other teams that keep their share are evicted, and
// only while its own team stays within its share. In favour of an urgent task, ordinary tasks of
// its own team may be evicted as well and, while its team stays within its share, any ordinary
// task if necessary. The instance whose tasks lose the least work is chosen.
func (sch *Scheduler[P]) Evict(tsk Task, accept func(id fleet.InstanceID) bool, waited time.Duration, now time.Time) []Victim {
	return sch.EvictFor(tsk, sch.WithinShare(tsk), accept, waited, now)
}

// WithinShare reports whether the team of a task stays within its share when the task runs.
func (sch *Scheduler[P]) WithinShare(tsk Task) bool {
	need := sch.policy.Reserve(&tsk, &sch.knowledge)
	return sch.queue.UsedWith(tsk.team, need) <= sch.queue.Share(tsk.team)
}

// LacksCapacity reports whether a task fits on no instance and may claim one.
func (sch *Scheduler[P]) LacksCapacity(tsk Task, now time.Time) bool {
	need := sch.policy.Reserve(&tsk, &sch.knowledge)
	return !now.Before(sch.claims[tsk.id].retryAt) && !sch.hasRoom(&tsk, need, nil, now)
}

// EvictFor is Evict for a task that may belong to another scheduler. That one determines whether
// the team stays within its share.
func (sch *Scheduler[P]) EvictFor(tsk Task, withinShare bool, accept func(id fleet.InstanceID) bool, waited time.Duration, now time.Time) []Victim {
	need := sch.policy.Reserve(&tsk, &sch.knowledge)
	if now.Before(sch.claims[tsk.id].retryAt) || !withinShare && !tsk.urgent || sch.hasRoom(&tsk, need, accept, now) {
		return nil
	}
	srh := search[P]{scheduler: sch, task: &tsk, need: need, withinShare: withinShare, now: now}
	sch.visit++
	best := plan{}
	for step := range min(evictionSamples, len(sch.accepted)) {
		viw := sch.accepted[(int(sch.visit)*evictionSamples+step)%len(sch.accepted)].view
		if viw.visit == sch.visit || accept != nil && !accept(viw.instance.id) {
			continue
		}
		viw.visit = sch.visit
		pln := srh.plan(viw)
		if len(pln.tasks) > 0 && (len(best.tasks) == 0 || pln.cost < best.cost) && srh.admitted(viw, pln) {
			best = pln
		}
	}
	if len(best.tasks) == 0 || !sch.budget.take(len(best.tasks), now) {
		return nil
	}
	sch.claimInstance(best.tasks[0].view, tsk.id, now)
	return sch.markStopping(best.tasks, tsk, waited, now)
}

// hasRoom reports whether a task fits on some instance now. If so, it waits for another reason
// than capacity.
func (sch *Scheduler[P]) hasRoom(tsk *Task, need resource.Vector, accept func(id fleet.InstanceID) bool, now time.Time) bool {
	sch.candidates.reset(&sch.instances, tsk.id, need, now, sch.random())
	sch.candidates.accept = accept
	found := sch.candidates.First() != nil
	sch.candidates.accept = nil
	return found
}

// claimInstance reserves an instance for a task and deletes outdated claims.
func (sch *Scheduler[P]) claimInstance(viw *InstanceView, id TaskID, now time.Time) {
	if sch.claims == nil {
		sch.claims = make(map[TaskID]taskClaim)
	}
	for old, clm := range sch.claims {
		if !now.Before(clm.retryAt) {
			delete(sch.claims, old)
		}
	}
	viw.claim = claim{task: id, until: now.Add(claimPeriod)}
	sch.claims[id] = taskClaim{view: viw, retryAt: now.Add(claimRetryPeriod)}
	sch.instances.anyClaimed = true
}

// endClaim deletes the claim of a task that an instance has accepted.
func (sch *Scheduler[P]) endClaim(id TaskID) {
	clm, found := sch.claims[id]
	if !found {
		return
	}
	delete(sch.claims, id)
	sch.instances.anyClaimed = len(sch.claims) > 0
	if clm.view.claim.task == id {
		clm.view.claim = claim{}
	}
}

// markStopping marks the tasks of a plan as stopping and records why.
func (sch *Scheduler[P]) markStopping(plcs []*placement, tsk Task, waited time.Duration, now time.Time) []Victim {
	vics := make([]Victim, 0, len(plcs))
	for _, plc := range plcs {
		plc.stopping = true
		cod := explain.Reclaimed
		if tsk.urgent {
			cod = explain.Preempted
		}
		sch.record(explain.New(cod, now, string(plc.task.id)).WithOther(string(tsk.team)).WithPeriod(waited))
		vics = append(vics, Victim{task: plc.task.id, instance: plc.view.instance.id, claimant: tsk})
	}
	return vics
}

// plan is a set of tasks to evict from one instance and the cost of doing so.
type plan struct {
	tasks []*placement
	cost  time.Duration
}

// search looks for the tasks to evict in favour of one waiting task.
type search[P Policy] struct {
	scheduler   *Scheduler[P]
	task        *Task
	need        resource.Vector
	withinShare bool // the team of the task stays within its share when the task runs
	now         time.Time
}

// accepter is a policy that may reject an instance on which the task fits.
type accepter interface {
	// Accepts reports whether a task may be placed on an instance on which it fits.
	Accepts(viw *InstanceView, tsk *Task, need resource.Vector, knw *Knowledge) bool
}

// Accepts reports whether the task is admissible next to the services of an instance.
func (Scored) Accepts(viw *InstanceView, tsk *Task, need resource.Vector, knw *Knowledge) bool {
	return knw.Admissible(viw, tsk, need, knw.Slowdown(viw, tsk, need))
}

// admitted reports whether the policy would choose the instance without the tasks of a plan.
func (srh *search[P]) admitted(viw *InstanceView, pln plan) bool {
	sch := srh.scheduler
	acc, limited := any(sch.policy).(accepter)
	if !limited || len(pln.tasks) == 0 {
		return true
	}
	sch.updateInterfering(viw)
	for _, plc := range pln.tasks {
		viw.addUse(plc.row, -plc.size.MilliCPU())
		viw.interfering -= countIf(plc.interfering)
	}
	taken := acc.Accepts(viw, srh.task, srh.need, &sch.knowledge)
	for _, plc := range pln.tasks {
		viw.addUse(plc.row, plc.size.MilliCPU())
		viw.interfering += countIf(plc.interfering)
	}
	return taken
}

// updateInterfering recomputes which running tasks of an instance interfere, because the cost of
// their classes may have been learned since they were placed.
func (sch *Scheduler[P]) updateInterfering(viw *InstanceView) {
	for _, plc := range viw.placed {
		viw.interfering -= countIf(plc.interfering)
		viw.addUse(plc.row, -plc.size.MilliCPU())
		plc.interfering = !sch.knowledge.Slowdown(viw, &plc.task, plc.size).withinPlan()
		viw.addUse(plc.row, plc.size.MilliCPU())
		viw.interfering += countIf(plc.interfering)
	}
}

// plan returns the tasks to evict from an instance: the cheapest single one that frees enough
// or else, in favour of an urgent task, several. Those are collected in the order of the work that
// they lose, and then the ones that turn out not to be needed are dropped.
func (srh *search[P]) plan(viw *InstanceView) plan {
	if viw.site.out || viw.available() == closed || !viw.claim.admits(srh.task.id, srh.now) {
		return plan{}
	}
	list := slices.Clone(viw.placed)
	slices.SortFunc(list, func(one, two *placement) int {
		return cmp.Or(cmp.Compare(countIf(one.task.restarts), countIf(two.task.restarts)), cmp.Compare(srh.unsavedWork(one), srh.unsavedWork(two)), cmp.Compare(two.sequence, one.sequence))
	})
	best, several, free := plan{}, plan{}, viw.Free()
	for _, plc := range list {
		cost, allowed := srh.cost(plc, nil)
		if allowed && srh.need.FitsIn(viw.Free().Plus(plc.size)) && (len(best.tasks) == 0 || cost < best.cost) {
			best = plan{tasks: []*placement{plc}, cost: cost}
		}
		cost, allowed = srh.cost(plc, several.tasks)
		if allowed && len(several.tasks) < planTaskLimit && !srh.need.FitsIn(free) {
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

// unsavedWork returns the run time of a task since its latest checkpoint.
func (srh *search[P]) unsavedWork(plc *placement) time.Duration {
	begin := plc.placed
	if plc.saved.After(begin) {
		begin = plc.saved
	}
	return srh.now.Sub(begin)
}

// cost returns the cost of evicting a task in addition to others of the same plan, and false if
// it must not be evicted.
func (srh *search[P]) cost(plc *placement, others []*placement) (time.Duration, bool) {
	least := ordinaryMinimumRun
	if srh.task.urgent {
		least = urgentMinimumRun
	}
	if plc.stopping || plc.task.urgent || srh.now.Sub(plc.placed) < least {
		return 0, false
	}
	cost := srh.unsavedWork(plc) + stopCost + time.Duration(plc.task.evicted)*repeatedStopCost
	cost += cost * time.Duration(plc.size.MilliCPU()) / 1000
	if due := plc.task.deadline; !due.IsZero() && srh.now.Add(deadlineMargin).After(due) {
		if !srh.task.urgent {
			return 0, false
		}
		cost += missedDeadlineCost
	}
	if plc.task.restarts {
		cost += restartCost
	}
	switch {
	case plc.task.team == srh.task.team:
		return cost, srh.task.urgent
	case srh.keepsShare(plc, others):
		return cost, true
	default:
		return cost + belowShareCost, srh.task.urgent && srh.withinShare
	}
}

// keepsShare reports whether the team of a task keeps its share without it and without the
// others. A team below its share would claim the capacity back at once.
func (srh *search[P]) keepsShare(plc *placement, others []*placement) bool {
	name, gone := plc.task.team, plc.size
	for _, oth := range others {
		if oth.task.team == name {
			gone = gone.Plus(oth.size)
		}
	}
	que := &srh.scheduler.queue
	return que.UsedWith(name, resource.Vector{}.Minus(gone)) >= que.Share(name)
}
