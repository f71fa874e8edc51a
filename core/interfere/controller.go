// Package interfere keeps batch tasks from slowing down the services on the
// same instance, and learns which job classes hurt which services.
//
// Model: the latency of a service is a baseline, which depends on its request
// rate, times a slowdown that is the sum over the job classes of their cost
// times the share of the processors they use. The agent times every request
// itself, so the slowdown is known without delay; usage reports arrive late and
// only tell how much a task would use. A filter estimates the costs from the
// changes of the shares, including the changes that throttling makes. The
// controller then gives the processors to the tasks that hurt least until the
// expected slowdown reaches the slack of the service: with a fixed budget of
// slowdown that order runs the most work. A class that is measured or learned
// to disturb little keeps its speed while a more harmful one can still be
// throttled; it is throttled only when that has not helped.
//
// The order of measures is throttle, checkpoint, evict. An eviction needs all
// disturbing tasks throttled to the limit, a slowdown that the tasks still explain, and a
// confirmed checkpoint, and there is at most one in EvictionSpacing. A task
// that has been near the throttle limit for StarvedPeriod is evicted in the
// same way, because it holds a reservation that others could use. When the
// latency stays as high with all tasks throttled as it was before, the load has
// shifted: the baseline follows and no task is evicted for it.
//
// Limits: costs add up linearly; interference that appears only when two
// certain classes meet is charged to both. Before an undisturbed baseline has
// been seen, the first requests serve as one. A guard must be used from one
// goroutine at a time. The zero Controller works and knows no services.
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
	// DefaultSlack is the allowed relative increase of the 99th percentile of a
	// service without an objective of its own.
	DefaultSlack = 0.10
	// pressureShare is the part of the slack that is planned for. The slowdown
	// signal overstates small slowdowns, so the whole slack can be planned: in
	// trials the 99th percentile then stayed 2 to 4% below its limit.
	pressureShare = 1.0
	// negligibleHarm is the part of the budget below which throttling a task is pointless.
	negligibleHarm = 0.02
	// quietExposure is the part of the processors used by tasks below which a
	// window counts as undisturbed. It doesn't use the learned costs, because
	// costs that are too low would then raise the baseline and hide themselves.
	quietExposure = 0.03
	// throttleLimit keeps a tenth of its processor time for every task, so that none stands still.
	throttleLimit = 90
	// throttleStep is the granularity of throttling; smaller differences are ignored.
	throttleStep = 10
	// releaseHold is the time without an increase before a throttle is lowered.
	releaseHold = 5 * time.Second
	// settleTime is how long tasks must be at the limit before more is done.
	settleTime = 15 * time.Second
	// shiftTime is the same where the learned costs still blame the tasks.
	shiftTime = time.Minute
	// easedPart is the part of the slowdown that may remain when throttling has helped.
	easedPart = 0.6
	// EvictionSpacing is the shortest time between two evictions on an instance.
	MinEvictionInterval = time.Minute
	// usageLag is the age of a usage report up to which a change of the throttle makes it useless.
	usageLag = 15 * time.Second
	// memoryLimit is the percentage of the memory in use at which a task must leave.
	memoryLimit = 95
	// highestGain and calmPart let the planned slowdown exceed the budget while
	// the measured one is far below it, so that costs estimated too high are
	// put to the test.
	highestGain = 2.0
	calmPart    = 0.6
	// alarmPeriod is the shortest time between two corrections of the gain.
	alarmPeriod = 2 * time.Second
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

// PlannedSlowdown returns the slowdown that tasks may cause to a service
// without an objective of its own.
func PlannedSlowdown() float64 { return math.Log(1+DefaultSlack) * pressureShare }

// monitor holds what is known of one service.
type monitor struct {
	service   Service
	signal    signal
	costs     filter
	aim       float64 // part of the slack that is planned for, zero for pressureShare
	shifting  bool    // a shift of the load is being followed
	before    float64 // peak slowdown when all tasks reached the throttle limit
	disturbed float64 // highest slowdown when the disturbing tasks reached it
}

// budget returns the slowdown that the tasks may cause.
func (mon *monitor) budget() float64 {
	slack := math.Log(1 + DefaultSlack)
	if mon.service.objective > 0 && mon.signal.learned() {
		slack = math.Log(float64(mon.service.objective) / float64(mon.signal.extreme()))
		slack = min(math.Log(2), max(slack, 0.02))
	}
	if mon.aim != 0 {
		return slack * mon.aim
	}
	return slack * pressureShare
}

// expected returns the slowdown that the tasks should cause now. A cost above
// that of any known class is more likely a shift of the load, so it doesn't count.
func (mon *monitor) expected() float64 {
	sum := 0.0
	for _, cco := range mon.costs.classes {
		sum += min(MaxExpectedCost, cco.cost) * cco.exposure
	}
	return sum
}

// exposure returns the part of the processors that the tasks use now.
func (mon *monitor) exposure() float64 {
	sum := 0.0
	for _, cco := range mon.costs.classes {
		sum += cco.exposure
	}
	return sum
}

// alarmed reports whether the slowdown is above the budget beyond doubt.
func (mon *monitor) alarmed() bool {
	mean, deviation := mon.signal.slowdown()
	return mean-2*deviation > mon.budget()
}

// calm reports whether the slowdown is surely below a part of the budget.
func (mon *monitor) calm(part float64) bool {
	mean, deviation := mon.signal.slowdown()
	return mean+deviation < mon.budget()*part
}

// Controller is the guard of one instance.
type Controller struct {
	capacity  resource.Vector
	monitors  []*monitor
	tasks     []*running // in the order of their start
	last      time.Time
	gain      float64
	alarm     time.Time
	saturated time.Time // since when all tasks are at the limit, zero when they are not
	cornered  time.Time // since when all disturbing tasks are at the limit, zero when they are not
	held      time.Time // when all disturbing tasks were at the limit for the last time
	evicted   time.Time
	probes    probes
	log       explain.Log
}

var _ Guard = (*Controller)(nil)

// NewController returns the guard of an instance on which tasks may use the
// capacity next to the services.
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

// Request implements Guard.
func (con *Controller) ObserveLatency(svc fleet.Service, latency time.Duration) {
	for _, mon := range con.monitors {
		if mon.service.name == svc {
			mon.signal.add(latency)
		}
	}
}

// Usage implements Guard. Processor use is scaled to what the task would use
// unthrottled; reports that may span a change of the throttle only count for memory.
func (con *Controller) ObserveUsage(id string, used resource.Vector, now time.Time) {
	run := con.find(id)
	if run == nil {
		return
	}
	processors := run.used.MilliCPU()
	if now.Sub(run.changed) > usageLag {
		processors = used.MilliCPU() * 100 / int64(100-run.percent)
	}
	run.used = resource.New(processors, used.MemoryMB(), used.Accelerators())
}

// Checkpointed implements Guard.
func (con *Controller) Checkpointed(id string, now time.Time) {
	if run := con.find(id); run != nil {
		run.saved, run.checkpoint = now, !run.asked.IsZero()
	}
}

// Prime implements Guard.
func (con *Controller) SetPrior(svc fleet.Service, cls fleet.JobClass, est Estimate) {
	for _, mon := range con.monitors {
		if mon.service.name == svc && est.weight > 0 {
			mon.costs.seed(cls, est.cost, est.weight)
		}
	}
}

// Report implements Guard.
func (con *Controller) TakeObservations() []Observation {
	var obss []Observation
	for _, mon := range con.monitors {
		obss = append(obss, mon.costs.report(mon.service.name)...)
	}
	return obss
}

// Decide implements Guard.
func (con *Controller) Decide(now time.Time) []Action {
	length := now.Sub(con.last)
	first := con.last.IsZero()
	con.last = now
	if first {
		length = time.Second
	}
	for _, mon := range con.monitors {
		con.measure(mon, length, now)
	}
	con.adjust(length, now)
	acts := append(con.plan(now), con.relieve(now)...)
	for _, act := range acts {
		con.log.Add(act.reason)
	}
	return acts
}

// Explain returns the newest reasons about a task or a service.
func (con *Controller) Explain(subject string) []explain.Reason { return con.log.Reasons(subject) }

// measure ends a window of one service.
func (con *Controller) measure(mon *monitor, length time.Duration, now time.Time) {
	for pos := range mon.costs.classes {
		mon.costs.classes[pos].exposure = 0
	}
	for _, run := range con.tasks {
		mon.costs.find(run.task.class).exposure += run.share(run.percent, con.capacity)
	}
	defer mon.signal.clear()
	if !mon.signal.tick(length) {
		return
	}
	quiet := mon.exposure() < quietExposure
	shifted := con.shifted(mon, now)
	if shifted && !mon.shifting {
		name := string(mon.service.name)
		con.log.Add(explain.New(explain.NotTheTasks, now, name).With(name))
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

// eased reports whether throttling all tasks took a clear part of the slowdown
// away, which shows that they caused it.
func (mon *monitor) eased() bool {
	mean, _ := mon.signal.slowdown()
	return mean <= mon.before*easedPart
}

// relieved reports the same about the disturbing tasks.
func (mon *monitor) relieved() bool {
	mean, _ := mon.signal.slowdown()
	return mean <= mon.disturbed*easedPart
}

// shifted reports whether the slowdown persists although all tasks are
// throttled, so that they are not its cause.
func (con *Controller) shifted(mon *monitor, now time.Time) bool {
	if !con.settled(settleTime, now) || !mon.alarmed() || mon.eased() {
		return false
	}
	return mon.expected() < mon.budget() || con.settled(shiftTime, now)
}

// settled reports whether all tasks have been at the throttle limit for a period.
func (con *Controller) settled(period time.Duration, now time.Time) bool {
	return !con.saturated.IsZero() && now.Sub(con.saturated) >= period
}

// adjust lowers the planned slowdown quickly while a service is too slow and
// raises it slowly while all have room.
func (con *Controller) adjust(length time.Duration, now time.Time) {
	if con.gain == 0 {
		con.gain = 1
	}
	alarmed := con.alarmed()
	if alarmed && now.Sub(con.alarm) >= alarmPeriod {
		con.gain, con.alarm = max(0.1, con.gain*0.8), now
	}
	rise := 0.02 * length.Seconds()
	switch {
	case alarmed:
	case con.allCalm(calmPart):
		con.gain = min(highestGain, con.gain+rise)
	case con.allCalm(1):
		con.gain = min(1, con.gain+rise)
	}
}

func (con *Controller) allCalm(part float64) bool {
	return !slices.ContainsFunc(con.monitors, func(mon *monitor) bool { return !mon.calm(part) })
}

// harm returns the cost of a class in budgets of the service it hurts most.
// Idle services are left out: no request is there that could be slow.
func (con *Controller) harm(run *running) float64 {
	worst := 0.0
	for _, mon := range con.monitors {
		if mon.signal.idle() {
			continue
		}
		worst = max(worst, mon.costs.cost(run.task.class)/mon.budget())
	}
	return worst
}

// throttle moves a task towards its planned throttle: up at once, down one
// step at a time after releaseHold.
func (con *Controller) throttle(run *running, percent int, now time.Time) (Action, bool) {
	code := explain.Throttled
	switch {
	case percent > run.percent:
		run.raised = now
	case percent < run.percent && run.probed:
		code = explain.Released
	case percent < run.percent && now.Sub(run.raised) >= releaseHold:
		code = explain.Released
		percent = max(percent, run.percent-throttleStep)
	default:
		return Action{}, false
	}
	run.percent, run.changed = percent, now
	run.noteStarved(now)
	rsn := explain.New(code, now, run.task.id).With(con.serviceNames()).Counts(percent, 0).For(releaseHold)
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
