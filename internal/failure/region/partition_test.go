package region_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
)

const (
	// partitionDuration allows for the detection of the partition, a task lease (15 s) and a
	// new start.
	partitionDuration = 32 * time.Second
	// recovery is the time after the start and the end of the partition within which all
	// requests are answered again: the silence limit, the suspicion period and a deadline.
	recovery = 6 * time.Second
	// countPeriod is how long bytes are counted in each phase of the spec.
	countPeriod = 8 * time.Second

	taskLease   = 15 * time.Second
	renewPeriod = 5 * time.Second

	// workMillis is the duration of the work. In the region with the store, the work ends
	// during the partition. It exceeds the time until the partition plus a lease, because a
	// task that ends in the disconnected region is run again: its end cannot be reported.
	workMillis = 30_000
)

// parts returns the names of the processes in the store's region, including the store, and
// of those in the other regions.
func parts(fle *harness.Fleet) (near, far []string) {
	near = []string{harness.StoreName()}
	put := func(name, region string) {
		if region == fle.Deployment().StoreRegion {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	for _, ent := range fle.Entries() {
		put(ent.Process().Name(), ent.Region())
	}
	for _, ins := range fle.Instances() {
		put(ins.ID(), ins.Region())
	}
	return near, far
}

// countBytes reports the bytes per second between regions by kind.
func countBytes(ctx context.Context, fle *harness.Fleet, part string) {
	GinkgoHelper()
	before, err := fle.Crossing(ctx)
	Expect(err).NotTo(HaveOccurred())
	begun := time.Now()
	scene.Hold(ctx, countPeriod)
	after, err := fle.Crossing(ctx)
	Expect(err).NotTo(HaveOccurred())
	var lines []string
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		lines = append(lines, fmt.Sprintf("%s %.0f", kind, (after[kind]-before[kind])/time.Since(begun).Seconds()))
	}
	AddReportEntry("bytes per second between regions "+part, strings.Join(lines, ", "))
}

// expectLeaseEndsFirst checks that the leases of the tasks expire before their work ends.
func expectLeaseEndsFirst(runs []harness.Run, cut time.Time) {
	GinkgoHelper()
	for _, run := range runs {
		Expect(run.Started+workMillis).To(BeNumerically(">", cut.Add(taskLease).UnixMilli()), "end of the work of task %s/%d", run.Job, run.Index)
	}
}

// expectReassigned checks that every task in lost started on another instance during the
// partition, and not before its lease expired. The last renewal of the lease was at most one
// period before the partition.
func expectReassigned(ctx context.Context, wrk scene.Work, lost []harness.Run, cut, healed time.Time) {
	GinkgoHelper()
	for _, old := range lost {
		next := scene.RunsOf(ctx, wrk.Fleet(), old.Job, func(run harness.Run) bool {
			return run.Index == old.Index && run.Started > old.Started
		})
		Expect(next).NotTo(BeEmpty(), "task %s/%d was reassigned", old.Job, old.Index)
		Expect(next[0].Instance).NotTo(Equal(old.Instance))
		Expect(next[0].Started).To(BeNumerically(">=", cut.Add(taskLease-renewPeriod).UnixMilli()), "start of task %s/%d after its lease", old.Job, old.Index)
		Expect(next[0].Started).To(BeNumerically("<", healed.UnixMilli()), "start of task %s/%d during the partition", old.Job, old.Index)
	}
}

// expectHeadAt checks that the named processes have a ticket in force within scene.InForce.
func expectHeadAt(ctx context.Context, fle *harness.Fleet, ent int, names []string, num uint64, since time.Time) {
	GinkgoHelper()
	Eventually(func() ([]string, error) { return fle.InForce(ctx, ent, num) }).WithContext(ctx).
		Within(time.Until(since.Add(scene.InForce))).WithPolling(20*time.Millisecond).Should(ContainElements(names), "ticket %d at entry %d", num, ent)
}

// processes returns the names without that of the store.
func processes(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == harness.StoreName() })
}

var _ = Describe("invariants 2, 3, 4, 6, 7 and 10 (partition between regions)", func() {
	// Guards against refused requests in a region that can still serve them, tasks that are
	// restarted before their leases expire or never, late tickets, and a head that decreases,
	// when the network between the regions fails and recovers.
	It("both regions keep working during a partition and rejoin afterwards", func(ctx SpecContext) {
		fle := scene.StartRelayed(ctx, "sen-vang", 0, "--service-time", "20ms")
		near, far := parts(fle)
		wrk := scene.StartWork(ctx, fle, fmt.Sprintf(`{"workMillis":%d}`, workMillis))
		bks, cks := scene.NewBookings(fle), scene.NewChecks(fle)
		var cut, healed time.Time
		var num uint64
		var lost []harness.Run
		var count int
		scene.UnderLoad(ctx, 1, scene.PollHeads(fle), func() {
			count = scene.UnderLoad(ctx, 4, scene.Load(bks, cks), func() {
				countBytes(ctx, fle, "before the partition")
				cut = time.Now()
				scene.SetNetwork(ctx, fle, harness.Cut, harness.Link{From: near, To: far}, harness.Link{From: far, To: near})
				lost = runningIn(ctx, wrk, far)
				Expect(lost).NotTo(BeEmpty(), "tasks ran in the disconnected region")
				expectLeaseEndsFirst(lost, cut)
				var accepted time.Time
				num, accepted = scene.FileNext(ctx, fle, harness.Change{Kind: "workspace", Name: "parted", State: map[string]any{"active": true}})
				expectHeadAt(ctx, fle, 0, processes(near), num, accepted)
				scene.Hold(ctx, time.Until(cut.Add(partitionDuration-countPeriod)))
				countBytes(ctx, fle, "during the partition")
				healed = time.Now()
				scene.HealNetwork(ctx, fle)
				expectHeadAt(ctx, fle, 1, processes(far), num, healed)
				scene.Hold(ctx, time.Until(healed.Add(recovery)))
				countBytes(ctx, fle, "after the partition")
			})
		})
		cks.ExpectKept(ctx, scene.From(cut.Add(recovery)).Until(healed), scene.From(healed.Add(recovery)))
		expectReassigned(ctx, wrk, lost, cut, healed)
		scene.AwaitComplete(ctx, fle)
		bks.SettleLoad(ctx, count, false)
		wrk.ExpectDone(ctx)
	}, SpecTimeout(3*time.Minute))
})

// publishing is a class whose tasks must not be rerun if their outcome is unknown.
var publishing = harness.Change{Kind: "jobClass", Name: "publishing", State: map[string]any{
	"resources": map[string]any{"milliCPU": 8000, "memoryMB": 1024}, "leaseMillis": taskLease.Milliseconds(), "rerun": "never",
}}

const (
	// publishMillis lets the work end during the partition and before the leases expire.
	publishMillis = 8_000
	// publishTasks is one more than fit on the two instances in the region with the store.
	publishTasks = 9
)

var _ = Describe("invariants 2, 3 and 7 (work that ends during a partition between regions)", func() {
	// Guards against work that finishes in the disconnected region and is run again in the
	// other one, and against an end that is never reported.
	It("reruns no work of a class that forbids it, and receives its end after the partition", func(ctx SpecContext) {
		fle := scene.StartRelayed(ctx, "sen-vang", 0)
		near, far := parts(fle)
		num, accepted := scene.FileNext(ctx, fle, publishing)
		scene.AwaitInForce(ctx, fle, num, accepted)
		spc := scene.JobSpec("edition", "build", fmt.Sprintf(`{"workMillis":%d}`, publishMillis), publishTasks, 8000, 1024)
		spc.Class = publishing.Name
		id := scene.Submit(ctx, fle, spc)
		Eventually(func() []harness.Run { return scene.RunsOf(ctx, fle, id, scene.InProgress) }).WithContext(ctx).
			Within(20 * time.Second).Should(HaveLen(publishTasks))
		disconnected := scene.RunsOf(ctx, fle, id, func(run harness.Run) bool { return slices.Contains(far, run.Instance) })
		Expect(disconnected).NotTo(BeEmpty(), "tasks run in the region that is disconnected")
		scene.SetNetwork(ctx, fle, harness.Cut, harness.Link{From: near, To: far}, harness.Link{From: far, To: near})
		cut := time.Now()
		Eventually(scene.JobState(ctx, fle, 0, id)).WithContext(ctx).Within(scene.TasksLimit).Should(Equal("parked"))
		Expect(scene.RunsOf(ctx, fle, id, scene.RanToItsEnd)).To(HaveLen(publishTasks), "ends %v after the start of the partition", time.Since(cut))
		scene.HealNetwork(ctx, fle)
		Eventually(scene.JobState(ctx, fle, 0, id)).WithContext(ctx).Within(scene.TasksLimit).Should(Equal("finished"))
		Expect(scene.RunsOf(ctx, fle, id, func(harness.Run) bool { return true })).To(HaveLen(publishTasks), "runs of the build")
	}, SpecTimeout(3*time.Minute))
})

// runningIn returns the runs in progress on the named instances.
func runningIn(ctx context.Context, wrk scene.Work, names []string) []harness.Run {
	GinkgoHelper()
	there := func(run harness.Run) bool { return scene.InProgress(run) && slices.Contains(names, run.Instance) }
	return append(scene.RunsOf(ctx, wrk.Fleet(), wrk.Build(), there), scene.RunsOf(ctx, wrk.Fleet(), wrk.Watch(), there)...)
}
