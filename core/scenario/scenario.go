// Package scenario simulates workers and services under the scheduling decisions of core/place and
// core/interfere, to measure policies and to check invariants.
//
// A Runner advances in fixed steps of simulated time. In each step tasks arrive, run, fail and end;
// the scheduler of core/place sends offers; each worker accepts what fits its free reservations and
// its reported usage; the guard of core/interfere observes the latency of each request at once and
// the usage of the tasks with a delay of UsagePeriod; and its actions are applied. The true
// behaviour of tasks and services is in model.go and is not visible to the decisions.
//
// Simplifications: the order of events within a step is fixed, offers and reports take no time, the
// interference of classes adds up, and a service is slowed down only by tasks on its own worker. All
// randomness comes from the seed, with separate generators for requests and tasks. A Runner must be
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
	// UsagePeriod is the period of usage reports and also their age when they are received.
	UsagePeriod = 5 * time.Second
	// checkpointPeriod is the period of checkpoints that workers take without a request.
	checkpointPeriod = 5 * time.Minute
	// checkpointTime is the duration of a requested checkpoint.
	checkpointTime = 2 * time.Second
	// failureDelay is the run time of a task that always fails or runs on a broken worker.
	failureDelay = 2 * time.Second
	// migrationRate is the fraction of the tasks that leave a data centre each second during an outage.
	migrationRate = 0.05
)

// execution is a run of a task on a worker.
type execution struct {
	task            *task
	id              place.TaskID
	size            resource.Vector
	startedAt       time.Duration
	throttlePercent int
	lastUsage       resource.Vector
	checkpointAt    time.Duration // end of the requested checkpoint, zero if there is none
	evicting        bool
}

type worker[G interfere.Guard] struct {
	instance        place.Instance
	tasks           []*execution
	committed       resource.Vector
	used            resource.Vector // as last reported
	guard           G
	broken          bool
	out             bool
	pendingRequests float64 // fraction of a request that is carried over to the next step
}

// Result holds the measurements of a run.
type Result struct {
	latencies               Latencies
	work                    float64
	outageWork              float64
	lostWork                float64
	evictions               int
	starts                  int
	steadyWork              float64
	steadyStarts            int // after the Settled time
	urgentWaitBeforeSettled time.Duration
	urgentWaitAfterSettled  time.Duration
	hash                    uint64
}

// Latencies returns the latencies of the service requests after the warm-up.
func (res *Result) Latencies() *Latencies { return &res.latencies }

// Work returns the processor seconds of work, without those that were lost and have to be repeated.
func (res *Result) Work() float64 { return res.work - res.lostWork }

// OutageWork returns the processor seconds of work from the start of the outage until the end of the
// ramp after it.
func (res *Result) OutageWork() float64 { return res.outageWork }

// Evictions returns the number of tasks evicted by guards or stopped for another team.
func (res *Result) Evictions() int { return res.evictions }

// Starts returns the number of task starts.
func (res *Result) Starts() int { return res.starts }

// SteadyWork returns the processor seconds of work after the Settled time of the configuration.
func (res *Result) SteadyWork() float64 { return res.steadyWork }

// SteadyStarts returns the number of task starts after the Settled time of the configuration.
func (res *Result) SteadyStarts() int { return res.steadyStarts }

func (res *Result) addUrgentWait(wait time.Duration, steady bool) {
	if steady {
		res.urgentWaitAfterSettled = max(res.urgentWaitAfterSettled, wait)
		return
	}
	res.urgentWaitBeforeSettled = max(res.urgentWaitBeforeSettled, wait)
}

// UrgentWaitBeforeSettled returns the longest wait for the first start among the urgent tasks that
// were submitted before the Settled time of the configuration.
func (res *Result) UrgentWaitBeforeSettled() time.Duration { return res.urgentWaitBeforeSettled }

// UrgentWaitAfterSettled returns the longest wait among those submitted after it.
func (res *Result) UrgentWaitAfterSettled() time.Duration { return res.urgentWaitAfterSettled }

// Hash returns a hash of all decisions in their order.
func (res *Result) Hash() uint64 { return res.hash }

// Runner simulates one scenario.
type Runner[P place.Policy, G interfere.Guard] struct {
	config       Config
	scheduler    *place.Scheduler[P]
	workers      []*worker[G]
	index        map[fleet.InstanceID]*worker[G]
	waiting      map[place.TaskID]*task
	taskRand     *rand.Rand
	requestRand  *rand.Rand
	start        time.Time
	now          time.Duration
	pendingTasks float64 // arrivals that are carried over to the next step
	lastJob      int
	result       Result
}

// New returns a runner with a policy. The function guard makes the guard of each worker.
func New[P place.Policy, G interfere.Guard](cfg Config, pol P, guard func(resource.Vector, interfere.Service) G, seed uint64) *Runner[P, G] {
	run := &Runner[P, G]{
		config: cfg, scheduler: place.NewScheduler(pol, seed), index: make(map[fleet.InstanceID]*worker[G]),
		waiting: make(map[place.TaskID]*task), start: time.Unix(0, 0),
		taskRand: rand.New(rand.NewPCG(seed, 1)), requestRand: rand.New(rand.NewPCG(seed, 2)),
	}
	for _, sit := range cfg.sites {
		for pos := range sit.workers {
			loc := fleet.NewLocation(sit.region, sit.name, fleet.Rack(fmt.Sprintf("%s-r%d", sit.name, pos/cfg.perRack)))
			ins := place.NewInstance(fleet.InstanceID(fmt.Sprintf("%s-%d", sit.name, pos)), loc, cfg.batchCapacity(), cfg.batchCapacity(), cfg.service)
			wrk := &worker[G]{instance: ins, guard: guard(scale(cfg.capacity, 1-cfg.serviceFraction), interfere.NewService(cfg.service, 0))}
			wrk.broken = len(run.workers) < cfg.brokenWorkers
			run.workers = append(run.workers, wrk)
			run.index[ins.ID()] = wrk
			run.scheduler.Join(ins, run.time())
		}
	}
	return run
}

func (run *Runner[P, G]) time() time.Time { return run.start.Add(run.now) }

// Run runs all steps and returns the result.
func (run *Runner[P, G]) Run() *Result {
	for run.Step() {
		continue
	}
	return &run.result
}

// Step simulates one step. It returns false without doing so if the run is complete.
func (run *Runner[P, G]) Step() bool {
	if run.now >= run.config.length {
		return false
	}
	run.now += run.config.step
	run.submitArrivals()
	run.updateOutage()
	for _, wrk := range run.workers {
		run.advance(wrk)
	}
	for _, vic := range run.scheduler.Reclaim(run.time()) {
		run.addToHash("reclaim", string(vic.Task()), string(vic.Claimant()))
		run.evict(run.index[vic.Instance()], vic.Task())
	}
	run.handleOffers()
	run.serveRequests()
	return true
}

// reached reports whether a time was reached in this step.
func (run *Runner[P, G]) reached(when time.Duration) bool {
	return run.now >= when && run.now-run.config.step < when
}

func (run *Runner[P, G]) isDue(period time.Duration) bool {
	return run.now/period != (run.now-run.config.step)/period
}

func (run *Runner[P, G]) submitArrivals() {
	cfg := &run.config
	if run.now <= cfg.warmUp {
		return
	}
	if run.reached(cfg.warmUp + cfg.step) {
		run.submit(cfg.backlog, nil)
	}
	if cfg.waveTasks > 0 && run.isDue(cfg.wavePeriod) {
		run.submit(cfg.waveTasks, &cfg.classes[len(cfg.classes)-1])
	}
	run.pendingTasks += cfg.taskRate * cfg.step.Seconds()
	// Jobs arrive with all their tasks, so several short steps contribute to one arrival.
	if run.pendingTasks >= float64(cfg.jobTasks) {
		count := int(run.pendingTasks)
		run.pendingTasks -= float64(count)
		run.submit(count, nil)
	}
}

// submit submits jobs with count tasks in total. If cls is nil, a class is drawn for each job.
func (run *Runner[P, G]) submit(count int, cls *Class) {
	for count > 0 {
		size := min(count, run.config.jobTasks)
		count -= size
		run.lastJob++
		job := fmt.Sprintf("job-%d", run.lastJob)
		chosen, fails := cls, run.taskRand.Float64() < run.config.failingFraction
		if chosen == nil {
			chosen = run.drawClass()
		}
		urgent := run.taskRand.Float64() < run.config.urgentFraction && !chosen.endless
		team := fleet.Team(fmt.Sprintf("team-%02d", run.taskRand.IntN(run.config.teams)))
		for pos := range size {
			tsk := run.config.newTask(chosen, run.taskRand)
			tsk.job, tsk.team, tsk.alwaysFails, tsk.urgent, tsk.submitted = job, team, fails, urgent, run.now
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

func (run *Runner[P, G]) drawClass() *Class {
	draw := run.taskRand.Float64()
	for pos := range run.config.classes {
		if draw -= run.config.classes[pos].fraction; draw < 0 {
			return &run.config.classes[pos]
		}
	}
	return &run.config.classes[0]
}

// updateOutage starts and ends the outage of a data centre. During the outage its tasks are
// checkpointed and evicted at migrationRate.
func (run *Runner[P, G]) updateOutage() {
	cfg := &run.config
	if cfg.outageSite == "" || cfg.noOutage {
		return
	}
	starts, ends := run.reached(cfg.outageStart), run.reached(cfg.outageEnd)
	if starts || ends {
		run.scheduler.SetDataCentreOut(cfg.outageSite, starts, run.time())
	}
	for _, wrk := range run.workers {
		if wrk.instance.Location().DataCentre() != cfg.outageSite {
			continue
		}
		wrk.out = run.now >= cfg.outageStart && run.now < cfg.outageEnd
		for _, exe := range wrk.tasks {
			if wrk.out && exe.checkpointAt == 0 && run.taskRand.Float64() < migrationRate*cfg.step.Seconds() {
				exe.checkpointAt, exe.evicting = run.now+checkpointTime, true
			}
		}
	}
}

// evict checkpoints a task and evicts it after that.
func (run *Runner[P, G]) evict(wrk *worker[G], id place.TaskID) {
	for _, exe := range wrk.tasks {
		if exe.id == id {
			run.result.evictions++
			exe.checkpointAt, exe.evicting = run.now+checkpointTime, true
		}
	}
}

// handleOffers requests offers from the scheduler until there are none, and accepts or refuses them.
func (run *Runner[P, G]) handleOffers() {
	for {
		off, found := run.scheduler.Next(run.time())
		if !found {
			return
		}
		wrk, tsk := run.index[off.Instance()], run.waiting[off.Task().ID()]
		free := run.config.batchCapacity().Minus(wrk.committed)
		reason := refusal(wrk, off.Size(), free, run.config.capacity)
		run.addToHash("offer", string(off.Task().ID()), string(off.Instance()), reason)
		if reason != "" {
			run.scheduler.Refused(off.Task().ID(), free, reason, run.time())
			continue
		}
		run.startTask(wrk, tsk, off)
		run.scheduler.Accepted(off.Task().ID(), free.Minus(off.Size()))
	}
}

// refusal returns why the agent of a worker refuses an offer, or nothing if it accepts. It compares
// the offer with the free reservations and with the reported memory usage.
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

func (run *Runner[P, G]) startTask(wrk *worker[G], tsk *task, off place.Offer) {
	delete(run.waiting, off.Task().ID())
	exe := &execution{task: tsk, id: off.Task().ID(), size: off.Size(), startedAt: run.now}
	wrk.tasks = append(wrk.tasks, exe)
	wrk.committed = wrk.committed.Plus(exe.size)
	pairs := run.scheduler.Knowledge().Pairings()
	wrk.guard.SetPrior(run.config.service, tsk.class.name, pairs.Find(run.config.service, tsk.class.name).Estimate())
	wrk.guard.Started(interfere.NewTask(string(exe.id), tsk.class.name, exe.size), run.time())
	run.result.starts++
	if run.now >= run.config.settled {
		run.result.steadyStarts++
	}
	if tsk.urgent && !tsk.started {
		run.result.addUrgentWait(run.now-tsk.submitted, tsk.submitted >= run.config.settled)
	}
	tsk.started = true
}

// addToHash adds a decision to the hash of the result.
func (run *Runner[P, G]) addToHash(parts ...string) {
	sum := fnv.New64a()
	for _, prt := range parts {
		_, _ = sum.Write([]byte(prt + ";"))
	}
	run.result.hash = run.result.hash*1099511628211 ^ sum.Sum64()
}
