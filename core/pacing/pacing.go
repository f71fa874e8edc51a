// Package pacing decides how fast filling tasks may work beside tasks that serve.
//
// A serving task has a target for its tail latency. Filling tasks on the same
// worker disturb it by amounts that depend on the pair of images: most pairs hardly
// matter, a few lengthen the tail twentyfold. The load of the serving task itself
// swings too, and all measures lag by half a second.
//
// A Model learns the effect of each pair. A Controller cuts the share of the
// filling images that explain a tail near its target, those with the largest effect
// first, and leaves the others alone. When a tail stays over its target all the
// same, everything that fills pauses until it is back: a wrong model may cost work
// but no target. It answers waves of noisy tasks beside services whose load swings.
//
// The types must be used from one goroutine at a time; their zero values work.
package pacing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of the control.
const (
	targetPart  = 0.95 // of the target that is aimed at
	minorEffect = 0.3  // an image with a smaller effect is not cut for a tail that it can't explain
	raiseStep   = 0.35 // most by which a share rises between two samples
	lowestShare = 0.1  // a smaller share becomes a pause
	// overLimit is how long a tail may stay over its target before everything
	// pauses. The pause takes effect within a second, and users bear 4 s.
	overLimit  = 2200 * time.Millisecond
	pauseAfter = 700 * time.Millisecond // beyond the end of the excess, until shares rise again
)

// Controller holds the shares of the filling images of one worker.
type Controller struct {
	cuts   map[string]float64 // part taken away from an image
	over   map[string]time.Time
	paused time.Time // everything pauses until then
}

// Share returns the percentage at which the tasks of a filling image may work.
func (con *Controller) Share(image string) int {
	return int(math.Round(100 * (1 - con.cuts[image])))
}

// Observe updates the shares from a sample, with the effects known to the model.
func (con *Controller) Observe(mod *Model, smp Sample, now time.Time) {
	want := con.wanted(mod, smp)
	if con.excess(smp, now) {
		con.paused = now.Add(pauseAfter)
	}
	cuts := make(map[string]float64, len(want))
	for img, share := range want {
		share = min(share, 1-con.cuts[img]+raiseStep)
		if share < lowestShare || now.Before(con.paused) {
			share = 0
		}
		cuts[img] = 1 - share
	}
	con.cuts = cuts
}

// excess reports whether a serving image has been over its target for too long
// although something fills beside it.
func (con *Controller) excess(smp Sample, now time.Time) bool {
	over := make(map[string]time.Time)
	long := false
	for _, srv := range smp.Serving {
		if srv.Target <= 0 || srv.Tail <= srv.Target {
			continue
		}
		since, found := con.over[srv.Image]
		if !found {
			since = now
		}
		over[srv.Image] = since
		long = long || now.Sub(since) >= overLimit
	}
	con.over = over
	return long
}

// wanted returns the share of each filling image at which all tails keep their targets.
func (con *Controller) wanted(mod *Model, smp Sample) map[string]float64 {
	full := make(map[string]float64)
	for _, fil := range smp.Filling {
		full[fil.Image] += fil.Wants
	}
	shares := make(map[string]float64, len(full))
	for img := range full {
		shares[img] = 1
	}
	use := smp.use()
	for _, srv := range smp.Serving {
		if srv.Target > 0 {
			fit(mod, srv, use, full, shares)
		}
	}
	return shares
}

// fit lowers shares until the expected tail of a serving task is within its target.
func fit(mod *Model, srv Serving, use, full, shares map[string]float64) {
	now := mod.load(srv.Image, srv.Tail) - mod.Load(srv.Image, use)
	own := min(fullLoad, max(0, (now+mod.Own(srv))/2))
	budget := mod.load(srv.Image, targetPart*srv.Target) - own
	images := make([]string, 0, len(full))
	for img := range full {
		budget -= mod.Effect(Pair{Serving: srv.Image, Filling: img}) * full[img] * shares[img]
		images = append(images, img)
	}
	slices.SortFunc(images, func(fst, snd string) int {
		return cmp.Or(cmp.Compare(mod.Effect(Pair{Serving: srv.Image, Filling: snd}), mod.Effect(Pair{Serving: srv.Image, Filling: fst})), cmp.Compare(fst, snd))
	})
	for _, img := range images {
		eff := mod.Effect(Pair{Serving: srv.Image, Filling: img})
		if budget >= 0 || eff < minorEffect {
			return
		}
		weight := eff * full[img]
		cut := min(shares[img], -budget/max(weight, 1e-9))
		shares[img] -= cut
		budget += cut * weight
	}
}
