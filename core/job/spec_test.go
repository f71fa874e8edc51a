package job_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

// Guards against a job with another team or task size than the settings allow, and against a repeated
// submission that conflicts with the existing job because the settings have changed.
var _ = Describe("the settings of the workspace and the class", func() {
	large := resource.New(4000, 2000, 0)
	sized := func(vec resource.Vector, tea fleet.Team) job.Spec {
		return job.NewSpec(job.KindBuild, 1, vec).WithKey("uni", "term").WithTeam(tea).WithClass("termBuild", 0)
	}
	submit := func(ben *bench, spc job.Spec) job.Reply {
		return effectsOf[job.Reply](ben.part.Submit(ben.env(), 0, spc))[0]
	}
	expectAccepted := func(ben *bench, spc job.Spec, tea fleet.Team, vec resource.Vector) {
		GinkgoHelper()
		rep := submit(ben, spc)
		Expect(rep.Outcome().Reason()).To(BeEmpty(), rep.Outcome().Detail())
		sta, _ := ben.part.Status(rep.Job())
		Expect(sta.Spec().Team()).To(Equal(tea))
		Expect(sta.Spec().Resources()).To(Equal(vec))
	}

	It("apply where the submission names no team or size", func() {
		expectAccepted(newBench(), sized(resource.Vector{}, "").WithClassSize(large).WithWorkspaceTeam("catalogue"), "catalogue", large)
	})

	It("are overridden by the size in the submission", func() {
		expectAccepted(newBench(), sized(size, "catalogue").WithClassSize(large).WithWorkspaceTeam("catalogue"), "catalogue", size)
	})

	It("refuse a submission for another team", func() {
		out := submit(newBench(), sized(size, "boats").WithWorkspaceTeam("catalogue")).Outcome()
		Expect(out.Reason()).To(Equal(job.ReasonInvalid))
		Expect(out.Detail()).To(Equal("workspace uni belongs to team catalogue, not to boats"))
	})

	It("refuse a job without a size if the class has none", func() {
		out := submit(newBench(), sized(resource.Vector{}, "")).Outcome()
		Expect(out.Reason()).To(Equal(job.ReasonInvalid))
		Expect(out.Detail()).To(ContainSubstring(`no size is set for class "termBuild"`))
	})

	It("may change between two submissions of one job", func() {
		ben := newBench()
		expectAccepted(ben, sized(resource.Vector{}, "").WithClassSize(size).WithWorkspaceTeam("catalogue"), "catalogue", size)
		expectAccepted(ben, sized(resource.Vector{}, "").WithClassSize(large).WithWorkspaceTeam("boats"), "catalogue", size)
	})
})
