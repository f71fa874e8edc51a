package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/job"
)

// startOrder returns the jobs in the order of their first start.
func (wld *world) startOrder(ids ...job.ID) []string {
	slices.SortStableFunc(ids, func(one, two job.ID) int { return wld.startedAt[one].Compare(wld.startedAt[two]) })
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		sta, _ := wld.parts[0].Status(id)
		keys = append(keys, sta.Spec().Key())
	}
	return keys
}

var _ = Describe("deadlines", func() {
	// due returns a job that takes a whole instance and has a deadline after a time.
	due := func(wld *world, after, length time.Duration) job.Spec {
		return build(1, 8000, 10*length).WithDeadline(wld.now.Add(after).UnixMilli())
	}

	// Guards against the order of submission where a deadline would be missed by it, and
	// against deadlines without regard to the run time.
	It("starts the job first whose latest start comes first", func() {
		wld := newWorld(1, 1, 1)
		wld.submit(0, build(1, 8000, 600*time.Second).WithClass("long", 600*time.Second), "teaches")
		wld.pass(125)
		wld.submit(0, build(1, 8000, 50*time.Second), "blocks")
		none := wld.submit(0, build(1, 8000, 50*time.Second), "none")
		late := wld.submit(0, due(wld, 30*time.Minute, 5*time.Second), "late")
		soon := wld.submit(0, due(wld, 100*time.Second, 5*time.Second), "soon")
		long := wld.submit(0, due(wld, 130*time.Second, 60*time.Second).WithClass("long", 600*time.Second), "long")
		wld.pass(600)
		Expect(wld.open()).To(BeEmpty())
		Expect(wld.startOrder(none, late, soon, long)).To(Equal([]string{"long", "soon", "late", "none"}))
	})

	// Guards against a job without a deadline that waits for ever behind jobs with deadlines that can't be met.
	It("starts a job without a deadline after Patience", func() {
		wld := newWorld(1, 1, 1)
		wld.submit(0, build(1, 8000, 50*time.Second), "blocks")
		none := wld.submit(0, build(1, 8000, 50*time.Second), "none")
		wld.now = wld.now.Add(job.DefaultStartWindow / 2)
		first := wld.submit(0, due(wld, -time.Hour, 5*time.Second), "first")
		wld.now = wld.now.Add(job.DefaultStartWindow/2 + time.Second)
		second := wld.submit(0, due(wld, -time.Hour, 5*time.Second), "second")
		wld.pass(60)
		Expect(wld.startOrder(none, first, second)).To(Equal([]string{"first", "none", "second"}))
	})

	// Guards against a deadline that passes unnoticed, and against one that cancels its job.
	It("tells and counts a job behind its deadline and runs it to its end", func() {
		wld := newWorld(1, 1, 1)
		wld.submit(0, build(1, 8000, 200*time.Second), "blocks")
		id := wld.submit(0, due(wld, 10*time.Second, 5*time.Second), "late")
		explain := func() []string {
			sta, _ := wld.parts[0].Status(id)
			return wld.dsp.ExplainJob(sta)
		}
		wld.pass(18)
		Expect(wld.parts[0].LateJobs()).To(BeZero())
		Expect(explain()).NotTo(ContainElement(ContainSubstring("behind its deadline")))
		wld.pass(10)
		Expect(wld.parts[0].LateJobs()).To(Equal(1))
		explained(explain(), "is behind its deadline by 4s: it waits: no known instance has room")
		wld.pass(60)
		Expect(wld.open()).To(BeEmpty())
		Expect(wld.parts[0].LateJobs()).To(Equal(1))
		explained(explain(), "it has ended")
	})

	// Guards against an order that changes when another process takes the partition over.
	It("keeps the order after a takeover", func() {
		wld := newWorld(1, 1, 1)
		wld.submit(0, build(1, 8000, 100*time.Second), "blocks")
		none := wld.submit(0, build(1, 8000, 50*time.Second), "none")
		soon := wld.submit(0, due(wld, 100*time.Second, 5*time.Second), "soon")
		wld.logs[0] = wld.parts[0].Snapshot()
		wld.takeOver(0, 2)
		wld.pass(100)
		Expect(wld.startOrder(none, soon)).To(Equal([]string{"soon", "none"}))
	})
})
