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
	id            fleet.InstanceID
	session       uint64
	life          Incarnation
	service       fleet.Service
	location      fleet.Location
	labels        []string
	capacity      resource.Vector
	draining      bool
	leaving       bool // its machine is about to go down
	unready       bool
	present       bool // heard of in this ownership and not lost since
	heardAt       time.Time
	remaining     time.Duration
	reserved      resource.Vector
	fillCPU       int64                // in use by filling tasks at full speed
	shortCPU      int64                // reserved by tasks that neither last nor fill
	servingCPU    int64                // reserved by tasks with a latency target
	lastingMB     int64                // reserved by lasting tasks
	filling       map[string]int64     // processors that filling tasks use at full speed, by image
	servingImages map[string]int       // tasks with a latency target, by image
	pausing       bool                 // what fills pauses, by the last report
	serving       []pacing.ServingTask // measures of the serving tasks in the last report
	runs          int
	relievedAt    time.Time // when a filling task was moved away last
	handled       uint64    // events up to this one were applied
	durable       []uint64
	orders        []Order // not yet seen by the agent
	orderSeq      uint64
	health        health
	changed       bool           // there is something new for the agent
	strays        map[RunID]bool // runs without an attempt that were told to stop
}

// free returns what is not reserved.
func (ins *instance) free() resource.Vector { return ins.capacity.Minus(ins.reserved) }

// hasLabel reports whether the worker has a label. The empty label is always there.
func (ins *instance) hasLabel(label string) bool {
	return label == "" || slices.Contains(ins.labels, label)
}

// usable reports whether new work may be placed on the instance.
func (ins *instance) usable(out map[fleet.DataCentre]bool) bool {
	return ins.present && !ins.draining && !ins.leaving && !ins.unready && !out[ins.location.DataCentre()]
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
		ins.lastingMB += int64(sign) * stp.spec.Need().MemoryMB()
	}
	if stp.short() {
		ins.shortCPU += int64(sign) * stp.spec.MilliCPU()
	}
	switch {
	case stp.spec.BestEffort():
		ins.fillCPU += int64(sign) * stp.spec.MilliCPU()
		addTo(&ins.filling, stp.spec.Image(), int64(sign)*stp.spec.MilliCPU())
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
func (ins *instance) seen(seq uint64) {
	for len(ins.orders) > 0 && ins.orders[0].Seq <= seq {
		ins.orders = ins.orders[1:]
	}
}

// withdraw drops the order to start a run that the agent has not taken over yet.
func (ins *instance) withdraw(rid RunID) {
	ins.orders = slices.DeleteFunc(ins.orders, func(ord Order) bool { return ord.Kind == StartRun && ord.ID == rid })
}

// pendingEvent records that an event may not be forgotten by the agent yet.
func (ins *instance) pendingEvent(seq uint64) { ins.durable = append(ins.durable, seq) }

// settle records that the effect of an event is stored.
func (ins *instance) settle(seq uint64) {
	if num := slices.Index(ins.durable, seq); num >= 0 {
		ins.durable = slices.Delete(ins.durable, num, num+1)
		ins.changed = true
	}
}

// acked returns the sequence up to which the agent may forget events.
func (ins *instance) acked() uint64 {
	if len(ins.durable) == 0 {
		return ins.handled
	}
	return slices.Min(ins.durable) - 1
}

// ack is an event whose effect becomes durable with the state of a job.
type ack struct {
	instance fleet.InstanceID
	session  uint64
	seq      uint64
}

// Limits of the judgement on workers that fail what they run.
const (
	suspectFailures   = 3               // in a row, of at least suspectJobs jobs
	suspectJobs       = 2               // one job alone may be at fault itself
	firstSuspension   = 2 * time.Second // a worker's fault lasts some seconds
	longestSuspension = 8 * time.Second
	trialPeriod       = 1500 * time.Millisecond // a faulty worker fails what it starts within its run time, mostly below it
)

// health judges a worker by the ends of its runs.
type health struct {
	failed    []string // jobs of the failures in a row
	until     time.Time
	period    time.Duration
	probation bool      // after a suspension, until a trial is passed
	trial     time.Time // end of the trial of the first new run, zero while there is none
}

// good records a run that completed.
func (hea *health) good() { *hea = health{until: hea.until} }

// bad records a failed run and reports whether the worker becomes suspended.
func (hea *health) bad(job string, now time.Time) bool {
	hea.failed = append(hea.failed, job)
	if len(hea.failed) > 2*suspectFailures {
		hea.failed = hea.failed[1:]
	}
	jobs := slices.Compact(slices.Sorted(slices.Values(hea.failed)))
	if !hea.probation && (len(hea.failed) < suspectFailures || len(jobs) < suspectJobs) {
		return false
	}
	return hea.suspend(now)
}

// suspend keeps new work away for a period that doubles with each repetition.
func (hea *health) suspend(now time.Time) bool {
	if now.Before(hea.until) {
		return false
	}
	hea.period = min(longestSuspension, max(firstSuspension, 2*hea.period))
	hea.until = now.Add(hea.period)
	hea.probation, hea.trial = true, time.Time{}
	return true
}

// admits reports whether one more run may be placed.
func (hea *health) admits(now time.Time) bool {
	if now.Before(hea.until) {
		return false
	}
	return !hea.probation || hea.trial.IsZero() || !now.Before(hea.trial)
}

// assigned notes a new run. On probation it is a trial: others follow when it has not
// failed for a while. Runs that were there before tell nothing, and lasting ones never end.
func (hea *health) assigned(now time.Time) {
	switch {
	case !hea.probation:
	case hea.trial.IsZero():
		hea.trial = now.Add(trialPeriod)
	default:
		hea.probation = false
	}
}
