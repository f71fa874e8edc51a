// Package place decides which waiting task starts next and on which instance.
//
// A Scheduler combines the order of the queue (core/quota), the choice of an instance by a Policy,
// learned sizes and costs of interference (core/interfere), and the attribution of failures to jobs
// or instances (core/blame). It is used by the owner of a partition:
//
//	Next -> the offer to send -> Accepted or Refused -> Ended
//
// An owner that keeps its own queue uses Choose, Commit and Conclude instead.
//
// Model: the free amounts known here are estimates. The agent on an instance decides whether an
// offer fits and returns its free amounts with the reply, which correct the estimate. Free amounts
// are kept in one tree for each data centre, and a placement compares a fixed number of sampled
// candidates. Its cost grows with the number of instances only through the depth of the tree.
//
// Decisions depend only on the calls, the times passed in and the seed. A Scheduler must be used
// from one goroutine at a time. The zero value works with the zero policy and seed zero.
//
// Limits: the result "no instance fits" can be wrong for one attempt. The search visits a bounded
// number of nodes, and can reach that bound when the largest amounts of different resources are
// free on different instances. The task is tried again within RetryPeriod.
package place

import (
	"math/rand/v2"
	"time"

	"jacinthpost/core/blame"
	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/heap"
	"jacinthpost/core/queue"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// Periods of the scheduler.
const (
	// RetryPeriod is the time after which tasks that did not fit are tried again even if no
	// instance reported more free amounts, and after which backed-off instances are reviewed.
	RetryPeriod = time.Second
	// RefusalBackoff is how long an instance gets no offer after a refusal for another reason than
	// capacity.
	RefusalBackoff = time.Second
	// SamplePeriod is the run time after which the peak usage of a running task is added to the
	// learned sizes of its class, so that classes with long runs are learned early.
	SamplePeriod = 15 * time.Second
	// attemptLimit bounds the tasks tried by one call of Next.
	attemptLimit = 64
)

// Offer is a task with the instance and amounts chosen for it.
type Offer struct {
	task     Task
	instance fleet.InstanceID
	size     resource.Vector
}

// Task returns the task to offer.
func (off Offer) Task() Task { return off.task }

// Instance returns the instance that is to run the task.
func (off Offer) Instance() fleet.InstanceID { return off.instance }

// Size returns the amounts to reserve.
func (off Offer) Size() resource.Vector { return off.size }

// waiting is a task in the queue.
type waiting struct {
	task    Task
	since   time.Time // first attempt without a result, zero before
	retried bool      // requeued after a deferral
}

// deferral holds the tasks of a class that fit on an instance but that the policy did not place.
// They are kept out of the queue, so that they don't block the other tasks of their teams.
type deferral struct {
	class fleet.JobClass
	tasks queue.Queue[TaskID, waiting]
}

// placement is a task that was offered or runs.
//
// When the task ends in a large fleet, its placement is not in the processor cache. The fields read
// then are next to each other: those before the task and the first ones of the task.
type placement struct {
	view        *InstanceView
	row         *classRow
	size        resource.Vector
	peak        resource.Vector
	accepted    bool
	sampled     bool
	interfering bool
	stopping    bool
	task        Task
	placed      time.Time
	saved       time.Time // of the newest checkpoint, zero for none
	sequence    uint64
	position    int // in Scheduler.accepted
}

// delayed is a task that is queued again at a given time.
type delayed struct {
	at       time.Time
	sequence uint64
	task     Task
}

// Before orders delayed tasks by time, and those of the same time by their sequence.
func (del delayed) Before(oth delayed) bool {
	if order := del.at.Compare(oth.at); order != 0 {
		return order < 0
	}
	return del.sequence < oth.sequence
}

// Scheduler is the scheduling state of one owner.
type Scheduler[P Policy] struct {
	policy     P
	rnd        *rand.Rand
	instances  Instances
	knowledge  Knowledge
	queue      quota.Arbiter[TaskID, waiting]
	placements map[TaskID]*placement
	accepted   []*placement // in no order
	claims     map[TaskID]taskClaim
	budget     evictionBudget
	visit      uint64
	delays     heap.Heap[delayed]
	delayItems map[TaskID]*heap.Item[delayed]
	backedOff  []*InstanceView
	deferrals  []*deferral // sorted by class
	deferred   int
	log        explain.Log
	candidates Candidates
	sequence   uint64
	nextTick   time.Time
}

// NewScheduler returns a scheduler with a policy and the seed of its random choices.
func NewScheduler[P Policy](pol P, seed uint64) *Scheduler[P] {
	return &Scheduler[P]{policy: pol, rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Knowledge returns what has been learned.
func (sch *Scheduler[P]) Knowledge() *Knowledge { return &sch.knowledge }

// Instances returns the table of instances.
func (sch *Scheduler[P]) Instances() *Instances { return &sch.instances }

// Waiting returns the number of queued and deferred tasks, without delayed and parked ones.
func (sch *Scheduler[P]) Waiting() int { return sch.queue.Len() + sch.deferred }

// Delayed returns the number of tasks that wait for their next attempt.
func (sch *Scheduler[P]) Delayed() int { return sch.delays.Len() }

// Placed returns the number of tasks offered or running.
func (sch *Scheduler[P]) Placed() int { return len(sch.placements) }

// Explain returns the newest reasons about a task, job, instance or team.
func (sch *Scheduler[P]) Explain(subject string) []explain.Reason { return sch.log.Reasons(subject) }

// ExplainWaiting returns the newest reasons about a waiting task. The last one tells whether its
// team is above its share or how many tasks of the team wait besides it.
func (sch *Scheduler[P]) ExplainWaiting(id TaskID, name fleet.Team, now time.Time) []explain.Reason {
	rsn := explain.New(explain.Queued, now, string(id)).WithOther(string(name)).WithCounts(max(0, sch.queue.Waiting(name)-1), 0)
	if used, share := sch.queue.Used(name), sch.queue.Share(name); used > share {
		rsn = explain.New(explain.TeamOverShare, now, string(id)).WithOther(string(name)).
			WithCounts(int(used*1000/quota.Unit), int(share*1000/quota.Unit))
	}
	return append(sch.Explain(string(id)), rsn)
}

func (sch *Scheduler[P]) random() *rand.Rand {
	if sch.rnd == nil {
		sch.rnd = rand.New(rand.NewPCG(0, 0))
	}
	return sch.rnd
}

// SetTeam sets the weight of a team.
func (sch *Scheduler[P]) SetTeam(name fleet.Team, weight int64) { sch.queue.SetTeam(name, weight) }

// Submit queues a new task. It returns false and the reason when the task is too large for every
// instance or the queue of its team is full.
func (sch *Scheduler[P]) Submit(tsk Task, now time.Time) (explain.Reason, bool) {
	need := sch.policy.Reserve(&tsk, &sch.knowledge)
	if sch.instances.Len() > 0 && !need.FitsIn(sch.knowledge.largest) {
		return sch.record(explain.New(explain.TooLarge, now, string(tsk.id)).WithAmounts(need, sch.knowledge.largest)), false
	}
	if sch.knowledge.blame.Parked(tsk.job) {
		sch.countOpen(&tsk)
		sch.knowledge.countsOf(tsk.job).parked = append(sch.knowledge.countsOf(tsk.job).parked, tsk)
		return explain.Reason{}, true
	}
	if !sch.queue.Add(tsk.id, tsk.team, tsk.urgent, tsk.deadline, waiting{task: tsk}) {
		return sch.record(explain.New(explain.QueueFull, now, string(tsk.id)).WithOther(string(tsk.team)).WithCounts(0, quota.QueueLimit)), false
	}
	sch.countOpen(&tsk)
	return explain.Reason{}, true
}

func (sch *Scheduler[P]) countOpen(tsk *Task) { sch.knowledge.countsOf(tsk.job).open++ }

// Cancel removes a task that is not placed and reports whether it found one. A placed task must
// first be stopped by its agent and then ends with Cancelled.
func (sch *Scheduler[P]) Cancel(id TaskID, job string) bool {
	if wai, found := sch.queue.Cancel(id); found {
		sch.knowledge.closeTask(&wai.task)
		return true
	}
	if itm, found := sch.delayItems[id]; found {
		tsk := itm.Value().task
		sch.delays.Remove(itm)
		delete(sch.delayItems, id)
		sch.knowledge.closeTask(&tsk)
		return true
	}
	return sch.cancelDeferred(id) || sch.cancelParked(id, job)
}

func (sch *Scheduler[P]) cancelParked(id TaskID, name string) bool {
	job, found := sch.knowledge.jobs[name]
	if !found {
		return false
	}
	for pos, tsk := range job.parked {
		if tsk.id == id {
			last := len(job.parked) - 1
			job.parked[pos] = job.parked[last]
			job.parked = job.parked[:last]
			sch.knowledge.closeTask(&tsk)
			return true
		}
	}
	return false
}

// Next returns the next offer to send, or false when none of the tasks tried can be placed at
// present. It tries a bounded number of tasks. The caller has to call it again after each event
// and at least once in each RetryPeriod.
func (sch *Scheduler[P]) Next(now time.Time) (Offer, bool) {
	if !now.Before(sch.nextTick) {
		sch.tick(now)
	}
	for attempts := 0; attempts < attemptLimit; {
		id, wai, found := sch.queue.Next(now)
		if !found {
			return Offer{}, false
		}
		if sch.divert(id, wai, now) {
			continue
		}
		if off, placed := sch.tryPlace(id, wai, now); placed {
			return off, true
		}
		attempts++
	}
	return Offer{}, false
}

// divert parks a task whose job is parked and defers a task of whose class others are deferred,
// both without an attempt to place it. It returns false for any other task.
func (sch *Scheduler[P]) divert(id TaskID, wai waiting, now time.Time) bool {
	switch {
	case sch.knowledge.blame.Parked(sch.knowledge.failureKey(&wai.task)):
		job := sch.knowledge.countsOf(wai.task.job)
		job.parked = append(job.parked, wai.task)
		return true
	case !wai.retried && !wai.task.urgent && sch.hasDeferred(wai.task.class):
		sch.deferTask(id, wai, now)
		return true
	default:
		return false
	}
}

func (sch *Scheduler[P]) tryPlace(id TaskID, wai waiting, now time.Time) (Offer, bool) {
	need := sch.policy.Reserve(&wai.task, &sch.knowledge)
	sch.candidates.reset(&sch.instances, wai.task.id, need, now, sch.random())
	viw := sch.policy.Choose(&sch.candidates, &wai.task, &sch.knowledge)
	if viw == nil {
		sch.postpone(id, wai, need, now)
		return Offer{}, false
	}
	sch.reserve(wai.task, viw, need, now)
	if wai.retried {
		sch.requeueDeferred(wai.task.class, 1)
	}
	return Offer{task: wai.task, instance: viw.instance.id, size: need}, true
}

// postpone handles a task that was not placed. It is deferred when it fits on an instance but the
// policy chose none, and otherwise waits in the queue until enough is free.
func (sch *Scheduler[P]) postpone(id TaskID, wai waiting, need resource.Vector, now time.Time) {
	if wai.since.IsZero() {
		wai.since = now
	}
	viw := sch.candidates.First()
	if viw != nil {
		sch.record(sch.policyReason(viw, &wai.task, now))
	} else {
		sch.record(sch.noFitReason(&wai.task, need, now))
	}
	if viw != nil && !wai.task.urgent {
		sch.deferTask(id, wai, now)
		return
	}
	wai.retried = false
	sch.queue.Defer(id, wai.task.team, wai.task.urgent, wai, need, wai.since)
}

// noFitReason explains why a task fits on no instance.
func (sch *Scheduler[P]) noFitReason(tsk *Task, need resource.Vector, now time.Time) explain.Reason {
	if sch.instances.InService() == 0 {
		return explain.New(explain.NoInstances, now, string(tsk.id)).WithCounts(sch.instances.Len(), 0)
	}
	return explain.New(explain.NoFit, now, string(tsk.id)).WithAmounts(need, sch.instances.Largest())
}

// reserve counts the amounts of a task as pending on an instance until the reply arrives.
func (sch *Scheduler[P]) reserve(tsk Task, viw *InstanceView, size resource.Vector, now time.Time) *placement {
	if sch.placements == nil {
		sch.placements = make(map[TaskID]*placement)
	}
	sch.sequence++
	plc := &placement{task: tsk, view: viw, size: size, placed: now, sequence: sch.sequence}
	plc.interfering = !sch.knowledge.Slowdown(viw, &tsk, size).withinPlan()
	viw.interfering += countIf(plc.interfering)
	viw.pending = viw.pending.Plus(size)
	viw.tasks++
	plc.row = viw.services.row(tsk.class, &sch.knowledge.pairings)
	viw.addUse(plc.row, size.MilliCPU())
	viw.site.refresh(viw)
	sch.placements[tsk.id] = plc
	sch.knowledge.countPlaced(viw, &tsk, 1)
	sch.queue.Started(tsk.team, tsk.urgent, size)
	sch.record(explain.New(explain.Placed, now, string(tsk.id)).WithOther(string(viw.instance.id)).WithAmounts(size, resource.Vector{}))
	return plc
}

func countIf(condition bool) int32 {
	if condition {
		return 1
	}
	return 0
}

// unreserve reverses reserve after a refusal or the end of a task.
func (sch *Scheduler[P]) unreserve(plc *placement) {
	viw := plc.view
	delete(sch.placements, plc.task.id)
	if plc.accepted {
		viw.reported = viw.reported.Plus(plc.size)
		sch.removeAccepted(plc)
	} else {
		viw.pending = viw.pending.Minus(plc.size)
	}
	viw.tasks--
	viw.addUse(plc.row, -plc.size.MilliCPU())
	viw.interfering -= countIf(plc.interfering)
	sch.knowledge.countPlaced(viw, &plc.task, -1)
	sch.queue.Ended(plc.task.team, plc.task.urgent, plc.size)
	sch.refresh(viw)
}

// refresh updates the free amounts of an instance in its tree, unless it has left, and wakes the
// queued tasks that may fit.
func (sch *Scheduler[P]) refresh(viw *InstanceView) {
	if sch.instances.Find(viw.instance.id) != viw {
		return
	}
	viw.site.refresh(viw)
	if free := viw.available(); !viw.site.out && free.Valid() {
		sch.queue.Wake(free)
	}
}

// Accepted records that the agent accepted the offer and has the given amounts left.
func (sch *Scheduler[P]) Accepted(id TaskID, free resource.Vector) {
	plc, found := sch.placements[id]
	if !found || plc.accepted {
		return
	}
	plc.accepted = true
	sch.endClaim(id)
	plc.view.pending = plc.view.pending.Minus(plc.size)
	plc.view.reported = free
	sch.addAccepted(plc)
	if sch.instances.Find(plc.view.instance.id) == plc.view {
		plc.view.site.refresh(plc.view)
	}
}

// Refused records that the agent refused the offer, with its free amounts. The task is queued
// again at once. When the free amounts suffice, the agent has another reason to refuse, and the
// instance gets no offer until the next review.
func (sch *Scheduler[P]) Refused(id TaskID, free resource.Vector, detail string, now time.Time) {
	plc, found := sch.placements[id]
	if !found || plc.accepted {
		return
	}
	viw := plc.view
	viw.reported = free
	if plc.size.FitsIn(free) {
		sch.backOff(viw)
	}
	sch.unreserve(plc)
	sch.record(explain.New(explain.Refused, now, string(id)).WithOther(string(viw.instance.id)).WithAmounts(plc.size, free).WithDetail(detail))
	sch.requeue(plc.task, now)
}

// backOff stops offers to an instance until reviewBackedOff.
func (sch *Scheduler[P]) backOff(viw *InstanceView) {
	viw.backedOff = true
	sch.backedOff = append(sch.backedOff, viw)
}

// requeue queues a task again, or delays it when the queue is full: an accepted task is never
// dropped.
func (sch *Scheduler[P]) requeue(tsk Task, now time.Time) {
	if !sch.queue.Add(tsk.id, tsk.team, tsk.urgent, tsk.deadline, waiting{task: tsk}) {
		sch.delay(tsk, now.Add(RetryPeriod))
	}
}

func (sch *Scheduler[P]) delay(tsk Task, at time.Time) {
	if sch.delayItems == nil {
		sch.delayItems = make(map[TaskID]*heap.Item[delayed])
	}
	sch.sequence++
	sch.delayItems[tsk.id] = sch.delays.Push(delayed{at: at, sequence: sch.sequence, task: tsk})
}

func (sch *Scheduler[P]) record(rsn explain.Reason) explain.Reason {
	sch.log.Add(rsn)
	return rsn
}

// tick queues tasks whose delay is over, reviews instances and retries deferred tasks.
func (sch *Scheduler[P]) tick(now time.Time) {
	sch.nextTick = now.Add(RetryPeriod)
	for {
		del, found := sch.delays.Peek()
		if !found || del.at.After(now) {
			break
		}
		sch.delays.Pop()
		delete(sch.delayItems, del.task.id)
		sch.requeue(del.task, now)
	}
	sch.reviewBackedOff(now)
	for _, dfr := range sch.deferrals {
		sch.requeueDeferred(dfr.class, deferredRetries)
	}
	sch.queue.WakeAll()
}

// reviewBackedOff allows offers to backed-off instances that are not suspended, and starts the
// probation of those whose suspension is over.
func (sch *Scheduler[P]) reviewBackedOff(now time.Time) {
	sch.knowledge.pairings.Decay(now)
	resting := sch.backedOff
	sch.backedOff = nil
	for _, viw := range resting {
		if sch.instances.Find(viw.instance.id) != viw {
			continue
		}
		state := sch.knowledge.blame.State(viw.instance.id, now)
		viw.backedOff = state == blame.Suspended
		if viw.backedOff {
			sch.backedOff = append(sch.backedOff, viw)
		}
		if state == blame.Probation && !viw.onProbation {
			viw.onProbation = true
			sch.record(explain.New(explain.WorkerProbation, now, string(viw.instance.id)).WithCounts(0, blame.ProbationRuns))
		}
		viw.site.refresh(viw)
	}
}
