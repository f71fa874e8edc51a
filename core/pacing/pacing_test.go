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
	return wrk.wants[img] * float64(wrk.ctl.Share(img)) / 100
}

func (wrk *worker) run(dur time.Duration) {
	for end := wrk.now.Add(dur); wrk.now.Before(end); wrk.now = wrk.now.Add(period) {
		tail := wrk.tail()
		smp := pacing.Sample{Serving: []pacing.Serving{{ID: "t", Image: "web", Tail: tail, Target: target}}}
		for img, cpu := range wrk.wants {
			smp.Filling = append(smp.Filling, pacing.Filling{Image: img, Used: wrk.used(img), Wants: cpu})
			wrk.work[img] += wrk.used(img) / cpu
		}
		wrk.model.Learn(smp)
		wrk.ctl.Observe(&wrk.model, smp, wrk.now)
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
		Expect(wrk.model.Effect(pacing.Pair{Serving: "web", Filling: "noisy"})).To(BeNumerically(">", 1.5))
		Expect(wrk.model.Effect(pacing.Pair{Serving: "web", Filling: "quiet"})).To(BeNumerically("<", 0.7))
	},
		Entry("steady load", 0.0),
		Entry("swinging load", 0.5),
	)

	It("pauses everything when a tail stays over its target whatever the model says", func() {
		wrk := newWorker(0)
		wrk.model.Merge(map[pacing.Pair]pacing.Estimate{{Serving: "web", Filling: "noisy"}: {Effect: 0, Seen: 1e9}})
		wrk.effect["noisy"] = 9
		wrk.run(4 * time.Second)
		Expect(wrk.worst).To(BeNumerically("<", 4*time.Second))
	})

	It("leaves filling tasks alone when nothing serves", func() {
		var (
			mod pacing.Model
			ctl pacing.Controller
		)
		ctl.Observe(&mod, pacing.Sample{Filling: []pacing.Filling{{Image: "noisy", Used: 1, Wants: 1}}}, time.Unix(0, 0))
		Expect(ctl.Share("noisy")).To(Equal(100))
	})
})
