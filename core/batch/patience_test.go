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
	disturbing := func(estimate time.Duration) *disturbed {
		dis := newDisturbed(func(*workload.StepParams) {})
		dis.tail = 100
		dis.list(6) // the effect of the image becomes known
		dis.finish()
		next := step(1)
		next.BestEffort, next.Image, next.MilliCPU, next.EstimateMillis = true, "noisy", 800, float64(estimate.Milliseconds())
		dis.submit("next", next)
		return dis
	}
	starts := func(dis *disturbed) int {
		num := 0
		for _, ord := range dis.orders("a", 1, batch.StartRun) {
			if ord.ID.Task.Job == "next" {
				num++
			}
		}
		return num
	}
	wait := func(dis *disturbed, dur time.Duration) {
		for range dur / (500 * time.Millisecond) {
			dis.list(1)
			dis.store()
		}
	}

	It("waits for a place where it disturbs less while its job has time", func() {
		dis := disturbing(10 * time.Second)
		dis.store()
		Expect(starts(dis)).To(BeZero())
	})

	// Guards against a job that stands still although a worker has room for it (LOST after 3 s).
	It("starts anyway before its job has stood still for three seconds", func() {
		dis := disturbing(20 * time.Second)
		wait(dis, 2500*time.Millisecond)
		Expect(starts(dis)).To(Equal(1))
	})

	It("starts at once when its job would be late otherwise", func() {
		dis := disturbing(time.Second)
		dis.store()
		Expect(starts(dis)).To(Equal(1))
	})

	It("starts at once where nothing serves", func() {
		dis := disturbing(10 * time.Second)
		dis.hear(report("b", 1))
		dis.store()
		Expect(dis.orders("b", 1, batch.StartRun)).To(HaveLen(1))
	})
})
