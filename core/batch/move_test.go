package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

// interferenceCase is a load pattern: a serving task on one instance, and a best-effort image whose
// interference becomes known only after a task of it was placed there.
type interferenceCase struct {
	*owner
	serving, noisy batch.RunID
	otherNoisy     []batch.RunID // more best-effort tasks of the same image
	tail           float64
	percent        int // progress of the best-effort tasks
}

func newInterferenceCase(change func(noisy *workload.StepParams)) *interferenceCase {
	ics := &interferenceCase{owner: newOwner(), tail: 5, percent: 20}
	serving, noisy := step(1), step(1)
	serving.LongRunning, serving.TargetMillis, serving.Image = true, 18, "web"
	noisy.BestEffort, noisy.Image, noisy.MilliCPU, noisy.Checkpointing = true, "noisy", 800, true
	change(&noisy)
	ics.receive(report("a", 1))
	ics.submit("watch", serving)
	ics.store()
	ics.serving = ics.orders("a", 1, batch.StartRun)[0].ID
	ics.reportRuns(4) // alone, with a low tail latency
	ics.submit("noisy", noisy)
	ics.store()
	ics.noisy = ics.orders("a", 1, batch.StartRun)[1].ID
	return ics
}

// currentReport returns a report of the instance with all its runs.
func (ics *interferenceCase) currentReport() batch.Report {
	rep := report("a", 1)
	rep.Runs = append(rep.Runs, batch.RunState{ID: ics.serving, Working: true, Percent: 100, Share: 100, Figure: ics.tail})
	if ics.noisy.Task.Job != "" {
		rep.Runs = append(rep.Runs, batch.RunState{ID: ics.noisy, Working: true, Percent: ics.percent, Share: 100, Figure: 800})
	}
	for _, rid := range ics.otherNoisy {
		rep.Runs = append(rep.Runs, batch.RunState{ID: rid, Working: true, Percent: ics.percent, Share: 100, Figure: 800})
	}
	return rep
}

// reportRuns advances the clock by half a second the given number of times, after a report each.
func (ics *interferenceCase) reportRuns(times int) {
	for range times {
		ics.receive(ics.currentReport())
		ics.advance(500 * time.Millisecond)
	}
}

// finishNoisy ends the noisy task.
func (ics *interferenceCase) finishNoisy() {
	rid := ics.noisy
	ics.noisy = batch.RunID{}
	ics.tail = 5
	ics.receive(ics.currentReport(), endEvent(1, rid, batch.EndDone))
	ics.store()
}

func (ics *interferenceCase) expectMoves(num int) {
	GinkgoHelper()
	Expect(ics.orders("a", 1, batch.StopRun)).To(HaveLen(num))
}

var _ = Describe("Moves that reduce interference", func() {
	noChange := func(*workload.StepParams) {}

	It("moves a best-effort task away when it turns out to interfere with a serving task", func() {
		ics := newInterferenceCase(noChange)
		ics.receive(report("b", 1))
		ics.tail = 100
		ics.reportRuns(4)
		ics.expectMoves(1)
		Expect(ics.orders("a", 1, batch.StopRun)[0].ID).To(Equal(ics.noisy))
	})

	// Guards against decisions that depend on the iteration order of a map. Equal gains are common,
	// because a tail latency is either over its target or not.
	It("always moves the same one of several equal tasks", func() {
		for range 10 {
			ics := newInterferenceCase(noChange)
			next := step(1)
			next.BestEffort, next.Image, next.MilliCPU, next.Checkpointing = true, "noisy", 800, true
			ics.submit("another", next)
			ics.store()
			ics.otherNoisy = []batch.RunID{ics.orders("a", 1, batch.StartRun)[2].ID}
			ics.receive(report("b", 1))
			ics.tail = 40
			ics.reportRuns(8)
			stops := ics.orders("a", 1, batch.StopRun)
			Expect(stops).NotTo(BeEmpty())
			Expect(stops[0].ID.Task.Job).To(Equal("another"))
		}
	})

	// Guards against stopped tasks without a gain for a serving task.
	DescribeTable("leaves a filling task where it is", func(change func(*workload.StepParams), prepare func(ics *interferenceCase)) {
		ics := newInterferenceCase(change)
		ics.tail = 100
		prepare(ics)
		ics.reportRuns(4)
		ics.expectMoves(0)
	},
		Entry("no other instance has room", noChange, func(*interferenceCase) {}),
		Entry("the tail latency is within its target", noChange, func(ics *interferenceCase) {
			ics.receive(report("b", 1))
			ics.tail = 6
		}),
		Entry("the task would lose its work", func(noisy *workload.StepParams) { noisy.Checkpointing = false },
			func(ics *interferenceCase) { ics.receive(report("b", 1)) }),
		Entry("the only other instance runs as many tasks of the step as may share one", func(noisy *workload.StepParams) { noisy.Count, noisy.PerInstance = 2, 1 },
			func(ics *interferenceCase) {
				ics.receive(report("b", 1))
				ics.advance(0)
				ics.store()
				Expect(ics.orders("b", 1, batch.StartRun)).To(HaveLen(1))
			}),
		Entry("the task is nearly done", noChange, func(ics *interferenceCase) {
			ics.receive(report("b", 1))
			ics.percent = 80
		}),
	)
})
