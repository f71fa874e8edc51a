package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/upkeep"
	"jacinthpost/core/workload"
)

var _ = Describe("instances that are evacuated for upkeep", func() {
	only := func(inc batch.Incarnation) func(batch.Incarnation) bool {
		return func(oth batch.Incarnation) bool { return oth == inc }
	}
	// reportStarted reports all ordered runs as fully started.
	reportStarted := func(own *owner, id string) {
		rep := report(id, 1)
		for _, ord := range own.orders(id, 1, batch.StartRun) {
			rep.Runs = append(rep.Runs, batch.RunState{ID: ord.ID, Working: true, Percent: 100})
		}
		own.ApplyReport(rep, own.now)
	}
	longRunning := func(maxUnavailable int) workload.StepParams {
		stp := step(3)
		stp.LongRunning, stp.MaxUnavailable = true, maxUnavailable
		return stp
	}

	// Guards against upkeep that stops more tasks of a step than may be unavailable at once.
	DescribeTable("lose long-running tasks within their disruption budget", func(maxUnavailable, stops int) {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", longRunning(maxUnavailable))
		own.store()
		reportStarted(own, "a")
		own.advance(2 * time.Second)
		reportStarted(own, "a")
		own.SetEvacuating(only("a-life"))
		own.advance(100 * time.Millisecond)
		own.advance(100 * time.Millisecond)
		Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(stops))
		Expect(own.Load(only("a-life"))).To(Equal(upkeep.Load{LongRunning: 3}))
	},
		Entry("one at a time", 1, 1),
		Entry("two at a time", 2, 2),
		Entry("all at once without a disruption budget", 0, 3),
	)

	// Guards against new runs on a machine that is about to shut down, and against an instance that
	// gets no new runs after its evacuation was revoked.
	It("get no new runs until the evacuation is revoked", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.SetEvacuating(only("a-life"))
		own.submit("j", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.SetEvacuating(only("another"))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
	})

	// Guards against short tasks that lose their work although they would end by themselves.
	It("run tasks without checkpoints to their end", func() {
		own := newOwner()
		own.receive(report("a", 1))
		saves := step(1)
		saves.Checkpointing = true
		own.submit("saves", saves)
		own.submit("loses", step(1))
		own.store()
		reportStarted(own, "a")
		own.SetEvacuating(only("a-life"))
		own.advance(100 * time.Millisecond)
		stops := own.orders("a", 1, batch.StopRun)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].ID.Task.Job).To(Equal("saves"))
		Expect(own.Load(only("a-life"))).To(Equal(upkeep.Load{Short: 2}))
	})
})
