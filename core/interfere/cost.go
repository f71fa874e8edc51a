package interfere

import (
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
)

// Constants of the cost filter.
const (
	// priorVariance is the variance of the cost of an unknown class: its standard deviation is a
	// slowdown of 1 for tasks that use the whole instance.
	priorVariance = 1.0
	// costBound bounds the estimates. With MaxExpectedCost as the bound, the rest of a larger
	// slowdown was attributed to quiet classes running at the same time.
	costBound = 16.0
	// varianceGrowth is the growth of the variance per second. Old measurements thereby lose their
	// weight with a time constant of some tens of minutes.
	varianceGrowth = 2e-5
	// changeThreshold is the squared error, in variances, above which the class is taken to have
	// changed.
	changeThreshold = 16.0
	// maxReportWeight bounds the weight of one report, so that a single instance does not
	// determine the estimate.
	maxReportWeight = 4.0
	// minReportWeight is the weight below which evidence accumulates until a later report.
	minReportWeight = 0.02
)

// classCost is the estimate for one class next to one service.
type classCost struct {
	class       fleet.JobClass
	cost        float64
	variance    float64
	exposure    float64 // share of the processors that the class uses now
	information float64 // sum of the precisions of the measurements since the last report
	measured    float64 // sum of these measurements, weighted by precision
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

// cost returns the estimated cost of a class. Unlike find it adds no record of an unknown class.
func (flt *filter) cost(cls fleet.JobClass) float64 {
	pos, found := slices.BinarySearchFunc(flt.classes, cls, func(cco classCost, key fleet.JobClass) int {
		return strings.Compare(string(cco.class), string(key))
	})
	if !found {
		return unknownCost
	}
	return flt.classes[pos].cost
}

// setPrior sets the cost of a class as learned by other instances, unless the estimate of this
// instance is at least as precise.
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
		// Reports contain the measurement of this window only. The prior and the lower bound of
		// the estimate would bias an average.
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

// Weight returns the weight of the evidence since the last report.
func (obs Observation) Weight() float64 { return obs.weight }

// report returns the costs measured since the last report, except those with little evidence.
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
