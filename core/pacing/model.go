package pacing

import "time"

// Constants of the expected disturbance.
const (
	// loadScatter is how far the load of a serving task swings around its mean: within
	// it, a tail is over its target for a part of the time.
	loadScatter = 0.2
	// unknownBudget is the load at the target of a task whose tail without load is not
	// known yet: targets of several times that tail are usual.
	unknownBudget = 0.75
	floorPart     = 0.8  // of the shortest tail seen is the tail without load: no task is ever without
	highestLoad   = 0.98 // that a tail can tell
	saturatedLoad = 0.92 // a tail that tells a higher load is that of an overload, of any amount
	overLoad      = 1.2  // assumed then, because a queue grows as long as it lasts
)

// Serving is the measure of one task with a latency target.
type ServingTask struct {
	ID           string
	Group        string // of tasks whose own load swings together, such as those of a job
	Image        string
	TailMillis   float64 // milliseconds
	TargetMillis float64 // milliseconds
}

// Filling is the use of one task that fills.
type FillingTask struct {
	Image  string
	Used   float64 // part of the worker's processors in use
	Demand float64 // part of the worker's processors at full speed
}

// Sample is one measure of a worker.
type Sample struct {
	Serving []ServingTask
	Filling []FillingTask
}

// Pair is a serving image beside a filling image.
type Pair struct {
	Serving string
	Filling string
}

// Model learns how much each filling image loads each serving image. A tail grows
// as in a queue: it is the tail without load divided by one minus the load. The load
// is the own one, which swings with that of the other tasks of the group, plus the effects of
// what fills beside it, in proportion to the processors in use. Loads add up while
// tails explode, so the model learns loads. The zero value knows nothing.
type Model struct {
	images map[string]*estimator // by serving image
	floor  map[string]float64    // tail without load, by serving image
}

// Effect returns the effect of a filling image on a serving one.
func (mod *Model) Effect(par Pair) float64 {
	if est := mod.images[par.Serving]; est != nil {
		return est.effect(par.Filling)
	}
	return unknownEffect
}

// load returns the load that explains a tail of a serving image.
func (mod *Model) load(image string, tail float64) float64 {
	floor := mod.floor[image]
	if tail <= floor || floor <= 0 {
		return 0
	}
	return min(highestLoad, 1-floor/tail)
}

// Load returns the load on a serving image by given uses of filling images.
func (mod *Model) Load(image string, uss Uses) float64 {
	sum := 0.0
	for _, use := range uss {
		sum += mod.Effect(Pair{Serving: image, Filling: use.image}) * use.part
	}
	return sum
}

// Own returns the own load of a serving task.
func (mod *Model) OwnLoad(srv ServingTask) float64 {
	if est := mod.images[srv.Image]; est != nil {
		return est.own(srv.Group)
	}
	return meanLoad
}

// Learn updates the effects and the own loads from a sample.
func (mod *Model) Learn(smp Sample, now time.Time) {
	uss := smp.uses()
	for _, srv := range smp.Serving {
		mod.learnFloor(srv)
		mod.learnServing(srv, uss, now)
	}
}

func (mod *Model) learnFloor(srv ServingTask) {
	if mod.floor == nil {
		mod.floor = make(map[string]float64)
	}
	if old, found := mod.floor[srv.Image]; srv.TailMillis > 0 && (!found || floorPart*srv.TailMillis < old) {
		mod.floor[srv.Image] = floorPart * srv.TailMillis
	}
}

func (mod *Model) learnServing(srv ServingTask, uss Uses, now time.Time) {
	if srv.TailMillis <= 0 {
		return
	}
	if mod.images == nil {
		mod.images = make(map[string]*estimator)
	}
	est := mod.images[srv.Image]
	if est == nil {
		est = &estimator{}
		mod.images[srv.Image] = est
	}
	obs := observation{group: srv.Group, uses: uss, load: mod.load(srv.Image, srv.TailMillis), at: now}
	if obs.load >= saturatedLoad {
		obs.load, obs.saturated = overLoad, true
	}
	est.observe(obs)
}

// Harm returns how many of the serving tasks are expected to be over their targets
// beside given uses of filling images, counting those that are so for a part of the time
// as that part.
func (mod *Model) ExpectedViolations(srvs []ServingTask, uss Uses) float64 {
	sum := 0.0
	for _, srv := range srvs {
		sum += mod.over(srv, uss)
	}
	return sum
}

// over returns the part of the time in which a serving task is expected to be over its target.
func (mod *Model) over(srv ServingTask, uss Uses) float64 {
	budget := mod.load(srv.Image, srv.TargetMillis)
	if budget <= 0 {
		budget = unknownBudget
	}
	excess := mod.OwnLoad(srv) + mod.Load(srv.Image, uss) - budget
	return min(1, max(0, 0.5+excess/(2*loadScatter)))
}
