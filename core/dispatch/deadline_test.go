package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/job"
)

// startOrder returns the jobs in the order of their first start.
func (sim *simulation) startOrder(ids ...job.ID) []string {
	slices.SortStableFunc(ids, func(one, two job.ID) int { return sim.startedAt[one].Compare(sim.startedAt[two]) })
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		sta, _ := sim.partitions[0].Status(id)
		keys = append(keys, sta.Spec().Key())
	}
	return keys
}

var _ = Describe("deadlines", func() {
	// due returns a job that needs a whole instance for a run time of length and whose
	// deadline is after the given time.
	due := func(sim *simulation, after, length time.Duration) job.Spec {
		return buildJob(1, 8000, 10*length).WithDeadline(sim.now.Add(after).UnixMilli())
	}

	// Guards against a queue in the order of submission, which misses deadlines, and
	// against one in the order of deadlines that ignores run times.
	It("starts jobs in the order of their latest start", func() {
		sim := newSimulation(1, 1, 1)
		sim.submit(0, buildJob(1, 8000, 600*time.Second).WithClass("long", 600*time.Second), "teaches")
		sim.pass(125)
		sim.submit(0, buildJob(1, 8000, 50*time.Second), "blocks")
		none := sim.submit(0, buildJob(1, 8000, 50*time.Second), "none")
		late := sim.submit(0, due(sim, 30*time.Minute, 5*time.Second), "late")
		soon := sim.submit(0, due(sim, 100*time.Second, 5*time.Second), "soon")
		long := sim.submit(0, due(sim, 130*time.Second, 60*time.Second).WithClass("long", 600*time.Second), "long")
		sim.pass(600)
		Expect(sim.unfinished()).To(BeEmpty())
		Expect(sim.startOrder(none, late, soon, long)).To(Equal([]string{"long", "soon", "late", "none"}))
	})

	// Guards against starvation of a job without a deadline behind jobs whose deadlines
	// can't be met.
	It("starts a job without a deadline after Patience", func() {
		sim := newSimulation(1, 1, 1)
		sim.submit(0, buildJob(1, 8000, 50*time.Second), "blocks")
		none := sim.submit(0, buildJob(1, 8000, 50*time.Second), "none")
		sim.now = sim.now.Add(job.DefaultStartWindow / 2)
		first := sim.submit(0, due(sim, -time.Hour, 5*time.Second), "first")
		sim.now = sim.now.Add(job.DefaultStartWindow/2 + time.Second)
		second := sim.submit(0, due(sim, -time.Hour, 5*time.Second), "second")
		sim.pass(60)
		Expect(sim.startOrder(none, first, second)).To(Equal([]string{"first", "none", "second"}))
	})

	// Guards against a missed deadline that is not reported, and against one that cancels
	// its job.
	It("reports and counts a job behind its deadline and runs it to its end", func() {
		sim := newSimulation(1, 1, 1)
		sim.submit(0, buildJob(1, 8000, 200*time.Second), "blocks")
		id := sim.submit(0, due(sim, 10*time.Second, 5*time.Second), "late")
		explain := func() []string {
			sta, _ := sim.partitions[0].Status(id)
			return sim.dsp.ExplainJob(sta)
		}
		sim.pass(18)
		Expect(sim.partitions[0].LateJobs()).To(BeZero())
		Expect(explain()).NotTo(ContainElement(ContainSubstring("behind its deadline")))
		sim.pass(10)
		Expect(sim.partitions[0].LateJobs()).To(Equal(1))
		expectExplained(explain(), "is behind its deadline by 4s: it waits: no known instance has room")
		sim.pass(60)
		Expect(sim.unfinished()).To(BeEmpty())
		Expect(sim.partitions[0].LateJobs()).To(Equal(1))
		expectExplained(explain(), "it has ended")
	})

	// Guards against an order that changes when another process takes the partition over.
	It("keeps the order after a takeover", func() {
		sim := newSimulation(1, 1, 1)
		sim.submit(0, buildJob(1, 8000, 100*time.Second), "blocks")
		none := sim.submit(0, buildJob(1, 8000, 50*time.Second), "none")
		soon := sim.submit(0, due(sim, 100*time.Second, 5*time.Second), "soon")
		sim.logs[0] = sim.partitions[0].Snapshot()
		sim.takeOver(0, 2)
		sim.pass(100)
		Expect(sim.startOrder(none, soon)).To(Equal([]string{"soon", "none"}))
	})
})
