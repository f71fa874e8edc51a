package pacing

import (
	"math"
	"time"
)

// Parameters of the filter. An effect is the load added to a serving task by best-effort tasks that
// use all processors of the worker.
const (
	priorEffect         = 1.0             // for a pair that was never observed
	priorEffectStdDev   = 1.5             // of the effects of all pairs
	maxEffect           = 12.0            // more than can be measured
	effectDriftStdDev   = 0.05            // per square root of a second; old measurements lose weight
	priorOwnLoad        = 0.45            // also the mean of all own loads
	ownLoadStdDev       = 0.15            // of own loads around priorOwnLoad
	ownLoadTimeConstant = 2 * time.Second // of the variation of own loads
	measurementStdDev   = 0.1             // measured tail latencies are noisy and up to half a second old
	saturatedStdDev     = 0.3             // of a load measured in an overload
	// maxVariables bounds the variables of one serving image. The least recently seen are evicted.
	maxVariables = 64
)

// source is a source of load on a serving task: its own group or a best-effort image.
type source struct {
	kind sourceKind
	name string
}

type sourceKind uint8

const (
	ownLoad sourceKind = iota
	bestEffortImage
)

// prior returns the mean and the standard deviation of the variable of a source before the first
// measurement.
func (src source) prior() (mean, stdDev float64) {
	if src.kind == ownLoad {
		return priorOwnLoad, ownLoadStdDev
	}
	return priorEffect, priorEffectStdDev
}

// variable is a state variable of the filter: the own load of a group or the effect of a best-effort
// image.
type variable struct {
	source   source
	mean     float64
	lastSeen time.Time
}

// estimator is a Kalman filter for the own loads of the groups of one serving image and the effects
// of all best-effort images on it. It can tell them apart because effects are nearly constant while
// own loads vary within seconds, and because the tasks of a group share one own load but run beside
// different best-effort tasks on their workers.
type estimator struct {
	updatedAt   time.Time
	variables   []variable
	indices     map[source]int // of the variables
	covariances [][]float64
}

// observation is a measured load of a task.
type observation struct {
	group     string
	uses      Uses
	load      float64
	saturated bool // the true load may be higher
	at        time.Time
}

// term is a variable, by its index, with its weight in a measurement.
type term struct {
	index  int
	weight float64
}

func (est *estimator) effect(image string) float64 { return est.mean(source{bestEffortImage, image}) }

func (est *estimator) ownLoad(group string) float64 { return est.mean(source{ownLoad, group}) }

func (est *estimator) mean(src source) float64 {
	if pos := est.findVariable(src); pos >= 0 {
		return est.variables[pos].mean
	}
	mean, _ := src.prior()
	return mean
}

func (est *estimator) findVariable(src source) int {
	if pos, found := est.indices[src]; found {
		return pos
	}
	return -1
}

// variableIndex returns the index of the variable of a source and marks it as seen. It adds the
// variable if it is missing, and evicts the least recently seen one if there are maxVariables.
func (est *estimator) variableIndex(src source, now time.Time) int {
	pos := est.findVariable(src)
	if pos < 0 {
		pos = est.allocateVariable()
		mean, stdDev := src.prior()
		delete(est.indices, est.variables[pos].source)
		est.variables[pos] = variable{source: src, mean: mean}
		if est.indices == nil {
			est.indices = make(map[source]int)
		}
		est.indices[src] = pos
		for num := range est.covariances {
			est.covariances[pos][num], est.covariances[num][pos] = 0, 0
		}
		est.covariances[pos][pos] = stdDev * stdDev
	}
	est.variables[pos].lastSeen = now
	return pos
}

func (est *estimator) allocateVariable() int {
	if len(est.variables) >= maxVariables {
		oldest := 0
		for num, vrb := range est.variables {
			if vrb.lastSeen.Before(est.variables[oldest].lastSeen) {
				oldest = num
			}
		}
		return oldest
	}
	for num := range est.covariances {
		est.covariances[num] = append(est.covariances[num], 0)
	}
	est.variables = append(est.variables, variable{})
	est.covariances = append(est.covariances, make([]float64, len(est.variables)))
	return len(est.variables) - 1
}

// predict advances the state to now: own loads revert to their mean, and all estimates become less
// certain.
func (est *estimator) predict(now time.Time) {
	first, elapsed := est.updatedAt.IsZero(), now.Sub(est.updatedAt).Seconds()
	if !first && elapsed <= 0 {
		return
	}
	est.updatedAt = now
	if first {
		return
	}
	keep := math.Exp(-elapsed / ownLoadTimeConstant.Seconds())
	for pos := range est.variables {
		vrb := &est.variables[pos]
		if vrb.source.kind == bestEffortImage {
			est.covariances[pos][pos] = min(priorEffectStdDev*priorEffectStdDev, est.covariances[pos][pos]+effectDriftStdDev*effectDriftStdDev*elapsed)
			continue
		}
		vrb.mean = priorOwnLoad + keep*(vrb.mean-priorOwnLoad)
		for num := range est.covariances {
			est.covariances[pos][num] *= keep
			est.covariances[num][pos] *= keep
		}
		est.covariances[pos][pos] += (1 - keep*keep) * ownLoadStdDev * ownLoadStdDev
	}
}

// observe updates the state from a measurement.
func (est *estimator) observe(obs observation) {
	est.predict(obs.at)
	terms := []term{{index: est.variableIndex(source{ownLoad, obs.group}, obs.at), weight: 1}}
	for _, use := range obs.uses {
		terms = append(terms, term{index: est.variableIndex(source{bestEffortImage, use.image}, obs.at), weight: use.fraction})
	}
	innovation := obs.load
	for _, trm := range terms {
		innovation -= trm.weight * est.variables[trm.index].mean
	}
	stdDev := measurementStdDev
	if obs.saturated {
		stdDev = saturatedStdDev
		if innovation <= 0 {
			return // a saturated load is a lower bound, which the prediction already meets
		}
	}
	est.correct(terms, innovation, stdDev)
}

// correct updates the state from a measurement, given as the sum of terms, that differs from its
// prediction by innovation.
func (est *estimator) correct(terms []term, innovation, stdDev float64) {
	covariance := make([]float64, len(est.variables)) // of each variable with the measurement
	for num := range est.variables {
		for _, trm := range terms {
			covariance[num] += est.covariances[num][trm.index] * trm.weight
		}
	}
	variance := stdDev * stdDev
	for _, trm := range terms {
		variance += trm.weight * covariance[trm.index]
	}
	for num := range est.variables {
		vrb := &est.variables[num]
		vrb.mean = max(0, vrb.mean+covariance[num]/variance*innovation)
		if vrb.source.kind == bestEffortImage {
			vrb.mean = min(maxEffect, vrb.mean)
		}
		for oth := range est.variables {
			est.covariances[num][oth] -= covariance[num] * covariance[oth] / variance
		}
	}
}
