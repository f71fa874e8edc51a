package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

var _ = Describe("Patience of filling tasks", func() {
	// Load pattern: a calm day. The only worker has a service that a noisy image is known to disturb,
	// and a build with noisy tasks is handed in long before it is due.
	caseWithNext := func(estimate time.Duration) *interferenceCase {
		ics := newInterferenceCase(func(*workload.StepParams) {})
		ics.tail = 100
		ics.reportRuns(6) // the effect of the image becomes known
		ics.finishNoisy()
		next := step(1)
		next.BestEffort, next.Image, next.MilliCPU, next.EstimateMillis = true, "noisy", 800, float64(estimate.Milliseconds())
		ics.submit("next", next)
		return ics
	}
	starts := func(ics *interferenceCase) int {
		num := 0
		for _, ord := range ics.orders("a", 1, batch.StartRun) {
			if ord.ID.Task.Job == "next" {
				num++
			}
		}
		return num
	}
	wait := func(ics *interferenceCase, dur time.Duration) {
		for range dur / (500 * time.Millisecond) {
			ics.reportRuns(1)
			ics.store()
		}
	}

	It("waits for a place where it disturbs less while its job has time", func() {
		ics := caseWithNext(10 * time.Second)
		ics.store()
		Expect(starts(ics)).To(BeZero())
	})

	// Guards against a job that stands still although a worker has room for it (LOST after 3 s).
	It("starts anyway before its job has stood still for three seconds", func() {
		ics := caseWithNext(20 * time.Second)
		wait(ics, 2500*time.Millisecond)
		Expect(starts(ics)).To(Equal(1))
	})

	It("starts at once when its job would be late otherwise", func() {
		ics := caseWithNext(time.Second)
		ics.store()
		Expect(starts(ics)).To(Equal(1))
	})

	It("starts at once where nothing serves", func() {
		ics := caseWithNext(10 * time.Second)
		ics.receive(report("b", 1))
		ics.store()
		Expect(ics.orders("b", 1, batch.StartRun)).To(HaveLen(1))
	})
})
