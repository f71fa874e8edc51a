package batch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
)

// Guards against a count of waiting jobs that omits jobs whose start orders have reached no agent (MIXED).
var _ = Describe("A job counts as waiting", func() {
	expectWaiting := func(suc *succession, num int) {
		GinkgoHelper()
		Expect(suc.Pending()[suc.job.Queue()]).To(Equal(num))
	}

	It("until an agent lists a task", func() {
		suc := newSuccession(step(1))
		expectWaiting(suc, 1)
		suc.list("a", 1, suc.started("a")...)
		expectWaiting(suc, 0)
	})

	It("when its only start was refused", func() {
		suc := newSuccession(step(1))
		suc.receive(report("a", 1), endEvent(1, suc.started("a")[0], batch.EndRefused))
		expectWaiting(suc, 1)
	})

	It("not after a task has ended before it was listed", func() {
		suc := newSuccession(step(2))
		suc.receive(report("a", 1), endEvent(1, suc.started("a")[0], batch.EndDone))
		expectWaiting(suc, 0)
	})

	It("after a change of the owner, until an agent lists a task", func() {
		suc := newSuccession(step(1))
		rids := suc.started("a")
		suc.takeOver()
		expectWaiting(suc, 1)
		suc.list("a", 2, rids...)
		expectWaiting(suc, 0)
	})
})
