package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

// disturbed is the load pattern of a service on one instance beside which a filling image turns
// out to be noisy only after it was placed, while another instance has room.
type disturbed struct {
	*owner
	watch, noisy batch.RunID
	others       []batch.RunID // more filling tasks of the same kind
	tail         float64
	percent      int // progress of the filling task
}

func newDisturbed(change func(noisy *workload.StepParams)) *disturbed {
	dis := &disturbed{owner: newOwner(), tail: 5, percent: 20}
	watch, noisy := step(1), step(1)
	watch.LongRunning, watch.TargetMillis, watch.Image = true, 18, "web"
	noisy.BestEffort, noisy.Image, noisy.MilliCPU, noisy.Checkpointing = true, "noisy", 800, true
	change(&noisy)
	dis.hear(report("a", 1))
	dis.submit("watch", watch)
	dis.store()
	dis.watch = dis.orders("a", 1, batch.StartRun)[0].ID
	dis.list(4) // alone, with a short tail
	dis.submit("noisy", noisy)
	dis.store()
	dis.noisy = dis.orders("a", 1, batch.StartRun)[1].ID
	return dis
}

// runs returns a report of the instance with what it runs.
func (dis *disturbed) runs() batch.Report {
	rep := report("a", 1)
	rep.Runs = append(rep.Runs, batch.RunState{ID: dis.watch, Working: true, Percent: 100, Share: 100, Figure: dis.tail})
	if dis.noisy.Task.Job != "" {
		rep.Runs = append(rep.Runs, batch.RunState{ID: dis.noisy, Working: true, Percent: dis.percent, Share: 100, Figure: 800})
	}
	for _, rid := range dis.others {
		rep.Runs = append(rep.Runs, batch.RunState{ID: rid, Working: true, Percent: dis.percent, Share: 100, Figure: 800})
	}
	return rep
}

// list passes time in which the instance reports its runs twice a second.
func (dis *disturbed) list(times int) {
	for range times {
		dis.hear(dis.runs())
		dis.pass(500 * time.Millisecond)
	}
}

// finish ends the noisy task.
func (dis *disturbed) finish() {
	rid := dis.noisy
	dis.noisy = batch.RunID{}
	dis.tail = 5
	dis.hear(dis.runs(), ended(1, rid, batch.EndDone))
	dis.store()
}

func (dis *disturbed) expectMoves(num int) {
	GinkgoHelper()
	Expect(dis.orders("a", 1, batch.StopRun)).To(HaveLen(num))
}

var _ = Describe("Moves for the sake of serving tasks", func() {
	keep := func(*workload.StepParams) {}

	It("moves a filling task that turns out to disturb to an instance without serving tasks", func() {
		dis := newDisturbed(keep)
		dis.hear(report("b", 1))
		dis.tail = 100
		dis.list(4)
		dis.expectMoves(1)
		Expect(dis.orders("a", 1, batch.StopRun)[0].ID).To(Equal(dis.noisy))
	})

	// Guards against decisions that depend on the order of a map: a tail is over its target or not, so
	// gains are often equal.
	It("moves the same one of equal tasks each time", func() {
		for range 10 {
			dis := newDisturbed(keep)
			next := step(1)
			next.BestEffort, next.Image, next.MilliCPU, next.Checkpointing = true, "noisy", 800, true
			dis.submit("another", next)
			dis.store()
			dis.others = []batch.RunID{dis.orders("a", 1, batch.StartRun)[2].ID}
			dis.hear(report("b", 1))
			dis.tail = 40
			dis.list(8)
			stops := dis.orders("a", 1, batch.StopRun)
			Expect(stops).NotTo(BeEmpty())
			Expect(stops[0].ID.Task.Job).To(Equal("another"))
		}
	})

	// Guards against work that is stopped without a gain for anybody.
	DescribeTable("leaves a filling task where it is", func(change func(*workload.StepParams), prepare func(dis *disturbed)) {
		dis := newDisturbed(change)
		dis.tail = 100
		prepare(dis)
		dis.list(4)
		dis.expectMoves(0)
	},
		Entry("no other instance has room", keep, func(*disturbed) {}),
		Entry("the tail is within its target", keep, func(dis *disturbed) {
			dis.hear(report("b", 1))
			dis.tail = 6
		}),
		Entry("the task would lose its work", func(noisy *workload.StepParams) { noisy.Checkpointing = false },
			func(dis *disturbed) { dis.hear(report("b", 1)) }),
		Entry("the only other instance runs as many tasks of the step as may share one", func(noisy *workload.StepParams) { noisy.Count, noisy.PerInstance = 2, 1 },
			func(dis *disturbed) {
				dis.hear(report("b", 1))
				dis.pass(0)
				dis.store()
				Expect(dis.orders("b", 1, batch.StartRun)).To(HaveLen(1))
			}),
		Entry("the task is nearly done", keep, func(dis *disturbed) {
			dis.hear(report("b", 1))
			dis.percent = 80
		}),
	)
})
