package outcome_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/outcome"
	"jacinthpost/internal/specs"
)

func TestOutcome(t *testing.T) {
	specs.Run(t, "outcome")
}

// Guards against a second attempt of non-idempotent work that may already have run.
var _ = DescribeTable("Retryable",
	func(out outcome.Outcome, idempotent, want bool) {
		Expect(out.Retryable(idempotent)).To(Equal(want))
	},
	Entry("answered is final", outcome.Answered(), true, false),
	Entry("not run allows a retry of non-idempotent work", outcome.NotRun(outcome.ReasonQueueFull, ""), false, true),
	Entry("unknown forbids a retry of non-idempotent work", outcome.Unknown(outcome.ReasonTimeout, ""), false, false),
	Entry("unknown allows a retry of idempotent work", outcome.Unknown(outcome.ReasonTimeout, ""), true, true),
	Entry("the zero value counts as unknown", outcome.Outcome{}, false, false),
)
