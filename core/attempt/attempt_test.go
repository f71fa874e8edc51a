package attempt_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/attempt"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/internal/specs"
)

func TestAttempt(t *testing.T) {
	specs.Run(t, "attempt")
}

var (
	first   = attempt.Start("d1", "e1.1.1", fleet.NewPeer("a1", 7, "127.0.0.1:1"))
	noReply = attempt.Answer{}
)

// Guards against a second dispatch while the first attempt may still run.
var _ = DescribeTable("Decide",
	func(rec attempt.Record, digest string, want attempt.Step) {
		Expect(attempt.Decide(rec, digest)).To(Equal(want))
	},
	Entry("started is resolved first", first, "d1", attempt.StepResolve),
	Entry("answered is replied", first.Answered(attempt.NewAnswer(200, nil)), "d1", attempt.StepReply),
	Entry("not run may be retried", first.NotRun(), "d1", attempt.StepRetry),
	Entry("another request under the same key conflicts", first.NotRun(), "d2", attempt.StepConflict),
)

var _ = DescribeTable("After",
	func(out outcome.Outcome, state attempt.State, write bool) {
		rec, changed := attempt.ApplyOutcome(first, out, noReply)
		Expect(changed).To(Equal(write))
		Expect(rec.State()).To(Equal(state))
	},
	Entry("answered", outcome.Answered(), attempt.StateAnswered, true),
	Entry("not run", outcome.NotRun(outcome.ReasonFenced, ""), attempt.StateNotRun, true),
	Entry("unknown keeps the attempt", outcome.Unknown(outcome.ReasonTimeout, ""), attempt.StateStarted, false),
)

var _ = Describe("Next", func() {
	It("numbers the next attempt after a proved not run", func() {
		rec := first.NotRun().Next("e2.1.1", fleet.NewPeer("a2", 1, ""))
		Expect(rec.Number()).To(Equal(2))
		Expect(rec.State()).To(Equal(attempt.StateStarted))
		Expect(rec.Digest()).To(Equal("d1"))
	})
	It("stops the process rather than running a request twice", func() {
		Expect(func() { first.Next("e2.1.1", fleet.Peer{}) }).To(Panic())
	})
})
