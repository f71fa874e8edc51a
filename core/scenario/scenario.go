// Package scenario runs the pure scheduling decisions against a small model of
// workers and services, for measurements and invariants.
//
// A Runner advances in fixed steps of simulated time. In each step tasks
// arrive, run, fail and end; the scheduler of core/place sends offers; each
// worker accepts what fits its ledger and its reported use; the guard of
// core/interfere sees the latency of each request at once and the usage of the
// tasks with a delay of UsagePeriod; its actions are applied. The model of the
// truth is in model.go and is not visible to the decisions.
//
// Limits of the model: the order of events within a step is fixed, offers and
// reports take no time, the interference of classes adds up, and a service
// suffers from its own worker only. All randomness comes from the seed; the
// stream of the requests is separate from that of the tasks. A Runner must be
// used from one goroutine at a time.
package scenario

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// Periods of the model.
const (
	// UsagePeriod is the period of usage reports and also their age on arrival.
	UsagePeriod = 5 * time.Second
	// checkpointPeriod is how often workers checkpoint unasked.
	checkpointPeriod = 5 * time.Minute
	// checkpointTime is how long a checkpoint that was asked for takes.
	checkpointTime = 2 * time.Second
	// failAfter is how long a poison task or a task on a bad worker runs.
	failAfter = 2 * time.Second
	// migration is the part of the tasks of a data centre taken out that leaves each second.
	migration = 0.05
)

// execution is a task on a worker.
type execution struct {
	truth   *task
	id      place.TaskID
	size    resource.Vector
	since   time.Duration
	percent int
	lagged  resource.Vector
	checkAt time.Duration // when a checkpoint that was asked for is done, zero when none
	leaving bool
}

type worker[G interfere.Guard] struct {
	instance  place.Instance
	tasks     []*execution
	committed resource.Vector
	used      resource.Vector // reported use
	guard     G
	bad       bool
	out       bool
	debt      float64 // fraction of a request carried to the next step
}

// Result holds what a run measured.
type Result struct {
	latencies  Latencies
	work       float64
	outWork    float64
	lost       float64
	evictions  int
	starts     int
	steadyWork float64
	steady     int // starts
	fillWait   time.Duration
	urgentWait time.Duration
	hash       uint64
}

// Latencies returns the latencies of the service requests after the warm-up.
func (res *Result) Latencies() *Latencies { return &res.latencies }

// Work returns the processor seconds of useful work done.
func (res *Result) Work() float64 { return res.work - res.lost }

// OutWork returns the processor seconds done from the loss of the data centre until the end of the ramp after its return.
func (res *Result) OutageWork() float64 { return res.outWork }

// Evictions returns the number of tasks evicted by guards or stopped for another team.
func (res *Result) Evictions() int { return res.evictions }

// Starts returns the number of task starts.
func (res *Result) Starts() int { return res.starts }

// SteadyWork returns the processor seconds of work done after the shape's Settled time.
func (res *Result) SteadyWork() float64 { return res.steadyWork }

// SteadyStarts returns the number of task starts after the shape's Settled time.
func (res *Result) SteadyStarts() int { return res.steady }

func (res *Result) noteUrgent(wait time.Duration, steady bool) {
	if steady {
		res.urgentWait = max(res.urgentWait, wait)
		return
	}
	res.fillWait = max(res.fillWait, wait)
}

// FillWait returns the longest wait of an urgent task for its first start
// among those that came before the shape's Settled time.
func (res *Result) UrgentWaitBeforeSettled() time.Duration { return res.fillWait }

// UrgentWait returns the same for those that came after it.
func (res *Result) UrgentWaitAfterSettled() time.Duration { return res.urgentWait }

// Hash returns a digest of all decisions in order.
func (res *Result) Hash() uint64 { return res.hash }

// Runner runs one scenario.
type Runner[P place.Policy, G interfere.Guard] struct {
	shape     Config
	scheduler *place.Scheduler[P]
	workers   []*worker[G]
	index     map[fleet.InstanceID]*worker[G]
	waiting   map[place.TaskID]*task
	rnd       *rand.Rand // tasks
	requests  *rand.Rand
	start     time.Time
	now       time.Duration
	due       float64 // arrivals carried to the next step
	serial    int
	result    Result
}

// New returns a runner of a shape with a policy, and a guard for each worker.
func New[P place.Policy, G interfere.Guard](shp Config, pol P, guard func(resource.Vector, interfere.Service) G, seed uint64) *Runner[P, G] {
	run := &Runner[P, G]{
		shape: shp, scheduler: place.NewScheduler(pol, seed), index: make(map[fleet.InstanceID]*worker[G]),
		waiting: make(map[place.TaskID]*task), start: time.Unix(0, 0),
		rnd: rand.New(rand.NewPCG(seed, 1)), requests: rand.New(rand.NewPCG(seed, 2)),
	}
	for _, sit := range shp.sites {
		for pos := range sit.workers {
			loc := fleet.NewLocation(sit.region, sit.name, fleet.Rack(fmt.Sprintf("%s-r%d", sit.name, pos/shp.perRack)))
			ins := place.NewInstance(fleet.InstanceID(fmt.Sprintf("%s-%d", sit.name, pos)), loc, shp.room(), shp.room(), shp.service)
			wrk := &worker[G]{instance: ins, guard: guard(scale(shp.capacity, 1-shp.kept), interfere.NewService(shp.service, 0))}
			wrk.bad = len(run.workers) < shp.badWorkers
			run.workers = append(run.workers, wrk)
			run.index[ins.ID()] = wrk
			run.scheduler.Join(ins, run.time())
		}
	}
	return run
}

func (run *Runner[P, G]) time() time.Time { return run.start.Add(run.now) }

// Run advances to the end and returns the result.
func (run *Runner[P, G]) Run() *Result {
	for run.Step() {
		continue
	}
	return &run.result
}

// Step advances by one step and reports whether there are more.
func (run *Runner[P, G]) Step() bool {
	if run.now >= run.shape.length {
		return false
	}
	run.now += run.shape.step
	run.arrive()
	run.outage()
	for _, wrk := range run.workers {
		run.advance(wrk)
	}
	for _, vic := range run.scheduler.Reclaim(run.time()) {
		run.note("reclaim", string(vic.Task()), string(vic.Claimant()))
		run.stop(run.index[vic.Instance()], vic.Task())
	}
	run.offer()
	run.serve()
	return true
}

// at reports whether the time was reached in this step.
func (run *Runner[P, G]) at(when time.Duration) bool {
	return run.now >= when && run.now-run.shape.step < when
}

func (run *Runner[P, G]) every(period time.Duration) bool {
	return run.now/period != (run.now-run.shape.step)/period
}

func (run *Runner[P, G]) arrive() {
	shp := &run.shape
	if run.now <= shp.warmUp {
		return
	}
	if run.at(shp.warmUp + shp.step) {
		run.submit(shp.backlog, nil)
	}
	if shp.waveTasks > 0 && run.every(shp.waveEvery) {
		run.submit(shp.waveTasks, &shp.classes[len(shp.classes)-1])
	}
	run.due += shp.arrivals * shp.step.Seconds()
	// Jobs arrive whole, so short steps collect arrivals.
	if run.due >= float64(shp.jobTasks) {
		count := int(run.due)
		run.due -= float64(count)
		run.submit(count, nil)
	}
}

// submit queues jobs with the given number of tasks; a nil class draws one per job.
func (run *Runner[P, G]) submit(count int, cls *Class) {
	for count > 0 {
		size := min(count, run.shape.jobTasks)
		count -= size
		run.serial++
		job := fmt.Sprintf("job-%d", run.serial)
		chosen, poison := cls, run.rnd.Float64() < run.shape.poison
		if chosen == nil {
			chosen = run.draw()
		}
		urgent := run.rnd.Float64() < run.shape.urgent && !chosen.endless
		team := fleet.Team(fmt.Sprintf("team-%02d", run.rnd.IntN(run.shape.teams)))
		for pos := range size {
			tsk := run.shape.newTask(chosen, run.rnd)
			tsk.job, tsk.team, tsk.poison, tsk.urgent, tsk.submitted = job, team, poison, urgent, run.now
			run.queue(place.TaskID(fmt.Sprintf("%s/%d", job, pos)), &tsk)
		}
	}
}

func (run *Runner[P, G]) queue(id place.TaskID, tsk *task) {
	ptk := place.NewTask(id, tsk.job, tsk.team, tsk.class.name, tsk.declared)
	if tsk.urgent {
		ptk = ptk.Urgent()
	}
	if _, accepted := run.scheduler.Submit(ptk, run.time()); accepted {
		run.waiting[id] = tsk
	}
}

func (run *Runner[P, G]) draw() *Class {
	ticket := run.rnd.Float64()
	for pos := range run.shape.classes {
		if ticket -= run.shape.classes[pos].part; ticket < 0 {
			return &run.shape.classes[pos]
		}
	}
	return &run.shape.classes[0]
}

// outage takes the data centre of the shape out and brings it back. While it
// is out, its tasks are checkpointed and leave at a bounded rate.
func (run *Runner[P, G]) outage() {
	shp := &run.shape
	if shp.outSite == "" || shp.stays {
		return
	}
	starts, ends := run.at(shp.outFrom), run.at(shp.outUntil)
	if starts || ends {
		run.scheduler.SetDataCentreOut(shp.outSite, starts, run.time())
	}
	for _, wrk := range run.workers {
		if wrk.instance.Location().DataCentre() != shp.outSite {
			continue
		}
		wrk.out = run.now >= shp.outFrom && run.now < shp.outUntil
		for _, exe := range wrk.tasks {
			if wrk.out && exe.checkAt == 0 && run.rnd.Float64() < migration*shp.step.Seconds() {
				exe.checkAt, exe.leaving = run.now+checkpointTime, true
			}
		}
	}
}

// stop checkpoints a task and makes it leave.
func (run *Runner[P, G]) stop(wrk *worker[G], id place.TaskID) {
	for _, exe := range wrk.tasks {
		if exe.id == id {
			run.result.evictions++
			exe.checkAt, exe.leaving = run.now+checkpointTime, true
		}
	}
}

// offer sends offers until nothing more fits.
func (run *Runner[P, G]) offer() {
	for {
		off, found := run.scheduler.Next(run.time())
		if !found {
			return
		}
		wrk, tsk := run.index[off.Instance()], run.waiting[off.Task().ID()]
		free := run.shape.room().Minus(wrk.committed)
		reason := refusal(wrk, off.Size(), free, run.shape.capacity)
		run.note("offer", string(off.Task().ID()), string(off.Instance()), reason)
		if reason != "" {
			run.scheduler.Refused(off.Task().ID(), free, reason, run.time())
			continue
		}
		run.begin(wrk, tsk, off)
		run.scheduler.Accepted(off.Task().ID(), free.Minus(off.Size()))
	}
}

// refusal returns why the agent refuses an offer: its ledger and its reported use decide.
func refusal[G interfere.Guard](wrk *worker[G], size, free, capacity resource.Vector) string {
	switch {
	case wrk.out:
		return "data centre out"
	case !size.FitsIn(free):
		return "does not fit"
	case wrk.used.MemoryMB()+size.MemoryMB() > capacity.MemoryMB():
		return "memory in use"
	default:
		return ""
	}
}

func (run *Runner[P, G]) begin(wrk *worker[G], tsk *task, off place.Offer) {
	delete(run.waiting, off.Task().ID())
	exe := &execution{truth: tsk, id: off.Task().ID(), size: off.Size(), since: run.now}
	wrk.tasks = append(wrk.tasks, exe)
	wrk.committed = wrk.committed.Plus(exe.size)
	pairs := run.scheduler.Knowledge().Pairings()
	wrk.guard.SetPrior(run.shape.service, tsk.class.name, pairs.Find(run.shape.service, tsk.class.name).Estimate())
	wrk.guard.Started(interfere.NewTask(string(exe.id), tsk.class.name, exe.size), run.time())
	run.result.starts++
	if run.now >= run.shape.settled {
		run.result.steady++
	}
	if tsk.urgent && !tsk.started {
		run.result.noteUrgent(run.now-tsk.submitted, tsk.submitted >= run.shape.settled)
	}
	tsk.started = true
}

// note adds a decision to the digest.
func (run *Runner[P, G]) note(parts ...string) {
	sum := fnv.New64a()
	for _, prt := range parts {
		_, _ = sum.Write([]byte(prt + ";"))
	}
	run.result.hash = run.result.hash*1099511628211 ^ sum.Sum64()
}
