package pacing

import (
	"math"
	"slices"
	"time"
)

// Constants of the estimates. An effect is the load on a serving task by filling tasks that
// use the whole worker.
const (
	unknownEffect  = 1.0             // assumed for a pair that was never seen together
	unknownScatter = 1.5             // of the effects of pairs around it
	largestEffect  = 12.0            // beyond any effect that can be measured
	effectDrift    = 0.05            // of an effect in the square root of a second, so that old measures fade
	meanLoad       = 0.45            // own load before it is known, and its mean
	ownScatter     = 0.15            // of own loads around their mean
	ownMemory      = 2 * time.Second // after which the own load has moved to somewhere else in its swing
	measureScatter = 0.1             // of a load told by a tail: figures are rough and as old as half a second
	overScatter    = 0.3             // of a load told by the tail of an overload
	// largestState bounds the unknowns of one serving image; those that were not seen for the longest time go first.
	largestState = 64
)

// cause is what a load comes from: a group of serving tasks by itself, or a filling image.
type cause struct {
	kind causeKind
	name string
}

type causeKind uint8

const (
	ownLoad causeKind = iota
	fillingImage
)

// expected returns the mean and the scatter of the quantity that belongs to a cause before
// anything is measured.
func (cse cause) expected() (mean, scatter float64) {
	if cse.kind == ownLoad {
		return meanLoad, ownScatter
	}
	return unknownEffect, unknownScatter
}

// unknown is a quantity that is estimated: the own load of a group, or the effect of a filling image.
type unknown struct {
	cause cause
	mean  float64
	seen  time.Time
}

// estimator estimates the own loads of the groups of one serving image and the effects of all
// filling images on it, with their covariances, by a Kalman filter. Effects stay as they are
// while own loads swing within seconds, and tasks of a group on several workers have one
// own load beside different filling tasks: both tell what is whose share.
type estimator struct {
	at       time.Time
	unknowns []unknown
	cov      [][]float64
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
type part struct {
	pos    int
	weight float64
}

func (est *estimator) effect(image string) float64 { return est.mean(cause{fillingImage, image}) }

func (est *estimator) own(group string) float64 { return est.mean(cause{ownLoad, group}) }

func (est *estimator) mean(cse cause) float64 {
	if pos := est.find(cse); pos >= 0 {
		return est.unknowns[pos].mean
	}
	mean, _ := cse.expected()
	return mean
}

func (est *estimator) find(cse cause) int {
	return slices.IndexFunc(est.unknowns, func(unk unknown) bool { return unk.cause == cse })
}

// index returns the position of an unknown. A new one takes the place of the one that was
// not seen for the longest time when there is no room for more.
func (est *estimator) index(cse cause, now time.Time) int {
	pos := est.find(cse)
	if pos < 0 {
		pos = est.add()
		mean, scatter := cse.expected()
		est.unknowns[pos] = unknown{cause: cse, mean: mean}
		for num := range est.cov {
			est.cov[pos][num], est.cov[num][pos] = 0, 0
		}
		est.cov[pos][pos] = scatter * scatter
	}
	est.unknowns[pos].seen = now
	return pos
}

func (est *estimator) add() int {
	if len(est.unknowns) >= largestState {
		oldest := 0
		for num, unk := range est.unknowns {
			if unk.seen.Before(est.unknowns[oldest].seen) {
				oldest = num
			}
		}
		return oldest
	}
	for num := range est.cov {
		est.cov[num] = append(est.cov[num], 0)
	}
	est.unknowns = append(est.unknowns, unknown{})
	est.cov = append(est.cov, make([]float64, len(est.unknowns)))
	return len(est.unknowns) - 1
}

// advance lets the own loads swing and the effects drift until a time.
func (est *estimator) advance(now time.Time) {
	first, past := est.at.IsZero(), now.Sub(est.at).Seconds()
	if !first && past <= 0 {
		return
	}
	est.at = now
	if first {
		return
	}
	keep := math.Exp(-past / ownMemory.Seconds())
	for pos := range est.unknowns {
		unk := &est.unknowns[pos]
		if unk.cause.kind == fillingImage {
			est.cov[pos][pos] = min(unknownScatter*unknownScatter, est.cov[pos][pos]+effectDrift*effectDrift*past)
			continue
		}
		unk.mean = meanLoad + keep*(unk.mean-meanLoad)
		for num := range est.cov {
			est.cov[pos][num] *= keep
			est.cov[num][pos] *= keep
		}
		est.cov[pos][pos] += (1 - keep*keep) * ownScatter * ownScatter
	}
}

// observe updates the estimates from a measure.
func (est *estimator) observe(obs observation) {
	est.advance(obs.at)
	parts := []part{{pos: est.index(cause{ownLoad, obs.group}, obs.at), weight: 1}}
	for _, use := range obs.uses {
		parts = append(parts, part{pos: est.index(cause{fillingImage, use.image}, obs.at), weight: use.part})
	}
	miss := obs.load
	for _, prt := range parts {
		miss -= prt.weight * est.unknowns[prt.pos].mean
	}
	scatter := measureScatter
	if obs.saturated {
		scatter = overScatter
		if miss <= 0 {
			return // the load is as high as expected, or higher
		}
	}
	est.correct(parts, miss, scatter)
}

// correct moves the estimates towards a measure that was missed by an amount.
func (est *estimator) correct(parts []part, miss, scatter float64) {
	shared := make([]float64, len(est.unknowns)) // covariance of each unknown with the measure
	for num := range est.unknowns {
		for _, prt := range parts {
			shared[num] += est.cov[num][prt.pos] * prt.weight
		}
	}
	total := scatter * scatter
	for _, prt := range parts {
		total += prt.weight * shared[prt.pos]
	}
	for num := range est.unknowns {
		unk := &est.unknowns[num]
		unk.mean = max(0, unk.mean+shared[num]/total*miss)
		if unk.cause.kind == fillingImage {
			unk.mean = min(largestEffect, unk.mean)
		}
		for oth := range est.unknowns {
			est.cov[num][oth] -= shared[num] * shared[oth] / total
		}
	}
}
