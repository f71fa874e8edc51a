package pacing

import (
	"cmp"
	"slices"
	"time"
)

// Knowledge is what a Model has learned, in a form that can be stored and given to another Model.
type Knowledge struct {
	Effects       []Effect           // sorted by serving image, then by best-effort image
	UnloadedTails map[string]float64 // in milliseconds, by serving image
}

// Effect is the learned effect of a pair of images.
type Effect struct {
	Pair     Pair
	Mean     float64
	Variance float64
}

// Knowledge returns what the model has learned, with at most limit effects. The least certain ones are
// left out, and so are own loads, because they vary within seconds.
func (mod *Model) Knowledge(limit int) Knowledge {
	kno := Knowledge{UnloadedTails: make(map[string]float64, len(mod.unloadedTails))}
	for img, tail := range mod.unloadedTails {
		kno.UnloadedTails[img] = tail
	}
	for img, est := range mod.estimators {
		for pos, vrb := range est.variables {
			if vrb.source.kind == bestEffortImage {
				eff := Effect{Pair: Pair{Serving: img, BestEffort: vrb.source.name}, Mean: vrb.mean, Variance: est.covariances[pos][pos]}
				kno.Effects = append(kno.Effects, eff)
			}
		}
	}
	if len(kno.Effects) > limit {
		slices.SortFunc(kno.Effects, func(one, two Effect) int { return cmp.Or(cmp.Compare(one.Variance, two.Variance), one.compare(two)) })
		kno.Effects = kno.Effects[:limit]
	}
	slices.SortFunc(kno.Effects, Effect.compare)
	return kno
}

func (eff Effect) compare(oth Effect) int {
	return cmp.Or(cmp.Compare(eff.Pair.Serving, oth.Pair.Serving), cmp.Compare(eff.Pair.BestEffort, oth.Pair.BestEffort))
}

// Restore adds what another model has learned to a new model. Values that no model learns are left out.
func (mod *Model) Restore(kno Knowledge, now time.Time) {
	for img, tail := range kno.UnloadedTails {
		if tail > 0 {
			mod.setUnloadedTail(img, tail)
		}
	}
	for _, eff := range kno.Effects {
		if !(eff.Mean >= 0 && eff.Mean <= maxEffect && eff.Variance > 0 && eff.Variance <= priorEffectStdDev*priorEffectStdDev) {
			continue
		}
		est := mod.estimator(eff.Pair.Serving)
		est.predict(now)
		pos := est.variableIndex(source{bestEffortImage, eff.Pair.BestEffort}, now)
		est.variables[pos].mean = eff.Mean
		est.covariances[pos][pos] = eff.Variance
	}
}
