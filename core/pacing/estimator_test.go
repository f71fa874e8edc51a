package pacing_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/pacing"
)

// fleet simulates a long-running job with a task on each of several workers. The own loads of the tasks
// vary together, and each best-effort task runs for two seconds.
type fleet struct {
	model     pacing.Model
	amplitude float64
	effect    map[string]float64 // by best-effort image
	target    float64
	now       time.Time
}

// neighbour is a best-effort task on the same worker as a task of the job. If its cpu is zero there
// is none.
type neighbour struct {
	image string
	cpu   float64
}

func (flt *fleet) run(rounds [][]neighbour) {
	const tail, mean, samples = 4.0, 0.42, 4
	for _, rnd := range rounds {
		for range samples {
			own := mean * (1 + flt.amplitude*math.Sin(float64(flt.now.UnixMilli())/14000*2*math.Pi))
			for num, nbr := range rnd {
				load := own + flt.effect[nbr.image]*nbr.cpu
				smp := pacing.Sample{Serving: []pacing.ServingTask{{
					ID: fmt.Sprint("job.", num), Group: "job", Image: "web", TailMillis: math.Round(tail / (1 - min(0.98, load))), TargetMillis: flt.target,
				}}}
				if nbr.cpu > 0 {
					smp.BestEffort = append(smp.BestEffort, pacing.BestEffortTask{Image: nbr.image, Used: nbr.cpu, Demand: nbr.cpu})
				}
				flt.model.Learn(smp, flt.now)
			}
			flt.now = flt.now.Add(500 * time.Millisecond)
		}
	}
}

var _ = Describe("Model of a fleet", func() {
	effects := map[string]float64{"heavy": 4, "middling": 1.5, "light": 0.1}

	// rounds places each image beside each task in turn. One worker in four has no best-effort task.
	rounds := func(num int) [][]neighbour {
		all := []neighbour{{"heavy", 0.1}, {"middling", 0.1}, {"light", 0.2}, {}}
		var out [][]neighbour
		for rnd := range num {
			out = append(out, append(append([]neighbour(nil), all[rnd%len(all):]...), all[:rnd%len(all)]...))
		}
		return out
	}

	// Guards against attributing the variation of a service's own load, here by half within seconds,
	// to the best-effort tasks that run at that moment.
	DescribeTable("separates the variation of a service's load from the effects of best-effort images", func(image string) {
		flt := fleet{amplitude: 0.5, effect: effects, target: 18}
		flt.run(rounds(8))
		worst := 0.0
		for range 12 { // checked over a whole period of the own load
			flt.run(rounds(1))
			worst = max(worst, math.Abs(flt.model.Effect(pacing.Pair{Serving: "web", BestEffort: image})-effects[image]))
		}
		Expect(worst).To(BeNumerically("<", 1))
	},
		Entry("heavy", "heavy"),
		Entry("middling", "middling"),
		Entry("light", "light"),
	)

	// Guards against an owner that learns everything again after it took over, while the tasks that it
	// places disturb others (large site, trouble-1: twice to five times the time over targets after each).
	It("gives its knowledge to another model", func() {
		flt := fleet{amplitude: 0.5, effect: effects, target: 18}
		flt.run(rounds(8))
		var next pacing.Model
		next.Restore(flt.model.Knowledge(10), flt.now)
		for _, img := range []string{"heavy", "middling", "light"} {
			par := pacing.Pair{Serving: "web", BestEffort: img}
			Expect(next.Effect(par)).To(Equal(flt.model.Effect(par)))
			Expect(next.Measured(par)).To(BeTrue())
		}
		srvs := []pacing.ServingTask{{Group: "new", Image: "web", TargetMillis: 18}}
		Expect(next.ExpectedViolations(srvs, nil)).To(BeNumerically("<", 0.1), "the tail without load must be known")
		Expect(flt.model.Knowledge(2).Effects).To(HaveLen(2))
	})

	// Guards against stored values that make the estimates infinite.
	It("leaves out knowledge that no model learns", func() {
		var mod pacing.Model
		par := pacing.Pair{Serving: "web", BestEffort: "heavy"}
		for _, odd := range []pacing.Effect{{Mean: 1e300, Variance: 1}, {Mean: -1, Variance: 1}, {Mean: math.NaN(), Variance: 1}, {Mean: 1, Variance: 0}, {Mean: 1, Variance: 1e9}} {
			odd.Pair = par
			mod.Restore(pacing.Knowledge{Effects: []pacing.Effect{odd}, UnloadedTails: map[string]float64{"web": -1}}, time.Unix(0, 0))
		}
		Expect(mod.Measured(par)).To(BeFalse())
	})

	// Guards against a prospect that differs from what the model expects.
	It("gives a prospect that agrees with the expected violations", func() {
		flt := fleet{amplitude: 0.5, effect: effects, target: 18}
		flt.run(rounds(8))
		srvs := []pacing.ServingTask{{Group: "job", Image: "web", TailMillis: 9, TargetMillis: 18}, {Group: "other", Image: "never seen", TargetMillis: 18}}
		uss := pacing.Uses{pacing.NewUse("middling", 0.1)}
		prs := flt.model.Prospect(srvs, uss)
		for _, img := range []string{"heavy", "middling", "light", "never seen"} {
			for _, fraction := range []float64{0.02, 0.1, -0.05} {
				want := flt.model.ExpectedViolations(srvs, uss.With(img, fraction)) - flt.model.ExpectedViolations(srvs, uss)
				Expect(prs.AddedViolations(img, fraction)).To(BeNumerically("~", want, 1e-12), "%s %g", img, fraction)
			}
		}
	})

	// Guards against a state that grows with each best-effort image ever seen beside a service.
	It("evicts the least recently seen images", func() {
		flt := fleet{effect: map[string]float64{"heavy": 4}, target: 18}
		flt.run([][]neighbour{{{"heavy", 0.1}}, {{}}, {{"heavy", 0.1}}, {{}}})
		Expect(flt.model.Effect(pacing.Pair{Serving: "web", BestEffort: "heavy"})).To(BeNumerically(">", 2))
		for num := range 100 {
			flt.run([][]neighbour{{{fmt.Sprint("once ", num), 0.1}}})
		}
		Expect(flt.model.Effect(pacing.Pair{Serving: "web", BestEffort: "heavy"})).To(Equal(flt.model.Effect(pacing.Pair{Serving: "web", BestEffort: "never seen"})))
	})

	// Guards against an effect that changes with each sample of an overload, whose tail latency only
	// gives a lower bound of the load.
	It("ignores an overload that it predicted", func() {
		flt := fleet{effect: map[string]float64{"heavy": 9}, target: 18}
		flt.run([][]neighbour{{{}}, {{"heavy", 0.3}}})
		before := flt.model.Effect(pacing.Pair{Serving: "web", BestEffort: "heavy"})
		flt.run([][]neighbour{{{"heavy", 0.3}}})
		Expect(flt.model.Effect(pacing.Pair{Serving: "web", BestEffort: "heavy"})).To(BeNumerically("~", before, 0.2))
	})
})
