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
	// floodSeeds is the number of seeds that shows the effect of refusals: the numbers of useless jobs
	// of single seeds vary by a tenth in both directions.
	floodSeeds = 4
)

// simulate runs a pattern with the first num seeds and returns the added results by class.
func simulate[O batch.Ordering, P batch.Placement, A admission.Policy](dep simulation.Deployment, pat simulation.Pattern, num uint64, ord O, pla P, pol A) map[string]simulation.ClassResult {
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

func simulateDefault(dep simulation.Deployment, pat simulation.Pattern) map[string]simulation.ClassResult {
	return simulate(dep, pat, seeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.RefuseLate{})
}

func pattern(dep simulation.Deployment, name string) simulation.Pattern {
	for _, pat := range simulation.Patterns(dep.BatchClass()) {
		if pat.Name == name {
			return pat
		}
	}
	panic("no pattern " + name)
}

// expectCompleted checks that all accepted jobs of a class are complete at the end, and that at least
// the fraction onTime of all jobs is on time.
func expectCompleted(cls simulation.ClassResult, onTime float64) {
	GinkgoHelper()
	Expect(cls.Unfinished()).To(BeZero(), "accepted jobs of %s that are not complete", cls.Name())
	Expect(float64(cls.OnTime())).To(BeNumerically(">=", onTime*float64(cls.Jobs())), "%s on time of %d", cls.Name(), cls.Jobs())
}

// expectStopped checks that jobs of a class were cancelled, and that no run went on after its job had
// ended.
func expectStopped(cls simulation.ClassResult) {
	GinkgoHelper()
	Expect(cls.Cancelled()).To(BeNumerically(">", 0), "the pattern cancels no job of %s", cls.Name())
	Expect(cls.Unstopped()).To(BeZero(), "runs of ended jobs of %s that work on", cls.Name())
}

var _ = Describe("load patterns", func() {
	for _, dep := range simulation.Deployments() {
		Context(dep.Name, func() {
			batchClass := dep.BatchClass()

			// Guards against refusals and late jobs under normal load.
			It("completes jobs without refusals under normal load", func() {
				got := simulateDefault(dep, pattern(dep, "calm"))
				expectCompleted(got["check"], 0.95)
				expectCompleted(got[batchClass], 0.9)
				Expect(got["check"].Refused() + got[batchClass].Refused()).To(BeZero())
			})

			// Guards against urgent jobs that wait behind a burst of batch jobs, and against refusals of
			// jobs that would be complete in useful time.
			It("keeps urgent jobs on time in a burst of batch jobs", func() {
				got := simulateDefault(dep, pattern(dep, "burst"))
				expectCompleted(got["check"], 0.9)
				expectCompleted(got[batchClass], 0)
				Expect(got[batchClass].Refused()).To(BeZero())
			})

			// Guards against a flood that makes every batch job late, and against work on jobs that are
			// complete too late.
			It("refuses what would be complete too late in a flood", func() {
				pat := pattern(dep, "flood")
				with := simulate(dep, pat, floodSeeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.RefuseLate{})
				without := simulate(dep, pat, floodSeeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.AcceptAll{})
				Expect(without[batchClass].TooLate()+without[batchClass].Unfinished()).To(BeNumerically(">", 0), "the flood is too small")
				useless := func(got map[string]simulation.ClassResult) int {
					return got[batchClass].TooLate() + got[batchClass].Unfinished()
				}
				Expect(useless(with)).To(BeNumerically("<", useless(without)))
				Expect(with[batchClass].OnTime()).To(BeNumerically(">", without[batchClass].OnTime()))
				expectCompleted(with["check"], 0.9)
			})

			// Guards against an order of the waiting jobs in which every job of a backlog becomes late.
			It("has more jobs on time by deadline than by arrival", func() {
				pat := pattern(dep, "flood")
				arrival := simulate(dep, pat, seeds, batch.ArrivalOrder{}, batch.SpreadPlacement{}, admission.AcceptAll{})
				deadline := simulate(dep, pat, seeds, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.AcceptAll{})
				Expect(deadline[batchClass].OnTime()).To(BeNumerically(">", arrival[batchClass].OnTime()))
			})

			// Guards against best-effort tasks that keep most serving tasks over their targets, and the
			// large serving jobs more than the others, when more batch work arrives than can run beside
			// them. At most 60% of what is owed may fail, and the largest jobs must be served at least
			// half as often as all (bayou scale-1, seed 11: SHORT).
			It("keeps serving jobs served when batch work arrives faster than it can run beside them", func() {
				for seed := range uint64(seeds) {
					res := simulation.New(dep, pattern(dep, "crowded"), seed+1, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.RefuseLate{}).Run()
					got, found := res.Class("watch")
					Expect(found).To(BeTrue())
					Expect(got.Credit()).To(BeNumerically(">=", 0.4), "seed %d", seed+1)
					Expect(got.LargestCredit()).To(BeNumerically(">=", got.Credit()/2), "seed %d", seed+1)
				}
			})

			// Guards against jobs that are lost with their workers or during the outage of a data centre.
			DescribeTable("completes accepted jobs", func(name string) {
				got := simulateDefault(dep, pattern(dep, name))
				expectCompleted(got["check"], 0.6)
				expectCompleted(got[batchClass], 0)
			},
				Entry("when workers crash", "crash"),
				Entry("during the outage of a data centre", "out"),
			)

			// Guards against runs of cancelled jobs that work on for ever, because the owner was replaced
			// after it had stored the cancellation and before the agents got its stops.
			It("stops the runs of ended jobs when the owner is replaced", func() {
				got := simulateDefault(dep, pattern(dep, "cancelled"))
				for _, name := range []string{"check", batchClass, "watch"} {
					expectStopped(got[name])
				}
				expectCompleted(got["check"], 0)
				expectCompleted(got[batchClass], 0)
			})
		})
	}

	// Guards against simulations that are not reproducible, whose results could not be compared.
	It("gives the same results for the same seed", func() {
		dep := simulation.Deployments()[0]
		pat := pattern(dep, "burst")
		pat.Duration = 10 * time.Second
		one, two := simulateDefault(dep, pat), simulateDefault(dep, pat)
		Expect(fmt.Sprint(one)).To(Equal(fmt.Sprint(two)))
	})
})
