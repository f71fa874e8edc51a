package batch

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

// instance is the state of an instance and its worker as the owner knows it.
type instance struct {
	id                fleet.InstanceID
	session           uint64
	sessionSince      time.Time
	unreconciled      bool // attempts from before the session may be on no list, see reconcile
	incarnation       Incarnation
	service           fleet.Service
	location          fleet.Location
	labels            []string
	capacity          resource.Vector
	draining          bool
	evacuating        bool // must be emptied before maintenance of its machine
	unready           bool
	present           bool // has reported to this owner and was not lost since
	reportedAt        time.Time
	drainTime         time.Duration
	reserved          resource.Vector
	bestEffortCPU     int64                // that best-effort tasks use at full speed
	shortCPU          int64                // reserved by short tasks
	servingCPU        int64                // reserved by serving tasks
	longRunningMB     int64                // reserved by long-running tasks
	bestEffortByImage map[string]int64     // mCPU that best-effort tasks use at full speed, by image
	servingImages     map[string]int       // number of serving tasks by image
	bestEffortPaused  bool                 // best-effort tasks were paused in the last report
	serving           []pacing.ServingTask // measurements of the serving tasks in the last report
	attempts          []*attempt
	movedAt           time.Time // when a best-effort task was last moved away
	appliedEvents     uint64    // sequence number of the last applied event
	unstoredEvents    []uint64
	orders            []Order // not yet acknowledged by the agent
	orderSeq          uint64
	health            health
	ordered           bool            // contained in Scheduler.ordered
	stored            bool            // contained in Scheduler.stored
	orphans           map[RunID]bool  // runs without an attempt that were ordered to stop
	version           uint64          // of the data on which placements depend, see Scheduler.touch
	admitted          bool            // the health admitted runs at the last tick
	uses              pacing.Uses     // of the best-effort images
	usesKnown         bool            // uses is of the present attempts and capacity
	prospect          pacing.Prospect // of the serving tasks
	prospectKnown     bool            // prospect is of the present measurements and uses
}

// free returns the resources that are not reserved.
func (ins *instance) free() resource.Vector { return ins.capacity.Minus(ins.reserved) }

// hasLabel reports whether the worker has a label. Every worker has the empty label.
func (ins *instance) hasLabel(label string) bool {
	return label == "" || slices.Contains(ins.labels, label)
}

// usable reports whether new work may be placed on the instance.
func (ins *instance) usable(excluded map[fleet.DataCentre]bool) bool {
	return ins.present && !ins.draining && !ins.evacuating && !ins.unready && !excluded[ins.location.DataCentre()]
}

// attach adds an attempt and reserves its resources.
func (ins *instance) attach(att *attempt) {
	att.slot = len(ins.attempts)
	ins.attempts = append(ins.attempts, att)
	ins.reserved = ins.reserved.Plus(att.step.spec.Need())
	ins.count(att.step, 1)
}

// detach removes an attempt and frees its resources.
func (ins *instance) detach(att *attempt) {
	last := len(ins.attempts) - 1
	ins.attempts[att.slot] = ins.attempts[last]
	ins.attempts[att.slot].slot = att.slot
	ins.attempts[last] = nil
	ins.attempts = ins.attempts[:last]
	ins.reserved = ins.reserved.Minus(att.step.spec.Need())
	ins.count(att.step, -1)
}

// eachAttempt visits all attempts. The visitor may remove the attempt it is given.
func (ins *instance) eachAttempt(visit func(att *attempt)) {
	for num := len(ins.attempts) - 1; num >= 0; num-- {
		if num < len(ins.attempts) { // the visitor may also remove others, of the same gang
			visit(ins.attempts[num])
		}
	}
}

// count adds a run of a task of the step to the sums of the instance, or removes it if sign is -1.
func (ins *instance) count(stp *stepState, sign int) {
	if stp.spec.LongRunning() {
		ins.longRunningMB += int64(sign) * stp.spec.Need().MemoryMB()
	}
	if stp.short() {
		ins.shortCPU += int64(sign) * stp.spec.MilliCPU()
	}
	switch {
	case stp.spec.BestEffort():
		ins.usesKnown, ins.prospectKnown = false, false
		ins.bestEffortCPU += int64(sign) * stp.spec.MilliCPU()
		addTo(&ins.bestEffortByImage, stp.spec.Image(), int64(sign)*stp.spec.MilliCPU())
	case stp.spec.Target() > 0:
		ins.servingCPU += int64(sign) * stp.spec.MilliCPU()
		addTo(&ins.servingImages, stp.spec.Image(), sign)
	}
}

// addTo adds num to the entry of a key and deletes the entry when it becomes zero.
func addTo[N int | int64](amounts *map[string]N, key string, num N) {
	if *amounts == nil {
		*amounts = make(map[string]N)
	}
	(*amounts)[key] += num
	if (*amounts)[key] == 0 {
		delete(*amounts, key)
	}
}

// push queues an order for the agent of an instance.
func (sch *Scheduler[O, P]) push(ins *instance, ord Order) {
	ins.orderSeq++
	ord.Seq = ins.orderSeq
	ins.orders = append(ins.orders, ord)
	if !ins.ordered {
		ins.ordered = true
		sch.ordered = append(sch.ordered, ins)
	}
}

// eventsStored records that an agent may discard events that it could not before.
func (sch *Scheduler[O, P]) eventsStored(ins *instance) {
	if !ins.stored {
		ins.stored = true
		sch.stored = append(sch.stored, ins)
	}
}

// ackOrders drops the orders up to a sequence number, which the agent has received.
func (ins *instance) ackOrders(seq uint64) {
	for len(ins.orders) > 0 && ins.orders[0].Seq <= seq {
		ins.orders = ins.orders[1:]
	}
}

// withdraw drops the order to start a run if the agent has not acknowledged it yet.
func (ins *instance) withdraw(rid RunID) {
	ins.orders = slices.DeleteFunc(ins.orders, func(ord Order) bool { return ord.Kind == StartRun && ord.ID == rid })
}

// addUnstored records an event that the agent must keep until its effect is stored.
func (ins *instance) addUnstored(seq uint64) { ins.unstoredEvents = append(ins.unstoredEvents, seq) }

// markStored records that the effect of an event is stored, and reports whether it was not before.
func (ins *instance) markStored(seq uint64) bool {
	num := slices.Index(ins.unstoredEvents, seq)
	if num < 0 {
		return false
	}
	ins.unstoredEvents = slices.Delete(ins.unstoredEvents, num, num+1)
	return true
}

// storedEvents returns the sequence number up to which the agent may discard events.
func (ins *instance) storedEvents() uint64 {
	if len(ins.unstoredEvents) == 0 {
		return ins.appliedEvents
	}
	return slices.Min(ins.unstoredEvents) - 1
}

// ack is an event that the agent may discard when the state of a job is stored.
type ack struct {
	instance fleet.InstanceID
	session  uint64
	seq      uint64
}

// Limits of the suspension of workers whose runs fail.
const (
	suspensionFailures = 3               // consecutive, from at least suspensionJobs jobs
	suspensionJobs     = 2               // more than one, because the fault may be in a job
	firstSuspension    = 2 * time.Second // typical worker faults last some seconds
	longestSuspension  = 8 * time.Second
	// trialPeriod is the duration of a trial run. A run on a faulty worker fails within its usual run
	// time, mostly within this period.
	trialPeriod = 1500 * time.Millisecond
)

// health decides from the results of its runs whether a worker is suspended.
type health struct {
	failedJobs     []string // jobs of the consecutive failures
	suspendedUntil time.Time
	suspension     time.Duration
	probation      bool      // after a suspension, until a trial run has passed
	trialEnd       time.Time // when the trial of the first new run ends, zero while there is none
}

// recordSuccess records a run that completed.
func (hea *health) recordSuccess() { *hea = health{suspendedUntil: hea.suspendedUntil} }

// recordFailure records a failed run and reports whether the worker is suspended because of it.
func (hea *health) recordFailure(job string, now time.Time) bool {
	hea.failedJobs = append(hea.failedJobs, job)
	if len(hea.failedJobs) > 2*suspensionFailures {
		hea.failedJobs = hea.failedJobs[1:]
	}
	jobs := slices.Compact(slices.Sorted(slices.Values(hea.failedJobs)))
	if !hea.probation && (len(hea.failedJobs) < suspensionFailures || len(jobs) < suspensionJobs) {
		return false
	}
	return hea.suspend(now)
}

// suspend suspends the worker. The suspension doubles with each repetition, up to a limit.
func (hea *health) suspend(now time.Time) bool {
	if now.Before(hea.suspendedUntil) {
		return false
	}
	hea.suspension = min(longestSuspension, max(firstSuspension, 2*hea.suspension))
	hea.suspendedUntil = now.Add(hea.suspension)
	hea.probation, hea.trialEnd = true, time.Time{}
	return true
}

// admits reports whether one more run may be placed on the worker.
func (hea *health) admits(now time.Time) bool {
	if now.Before(hea.suspendedUntil) {
		return false
	}
	return !hea.probation || hea.trialEnd.IsZero() || !now.Before(hea.trialEnd)
}

// recordStart records a new run. The first one on probation is a trial run: others may follow when
// it has not failed within the trial period. The trial can't wait for runs that started before the
// suspension: they say nothing about the worker's present state, and long-running ones never end.
func (hea *health) recordStart(now time.Time) {
	switch {
	case !hea.probation:
	case hea.trialEnd.IsZero():
		hea.trialEnd = now.Add(trialPeriod)
	default:
		hea.probation = false
	}
}
