package failure_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
)

const (
	// overdeclared is the payload of tasks that use a tenth of the 8000 mCPU and 20,000 MB
	// that their jobs declare.
	overdeclared = `{"workMillis":%d,"milliCPU":800,"memoryMB":2000}`
	// declaredFit is the number of such tasks that fit by their declared size on
	// three instances, of which tasks may use 24 cores each.
	declaredFit = 9
	partitions  = 16
)

// keysOfOnePartition returns keys of jobs in the same partition. Owners do not share what
// they learn, so the jobs need the same owner.
func keysOfOnePartition(count int) []string {
	var keys []string
	for num := 0; len(keys) < count; num++ {
		key := fmt.Sprint("wasteful-", num)
		if job.PartitionOf(job.NewID(fleet.Workspace("demo"), key), partitions) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// runningTasks returns a function that counts the running tasks of a job.
func runningTasks(ctx context.Context, fle *harness.Fleet, id string) func() int {
	return func() int {
		ans, err := fle.Job(ctx, 0, id)
		if err != nil {
			return 0
		}
		count := 0
		for _, tsk := range ans.Job.Tasks {
			if tsk.State == "running" {
				count++
			}
		}
		return count
	}
}

var _ = Describe("learned sizes", func() {
	// Guards against low utilization by a class that declares ten times what it uses:
	// after the runs of one job, the next one is placed by measured usage.
	It("places a class by what its tasks use", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "sen-vang", "--service-time", "20ms")
		keys := keysOfOnePartition(2)
		first := scene.Submit(ctx, fle, scene.JobSpec(keys[0], "build", fmt.Sprintf(overdeclared, 8000), 9, 8000, 20_000))
		Eventually(scene.JobState(ctx, fle, 0, first)).WithContext(ctx).Within(50 * time.Second).Should(Equal("finished"))
		second := scene.Submit(ctx, fle, scene.JobSpec(keys[1], "build", fmt.Sprintf(overdeclared, 12_000), 45, 8000, 20_000))
		Eventually(runningTasks(ctx, fle, second)).WithContext(ctx).Within(11 * time.Second).Should(BeNumerically(">=", 4*declaredFit))
		Eventually(scene.JobState(ctx, fle, 0, second)).WithContext(ctx).Within(40 * time.Second).Should(Equal("finished"))
		expectWithinCapacity(ctx, fle)
		scene.ExpectNoOverlap(ctx, fle)
	}, SpecTimeout(2*time.Minute))
})
