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
	// surpriseFactor is the distance in standard deviations after which most
	// of the evidence is dropped: the load has shifted.
	surpriseFactor = 4
	// firstTrials is the number of tasks of an unknown pairing that may run at once.
	firstTrials = 4
	// unknownCost is assumed for a pairing without evidence: a whole instance
	// of such tasks would slow the service down by 20%.
	unknownCost = 0.2
	// WorstCost is the highest cost that is expected of any class.
	WorstCost = 2.0
	// Negligible is a slowdown that needs neither a trial nor a throttle.
	Negligible = 0.01
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
func (est Estimate) Upper() float64 { return est.upper }

// Known reports whether the evidence suffices to place tasks freely.
func (est Estimate) Known() bool { return est.weight >= confidentWeight }

// TrialLimit returns how many tasks of the pairing may run at once. It grows
// with the evidence, so that a harmless class is not held back for long.
func (est Estimate) TrialLimit() int {
	return firstTrials + int(firstTrials*est.weight)
}

type pair struct {
	service fleet.Service
	class   fleet.JobClass
}

type evidence struct {
	mean     float64
	variance float64
	weight   float64
	at       time.Time
	running  int
}

// Pairings learns the cost of running tasks of a class next to a service, over
// many instances. The zero value knows nothing.
type Pairings struct {
	pairs map[pair]*evidence
}

func (prs *Pairings) find(svc fleet.Service, cls fleet.JobClass) *evidence {
	if prs.pairs == nil {
		prs.pairs = make(map[pair]*evidence)
	}
	key := pair{svc, cls}
	evi, found := prs.pairs[key]
	if !found {
		evi = &evidence{mean: unknownCost}
		prs.pairs[key] = evi
	}
	return evi
}

// Observe adds one measured cost with its weight.
func (prs *Pairings) Observe(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	if weight <= 0 || math.IsNaN(cost) || math.IsInf(cost, 0) {
		return
	}
	evi := prs.find(svc, cls)
	evi.decay(now)
	diff := cost - evi.mean
	if evi.weight >= confidentWeight && diff*diff > surpriseFactor*surpriseFactor*(evi.variance+1e-4) {
		evi.weight /= 4
	}
	evi.weight += weight
	gain := weight / evi.weight
	evi.mean += gain * diff
	evi.variance = (1 - gain) * (evi.variance + gain*diff*diff)
}

func (evi *evidence) decay(now time.Time) {
	if !evi.at.IsZero() && now.After(evi.at) {
		evi.weight *= math.Exp2(-float64(now.Sub(evi.at)) / float64(pairingHalfLife))
	}
	evi.at = now
}

// Estimate returns what is known of a pairing.
func (prs *Pairings) Estimate(svc fleet.Service, cls fleet.JobClass) Estimate {
	evi, found := prs.pairs[pair{svc, cls}]
	if !found {
		return Estimate{cost: unknownCost, upper: unknownCost}
	}
	upper := evi.mean + math.Sqrt(evi.variance/max(1, evi.weight))
	return Estimate{cost: evi.mean, upper: upper, weight: evi.weight}
}

// Running returns the number of tasks counted by Enter for a pairing.
func (prs *Pairings) Running(svc fleet.Service, cls fleet.JobClass) int {
	evi, found := prs.pairs[pair{svc, cls}]
	if !found {
		return 0
	}
	return evi.running
}

// Enter counts one more running task of a pairing.
func (prs *Pairings) Enter(svc fleet.Service, cls fleet.JobClass) { prs.find(svc, cls).running++ }

// Exit counts one running task less.
func (prs *Pairings) Exit(svc fleet.Service, cls fleet.JobClass) { prs.find(svc, cls).running-- }

// Len returns the number of pairings with any record.
func (prs *Pairings) Len() int { return len(prs.pairs) }
