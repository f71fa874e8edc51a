package simulation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/simulation"
	"jacinthpost/internal/specs"
)

func TestSimulation(t *testing.T) { specs.Run(t, "simulation") }

const (
	seeds = 2 // a flood takes about 2 s a seed, ten times that with the race detector
	// floodSeeds tells refusals from none: the numbers of useless jobs of single seeds differ by a
	// tenth either way.
	floodSeeds = 4
)

// play plays a pattern with some seeds and given policies, and adds up the results.
func play[O batch.Ordering, P batch.Placement, A admission.Policy](dep simulation.Deployment, pat simulation.Pattern, num uint64, ord O, pla P, pol A) map[string]simulation.ClassResult {
	var all []simulation.Result
	for seed := range num {
		all = append(all, simulation.New(dep, pat, seed+1, ord, pla, pol).Run())
	}
	out := make(map[string]simulation.ClassResult)
	for _, cls := range simulation.Aggregate(all) {
		out[cls.Name()] = cls
	}
	return out
}

func product(dep simulation.Deployment, pat simulation.Pattern) map[string]simulation.ClassResult {
	return play(dep, pat, seeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.RefuseLate{})
}

func pattern(dep simulation.Deployment, name string) simulation.Pattern {
	for _, pat := range simulation.Patterns(dep.BatchClass()) {
		if pat.Name == name {
			return pat
		}
	}
	panic("no pattern " + name)
}

// expectServed checks that accepted jobs of a class are complete at the end, and how many are on time.
func expectServed(cls simulation.ClassResult, onTime float64) {
	GinkgoHelper()
	Expect(cls.Unfinished()).To(BeZero(), "accepted jobs of %s that are not complete", cls.Name())
	Expect(float64(cls.OnTime())).To(BeNumerically(">=", onTime*float64(cls.Jobs())), "%s on time of %d", cls.Name(), cls.Jobs())
}

var _ = Describe("load patterns", func() {
	for _, dep := range simulation.Deployments() {
		Context(dep.Name, func() {
			batchName := dep.BatchClass()

			// Guards against refusals and late jobs when nothing is wrong.
			It("serves a calm day", func() {
				got := product(dep, pattern(dep, "calm"))
				expectServed(got["check"], 0.95)
				expectServed(got[batchName], 0.9)
				Expect(got["check"].Refused() + got[batchName].Refused()).To(BeZero())
			})

			// Guards against urgent jobs that wait behind a burst of batch jobs, and against refusals of work that is useful.
			It("keeps urgent jobs on time in a burst of batch jobs", func() {
				got := product(dep, pattern(dep, "burst"))
				expectServed(got["check"], 0.9)
				expectServed(got[batchName], 0)
				Expect(got[batchName].Refused()).To(BeZero())
			})

			// Guards against a flood that makes every batch job late, and against work that is worth nothing.
			It("refuses what would be complete too late in a flood", func() {
				pat := pattern(dep, "flood")
				with := play(dep, pat, floodSeeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.RefuseLate{})
				without := play(dep, pat, floodSeeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.AcceptAll{})
				Expect(without[batchName].TooLate()+without[batchName].Unfinished()).To(BeNumerically(">", 0), "the flood is too small")
				useless := func(got map[string]simulation.ClassResult) int {
					return got[batchName].TooLate() + got[batchName].Unfinished()
				}
				Expect(useless(with)).To(BeNumerically("<", useless(without)))
				Expect(with[batchName].OnTime()).To(BeNumerically(">", without[batchName].OnTime()))
				expectServed(with["check"], 0.9)
			})

			// Guards against an order of places in which every job of a backlog becomes late.
			It("has more jobs on time by deadline than by arrival", func() {
				pat := pattern(dep, "flood")
				arrival := play(dep, pat, seeds, batch.ArrivalOrder{}, batch.SpreadPlacement{}, admission.AcceptAll{})
				deadline := play(dep, pat, seeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.AcceptAll{})
				Expect(deadline[batchName].OnTime()).To(BeNumerically(">", arrival[batchName].OnTime()))
			})

			// Guards against jobs that are lost with their workers or while a data centre is out.
			DescribeTable("completes accepted jobs", func(name string) {
				got := product(dep, pattern(dep, name))
				expectServed(got["check"], 0.6)
				expectServed(got[batchName], 0)
			},
				Entry("when workers crash", "crash"),
				Entry("while a data centre is out", "out"),
			)
		})
	}

	// Guards against results that can't be compared because the load depends on the decisions.
	It("repeats with the same seed", func() {
		dep := simulation.Deployments()[0]
		pat := pattern(dep, "burst")
		pat.Duration = 10 * time.Second
		one, two := product(dep, pat), product(dep, pat)
		Expect(fmt.Sprint(one)).To(Equal(fmt.Sprint(two)))
	})
})
