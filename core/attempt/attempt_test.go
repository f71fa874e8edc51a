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
	first    = attempt.Start("d1", "e1.1.1", fleet.NewPeer("a1", 7, "127.0.0.1:1"))
	noAnswer = attempt.Answer{}
)

// Guards against a second attempt while the first one may still run.
var _ = DescribeTable("Decide",
	func(rec attempt.Record, digest string, want attempt.Step) {
		Expect(attempt.Decide(rec, digest)).To(Equal(want))
	},
	Entry("a started attempt is resolved first", first, "d1", attempt.StepResolve),
	Entry("the answer to an answered attempt is the reply", first.Answered(attempt.NewAnswer(200, nil)), "d1", attempt.StepReply),
	Entry("an attempt that was not run is retried", first.NotRun(), "d1", attempt.StepRetry),
	Entry("another request with the same key conflicts", first.NotRun(), "d2", attempt.StepConflict),
)

var _ = DescribeTable("ApplyOutcome",
	func(out outcome.Outcome, state attempt.State, write bool) {
		rec, changed := attempt.ApplyOutcome(first, out, noAnswer)
		Expect(changed).To(Equal(write))
		Expect(rec.State()).To(Equal(state))
	},
	Entry("answered", outcome.Answered(), attempt.StateAnswered, true),
	Entry("not run", outcome.NotRun(outcome.ReasonFenced, ""), attempt.StateNotRun, true),
	Entry("an unknown outcome leaves the attempt started", outcome.Unknown(outcome.ReasonTimeout, ""), attempt.StateStarted, false),
)

var _ = Describe("Next", func() {
	It("increments the number after an attempt that was not run", func() {
		rec := first.NotRun().Next("e2.1.1", fleet.NewPeer("a2", 1, ""))
		Expect(rec.Number()).To(Equal(2))
		Expect(rec.State()).To(Equal(attempt.StateStarted))
		Expect(rec.Digest()).To(Equal("d1"))
	})
	It("panics after a started attempt, because the request could run twice", func() {
		Expect(func() { first.Next("e2.1.1", fleet.Peer{}) }).To(Panic())
	})
})
