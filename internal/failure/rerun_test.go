package failure_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
	"jacinthpost/io/message"
)

// publishing is a class whose builds have side effects and must not be rerun automatically.
var publishing = harness.Change{Kind: "jobClass", Name: "publishing", State: struct {
	Resources   message.Resources `json:"resources"`
	LeaseMillis int64             `json:"leaseMillis"`
	Rerun       string            `json:"rerun"`
}{Resources: message.Resources{MilliCPU: 8000, MemoryMB: 1024}, LeaseMillis: 15_000, Rerun: "never"}}

var _ = Describe("invariant 7 (a build that must not run again)", func() {
	// Guards against a build that is rerun automatically although its first run may have
	// finished, and against one that an operator cannot retry.
	It("is parked when its endpoint and worker are killed, and runs again by a retry", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "sen-vang")
		num, accepted := scene.FileNext(ctx, fle, publishing)
		scene.AwaitInForce(ctx, fle, num, accepted)
		spc := scene.JobSpec("release", "build", longWork, 1, 8000, 1024)
		spc.Class = publishing.Name
		id := scene.Submit(ctx, fle, spc)
		state := scene.JobState(ctx, fle, 1, id)
		runs := func() []harness.Run { return scene.RunsOf(ctx, fle, id, func(harness.Run) bool { return true }) }
		Eventually(runs).WithContext(ctx).Within(20 * time.Second).Should(HaveLen(1))

		Expect(fle.KillEndpoint(ctx, fle.Instance(runs()[0].Instance))).To(Succeed())
		Eventually(state).WithContext(ctx).Within(scene.TasksLimit).Should(Equal("parked"))
		Consistently(runs).WithContext(ctx).WithTimeout(3 * time.Second).Should(HaveLen(1))
		lines, err := fle.Explain(ctx, 1, "job", id)
		Expect(err).NotTo(HaveOccurred())
		Expect(lines).To(ContainElement(ContainSubstring("may have run on " + runs()[0].Instance)))

		ans, err := fle.Retry(ctx, 1, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.Outcome).To(Equal(scene.Answered), "%s %s", ans.Reason, ans.Detail)
		Eventually(state).WithContext(ctx).Within(scene.TasksLimit).Should(Equal("finished"))
		Expect(runs()).To(HaveLen(2))
		scene.ExpectNoOverlap(ctx, fle)
	}, SpecTimeout(3*time.Minute))
})
