package batch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

var _ = Describe("Placement of serving tasks", func() {
	serving := func(image string) workload.StepParams {
		stp := step(1)
		stp.LongRunning, stp.TargetMillis, stp.Image = true, 18, image
		return stp
	}
	place := func(own *owner, job, image string) {
		own.submit(job, serving(image))
		own.store()
	}
	expectRuns := func(own *owner, instance string, jobs ...string) {
		GinkgoHelper()
		var got []string
		for _, ord := range own.orders(instance, 1, batch.StartRun) {
			got = append(got, ord.ID.Task.Job)
		}
		Expect(got).To(Equal(jobs))
	}
	newCase := func() *owner {
		own := newOwner()
		own.receive(report("a", 1))
		own.receive(report("b", 1))
		return own
	}

	It("packs tasks of one image together", func() {
		own := newCase()
		place(own, "first", "web")
		place(own, "second", "web")
		expectRuns(own, "a", "first", "second")
		expectRuns(own, "b")
	})

	// Guards against instances with several serving images, on which nearly every best-effort image
	// interferes with one of them, while other instances are empty.
	It("uses an empty instance rather than one with another image", func() {
		own := newCase()
		place(own, "first", "web")
		place(own, "second", "web")
		place(own, "other", "api")
		expectRuns(own, "a", "first", "second")
		expectRuns(own, "b", "other")
	})

	It("mixes images when no other instance has room", func() {
		own := newOwner()
		own.receive(report("a", 1))
		place(own, "first", "web")
		place(own, "other", "api")
		expectRuns(own, "a", "first", "other")
	})
})
