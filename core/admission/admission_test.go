package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/admission"
	"jacinthpost/core/resource"
	"jacinthpost/internal/specs"
)

func TestAdmission(t *testing.T) { specs.Run(t, "admission") }

// A usual job takes 5 s and is on time within 11 s, so it is worth nothing after 33 s.
func forecast(wait, blocked time.Duration) admission.Forecast {
	return admission.Forecast{Wait: wait, JobDuration: 5 * time.Second, Objective: 11 * time.Second, Blocked: blocked}
}

var _ = Describe("Useful", func() {
	// Guards against refusals of jobs that can be useful, and against acceptances that can't be kept.
	DescribeTable("refuses", func(fct admission.Forecast, refuse bool, after time.Duration) {
		got, refused := admission.RefuseLate{}.Refuse(fct)
		Expect(refused).To(Equal(refuse))
		Expect(got).To(Equal(after))
	},
		Entry("nothing without a backlog", forecast(0, 0), false, time.Duration(0)),
		Entry("nothing that is late but useful", forecast(28*time.Second, time.Minute), false, time.Duration(0)),
		Entry("what is worth nothing when complete", forecast(29*time.Second, time.Minute), true, 10*time.Second),
		Entry("nothing while tasks find places", forecast(time.Hour, 0), false, time.Duration(0)),
		Entry("nothing in the gap between two tasks", forecast(time.Hour, 900*time.Millisecond), false, time.Duration(0)),
		Entry("with a short wait when the objective is long",
			admission.Forecast{Wait: 4 * time.Second, JobDuration: 0, Objective: time.Second, Blocked: 2 * time.Second}, true, 3*time.Second),
	)

	It("keeps only the queues that refuse", func() {
		fcts := map[string]admission.Forecast{"full": forecast(time.Minute, time.Minute), "calm": forecast(0, 0)}
		Expect(admission.Refusals(admission.RefuseLate{}, fcts)).To(HaveLen(1))
		Expect(admission.Refusals(admission.AcceptAll{}, fcts)).To(BeEmpty())
	})
})

var _ = Describe("Spread", func() {
	// Guards against a second burst of all callers that were refused during the first one.
	It("lets callers return over half of the wait", func() {
		const callers = 1000
		var early, late int
		for num := range callers {
			after := admission.Jitter(10*time.Second, fmt.Sprintf("%016x", num))
			Expect(after).To(BeNumerically(">=", 10*time.Second))
			Expect(after).To(BeNumerically("<=", 15*time.Second))
			if after < 11*time.Second {
				early++
			}
			if after > 14*time.Second {
				late++
			}
		}
		Expect(early).To(BeNumerically("~", callers/5, callers/20))
		Expect(late).To(BeNumerically("~", callers/5, callers/20))
	})
})

var _ = Describe("TooLarge", func() {
	sizes := []resource.Vector{resource.New(4000, 1000, 0), resource.New(1000, 8000, 0)}

	// Guards against a job that waits for ever, and against a refusal of one that fits.
	DescribeTable("finds", func(ned resource.Vector, sizes []resource.Vector, found bool) {
		_, got := admission.TooLarge([]resource.Vector{resource.New(1, 1, 0), ned}, sizes)
		Expect(got).To(Equal(found))
	},
		Entry("nothing that one size has room for", resource.New(1000, 8000, 0), sizes, false),
		Entry("what only two sizes together have room for", resource.New(4000, 8000, 0), sizes, true),
		Entry("a device that nobody has", resource.New(1, 1, 1), sizes, true),
		Entry("nothing while no size is known", resource.New(1<<40, 1, 1), nil, false),
	)

	It("drops sizes that fit in others", func() {
		all := append([]resource.Vector{resource.New(500, 500, 0), resource.New(4000, 1000, 0)}, sizes...)
		Expect(admission.Maximal(all)).To(ConsistOf(sizes))
	})
})
