package interfere

import (
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
)

// Constants of the cost filter.
const (
	// priorVariance is the uncertainty of a class that was never seen: its
	// cost per instance lies within about one whole slowdown.
	priorVariance = 1.0
	// highestCost bounds the estimate of one instance. With WorstCost as the bound
	// the rest of a larger slowdown was charged to the quiet classes beside it.
	costBound = 16.0
	// drift is the growth of the variance per second, which makes the filter
	// forget with a time constant of some tens of minutes.
	varianceGrowth = 2e-5
	// surprise is the squared error, in variances, that counts as a change of behaviour.
	changeThreshold = 16.0
	// reportWeight bounds the weight of one report, so that one instance alone does not decide.
	maxReportWeight = 4.0
	// reportMinimum leaves weak evidence to accumulate until a later report.
	minReportWeight = 0.02
)

// classCost is the estimate for one class next to one service.
type classCost struct {
	class       fleet.JobClass
	cost        float64
	variance    float64
	exposure    float64 // share of the instance in use by the class, now
	information float64 // precision of the measurements since the last report
	measured    float64 // their sum, weighted by precision
}

// filter estimates the cost of each class from the slowdown and the changing
// shares of the classes. It is a Kalman filter with a diagonal covariance.
type filter struct {
	classes []classCost // sorted by class
}

func (flt *filter) find(cls fleet.JobClass) *classCost {
	pos, found := slices.BinarySearchFunc(flt.classes, cls, func(cco classCost, key fleet.JobClass) int {
		return strings.Compare(string(cco.class), string(key))
	})
	if !found {
		flt.classes = slices.Insert(flt.classes, pos, classCost{class: cls, cost: unknownCost, variance: priorVariance})
	}
	return &flt.classes[pos]
}

// cost returns the estimate of a class without adding it.
func (flt *filter) cost(cls fleet.JobClass) float64 {
	pos, found := slices.BinarySearchFunc(flt.classes, cls, func(cco classCost, key fleet.JobClass) int {
		return strings.Compare(string(cco.class), string(key))
	})
	if !found {
		return unknownCost
	}
	return flt.classes[pos].cost
}

// seed sets the cost of a class that this instance has not measured itself.
func (flt *filter) setPrior(cls fleet.JobClass, cost, weight float64) {
	cco := flt.find(cls)
	variance := priorVariance / (1 + weight*informationPerWeight*priorVariance)
	if cco.variance > variance {
		cco.cost, cco.variance = cost, variance
	}
}

// observe corrects the costs by one window with a measured slowdown.
func (flt *filter) observe(slowdown, noise float64, length time.Duration) {
	expected, variance := 0.0, noise
	for pos := range flt.classes {
		cco := &flt.classes[pos]
		cco.variance = min(priorVariance, cco.variance+varianceGrowth*length.Seconds())
		expected += cco.cost * cco.exposure
		variance += cco.variance * cco.exposure * cco.exposure
	}
	innovation := slowdown - expected
	inflate := 1.0
	if innovation*innovation > changeThreshold*variance {
		inflate = 4
	}
	for pos := range flt.classes {
		cco := &flt.classes[pos]
		if cco.exposure == 0 {
			continue
		}
		own := cco.cost
		cco.variance = min(priorVariance, cco.variance*inflate)
		gain := cco.variance * cco.exposure / variance
		cco.cost = min(costBound, max(0, cco.cost+gain*innovation))
		cco.variance *= 1 - min(0.9, gain*cco.exposure)
		// The report carries what this window measured, without the prior
		// and the lower bound of the estimate, which would bias an average.
		cco.information += cco.exposure * cco.exposure / noise
		cco.measured += cco.exposure * (innovation + own*cco.exposure) / noise
	}
}

// Observation is the measured cost of a class next to a service.
type Observation struct {
	service fleet.Service
	class   fleet.JobClass
	cost    float64
	weight  float64
}

// NewObservation returns a measured cost with its weight.
func NewObservation(svc fleet.Service, cls fleet.JobClass, cost, weight float64) Observation {
	return Observation{service: svc, class: cls, cost: cost, weight: weight}
}

// Service returns the service that was slowed down.
func (obs Observation) Service() fleet.Service { return obs.service }

// Class returns the class of the tasks.
func (obs Observation) Class() fleet.JobClass { return obs.class }

// Cost returns the measured slowdown by tasks of the class that use the whole
// instance. A single measurement is imprecise and can be negative.
func (obs Observation) Cost() float64 { return obs.cost }

// Weight returns the evidence since the last report.
func (obs Observation) Weight() float64 { return obs.weight }

// report returns the costs with new evidence.
func (flt *filter) report(svc fleet.Service) []Observation {
	var obss []Observation
	for pos := range flt.classes {
		cco := &flt.classes[pos]
		weight := min(maxReportWeight, cco.information/informationPerWeight)
		if weight < minReportWeight {
			continue
		}
		cost := cco.measured / cco.information
		cco.information, cco.measured = 0, 0
		obss = append(obss, Observation{service: svc, class: cco.class, cost: cost, weight: weight})
	}
	return obss
}
