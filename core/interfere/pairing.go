package interfere

import (
	"math"
	"time"

	"jacinthpost/core/fleet"
)

// Constants of the pairing estimates.
const (
	// pairingHalfLife halves the weight of older evidence, because services and classes change.
	pairingHalfLife = 30 * time.Minute
	// confidentWeight is the evidence after which a pairing counts as known.
	confidentWeight = 8
	// informationPerWeight scales evidence weights to the precision of a cost:
	// a weight of eight corresponds to a standard error of 0.1.
	informationPerWeight = 12.5
	// surpriseFactor is the distance in standard errors after which most of
	// the evidence is dropped: the load has shifted.
	surpriseFactor = 4
	// surprisable is the weight from which evidence can be contradicted.
	surprisable = 2
	// forgetPeriod is the time between two passes of Forget.
	forgetPeriod = time.Minute
	// negligibleWeight is the evidence below which a pairing is as good as unknown.
	negligibleWeight = 0.05
	// heaviest bounds the weight of a pairing, so that new evidence always counts.
	heaviest = 1000
	// firstTrials is the number of tasks of an unknown pairing that may run at once.
	// On a large fleet it is trialPercent of the instances, because a new owner
	// relearns every pairing.
	firstTrials  = 4
	trialPercent = 10
	// unknownCost is assumed for a pairing without evidence: a whole instance
	// of such tasks would slow the service down by 20%.
	unknownCost = 0.2
	// WorstCost is the highest cost that is expected of any class.
	MaxExpectedCost = 2.0
	// Negligible is a slowdown that needs neither a trial nor a throttle.
	NegligibleSlowdown = 0.01
)

// Estimate is what is known of a pairing.
type Estimate struct {
	cost   float64
	upper  float64
	weight float64
}

// Cost returns the relative slowdown of the service by tasks of the class that
// use all processors of the instance.
func (est Estimate) Cost() float64 { return est.cost }

// Upper returns the cost raised by one standard error.
func (est Estimate) UpperCost() float64 { return est.upper }

// Weight returns the evidence.
func (est Estimate) Weight() float64 { return est.weight }

// NewEstimate returns what another process knows of a pairing.
func NewEstimate(cost, weight float64) Estimate {
	return Estimate{cost: cost, upper: cost, weight: weight}
}

// Known reports whether the evidence suffices to place tasks freely.
func (est Estimate) Known() bool { return est.weight >= confidentWeight }

// TrialLimit returns how many tasks of the pairing may run at once on a number
// of instances. It grows with the evidence, so that a harmless class is not
// held back for long.
func (est Estimate) TrialLimit(instances int) int {
	first := max(firstTrials, instances*trialPercent/100)
	return first + int(float64(first)*est.weight)
}

type pair struct {
	service fleet.Service
	class   fleet.JobClass
}

// Pairing is what is known of one service and one job class. Its address does
// not change, so that frequent readers keep it.
type Pairing struct {
	mean    float64
	weight  float64
	at      time.Time
	running int
}

// Pairings learns the cost of running tasks of a class next to a service, over
// many instances. The zero value knows nothing.
type Pairings struct {
	pairs  map[pair]*Pairing
	forgot time.Time
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
	if pai.weight >= surprisable && diff*diff > surpriseFactor*surpriseFactor*(errorOf(weight)+errorOf(pai.weight)) {
		pai.weight /= 4
	}
	pai.weight = min(heaviest, pai.weight+weight)
	pai.mean += weight / pai.weight * diff
}

// Forget lowers the weight of old evidence, so that a pairing that nobody
// measures any more becomes unknown. It does so once a minute and may be called
// more often. The records stay, because readers keep them.
func (prs *Pairings) Decay(now time.Time) {
	if now.Sub(prs.forgot) < forgetPeriod {
		return
	}
	prs.forgot = now
	for _, pai := range prs.pairs {
		pai.decay(now)
		if pai.weight < negligibleWeight {
			pai.mean, pai.weight = unknownCost, 0
		}
	}
}

// errorOf returns the squared standard error of a cost with the given evidence.
func errorOf(weight float64) float64 { return 1 / (weight * informationPerWeight) }

// Len returns the number of pairings with any record.
func (prs *Pairings) Len() int { return len(prs.pairs) }

func (pai *Pairing) decay(now time.Time) {
	if !pai.at.IsZero() && now.After(pai.at) {
		pai.weight *= math.Exp2(-float64(now.Sub(pai.at)) / float64(pairingHalfLife))
	}
	pai.at = now
}

// Cost returns the expected cost.
func (pai *Pairing) Cost() float64 { return max(0, pai.mean) }

// Estimate returns what is known of the pairing.
func (pai *Pairing) Estimate() Estimate {
	cost := pai.Cost()
	return Estimate{cost: cost, upper: cost + min(unknownCost, math.Sqrt(errorOf(max(pai.weight, 0.01)))), weight: pai.weight}
}

// Running returns the number of tasks counted by Count.
func (pai *Pairing) Running() int { return pai.running }

// Count changes the number of running tasks of the pairing.
func (pai *Pairing) AddRunning(change int) { pai.running += change }
