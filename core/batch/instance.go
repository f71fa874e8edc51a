package batch

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

// instance is the owner's view of an instance and its worker.
type instance struct {
	id                fleet.InstanceID
	session           uint64
	incarnation       Incarnation
	service           fleet.Service
	location          fleet.Location
	labels            []string
	capacity          resource.Vector
	draining          bool
	evacuating        bool // its machine is about to go down
	unready           bool
	present           bool // heard of in this ownership and not lost since
	reportedAt        time.Time
	drainTime         time.Duration
	reserved          resource.Vector
	bestEffortCPU     int64            // in use by filling tasks at full speed
	shortCPU          int64            // reserved by tasks that neither last nor fill
	servingCPU        int64            // reserved by tasks with a latency target
	longRunningMB     int64            // reserved by lasting tasks
	bestEffortByImage map[string]int64 // processors that filling tasks use at full speed, by image
	servingImages     map[string]int   // tasks with a latency target, by image
	bestEffortPaused  bool             // what fills pauses, by the last report
	serving           []pacing.Serving // measures of the serving tasks in the last report
	runs              int
	movedAt           time.Time // when a filling task was moved away last
	appliedEvents     uint64    // events up to this one were applied
	unstoredEvents    []uint64
	orders            []Order // not yet seen by the agent
	orderSeq          uint64
	health            health
	changed           bool           // there is something new for the agent
	orphans           map[RunID]bool // runs without an attempt that were told to stop
}

// free returns what is not reserved.
func (ins *instance) free() resource.Vector { return ins.capacity.Minus(ins.reserved) }

// hasLabel reports whether the worker has a label. The empty label is always there.
func (ins *instance) hasLabel(label string) bool {
	return label == "" || slices.Contains(ins.labels, label)
}

// usable reports whether new work may be placed on the instance.
func (ins *instance) usable(out map[fleet.DataCentre]bool) bool {
	return ins.present && !ins.draining && !ins.evacuating && !ins.unready && !out[ins.location.DataCentre()]
}

func (ins *instance) reserve(stp *stepState) {
	ins.reserved = ins.reserved.Plus(stp.spec.Need())
	ins.count(stp, 1)
}

func (ins *instance) release(stp *stepState) {
	ins.reserved = ins.reserved.Minus(stp.spec.Need())
	ins.count(stp, -1)
}

func (ins *instance) count(stp *stepState, sign int) {
	ins.runs += sign
	if stp.spec.LongRunning() {
		ins.longRunningMB += int64(sign) * stp.spec.Need().MemoryMB()
	}
	if stp.short() {
		ins.shortCPU += int64(sign) * stp.spec.MilliCPU()
	}
	switch {
	case stp.spec.BestEffort():
		ins.bestEffortCPU += int64(sign) * stp.spec.MilliCPU()
		addTo(&ins.bestEffortByImage, stp.spec.Image(), int64(sign)*stp.spec.MilliCPU())
	case stp.spec.Target() > 0:
		ins.servingCPU += int64(sign) * stp.spec.MilliCPU()
		addTo(&ins.servingImages, stp.spec.Image(), sign)
	}
}

// addTo adds to an amount and removes it when it becomes zero.
func addTo[N int | int64](amounts *map[string]N, key string, num N) {
	if *amounts == nil {
		*amounts = make(map[string]N)
	}
	(*amounts)[key] += num
	if (*amounts)[key] == 0 {
		delete(*amounts, key)
	}
}

// push queues an order for the agent.
func (ins *instance) push(ord Order) {
	ins.orderSeq++
	ord.Seq = ins.orderSeq
	ins.orders = append(ins.orders, ord)
	ins.changed = true
}

// seen drops the orders that the agent has taken over.
func (ins *instance) ackOrders(seq uint64) {
	for len(ins.orders) > 0 && ins.orders[0].Seq <= seq {
		ins.orders = ins.orders[1:]
	}
}

// withdraw drops the order to start a run that the agent has not taken over yet.
func (ins *instance) withdraw(rid RunID) {
	ins.orders = slices.DeleteFunc(ins.orders, func(ord Order) bool { return ord.Kind == StartRun && ord.ID == rid })
}

// pendingEvent records that an event may not be forgotten by the agent yet.
func (ins *instance) addUnstored(seq uint64) { ins.unstoredEvents = append(ins.unstoredEvents, seq) }

// settle records that the effect of an event is stored.
func (ins *instance) markStored(seq uint64) {
	if num := slices.Index(ins.unstoredEvents, seq); num >= 0 {
		ins.unstoredEvents = slices.Delete(ins.unstoredEvents, num, num+1)
		ins.changed = true
	}
}

// acked returns the sequence up to which the agent may forget events.
func (ins *instance) storedEvents() uint64 {
	if len(ins.unstoredEvents) == 0 {
		return ins.appliedEvents
	}
	return slices.Min(ins.unstoredEvents) - 1
}

// ack is an event whose effect becomes durable with the state of a job.
type ack struct {
	instance fleet.InstanceID
	session  uint64
	seq      uint64
}

// Limits of the judgement on workers that fail what they run.
const (
	suspensionFailures = 3               // in a row, of at least suspectJobs jobs
	suspensionJobs     = 2               // one job alone may be at fault itself
	firstSuspension    = 2 * time.Second // a worker's fault lasts some seconds
	longestSuspension  = 8 * time.Second
	trialPeriod        = 1500 * time.Millisecond // a faulty worker fails what it starts within its run time, mostly below it
)

// health judges a worker by the ends of its runs.
type health struct {
	failedJobs     []string // jobs of the failures in a row
	suspendedUntil time.Time
	suspension     time.Duration
	probation      bool      // after a suspension, until a trial is passed
	trialEnd       time.Time // end of the trial of the first new run, zero while there is none
}

// good records a run that completed.
func (hea *health) recordSuccess() { *hea = health{suspendedUntil: hea.suspendedUntil} }

// bad records a failed run and reports whether the worker becomes suspended.
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

// suspend keeps new work away for a period that doubles with each repetition.
func (hea *health) suspend(now time.Time) bool {
	if now.Before(hea.suspendedUntil) {
		return false
	}
	hea.suspension = min(longestSuspension, max(firstSuspension, 2*hea.suspension))
	hea.suspendedUntil = now.Add(hea.suspension)
	hea.probation, hea.trialEnd = true, time.Time{}
	return true
}

// admits reports whether one more run may be placed.
func (hea *health) admits(now time.Time) bool {
	if now.Before(hea.suspendedUntil) {
		return false
	}
	return !hea.probation || hea.trialEnd.IsZero() || !now.Before(hea.trialEnd)
}

// assigned notes a new run. On probation it is a trial: others follow when it has not
// failed for a while. Runs that were there before tell nothing, and lasting ones never end.
func (hea *health) recordStart(now time.Time) {
	switch {
	case !hea.probation:
	case hea.trialEnd.IsZero():
		hea.trialEnd = now.Add(trialPeriod)
	default:
		hea.probation = false
	}
}
