package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/upkeep"
	"jacinthpost/core/workload"
)

var _ = Describe("instances that leave for upkeep", func() {
	leaves := func(life batch.Incarnation) func(batch.Incarnation) bool {
		return func(oth batch.Incarnation) bool { return oth == life }
	}
	// atWork reports the runs that were ordered as fully started.
	atWork := func(own *owner, id string) {
		rep := report(id, 1)
		for _, ord := range own.orders(id, 1, batch.StartRun) {
			rep.Runs = append(rep.Runs, batch.RunState{ID: ord.ID, Working: true, Percent: 100})
		}
		own.ApplyReport(rep, own.now)
	}
	watch := func(mayMiss int) workload.StepParams {
		stp := step(3)
		stp.LongRunning, stp.MaxUnavailable = true, mayMiss
		return stp
	}

	// Guards against upkeep that takes down more tasks of a step than its callers can miss.
	DescribeTable("lose lasting tasks within their budget", func(mayMiss, stops int) {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", watch(mayMiss))
		own.store()
		atWork(own, "a")
		own.pass(2 * time.Second)
		atWork(own, "a")
		own.SetEvacuating(leaves("a-life"))
		own.pass(100 * time.Millisecond)
		own.pass(100 * time.Millisecond)
		Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(stops))
		Expect(own.Load(leaves("a-life"))).To(Equal(upkeep.Load{Lasting: 3}))
	},
		Entry("one at a time", 1, 1),
		Entry("two at a time", 2, 2),
		Entry("all at once without a budget", 0, 3),
	)

	// Guards against new work on a machine that is about to go down, and against one that never gets work again.
	It("get no new work until they stay", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.SetEvacuating(leaves("a-life"))
		own.submit("j", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.SetEvacuating(leaves("another"))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
	})

	// Guards against short tasks that are cut off although they would end by themselves.
	It("let tasks end that would lose their work", func() {
		own := newOwner()
		own.hear(report("a", 1))
		saves := step(1)
		saves.Checkpointing = true
		own.submit("saves", saves)
		own.submit("loses", step(1))
		own.store()
		atWork(own, "a")
		own.SetEvacuating(leaves("a-life"))
		own.pass(100 * time.Millisecond)
		stops := own.orders("a", 1, batch.StopRun)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].ID.Task.Job).To(Equal("saves"))
		Expect(own.Load(leaves("a-life"))).To(Equal(upkeep.Load{Short: 2}))
	})
})
