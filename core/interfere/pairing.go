package interfere

import (
	"math"
	"time"

	"jacinthpost/core/fleet"
)

// Constants of the pairing estimates.
const (
	// pairingHalfLife is the time in which the weight of evidence halves, because services and
	// classes change.
	pairingHalfLife = 30 * time.Minute
	// confidentWeight is the weight from which a pairing counts as known.
	confidentWeight = 8
	// informationPerWeight converts the weight of evidence to the precision of a cost: a weight of
	// eight corresponds to a standard error of 0.1.
	informationPerWeight = 12.5
	// contradictionFactor is the distance in standard errors beyond which new evidence contradicts
	// the old one, because the load has changed. Most of the old evidence is then dropped.
	contradictionFactor = 4
	// minContradictedWeight is the weight from which evidence can be contradicted.
	minContradictedWeight = 2
	// decayPeriod is the time between two passes of Decay.
	decayPeriod = time.Minute
	// negligibleWeight is the weight below which a pairing is reset to unknown.
	negligibleWeight = 0.05
	// maxWeight bounds the weight of a pairing, so that new evidence always has an effect.
	maxWeight = 1000
	// firstTrials is the number of tasks of an unknown pairing that may run at once. On a large
	// fleet it is trialPercent of the instances instead, because a new owner has to learn every
	// pairing again.
	firstTrials  = 4
	trialPercent = 10
	// unknownCost is assumed for a pairing without evidence: tasks that use the whole instance
	// would slow the service down by 20%.
	unknownCost = 0.2
	// MaxExpectedCost is the highest cost that is expected of any class.
	MaxExpectedCost = 2.0
	// NegligibleSlowdown is the slowdown below which a task needs no trial.
	NegligibleSlowdown = 0.01
)

// Estimate is the estimated cost of a pairing.
type Estimate struct {
	cost   float64
	upper  float64
	weight float64
}

// Cost returns the relative slowdown of the service by tasks of the class that
// use all processors of the instance.
func (est Estimate) Cost() float64 { return est.cost }

// UpperCost returns the cost raised by one standard error.
func (est Estimate) UpperCost() float64 { return est.upper }

// Weight returns the weight of the evidence.
func (est Estimate) Weight() float64 { return est.weight }

// NewEstimate returns an estimate made by another process.
func NewEstimate(cost, weight float64) Estimate {
	return Estimate{cost: cost, upper: cost, weight: weight}
}

// Known reports whether the evidence suffices to place tasks freely.
func (est Estimate) Known() bool { return est.weight >= confidentWeight }

// TrialLimit returns how many tasks of an unknown pairing may run at once on a number of instances.
// It grows with the evidence, so that a class with a low cost is soon unlimited.
func (est Estimate) TrialLimit(instances int) int {
	first := max(firstTrials, instances*trialPercent/100)
	return first + int(float64(first)*est.weight)
}

type pair struct {
	service fleet.Service
	class   fleet.JobClass
}

// Pairing is the learned cost of a job class next to a service. Its address does not change, so
// that callers which read it often can keep a pointer.
type Pairing struct {
	mean    float64
	weight  float64
	at      time.Time
	running int
}

// Pairings learns the costs of running tasks of each class next to each service from many
// instances. The zero value is empty.
type Pairings struct {
	pairs     map[pair]*Pairing
	decayedAt time.Time
}

// Find returns the pairing of a service and a class, which it creates if needed.
func (prs *Pairings) Find(svc fleet.Service, cls fleet.JobClass) *Pairing {
	key := pair{svc, cls}
	pai, found := prs.pairs[key]
	if found {
		return pai
	}
	if prs.pairs == nil {
		prs.pairs = make(map[pair]*Pairing)
	}
	pai = &Pairing{mean: unknownCost}
	prs.pairs[key] = pai
	return pai
}

// Observe adds one measured cost with its weight.
func (prs *Pairings) Observe(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	if weight <= 0 || math.IsNaN(cost) || math.IsInf(cost, 0) {
		return
	}
	pai := prs.Find(svc, cls)
	pai.decay(now)
	diff := cost - pai.mean
	if pai.weight >= minContradictedWeight && diff*diff > contradictionFactor*contradictionFactor*(squaredError(weight)+squaredError(pai.weight)) {
		pai.weight /= 4
	}
	pai.weight = min(maxWeight, pai.weight+weight)
	pai.mean += weight / pai.weight * diff
}

// Decay lowers the weight of old evidence, so that a pairing that is no longer measured becomes
// unknown. It does so at most once in decayPeriod and may be called more often. The records are
// not deleted, because callers keep pointers to them.
func (prs *Pairings) Decay(now time.Time) {
	if now.Sub(prs.decayedAt) < decayPeriod {
		return
	}
	prs.decayedAt = now
	for _, pai := range prs.pairs {
		pai.decay(now)
		if pai.weight < negligibleWeight {
			pai.mean, pai.weight = unknownCost, 0
		}
	}
}

// squaredError returns the squared standard error of a cost with evidence of the given weight.
func squaredError(weight float64) float64 { return 1 / (weight * informationPerWeight) }

// Len returns the number of pairings.
func (prs *Pairings) Len() int { return len(prs.pairs) }

func (pai *Pairing) decay(now time.Time) {
	if !pai.at.IsZero() && now.After(pai.at) {
		pai.weight *= math.Exp2(-float64(now.Sub(pai.at)) / float64(pairingHalfLife))
	}
	pai.at = now
}

// Cost returns the expected cost, at least zero.
func (pai *Pairing) Cost() float64 { return max(0, pai.mean) }

// Estimate returns the present estimate of the cost.
func (pai *Pairing) Estimate() Estimate {
	cost := pai.Cost()
	return Estimate{cost: cost, upper: cost + min(unknownCost, math.Sqrt(squaredError(max(pai.weight, 0.01)))), weight: pai.weight}
}

// Running returns the number of running tasks of the pairing.
func (pai *Pairing) Running() int { return pai.running }

// AddRunning changes the number of running tasks of the pairing.
func (pai *Pairing) AddRunning(change int) { pai.running += change }
