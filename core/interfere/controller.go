// Package interfere limits how much batch tasks slow down the services on the same instance, and
// learns the cost of each job class for each service.
//
// Model: the logarithm of the latency of a service is a baseline, which depends on its request
// rate, plus a slowdown. The slowdown is the sum over the job classes of their cost times the
// share of the processors that they use. The agent measures the latency of every request, so the
// slowdown is known without delay; usage reports arrive late and only tell how much a task would
// use. A Kalman filter estimates the costs from the changes of the shares, including those made by
// throttling. The controller then leaves the processors to the tasks with the lowest costs until
// the expected slowdown reaches the slack of the service. With a fixed budget of slowdown, that
// order runs the most work. Tasks of classes with low costs are called quiet, the others
// disturbing. Quiet tasks are throttled only when throttling the disturbing ones to the limit has
// not helped.
//
// Tasks are first throttled, then checkpointed and then evicted. An eviction requires that all
// disturbing tasks are throttled to the limit, that the slowdown can still be explained by the
// tasks, and that a checkpoint is confirmed. There is at most one eviction in each
// MinEvictionInterval. A task that has been near the throttle limit for StarvedPeriod is evicted in
// the same way, because others could use its reservation. When the latency with all tasks throttled
// stays as high as it was before, the load of the service has changed: the baseline follows and no
// task is evicted.
//
// Limits: costs add up linearly, so interference that occurs only between two classes is attributed
// to both. Until requests without tasks have been measured, the first requests are the baseline. A
// guard must be used from one goroutine at a time. The zero Controller is ready for use and has no
// services.
package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Constants of the controller.
const (
	// DefaultSlack is the allowed relative increase of the 99th percentile of the latency of a
	// service without an objective of its own.
	DefaultSlack = 0.10
	// plannedSlackShare is the share of the slack that tasks may use up. The slowdown signal
	// overstates small slowdowns, so it can be the whole: the 99th percentile then stayed 2 to 4%
	// below its limit.
	plannedSlackShare = 1.0
	// negligibleBudgetShare is the share of the budget up to which a task is not throttled,
	// because it would not help.
	negligibleBudgetShare = 0.02
	// undisturbedExposure is the share of the processors used by tasks below which a window counts
	// as undisturbed. It doesn't depend on the learned costs: if those were too low, the slowdown
	// would become part of the baseline and the error would remain undetected.
	undisturbedExposure = 0.03
	// throttleLimit is the highest throttle in percent. It leaves a tenth of its processor time to
	// every task, so that none stops.
	throttleLimit = 90
	// throttleStep is the granularity of throttling in percent; smaller differences are ignored.
	throttleStep = 10
	// releaseHold is the time after an increase before a throttle is lowered.
	releaseHold = 5 * time.Second
	// limitedDelay is how long tasks must be throttled to the limit before one is evicted or the
	// slowdown is attributed to the load of the service.
	limitedDelay = 15 * time.Second
	// attributedShiftDelay replaces limitedDelay for a change of the load when the learned costs
	// explain the slowdown by the tasks.
	attributedShiftDelay = time.Minute
	// relievedPart is the part of the slowdown up to which it must have fallen for throttling to
	// count as effective.
	relievedPart = 0.6
	// MinEvictionInterval is the shortest time between two evictions on an instance.
	MinEvictionInterval = time.Minute
	// usageLag is the greatest delay of a usage report. A report that arrives within this time
	// after a change of the throttle may cover both values.
	usageLag = 15 * time.Second
	// memoryLimit is the percentage of the memory in use at which a task is evicted.
	memoryLimit = 95
	// maxGain and gainRaisePart let the planned slowdown exceed the budget, up to maxGain times,
	// while the measured one is below gainRaisePart of it. Costs that were estimated too high are
	// thereby measured again.
	maxGain       = 2.0
	gainRaisePart = 0.6
	// gainCorrectionPeriod is the shortest time between two reductions of the gain.
	gainCorrectionPeriod = 2 * time.Second
)

// Service is a latency-critical service on the instance.
type Service struct {
	name      fleet.Service
	objective time.Duration
}

// NewService returns a service with its objective for the 99th percentile. A
// zero objective allows DefaultSlack above the undisturbed latency.
func NewService(name fleet.Service, objective time.Duration) Service {
	return Service{name: name, objective: objective}
}

// PlannedSlowdown returns the slowdown that tasks may cause to a service without an objective.
func PlannedSlowdown() float64 { return math.Log(1+DefaultSlack) * plannedSlackShare }

// monitor holds the latency signal and the learned costs of one service.
type monitor struct {
	service               Service
	signal                signal
	costs                 filter
	slackShare            float64 // share of the slack that tasks may use up, zero for plannedSlackShare
	shifting              bool    // the baseline is following a change of the load
	peakAllLimited        float64 // peak slowdown when all tasks reached the throttle limit
	peakDisturbingLimited float64 // peak slowdown when the disturbing tasks reached it
}

// budget returns the slowdown that the tasks may cause.
func (mon *monitor) budget() float64 {
	slack := math.Log(1 + DefaultSlack)
	if mon.service.objective > 0 && mon.signal.learned() {
		slack = math.Log(float64(mon.service.objective) / float64(mon.signal.undisturbedP99()))
		slack = min(math.Log(2), max(slack, 0.02))
	}
	if mon.slackShare != 0 {
		return slack * mon.slackShare
	}
	return slack * plannedSlackShare
}

// expected returns the slowdown that the tasks should cause now. Costs are limited to that of any
// known class, because a higher one is more likely due to a change of the load.
func (mon *monitor) expected() float64 {
	sum := 0.0
	for _, cco := range mon.costs.classes {
		sum += min(MaxExpectedCost, cco.cost) * cco.exposure
	}
	return sum
}

// exposure returns the share of the processors that the tasks use now.
func (mon *monitor) exposure() float64 {
	sum := 0.0
	for _, cco := range mon.costs.classes {
		sum += cco.exposure
	}
	return sum
}

// overBudget reports whether the slowdown is above the budget by more than two standard errors.
func (mon *monitor) overBudget() bool {
	mean, deviation := mon.signal.slowdown()
	return mean-2*deviation > mon.budget()
}

// below reports whether the slowdown is below a part of the budget by more than a standard error.
func (mon *monitor) below(part float64) bool {
	mean, deviation := mon.signal.slowdown()
	return mean+deviation < mon.budget()*part
}

// Controller is the guard of one instance.
type Controller struct {
	capacity               resource.Vector
	monitors               []*monitor
	tasks                  []*running // in the order of their start
	lastDecision           time.Time
	gain                   float64
	gainLowered            time.Time
	allLimitedSince        time.Time // since when all tasks are throttled to the limit, or zero
	disturbingLimitedSince time.Time // since when all disturbing tasks are throttled to it, or zero
	disturbingLimitedLast  time.Time // when all disturbing tasks were last throttled to it
	lastEviction           time.Time
	probes                 probes
	log                    explain.Log
}

var _ Guard = (*Controller)(nil)

// NewController returns the guard of an instance on which tasks may use the given capacity.
func NewController(capacity resource.Vector, svcs ...Service) *Controller {
	con := &Controller{capacity: capacity, gain: 1}
	for _, svc := range svcs {
		con.monitors = append(con.monitors, &monitor{service: svc})
	}
	slices.SortFunc(con.monitors, func(one, two *monitor) int { return cmp.Compare(one.service.name, two.service.name) })
	return con
}

// Started implements Guard.
func (con *Controller) Started(tsk Task, now time.Time) {
	con.Ended(tsk.id)
	con.tasks = append(con.tasks, newRunning(tsk, now))
}

// Ended implements Guard.
func (con *Controller) Ended(id string) {
	con.tasks = slices.DeleteFunc(con.tasks, func(run *running) bool { return run.task.id == id })
}

// Resized implements Guard.
func (con *Controller) Resized(id string, size resource.Vector) {
	if run := con.find(id); run != nil {
		run.task.size = size
	}
}

func (con *Controller) find(id string) *running {
	pos := slices.IndexFunc(con.tasks, func(run *running) bool { return run.task.id == id })
	if pos < 0 {
		return nil
	}
	return con.tasks[pos]
}

// ObserveLatency implements Guard.
func (con *Controller) ObserveLatency(svc fleet.Service, latency time.Duration) {
	for _, mon := range con.monitors {
		if mon.service.name == svc {
			mon.signal.add(latency)
		}
	}
}

// ObserveUsage implements Guard. The processor use is scaled to what the task would use
// unthrottled. Of a report that may span a change of the throttle, only the memory is used.
func (con *Controller) ObserveUsage(id string, used resource.Vector, now time.Time) {
	run := con.find(id)
	if run == nil {
		return
	}
	processors := run.used.MilliCPU()
	if now.Sub(run.changedAt) > usageLag {
		processors = used.MilliCPU() * 100 / int64(100-run.percent)
	}
	run.used = resource.New(processors, used.MemoryMB(), used.Accelerators())
}

// Checkpointed implements Guard.
func (con *Controller) Checkpointed(id string, now time.Time) {
	if run := con.find(id); run != nil {
		run.savedAt, run.checkpointConfirmed = now, !run.checkpointAsked.IsZero()
	}
}

// SetPrior implements Guard.
func (con *Controller) SetPrior(svc fleet.Service, cls fleet.JobClass, est Estimate) {
	for _, mon := range con.monitors {
		if mon.service.name == svc && est.weight > 0 {
			mon.costs.setPrior(cls, est.cost, est.weight)
		}
	}
}

// TakeObservations implements Guard.
func (con *Controller) TakeObservations() []Observation {
	var obss []Observation
	for _, mon := range con.monitors {
		obss = append(obss, mon.costs.report(mon.service.name)...)
	}
	return obss
}

// Decide implements Guard.
func (con *Controller) Decide(now time.Time) []Action {
	length := now.Sub(con.lastDecision)
	first := con.lastDecision.IsZero()
	con.lastDecision = now
	if first {
		length = time.Second
	}
	for _, mon := range con.monitors {
		con.measure(mon, length, now)
	}
	con.adjustGain(length, now)
	acts := append(con.plan(now), con.evictTasks(now)...)
	for _, act := range acts {
		con.log.Add(act.reason)
	}
	return acts
}

// Explain returns the newest reasons about a task or a service.
func (con *Controller) Explain(subject string) []explain.Reason { return con.log.Reasons(subject) }

// measure ends the window of one service and updates its baseline or its costs.
func (con *Controller) measure(mon *monitor, length time.Duration, now time.Time) {
	for pos := range mon.costs.classes {
		mon.costs.classes[pos].exposure = 0
	}
	for _, run := range con.tasks {
		mon.costs.find(run.task.class).exposure += run.share(run.percent, con.capacity)
	}
	defer mon.signal.clearWindow()
	if !mon.signal.endWindow(length) {
		return
	}
	quiet := mon.exposure() < undisturbedExposure
	shifted := con.shifted(mon, now)
	if shifted && !mon.shifting {
		name := string(mon.service.name)
		con.log.Add(explain.New(explain.TasksNotCause, now, name).WithOther(name))
	}
	mon.shifting = shifted
	switch {
	case quiet || !mon.signal.learned():
		mon.signal.learn(baselineSamples)
	case shifted:
		mon.signal.learn(shiftSamples)
		return
	}
	if mon.signal.learned() && len(con.tasks) > 0 {
		mon.costs.observe(mon.signal.current, mon.signal.windowVariance(), length)
	}
}

// relievedByAll reports whether the slowdown has fallen clearly since all tasks were throttled to
// the limit, which shows that they caused it.
func (mon *monitor) relievedByAll() bool {
	mean, _ := mon.signal.slowdown()
	return mean <= mon.peakAllLimited*relievedPart
}

// relievedByDisturbing is relievedByAll for the disturbing tasks.
func (mon *monitor) relievedByDisturbing() bool {
	mean, _ := mon.signal.slowdown()
	return mean <= mon.peakDisturbingLimited*relievedPart
}

// shifted reports whether the slowdown persists although all tasks are throttled, so that a change
// of the load must be its cause.
func (con *Controller) shifted(mon *monitor, now time.Time) bool {
	if !con.allLimitedFor(limitedDelay, now) || !mon.overBudget() || mon.relievedByAll() {
		return false
	}
	return mon.expected() < mon.budget() || con.allLimitedFor(attributedShiftDelay, now)
}

// allLimitedFor reports whether all tasks have been throttled to the limit for a period.
func (con *Controller) allLimitedFor(period time.Duration, now time.Time) bool {
	return !con.allLimitedSince.IsZero() && now.Sub(con.allLimitedSince) >= period
}

// adjustGain lowers the planned slowdown quickly while a service is over its budget and raises it
// slowly while all services are below theirs.
func (con *Controller) adjustGain(length time.Duration, now time.Time) {
	if con.gain == 0 {
		con.gain = 1
	}
	overBudget := con.overBudget()
	if overBudget && now.Sub(con.gainLowered) >= gainCorrectionPeriod {
		con.gain, con.gainLowered = max(0.1, con.gain*0.8), now
	}
	rise := 0.02 * length.Seconds()
	switch {
	case overBudget:
	case con.allBelow(gainRaisePart):
		con.gain = min(maxGain, con.gain+rise)
	case con.allBelow(1):
		con.gain = min(1, con.gain+rise)
	}
}

func (con *Controller) allBelow(part float64) bool {
	return !slices.ContainsFunc(con.monitors, func(mon *monitor) bool { return !mon.below(part) })
}

// relativeCost returns the cost of the class of a task divided by the budget of the service, for
// the service where it is highest. Idle services are left out, as they have no requests to slow
// down.
func (con *Controller) relativeCost(run *running) float64 {
	worst := 0.0
	for _, mon := range con.monitors {
		if mon.signal.idle() {
			continue
		}
		worst = max(worst, mon.costs.cost(run.task.class)/mon.budget())
	}
	return worst
}

// throttle moves a task towards its planned throttle: up at once, and down by one step for each
// call after releaseHold.
func (con *Controller) throttle(run *running, percent int, now time.Time) (Action, bool) {
	code := explain.Throttled
	switch {
	case percent > run.percent:
		run.raisedAt = now
	case percent < run.percent && run.probing:
		code = explain.Released
	case percent < run.percent && now.Sub(run.raisedAt) >= releaseHold:
		code = explain.Released
		percent = max(percent, run.percent-throttleStep)
	default:
		return Action{}, false
	}
	run.percent, run.changedAt = percent, now
	run.trackStarved(now)
	rsn := explain.New(code, now, run.task.id).WithOther(con.serviceNames()).WithCounts(percent, 0).WithPeriod(releaseHold)
	return Action{kind: Throttle, task: run.task.id, percent: percent, reason: rsn}, true
}

func (con *Controller) serviceNames() string {
	if len(con.monitors) == 0 {
		return "the instance"
	}
	worst := slices.MaxFunc(con.monitors, func(one, two *monitor) int {
		return cmp.Compare(one.expected()/one.budget(), two.expected()/two.budget())
	})
	return string(worst.service.name)
}
