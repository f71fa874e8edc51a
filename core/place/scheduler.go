// Package place decides which waiting task starts next and on which instance.
//
// A Scheduler combines the order of the queue (core/quota), the choice of an
// instance by a Policy, learned sizes and pairings, and the judgement of
// failures (core/blame). It is used by the owner of a partition:
//
//	Next -> the offer to send -> Accepted or Refused -> Ended
//
// Model: every amount is a hint. The agent on an instance decides whether an
// offer fits and returns its free amounts with the reply, which correct the
// hint. Free amounts are kept in one tree per data centre, so the choice of an
// instance looks at a fixed number of sampled candidates and does not depend
// on the number of instances but through the depth of the tree.
//
// Decisions depend only on the calls, the times passed in and the seed. A
// Scheduler must be used from one goroutine at a time. The zero value works
// with the zero policy and seed zero.
//
// Limits: a refusal "no instance fits" can be wrong for one attempt when no
// single instance has all amounts that several have separately and the search
// reaches its bound; the task is tried again within RetryPeriod.
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
	// RetryPeriod is the time after which tasks that were set aside are tried again without a cause.
	RetryPeriod = time.Second
	// CoolPeriod is how long an instance gets no offer after a refusal that was not about capacity.
	RefusalBackoff = time.Second
	// SamplePeriod is the run time after which the usage of a running task
	// teaches its class, so that classes with long runs are learned early.
	SamplePeriod = 15 * time.Second
	// attemptLimit bounds the tasks tried by one call of Next.
	attemptLimit = 64
)

// Offer is a task and the instance and amounts chosen for it.
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
	since   time.Time // first set aside, zero before
	retried bool      // requeued after a deferral
}

// deferral holds the tasks of a class that no instance may take for a reason
// other than its free amounts. They wait apart, so that they don't block the
// other tasks of their team.
type deferral struct {
	class fleet.JobClass
	tasks queue.Queue[TaskID, waiting]
}

// placement is a task that was offered or runs.
//
// Its end finds it out of the cache in a large fleet, so what the end reads is
// together: the fields before the task and the first ones of the task.
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
	position    int // among the accepted ones
}

// delayed is a task that waits for a time before it is queued again.
type delayed struct {
	at       time.Time
	sequence uint64
	task     Task
}

// Before orders by time.
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
	know       Knowledge
	queue      quota.Arbiter[TaskID, waiting]
	placements map[TaskID]*placement
	accepted   []*placement // in no order
	claims     map[TaskID]claimed
	budget     evictionBudget
	visit      uint64
	delays     heap.Heap[delayed]
	delayItems map[TaskID]*heap.Item[delayed]
	resting    []*InstanceView
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
func (sch *Scheduler[P]) Knowledge() *Knowledge { return &sch.know }

// Instances returns the table of instances.
func (sch *Scheduler[P]) Instances() *Instances { return &sch.instances }

// Waiting returns the number of tasks in the queue, without delayed and parked ones.
func (sch *Scheduler[P]) Waiting() int { return sch.queue.Len() + sch.deferred }

// Delayed returns the number of tasks that wait for their next attempt.
func (sch *Scheduler[P]) Delayed() int { return sch.delays.Len() }

// Placed returns the number of tasks offered or running.
func (sch *Scheduler[P]) Placed() int { return len(sch.placements) }

// Explain returns the newest reasons about a task, job, instance or team.
func (sch *Scheduler[P]) Explain(subject string) []explain.Reason { return sch.log.Reasons(subject) }

// ExplainWaiting returns the newest reasons about a waiting task and, last, what
// holds its team back now.
func (sch *Scheduler[P]) ExplainWaiting(id TaskID, name fleet.Team, now time.Time) []explain.Reason {
	rsn := explain.New(explain.Queued, now, string(id)).With(string(name)).Counts(max(0, sch.queue.Waiting(name)-1), 0)
	if used, share := sch.queue.Used(name), sch.queue.Share(name); used > share {
		rsn = explain.New(explain.TeamOverShare, now, string(id)).With(string(name)).
			Counts(int(used*1000/quota.Unit), int(share*1000/quota.Unit))
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

// Submit queues a new task. It returns the reason when the task is refused:
// too large for every instance, or the queue of its team is full.
func (sch *Scheduler[P]) Submit(tsk Task, now time.Time) (explain.Reason, bool) {
	need := sch.policy.Reserve(&tsk, &sch.know)
	if sch.instances.Len() > 0 && !need.FitsIn(sch.know.largest) {
		return sch.record(explain.New(explain.TooLarge, now, string(tsk.id)).Amounts(need, sch.know.largest)), false
	}
	if sch.know.blame.Parked(tsk.job) {
		sch.open(&tsk)
		sch.know.countsOf(tsk.job).parked = append(sch.know.countsOf(tsk.job).parked, tsk)
		return explain.Reason{}, true
	}
	if !sch.queue.Add(tsk.id, tsk.team, tsk.urgent, tsk.deadline, waiting{task: tsk}) {
		return sch.record(explain.New(explain.QueueFull, now, string(tsk.id)).With(string(tsk.team)).Counts(0, quota.QueueLimit)), false
	}
	sch.open(&tsk)
	return explain.Reason{}, true
}

func (sch *Scheduler[P]) open(tsk *Task) { sch.know.countsOf(tsk.job).open++ }

// Cancel removes a task that does not run, and reports whether it did. A
// placed task must be stopped by its agent first and then ends with Cancelled.
func (sch *Scheduler[P]) Cancel(id TaskID, job string) bool {
	if wai, found := sch.queue.Cancel(id); found {
		sch.know.closeTask(&wai.task)
		return true
	}
	if itm, found := sch.delayItems[id]; found {
		tsk := itm.Value().task
		sch.delays.Remove(itm)
		delete(sch.delayItems, id)
		sch.know.closeTask(&tsk)
		return true
	}
	return sch.cancelDeferred(id) || sch.cancelParked(id, job)
}

func (sch *Scheduler[P]) cancelParked(id TaskID, name string) bool {
	job, found := sch.know.jobs[name]
	if !found {
		return false
	}
	for pos, tsk := range job.parked {
		if tsk.id == id {
			last := len(job.parked) - 1
			job.parked[pos] = job.parked[last]
			job.parked = job.parked[:last]
			sch.know.closeTask(&tsk)
			return true
		}
	}
	return false
}

// Next returns the next offer to send, and reports false when none of the
// tasks tried fits at present. It tries a bounded number; the caller calls it
// again after each event and at least once each RetryPeriod.
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
		if off, placed := sch.try(id, wai, now); placed {
			return off, true
		}
		attempts++
	}
	return Offer{}, false
}

// divert takes a task out of the queue that needs no attempt: its job is
// parked, or other tasks of its class are deferred.
func (sch *Scheduler[P]) divert(id TaskID, wai waiting, now time.Time) bool {
	switch {
	case sch.know.blame.Parked(sch.know.unit(&wai.task)):
		job := sch.know.countsOf(wai.task.job)
		job.parked = append(job.parked, wai.task)
		return true
	case !wai.retried && !wai.task.urgent && sch.hasDeferred(wai.task.class):
		sch.deferTask(id, wai, now)
		return true
	default:
		return false
	}
}

func (sch *Scheduler[P]) try(id TaskID, wai waiting, now time.Time) (Offer, bool) {
	need := sch.policy.Reserve(&wai.task, &sch.know)
	sch.candidates.reset(&sch.instances, wai.task.id, need, now, sch.random())
	viw := sch.policy.Choose(&sch.candidates, &wai.task, &sch.know)
	if viw == nil {
		sch.postpone(id, wai, need, now)
		return Offer{}, false
	}
	sch.put(wai.task, viw, need, now)
	if wai.retried {
		sch.requeueDeferred(wai.task.class, 1)
	}
	return Offer{task: wai.task, instance: viw.instance.id, size: need}, true
}

// postpone sets a task aside, or defers it with its class when an instance
// has room but the policy takes none.
func (sch *Scheduler[P]) postpone(id TaskID, wai waiting, need resource.Vector, now time.Time) {
	if wai.since.IsZero() {
		wai.since = now
	}
	viw := sch.candidates.First()
	if viw != nil {
		sch.record(sch.gateRefusal(viw, &wai.task, now))
	} else {
		sch.record(sch.refusal(&wai.task, need, now))
	}
	if viw != nil && !wai.task.urgent {
		sch.deferTask(id, wai, now)
		return
	}
	wai.retried = false
	sch.queue.Defer(id, wai.task.team, wai.task.urgent, wai, need, wai.since)
}

// refusal explains why nothing fits.
func (sch *Scheduler[P]) refusal(tsk *Task, need resource.Vector, now time.Time) explain.Reason {
	if sch.instances.InService() == 0 {
		return explain.New(explain.NoInstances, now, string(tsk.id)).Counts(sch.instances.Len(), 0)
	}
	return explain.New(explain.NoFit, now, string(tsk.id)).Amounts(need, sch.instances.Largest())
}

// put reserves the amounts of a task on an instance until the reply arrives.
func (sch *Scheduler[P]) put(tsk Task, viw *InstanceView, size resource.Vector, now time.Time) *placement {
	if sch.placements == nil {
		sch.placements = make(map[TaskID]*placement)
	}
	sch.sequence++
	plc := &placement{task: tsk, view: viw, size: size, placed: now, sequence: sch.sequence}
	plc.interfering = !sch.know.Slowdown(viw, &tsk, size).fits()
	viw.interfering += countIf(plc.interfering)
	viw.pending = viw.pending.Plus(size)
	viw.tasks++
	plc.row = viw.services.row(tsk.class, &sch.know.pairings)
	viw.use(plc.row, size.MilliCPU())
	viw.site.refresh(viw)
	sch.placements[tsk.id] = plc
	sch.know.spread(viw, &tsk, 1)
	sch.queue.Started(tsk.team, tsk.urgent, size)
	sch.record(explain.New(explain.Placed, now, string(tsk.id)).With(string(viw.instance.id)).Amounts(size, resource.Vector{}))
	return plc
}

func countIf(condition bool) int32 {
	if condition {
		return 1
	}
	return 0
}

// take undoes put after a refusal or the end of a task.
func (sch *Scheduler[P]) take(plc *placement) {
	viw := plc.view
	delete(sch.placements, plc.task.id)
	if plc.accepted {
		viw.reported = viw.reported.Plus(plc.size)
		sch.unlist(plc)
	} else {
		viw.pending = viw.pending.Minus(plc.size)
	}
	viw.tasks--
	viw.use(plc.row, -plc.size.MilliCPU())
	viw.interfering -= countIf(plc.interfering)
	sch.know.spread(viw, &plc.task, -1)
	sch.queue.Ended(plc.task.team, plc.task.urgent, plc.size)
	sch.refresh(viw)
}

// refresh makes the amounts of an instance visible, unless it has left, and wakes what may fit.
func (sch *Scheduler[P]) refresh(viw *InstanceView) {
	if sch.instances.Find(viw.instance.id) != viw {
		return
	}
	viw.site.refresh(viw)
	if free := viw.available(); !viw.site.out && free.Valid() {
		sch.queue.Wake(free)
	}
}

// Accepted records that the agent took the offer; free is what it has left.
func (sch *Scheduler[P]) Accepted(id TaskID, free resource.Vector) {
	plc, found := sch.placements[id]
	if !found || plc.accepted {
		return
	}
	plc.accepted = true
	sch.settleClaim(id)
	plc.view.pending = plc.view.pending.Minus(plc.size)
	plc.view.reported = free
	sch.list(plc)
	if sch.instances.Find(plc.view.instance.id) == plc.view {
		plc.view.site.refresh(plc.view)
	}
}

// Refused records that the agent refused the offer, with its free amounts. The
// task is queued again at once. When the amounts would have sufficed, the
// instance has another reason and rests for CoolPeriod.
func (sch *Scheduler[P]) Refused(id TaskID, free resource.Vector, detail string, now time.Time) {
	plc, found := sch.placements[id]
	if !found || plc.accepted {
		return
	}
	viw := plc.view
	viw.reported = free
	if plc.size.FitsIn(free) {
		sch.rest(viw)
	}
	sch.take(plc)
	sch.record(explain.New(explain.Refused, now, string(id)).With(string(viw.instance.id)).Amounts(plc.size, free).Detail(detail))
	sch.requeue(plc.task, now)
}

func (sch *Scheduler[P]) rest(viw *InstanceView) {
	viw.barred = true
	sch.resting = append(sch.resting, viw)
}

// requeue puts a task back. A full queue delays it: an accepted task is never dropped.
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

// tick does what depends on time alone.
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
	sch.review(now)
	for _, dfr := range sch.deferrals {
		sch.requeueDeferred(dfr.class, deferredRetries)
	}
	sch.queue.WakeAll()
}

// review lets resting instances return as far as their record allows.
func (sch *Scheduler[P]) review(now time.Time) {
	sch.know.pairings.Decay(now)
	resting := sch.resting
	sch.resting = nil
	for _, viw := range resting {
		if sch.instances.Find(viw.instance.id) != viw {
			continue
		}
		state := sch.know.blame.State(viw.instance.id, now)
		viw.barred = state == blame.Suspended
		if viw.barred {
			sch.resting = append(sch.resting, viw)
		}
		if state == blame.Probation && !viw.trial {
			viw.trial = true
			sch.record(explain.New(explain.WorkerProbation, now, string(viw.instance.id)).Counts(0, blame.ProbationRuns))
		}
		viw.site.refresh(viw)
	}
}
