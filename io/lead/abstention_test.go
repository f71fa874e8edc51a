package lead

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An abstention", func() {
	begin := time.Unix(1000, 0)

	// Guards against an owner that grants time while a process that has promised not to replaces it, so that a task runs
	// twice (TWICE).
	DescribeTable("is promised only by a process that can take nothing over", func(before func(abs *abstention), promised bool) {
		var abs abstention
		before(&abs)
		Expect(abs.promise(begin)).To(Equal(promised))
	},
		Entry("that has not read the table", func(*abstention) {}, false),
		Entry("that reaches the table", func(abs *abstention) { abs.recordRead(true) }, false),
		Entry("that does not reach the table", func(abs *abstention) { abs.recordRead(false) }, true),
		Entry("that reaches the table again", func(abs *abstention) { abs.recordRead(false); abs.recordRead(true) }, false),
		Entry("whose takeover may still have an effect", func(abs *abstention) {
			abs.beginAttempt(begin.Add(-lateCommitAfter + time.Second))
			abs.recordRead(false)
		}, false),
		Entry("whose takeover can have none any more", func(abs *abstention) {
			abs.beginAttempt(begin.Add(-lateCommitAfter))
			abs.recordRead(false)
		}, true),
		Entry("whose takeover certainly failed", func(abs *abstention) {
			abs.beginAttempt(begin.Add(-time.Second))
			abs.endAttempt()
			abs.recordRead(false)
		}, true),
	)

	It("forbids a takeover while it is valid, and counts as the last sign of the former owner", func() {
		var abs abstention
		abs.recordRead(false)
		Expect(abs.promise(begin)).To(BeTrue())
		Expect(abs.beginAttempt(begin.Add(Abstention - time.Millisecond))).To(BeFalse())
		Expect(abs.beginAttempt(begin.Add(Abstention))).To(BeTrue())
		Expect(abs.quietSince(begin.Add(-time.Second))).To(Equal(begin))
		Expect(abs.quietSince(begin.Add(time.Second))).To(Equal(begin.Add(time.Second)))
	})

	// Guards against a process that starts again and does not know what the one before has promised.
	It("ends before a process that has just started may take over", func() {
		Expect(Abstention).To(BeNumerically("<", TakeoverAfter))
	})
})
