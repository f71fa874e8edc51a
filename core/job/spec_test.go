package job_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

// Guards against a share or a size that the settings in force don't give, and
// against a repeated submission that becomes another job when they change.
var _ = Describe("the settings of workspace and class", func() {
	large := resource.New(4000, 2000, 0)
	sized := func(vec resource.Vector, tea fleet.Team) job.Spec {
		return job.NewSpec(job.KindBuild, 1, vec).WithKey("uni", "term").WithTeam(tea).WithClass("termBuild", 0)
	}
	submit := func(ben *bench, spc job.Spec) job.Reply {
		return only[job.Reply](ben.part.Submit(ben.env(), 0, spc))[0]
	}
	expectAccepted := func(ben *bench, spc job.Spec, tea fleet.Team, vec resource.Vector) {
		GinkgoHelper()
		rep := submit(ben, spc)
		Expect(rep.Outcome().Reason()).To(BeEmpty(), rep.Outcome().Detail())
		sta, _ := ben.part.Status(rep.Job())
		Expect(sta.Spec().Team()).To(Equal(tea))
		Expect(sta.Spec().Resources()).To(Equal(vec))
	}

	It("count where the submission names nothing", func() {
		expectAccepted(newBench(), sized(resource.Vector{}, "").WithClassSize(large).WithWorkspaceTeam("catalogue"), "catalogue", large)
	})

	It("give way to a size that is named", func() {
		expectAccepted(newBench(), sized(size, "catalogue").WithClassSize(large).WithWorkspaceTeam("catalogue"), "catalogue", size)
	})

	It("refuse the share of another team", func() {
		out := submit(newBench(), sized(size, "boats").WithWorkspaceTeam("catalogue")).Outcome()
		Expect(out.Reason()).To(Equal(job.ReasonInvalid))
		Expect(out.Detail()).To(Equal("workspace uni belongs to team catalogue, not to boats"))
	})

	It("refuse a job for which no size is known", func() {
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
