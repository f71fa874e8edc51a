package pacing

import "time"

// Constants of the expected violations.
const (
	// loadAmplitude is the amplitude with which the load of a serving task varies around its mean. If
	// the mean is closer to the budget than this, the target is violated for a part of the time.
	loadAmplitude = 0.2
	// defaultLoadBudget is the load at which the target is reached, for an image whose tail latency
	// without load is not known. Usual targets are several times that latency.
	defaultLoadBudget = 0.75
	unloadedFraction  = 0.8  // of the shortest tail latency seen; tasks are never observed without load
	maxMeasurableLoad = 0.98 // highest load that is derived from a tail latency
	saturatedLoad     = 0.92 // from here on, a tail latency shows an overload of unknown size
	assumedOverload   = 1.2  // load assumed in an overload, in which the queue keeps growing
)

// ServingTask is a measurement of one task with a target for its tail latency.
type ServingTask struct {
	ID           string
	Group        string // tasks whose own loads vary together, such as those of a job
	Image        string
	TailMillis   float64
	TargetMillis float64
}

// BestEffortTask is a measurement of one best-effort task.
type BestEffortTask struct {
	Image  string
	Used   float64 // fraction of the worker's processors in use
	Demand float64 // fraction of the worker's processors needed at full speed
}

// Sample is one measurement of all tasks on a worker.
type Sample struct {
	Serving    []ServingTask
	BestEffort []BestEffortTask
}

// Pair is a serving image and a best-effort image on the same worker.
type Pair struct {
	Serving    string
	BestEffort string
}

// Model learns how much load each best-effort image adds to each serving image. It assumes that tail
// latency grows as in a queue: it is the latency without load divided by one minus the load. The
// load of a task is its own load, which varies together with those of its group, plus the effects
// of the best-effort tasks on its worker, in proportion to the processors that they use. The model
// learns loads because they add up, unlike tail latencies.
type Model struct {
	estimators    map[string]*estimator // by serving image
	unloadedTails map[string]float64    // tail latency without load in milliseconds, by serving image
}

// Effect returns the load that a best-effort image would add to a serving image by using all
// processors of the worker.
func (mod *Model) Effect(par Pair) float64 {
	if est := mod.estimators[par.Serving]; est != nil {
		return est.effect(par.BestEffort)
	}
	return priorEffect
}

// Measured reports whether the effect of a pair has been measured.
func (mod *Model) Measured(par Pair) bool {
	est := mod.estimators[par.Serving]
	return est != nil && est.findVariable(source{bestEffortImage, par.BestEffort}) >= 0
}

// load returns the load at which a serving image has the given tail latency.
func (mod *Model) load(image string, tail float64) float64 {
	floor := mod.unloadedTails[image]
	if tail <= floor || floor <= 0 {
		return 0
	}
	return min(maxMeasurableLoad, 1-floor/tail)
}

// Load returns the load that the uses of best-effort images add to a serving image.
func (mod *Model) Load(image string, uss Uses) float64 {
	sum := 0.0
	for _, use := range uss {
		sum += mod.Effect(Pair{Serving: image, BestEffort: use.image}) * use.fraction
	}
	return sum
}

// OwnLoad returns the estimated load of a serving task without the effects of best-effort tasks.
func (mod *Model) OwnLoad(srv ServingTask) float64 {
	if est := mod.estimators[srv.Image]; est != nil {
		return est.ownLoad(srv.Group)
	}
	return priorOwnLoad
}

// Learn updates the effects and the own loads from a sample.
func (mod *Model) Learn(smp Sample, now time.Time) {
	uss := smp.uses()
	for _, srv := range smp.Serving {
		mod.learnUnloadedTail(srv)
		mod.learnServing(srv, uss, now)
	}
}

func (mod *Model) learnUnloadedTail(srv ServingTask) {
	if old, found := mod.unloadedTails[srv.Image]; srv.TailMillis > 0 && (!found || unloadedFraction*srv.TailMillis < old) {
		mod.setUnloadedTail(srv.Image, unloadedFraction*srv.TailMillis)
	}
}

func (mod *Model) setUnloadedTail(image string, millis float64) {
	if mod.unloadedTails == nil {
		mod.unloadedTails = make(map[string]float64)
	}
	mod.unloadedTails[image] = millis
}

// estimator returns the estimator of a serving image. It adds one if there is none.
func (mod *Model) estimator(image string) *estimator {
	if mod.estimators == nil {
		mod.estimators = make(map[string]*estimator)
	}
	est := mod.estimators[image]
	if est == nil {
		est = &estimator{}
		mod.estimators[image] = est
	}
	return est
}

func (mod *Model) learnServing(srv ServingTask, uss Uses, now time.Time) {
	if srv.TailMillis <= 0 {
		return
	}
	est := mod.estimator(srv.Image)
	obs := observation{group: srv.Group, uses: uss, load: mod.load(srv.Image, srv.TailMillis), at: now}
	if obs.load >= saturatedLoad {
		obs.load, obs.saturated = assumedOverload, true
	}
	est.observe(obs)
}

// ExpectedViolations returns the expected number of serving tasks over their targets, given the
// uses of best-effort images on the worker. A task that is over its target for a fraction of the
// time counts as that fraction.
func (mod *Model) ExpectedViolations(srvs []ServingTask, uss Uses) float64 {
	sum := 0.0
	for _, srv := range srvs {
		sum += violationFraction(mod.excess(srv, uss))
	}
	return sum
}

// excess returns the expected load of a serving task beyond the load at which it reaches its target.
func (mod *Model) excess(srv ServingTask, uss Uses) float64 {
	budget := mod.load(srv.Image, srv.TargetMillis)
	if budget <= 0 {
		budget = defaultLoadBudget
	}
	return mod.OwnLoad(srv) + mod.Load(srv.Image, uss) - budget
}

// violationFraction returns the expected fraction of time in which a serving task is over its target.
func violationFraction(excess float64) float64 {
	return min(1, max(0, 0.5+excess/(2*loadAmplitude)))
}
