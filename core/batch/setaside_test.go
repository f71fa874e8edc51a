package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
)

var _ = Describe("A job that the store does not accept", func() {
	// refused returns an owner with two jobs, of which the store has not accepted the first.
	refused := func() *owner {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("bad", step(1))
		own.submit("good", step(1))
		own.Plan(own.now)
		parts := own.NextBatch(10).Singles()
		Expect(parts).To(HaveLen(2))
		own.SetAside(parts[0], own.now)
		own.Committed(parts[1], own.now)
		return own
	}
	started := func(own *owner) []string {
		var jobs []string
		for _, ord := range own.orders("a", 1, batch.StartRun) {
			jobs = append(jobs, ord.ID.Task.Job)
		}
		return jobs
	}

	// Guards against a start of a run that no successor would know.
	It("starts nothing, and keeps no other job from being stored", func() {
		own := refused()
		Expect(started(own)).To(ConsistOf("good"))
		Expect(own.NextBatch(10).Empty()).To(BeTrue())
	})

	// Guards against a job that is never stored again, or only together with others.
	It("is tried again later, alone", func() {
		own := refused()
		own.advance(6 * time.Second)
		own.receive(report("a", 1))
		own.submit("next", step(1))
		own.Plan(own.now)
		wrb := own.NextBatch(10)
		Expect(wrb.Alone()).To(BeTrue())
		Expect(wrb.Records()).To(HaveLen(1))
		Expect(wrb.Records()[0].ID).To(Equal("bad"))
		own.Committed(wrb, own.now)
		Expect(own.NextBatch(10).Alone()).To(BeFalse())
	})
})
