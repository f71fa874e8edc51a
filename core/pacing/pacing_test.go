package pacing_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/pacing"
	"jacinthpost/internal/specs"
)

func TestPacing(t *testing.T) { specs.Run(t, "pacing") }

const (
	target = 18.0
	floor  = 4.0
	period = 350 * time.Millisecond
)

// worker replays the load pattern of a worker with one serving task whose load
// swings, beside filling tasks of which one image disturbs it and one does not.
type worker struct {
	model  pacing.Model
	ctl    pacing.Controller
	now    time.Time
	swing  float64
	effect map[string]float64
	wants  map[string]float64
	over   time.Duration // at the end of the run, how long the tail has been over its target
	worst  time.Duration
	work   map[string]float64
}

func newWorker(swing float64) *worker {
	return &worker{
		now: time.Unix(0, 0), swing: swing, work: make(map[string]float64),
		effect: map[string]float64{"noisy": 5, "quiet": 0.05}, wants: map[string]float64{"noisy": 0.15, "quiet": 0.3},
	}
}

func (wrk *worker) tail() float64 {
	load := 0.42 * (1 + wrk.swing*math.Sin(float64(wrk.now.UnixMilli())/10000*2*math.Pi))
	for img, eff := range wrk.effect {
		load += eff * wrk.used(img)
	}
	return math.Round(floor / (1 - min(0.98, load)))
}

func (wrk *worker) used(img string) float64 {
	return wrk.wants[img] * float64(wrk.ctl.Share()) / 100
}

func (wrk *worker) run(dur time.Duration) {
	for end := wrk.now.Add(dur); wrk.now.Before(end); wrk.now = wrk.now.Add(period) {
		tail := wrk.tail()
		smp := pacing.Sample{Serving: []pacing.ServingTask{{ID: "t", Image: "web", TailMillis: tail, TargetMillis: target}}}
		for img, cpu := range wrk.wants {
			smp.Filling = append(smp.Filling, pacing.FillingTask{Image: img, Used: wrk.used(img), Demand: cpu})
			wrk.work[img] += wrk.used(img) / cpu
		}
		wrk.model.Learn(smp, wrk.now)
		wrk.ctl.Observe(smp, wrk.now)
		wrk.over += period
		if tail <= target {
			wrk.over = 0
		}
		wrk.worst = max(wrk.worst, wrk.over)
	}
}

var _ = Describe("Controller", func() {
	DescribeTable("keeps the target and lets harmless tasks work beside noisy ones", func(swing float64) {
		wrk := newWorker(swing)
		wrk.run(30 * time.Second)
		Expect(wrk.worst).To(BeNumerically("<", 4*time.Second))
		samples := float64(30*time.Second) / float64(period)
		Expect(wrk.work["quiet"]/samples).To(BeNumerically(">", 0.8), "a harmless task must not pay for a noisy one")
		Expect(wrk.work["noisy"]/samples).To(BeNumerically(">", 0.6), "a noisy task must not be slowed down without any use for the tail")
	},
		Entry("steady load", 0.0),
		Entry("swinging load", 0.5),
	)

	It("pauses everything when a tail stays over its target whatever the model says", func() {
		wrk := newWorker(0)
		wrk.effect["noisy"] = 9
		wrk.run(4 * time.Second)
		Expect(wrk.worst).To(BeNumerically("<", 4*time.Second))
	})

	// Load pattern: a tail that stays over its target, with single rough measures just within it
	// (senvang quiet-1, seed 858452767378, broke the bound of 4 s without it).
	It("does not take a single measure just within the target for the end of an excess", func() {
		var ctl pacing.Controller
		now := time.Unix(0, 0)
		for num := 0; ctl.Share() != pacing.PausedShare; num++ {
			tail := 2 * target
			if num%4 == 3 {
				tail = 0.95 * target
			}
			ctl.Observe(pacing.Sample{Serving: []pacing.ServingTask{{ID: "a", Image: "web", TailMillis: tail, TargetMillis: target}}}, now)
			now = now.Add(period)
			Expect(now.Sub(time.Unix(0, 0))).To(BeNumerically("<", 4*time.Second))
		}
	})

	// Guards against a bound of the deployment that is shorter than the default and not kept.
	DescribeTable("pauses in time for the patience of the deployment", func(patience, most time.Duration) {
		ctl := pacing.New(patience)
		now := time.Unix(0, 0)
		for ctl.Share() != pacing.PausedShare {
			Expect(now.Sub(time.Unix(0, 0))).To(BeNumerically("<=", most))
			ctl.Observe(pacing.Sample{Serving: []pacing.ServingTask{{ID: "a", Image: "web", TailMillis: 2 * target, TargetMillis: target}}}, now)
			now = now.Add(period)
		}
	},
		Entry("none given", time.Duration(0), 2800*time.Millisecond),
		Entry("short", 2500*time.Millisecond, 1400*time.Millisecond),
		Entry("shorter than a reaction", time.Second, period),
	)

	It("does not pause for tails of two tasks that are over their targets in turn", func() {
		var ctl pacing.Controller
		now := time.Unix(0, 0)
		for num := range 20 {
			smp := pacing.Sample{Serving: []pacing.ServingTask{{ID: "a", Image: "web", TailMillis: 10, TargetMillis: target}, {ID: "b", Image: "web", TailMillis: 10, TargetMillis: target}}}
			smp.Serving[num/5%2].TailMillis = 2 * target
			ctl.Observe(smp, now)
			Expect(ctl.Share()).To(Equal(pacing.FullShare))
			now = now.Add(period)
		}
	})

	It("leaves filling tasks alone when nothing serves", func() {
		var ctl pacing.Controller
		ctl.Observe(pacing.Sample{Filling: []pacing.FillingTask{{Image: "noisy", Used: 1, Demand: 1}}}, time.Unix(0, 0))
		Expect(ctl.Share()).To(Equal(pacing.FullShare))
	})
})

var _ = Describe("Model", func() {
	// measured returns a model that has seen a serving task beside changing mixes of a
	// noisy and a quiet image, as they come and go with their jobs.
	measured := func(swing float64) *pacing.Model {
		wrk := newWorker(swing)
		wants := wrk.wants
		for num := range 20 {
			wrk.wants = make(map[string]float64)
			for bit, img := range []string{"noisy", "quiet"} {
				if num>>bit%2 == 0 {
					wrk.wants[img] = wants[img]
				}
			}
			wrk.run(3 * time.Second)
		}
		return &wrk.model
	}
	harm := func(mod *pacing.Model, img string, cpu float64) float64 {
		srv := []pacing.ServingTask{{ID: "t", Image: "web", TargetMillis: target}}
		return mod.ExpectedViolations(srv, pacing.Uses{pacing.NewUse(img, cpu)})
	}

	DescribeTable("tells a noisy image from a quiet one", func(swing float64) {
		mod := measured(swing)
		Expect(mod.Effect(pacing.Pair{Serving: "web", Filling: "noisy"})).To(BeNumerically(">", 1.5))
		Expect(mod.Effect(pacing.Pair{Serving: "web", Filling: "quiet"})).To(BeNumerically("<", 0.7))
	},
		Entry("steady load", 0.0),
		Entry("swinging load", 0.5),
	)

	It("expects a noisy image to bring a tail over its target and a quiet one not to", func() {
		mod := measured(0.3)
		Expect(harm(mod, "noisy", 0.3)).To(BeNumerically(">", 0.8))
		Expect(harm(mod, "quiet", 0.3)).To(BeNumerically("<", 0.5))
	})

	It("expects no more harm from filling tasks where the tail is over its target already", func() {
		mod := measured(0.3)
		more := harm(mod, "noisy", 0.9) - harm(mod, "noisy", 0.6)
		Expect(more).To(BeNumerically("~", 0, 0.01))
	})

	It("expects nothing on a worker without serving tasks", func() {
		Expect(new(pacing.Model).ExpectedViolations(nil, pacing.Uses{pacing.NewUse("noisy", 1)})).To(BeZero())
	})
})
