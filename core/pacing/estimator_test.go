package pacing_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/pacing"
)

// fleet replays the load pattern of one lasting job with a task on each of several workers:
// their own loads swing together, and filling tasks come and go for two seconds each.
type fleet struct {
	model  pacing.Model
	swing  float64
	effect map[string]float64 // by filling image
	target float64
	now    time.Time
}

// visit is a filling task beside a task of the job.
type visit struct {
	image string
	cpu   float64
}

func (flt *fleet) play(rounds [][]visit) {
	const tail, mean, samples = 4.0, 0.42, 4
	for _, rnd := range rounds {
		for range samples {
			own := mean * (1 + flt.swing*math.Sin(float64(flt.now.UnixMilli())/14000*2*math.Pi))
			for num, vis := range rnd {
				load := own + flt.effect[vis.image]*vis.cpu
				smp := pacing.Sample{Serving: []pacing.ServingTask{{
					ID: fmt.Sprint("job.", num), Group: "job", Image: "web", TailMillis: math.Round(tail / (1 - min(0.98, load))), TargetMillis: flt.target,
				}}}
				if vis.cpu > 0 {
					smp.Filling = append(smp.Filling, pacing.FillingTask{Image: vis.image, Used: vis.cpu, Demand: vis.cpu})
				}
				flt.model.Learn(smp, flt.now)
			}
			flt.now = flt.now.Add(500 * time.Millisecond)
		}
	}
}

var _ = Describe("Model of a fleet", func() {
	effects := map[string]float64{"heavy": 4, "middling": 1.5, "light": 0.1}

	// rounds lets each image work beside each task in turn; one worker in four has nothing that fills.
	rounds := func(num int) [][]visit {
		all := []visit{{"heavy", 0.1}, {"middling", 0.1}, {"light", 0.2}, {}}
		var out [][]visit
		for rnd := range num {
			out = append(out, append(append([]visit(nil), all[rnd%len(all):]...), all[:rnd%len(all)]...))
		}
		return out
	}

	// Load pattern: the load of a service swings by half within seconds while filling tasks come and
	// go. Guards against a swing that is taken for the effect of whatever fills at that moment.
	DescribeTable("tells the swing of a service from the effect of what fills", func(image string) {
		flt := fleet{swing: 0.5, effect: effects, target: 18}
		flt.play(rounds(8))
		worst := 0.0
		for range 12 { // judged all along a swing, not at one lucky moment
			flt.play(rounds(1))
			worst = max(worst, math.Abs(flt.model.Effect(pacing.Pair{Serving: "web", Filling: image})-effects[image]))
		}
		Expect(worst).To(BeNumerically("<", 1))
	},
		Entry("heavy", "heavy"),
		Entry("middling", "middling"),
		Entry("light", "light"),
	)

	// Guards against estimates that grow with each image that ever filled beside a service.
	It("forgets the images that were not seen for the longest time", func() {
		flt := fleet{effect: map[string]float64{"heavy": 4}, target: 18}
		flt.play([][]visit{{{"heavy", 0.1}}, {{}}, {{"heavy", 0.1}}, {{}}})
		Expect(flt.model.Effect(pacing.Pair{Serving: "web", Filling: "heavy"})).To(BeNumerically(">", 2))
		for num := range 100 {
			flt.play([][]visit{{{fmt.Sprint("once ", num), 0.1}}})
		}
		Expect(flt.model.Effect(pacing.Pair{Serving: "web", Filling: "heavy"})).To(Equal(flt.model.Effect(pacing.Pair{Serving: "web", Filling: "never seen"})))
	})

	// A tail of an overload has no bound, so it says only that the load is at least that high.
	It("learns nothing from an overload that it expects", func() {
		flt := fleet{effect: map[string]float64{"heavy": 9}, target: 18}
		flt.play([][]visit{{{}}, {{"heavy", 0.3}}})
		before := flt.model.Effect(pacing.Pair{Serving: "web", Filling: "heavy"})
		flt.play([][]visit{{{"heavy", 0.3}}})
		Expect(flt.model.Effect(pacing.Pair{Serving: "web", Filling: "heavy"})).To(BeNumerically("~", before, 0.2))
	})
})
