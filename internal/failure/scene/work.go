package scene

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
	"jacinthpost/io/message"
	"jacinthpost/io/table/tableapi"
)

const (
	buildTasks = 6
	// TasksLimit allows for a takeover and two task leases on a busy machine.
	TasksLimit = 75 * time.Second
)

// JobSpec returns the spec of a job in the demo workspace.
func JobSpec(key, kind, payload string, tasks int, milliCPU, memoryMB int64) message.JobSpec {
	return message.JobSpec{
		Key: key, Workspace: "demo", Team: "default", Class: kind + "Class", Kind: kind, Tasks: tasks,
		Resources: message.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}, Payload: []byte(payload),
	}
}

// Submit retries the submission of a job until it is accepted. The key of the job makes
// this safe.
func Submit(ctx context.Context, fle *harness.Fleet, spc message.JobSpec) string {
	GinkgoHelper()
	var id string
	Eventually(func(gom Gomega) {
		ans, err := fle.Submit(ctx, 0, spc)
		gom.Expect(err).NotTo(HaveOccurred())
		gom.Expect(ans.Outcome).To(Equal(Answered), "%s %s", ans.Reason, ans.Detail)
		id = ans.Job.JobID
	}).WithContext(ctx).Within(20 * time.Second).Should(Succeed())
	return id
}

// JobState returns a function that returns the state of a job, or the reason why it is
// unavailable.
func JobState(ctx context.Context, fle *harness.Fleet, ent int, id string) func() string {
	return func() string {
		ans, err := fle.Job(ctx, ent, id)
		switch {
		case err != nil:
			return err.Error()
		case ans.Outcome != Answered:
			return ans.Outcome + ": " + ans.Reason
		}
		return ans.Job.State
	}
}

// CancelJob cancels a job and waits until it is cancelled.
func CancelJob(ctx context.Context, fle *harness.Fleet, id string) {
	GinkgoHelper()
	Eventually(func(gom Gomega) {
		ans, err := fle.Cancel(ctx, 1, id)
		gom.Expect(err).NotTo(HaveOccurred())
		gom.Expect(ans.Outcome).To(Equal(Answered))
	}).WithContext(ctx).Within(30 * time.Second).Should(Succeed())
	Eventually(JobState(ctx, fle, 1, id)).WithContext(ctx).Within(30 * time.Second).Should(Equal("cancelled"))
}

// RunsOf returns the runs of a job for which the condition holds.
func RunsOf(ctx context.Context, fle *harness.Fleet, id string, holds func(harness.Run) bool) []harness.Run {
	GinkgoHelper()
	all, err := fle.History(ctx)
	Expect(err).NotTo(HaveOccurred())
	var runs []harness.Run
	for _, run := range all {
		if run.Job == id && holds(run) {
			runs = append(runs, run)
		}
	}
	return runs
}

// InProgress reports whether the run has not stopped.
func InProgress(run harness.Run) bool { return run.Stopped == 0 }

// RanToItsEnd reports whether the task finished in the run.
func RanToItsEnd(run harness.Run) bool { return run.State == "finished" }

// ExpectNoOverlap checks that no task ever ran on two instances at once.
func ExpectNoOverlap(ctx context.Context, fle *harness.Fleet) {
	GinkgoHelper()
	all, err := fle.History(ctx)
	Expect(err).NotTo(HaveOccurred())
	one, two, found := harness.Overlap(all)
	Expect(found).To(BeFalse(), "overlapping runs of one task: %+v and %+v", one, two)
}

// ExpectFinishedOnce waits until a build started by StartWork has finished, and checks that
// each of its tasks finished exactly once.
func ExpectFinishedOnce(ctx context.Context, fle *harness.Fleet, id string) {
	GinkgoHelper()
	Eventually(JobState(ctx, fle, 1, id)).WithContext(ctx).Within(TasksLimit).Should(Equal("finished"))
	ends := map[int]int{}
	for _, run := range RunsOf(ctx, fle, id, RanToItsEnd) {
		ends[run.Index]++
	}
	want := map[int]int{}
	for num := range buildTasks {
		want[num] = 1
	}
	Expect(ends).To(Equal(want), "finished runs by task")
}

// steadyPeriod is how long the watch must run on one instance to count as settled.
const steadyPeriod = time.Second

// ExpectOneRun waits until the watch has had the same single run for steadyPeriod. The run
// seen first may still be replaced, if its lease was lost in the fault.
func ExpectOneRun(ctx context.Context, fle *harness.Fleet, id string) {
	GinkgoHelper()
	var last harness.Run
	var since time.Time
	steady := func() time.Duration {
		runs := RunsOf(ctx, fle, id, InProgress)
		if len(runs) != 1 || JobState(ctx, fle, 1, id)() != "running" {
			last = harness.Run{}
			return 0
		}
		if runs[0] != last {
			last, since = runs[0], time.Now()
		}
		return time.Since(since)
	}
	Eventually(steady).WithContext(ctx).Within(TasksLimit).Should(BeNumerically(">=", steadyPeriod))
}

// Work is a build job and a watch job that run while a fault is injected.
type Work struct {
	fleet *harness.Fleet
	build string
	watch string
}

// StartWork submits the build and the watch and waits until all their tasks run.
func StartWork(ctx context.Context, fle *harness.Fleet, payload string) Work {
	GinkgoHelper()
	wrk := Work{fleet: fle}
	wrk.watch = Submit(ctx, fle, JobSpec("watch", "watch", `{"neverFinishes":true}`, 1, 1000, 1024))
	wrk.build = Submit(ctx, fle, JobSpec("build", "build", payload, buildTasks, 8000, 1024))
	DeferCleanup(wrk.explainFailure)
	Eventually(func() int {
		return len(RunsOf(ctx, fle, wrk.build, InProgress)) + len(RunsOf(ctx, fle, wrk.watch, InProgress))
	}).WithContext(ctx).Within(20 * time.Second).Should(Equal(buildTasks + 1))
	return wrk
}

// explainFailure reports the owners' explanations of both jobs if the spec failed.
func (wrk Work) explainFailure(ctx SpecContext) {
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, id := range []string{wrk.build, wrk.watch} {
		lines, err := wrk.fleet.Explain(ctx, 1, "job", id)
		AddReportEntry("explain job "+id, ReportEntryVisibilityFailureOrVerbose, fmt.Sprintln(strings.Join(lines, "\n"), err))
	}
}

// Host returns the instance that runs the watch.
func (wrk Work) Host(ctx context.Context) *harness.Instance {
	GinkgoHelper()
	runs := RunsOf(ctx, wrk.fleet, wrk.watch, InProgress)
	Expect(runs).To(HaveLen(1))
	return wrk.fleet.Instance(runs[0].Instance)
}

// Owner returns the instance whose agent owns the partition of the watch.
func (wrk Work) Owner(ctx context.Context) *harness.Instance {
	GinkgoHelper()
	ins, err := wrk.fleet.Owner(ctx, wrk.watch)
	Expect(err).NotTo(HaveOccurred())
	Expect(ins).NotTo(BeNil(), "the partition of the watch has an owner")
	return ins
}

// Fleet returns the fleet that runs the work.
func (wrk Work) Fleet() *harness.Fleet { return wrk.fleet }

// Build returns the ID of the build.
func (wrk Work) Build() string { return wrk.build }

// Watch returns the ID of the watch.
func (wrk Work) Watch() string { return wrk.watch }

// ExpectDone checks that the build finished once, that the watch has one run, and that no
// task ran on two instances at once. It cancels the watch and removes the store's faults.
func (wrk Work) ExpectDone(ctx context.Context) {
	GinkgoHelper()
	ExpectFinishedOnce(ctx, wrk.fleet, wrk.build)
	ExpectOneRun(ctx, wrk.fleet, wrk.watch)
	SetStore(ctx, wrk.fleet, tableapi.Faults{})
	CancelJob(ctx, wrk.fleet, wrk.watch)
	ExpectNoOverlap(ctx, wrk.fleet)
}
