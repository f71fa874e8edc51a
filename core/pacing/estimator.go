package pacing

import (
	"math"
	"slices"
	"time"
)

// Constants of the estimates. An effect is the load on a serving task by filling tasks that
// use the whole worker.
const (
	priorEffect         = 1.0             // assumed for a pair that was never seen together
	priorEffectStdDev   = 1.5             // of the effects of pairs around it
	maxEffect           = 12.0            // beyond any effect that can be measured
	effectDriftStdDev   = 0.05            // of an effect in the square root of a second, so that old measures fade
	priorOwnLoad        = 0.45            // own load before it is known, and its mean
	ownLoadStdDev       = 0.15            // of own loads around their mean
	ownLoadTimeConstant = 2 * time.Second // after which the own load has moved to somewhere else in its swing
	measurementStdDev   = 0.1             // of a load told by a tail: figures are rough and as old as half a second
	saturatedStdDev     = 0.3             // of a load told by the tail of an overload
	// largestState bounds the unknowns of one serving image; those that were not seen for the longest time go first.
	maxVariables = 64
)

// cause is what a load comes from: a group of serving tasks by itself, or a filling image.
type source struct {
	kind sourceKind
	name string
}

type sourceKind uint8

const (
	ownLoad sourceKind = iota
	fillingImage
)

// expected returns the mean and the scatter of the quantity that belongs to a cause before
// anything is measured.
func (src source) prior() (mean, stdDev float64) {
	if src.kind == ownLoad {
		return priorOwnLoad, ownLoadStdDev
	}
	return priorEffect, priorEffectStdDev
}

// unknown is a quantity that is estimated: the own load of a group, or the effect of a filling image.
type variable struct {
	source   source
	mean     float64
	lastSeen time.Time
}

// estimator estimates the own loads of the groups of one serving image and the effects of all
// filling images on it, with their covariances, by a Kalman filter. Effects stay as they are
// while own loads swing within seconds, and tasks of a group on several workers have one
// own load beside different filling tasks: both tell what is whose share.
type estimator struct {
	updatedAt   time.Time
	variables   []variable
	covariances [][]float64
}

// observation is a measured load of a task.
type observation struct {
	group     string
	uses      Uses
	load      float64
	saturated bool // the load may be higher
	at        time.Time
}

// part is an unknown with its weight in a measure.
type term struct {
	index  int
	weight float64
}

func (est *estimator) effect(image string) float64 { return est.mean(source{fillingImage, image}) }

func (est *estimator) ownLoad(group string) float64 { return est.mean(source{ownLoad, group}) }

func (est *estimator) mean(src source) float64 {
	if pos := est.findVariable(src); pos >= 0 {
		return est.variables[pos].mean
	}
	mean, _ := src.prior()
	return mean
}

func (est *estimator) findVariable(src source) int {
	return slices.IndexFunc(est.variables, func(vrb variable) bool { return vrb.source == src })
}

// index returns the position of an unknown. A new one takes the place of the one that was
// not seen for the longest time when there is no room for more.
func (est *estimator) variableIndex(src source, now time.Time) int {
	pos := est.findVariable(src)
	if pos < 0 {
		pos = est.allocateVariable()
		mean, stdDev := src.prior()
		est.variables[pos] = variable{source: src, mean: mean}
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

// advance lets the own loads swing and the effects drift until a time.
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
		if vrb.source.kind == fillingImage {
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

// observe updates the estimates from a measure.
func (est *estimator) observe(obs observation) {
	est.predict(obs.at)
	terms := []term{{index: est.variableIndex(source{ownLoad, obs.group}, obs.at), weight: 1}}
	for _, use := range obs.uses {
		terms = append(terms, term{index: est.variableIndex(source{fillingImage, use.image}, obs.at), weight: use.fraction})
	}
	innovation := obs.load
	for _, trm := range terms {
		innovation -= trm.weight * est.variables[trm.index].mean
	}
	stdDev := measurementStdDev
	if obs.saturated {
		stdDev = saturatedStdDev
		if innovation <= 0 {
			return // the load is as high as expected, or higher
		}
	}
	est.correct(terms, innovation, stdDev)
}

// correct moves the estimates towards a measure that was missed by an amount.
func (est *estimator) correct(terms []term, innovation, stdDev float64) {
	covariance := make([]float64, len(est.variables)) // covariance of each unknown with the measure
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
		if vrb.source.kind == fillingImage {
			vrb.mean = min(maxEffect, vrb.mean)
		}
		for oth := range est.variables {
			est.covariances[num][oth] -= covariance[num] * covariance[oth] / variance
		}
	}
}
