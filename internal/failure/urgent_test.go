package failure_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/job"
	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
)

const (
	// urgentTarget is the time within which urgent work starts.
	urgentTarget = 1100 * time.Millisecond
	// runBeforeEviction exceeds the time after its start in which a task is not evicted.
	runBeforeEviction = 6 * time.Second
)

// keyWithOwnerOf returns a key whose job has the same owner as the job with the given ID.
// Partitions move to additional processes only after 30 s, so a job with another owner
// would double the duration of the spec; core/dispatch tests that case.
func keyWithOwnerOf(ctx context.Context, fle *harness.Fleet, id string) string {
	GinkgoHelper()
	owner, err := fle.Owner(ctx, id)
	Expect(err).NotTo(HaveOccurred())
	for num := 0; ; num++ {
		key := fmt.Sprint("urgent-", num)
		ins, err := fle.Owner(ctx, string(job.NewID("demo", key)))
		Expect(err).NotTo(HaveOccurred())
		if ins == owner {
			return key
		}
	}
}

var _ = Describe("urgent work on a full fleet", func() {
	// Guards against urgent work that waits until batch work ends, and against an evicted
	// task that is lost or finishes twice.
	It("starts in time, and the evicted task resumes once", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "sen-vang")
		full := 3 * len(fle.Instances())
		batch := scene.Submit(ctx, fle, scene.JobSpec("batch", "build", `{"workMillis":14000}`, full, 8000, 1024))
		Eventually(func() int { return len(scene.RunsOf(ctx, fle, batch, scene.InProgress)) }).WithContext(ctx).Within(20 * time.Second).Should(Equal(full))
		scene.Hold(ctx, runBeforeEviction)

		spc := scene.JobSpec(keyWithOwnerOf(ctx, fle, batch), "plan", `{"workMillis":500}`, 1, 8000, 1024)
		spc.Urgent = true
		submitted := time.Now()
		urgent := scene.Submit(ctx, fle, spc)
		Eventually(scene.JobState(ctx, fle, 1, urgent)).WithContext(ctx).Within(20 * time.Second).Should(Equal("finished"))
		runs := scene.RunsOf(ctx, fle, urgent, scene.RanToItsEnd)
		Expect(runs).To(HaveLen(1))
		waited := time.UnixMilli(runs[0].Started).Sub(submitted)
		AddReportEntry("urgent work waited", ReportEntryVisibilityAlways, waited.String())
		Expect(waited).To(BeNumerically("<=", urgentTarget))

		Eventually(scene.JobState(ctx, fle, 1, batch)).WithContext(ctx).Within(scene.TasksLimit).Should(Equal("finished"))
		expectEvicted(ctx, fle, batch, full)
		scene.ExpectNoOverlap(ctx, fle)
	}, SpecTimeout(2*time.Minute))
})

// expectEvicted checks that one task of a job was evicted with an explanation, and that
// each task finished once.
func expectEvicted(ctx context.Context, fle *harness.Fleet, id string, tasks int) {
	GinkgoHelper()
	Expect(scene.RunsOf(ctx, fle, id, scene.RanToItsEnd)).To(HaveLen(tasks))
	ans, err := fle.Job(ctx, 1, id)
	Expect(err).NotTo(HaveOccurred())
	evictions := 0
	for _, tsk := range ans.Job.Tasks {
		evictions += tsk.Evictions
	}
	Expect(evictions).To(Equal(1))
	lines, err := fle.Explain(ctx, 1, "job", id)
	Expect(err).NotTo(HaveOccurred())
	Expect(strings.Join(lines, "\n")).To(ContainSubstring("evicted to make room for urgent work of team default"))
}
