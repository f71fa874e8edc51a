package failure_test

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
	// shortWork outlasts the finding of the victim, longWork a task lease (15 s), so
	// that no task ends while nobody can hear of it.
	shortWork = `{"workMillis":6000}`
	longWork  = `{"workMillis":20000}`

	pauseBeyondTaskLease      = 18 * time.Second
	pauseBeyondPartitionLease = 9 * time.Second
	tasksLimit                = 75 * time.Second
)

func jobSpec(key, kind, payload string, tasks int, milliCPU, memoryMB int64) message.JobSpec {
	return message.JobSpec{
		Key: key, Customer: "demo", Team: "default", Class: kind + "Class", Kind: kind, Tasks: tasks,
		Resources: message.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}, Payload: []byte(payload),
	}
}

// submit submits a job until it is accepted, as a caller with the same key may.
func submit(ctx context.Context, fle *harness.Fleet, spc message.JobSpec) string {
	GinkgoHelper()
	var id string
	Eventually(func(gom Gomega) {
		ans, err := fle.Submit(ctx, 0, spc)
		gom.Expect(err).NotTo(HaveOccurred())
		gom.Expect(ans.Outcome).To(Equal(answered), "%s %s", ans.Reason, ans.Detail)
		id = ans.Job.JobID
	}).WithContext(ctx).Within(20 * time.Second).Should(Succeed())
	return id
}

// jobState returns the state of a job, or why it is not known now.
func jobState(ctx context.Context, fle *harness.Fleet, ent int, id string) func() string {
	return func() string {
		ans, err := fle.Job(ctx, ent, id)
		switch {
		case err != nil:
			return err.Error()
		case ans.Outcome != answered:
			return ans.Outcome + ": " + ans.Reason
		}
		return ans.Job.State
	}
}

func cancelJob(ctx context.Context, fle *harness.Fleet, id string) {
	GinkgoHelper()
	Eventually(func(gom Gomega) {
		ans, err := fle.Cancel(ctx, 1, id)
		gom.Expect(err).NotTo(HaveOccurred())
		gom.Expect(ans.Outcome).To(Equal(answered))
	}).WithContext(ctx).Within(30 * time.Second).Should(Succeed())
	Eventually(jobState(ctx, fle, 1, id)).WithContext(ctx).Within(30 * time.Second).Should(Equal("cancelled"))
}

// runsOf returns the runs of a job for which the condition holds.
func runsOf(ctx context.Context, fle *harness.Fleet, id string, holds func(harness.Run) bool) []harness.Run {
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

func inProgress(run harness.Run) bool  { return run.Stopped == 0 }
func ranToItsEnd(run harness.Run) bool { return run.State == "finished" }

func expectNoOverlap(ctx context.Context, fle *harness.Fleet) {
	GinkgoHelper()
	all, err := fle.History(ctx)
	Expect(err).NotTo(HaveOccurred())
	one, two, found := harness.Overlap(all)
	Expect(found).To(BeFalse(), "one task in two places: %+v and %+v", one, two)
}

// expectFinishedOnce waits for the end of a job and checks that each task ran to its end exactly once.
func expectFinishedOnce(ctx context.Context, fle *harness.Fleet, id string) {
	GinkgoHelper()
	Eventually(jobState(ctx, fle, 1, id)).WithContext(ctx).Within(tasksLimit).Should(Equal("finished"))
	ends := map[int]int{}
	for _, run := range runsOf(ctx, fle, id, ranToItsEnd) {
		ends[run.Index]++
	}
	want := map[int]int{}
	for num := range buildTasks {
		want[num] = 1
	}
	Expect(ends).To(Equal(want), "finished runs by task")
}

// expectOneRun waits until the watch runs in one place and stays there.
func expectOneRun(ctx context.Context, fle *harness.Fleet, id string) {
	GinkgoHelper()
	count := func() int { return len(runsOf(ctx, fle, id, inProgress)) }
	Eventually(count).WithContext(ctx).Within(tasksLimit).Should(Equal(1))
	Eventually(jobState(ctx, fle, 1, id)).WithContext(ctx).Within(tasksLimit).Should(Equal("running"))
	Consistently(count).WithContext(ctx).WithTimeout(time.Second).Should(Equal(1))
}

// work is a build and a watch that run when the fault strikes.
type work struct {
	fleet *harness.Fleet
	build string
	watch string
}

func startWork(ctx context.Context, fle *harness.Fleet, payload string) work {
	GinkgoHelper()
	wrk := work{fleet: fle}
	wrk.watch = submit(ctx, fle, jobSpec("watch", "watch", `{"neverFinishes":true}`, 1, 1000, 1024))
	wrk.build = submit(ctx, fle, jobSpec("build", "build", payload, buildTasks, 8000, 1024))
	DeferCleanup(wrk.explainFailure)
	Eventually(func() int {
		return len(runsOf(ctx, fle, wrk.build, inProgress)) + len(runsOf(ctx, fle, wrk.watch, inProgress))
	}).WithContext(ctx).Within(20 * time.Second).Should(Equal(buildTasks + 1))
	return wrk
}

// explainFailure reports what the owners say about the work of a failed spec.
func (wrk work) explainFailure(ctx SpecContext) {
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, id := range []string{wrk.build, wrk.watch} {
		lines, err := wrk.fleet.Explain(ctx, 1, "job", id)
		AddReportEntry("explain job "+id, ReportEntryVisibilityFailureOrVerbose, fmt.Sprintln(strings.Join(lines, "\n"), err))
	}
}

// host returns the instance that runs the watch.
func (wrk work) host(ctx context.Context) *harness.Instance {
	GinkgoHelper()
	runs := runsOf(ctx, wrk.fleet, wrk.watch, inProgress)
	Expect(runs).To(HaveLen(1))
	return wrk.fleet.Instance(runs[0].Instance)
}

// owner returns the instance whose agent owns the partition of the watch.
func (wrk work) owner(ctx context.Context) *harness.Instance {
	GinkgoHelper()
	ins, err := wrk.fleet.Owner(ctx, wrk.watch)
	Expect(err).NotTo(HaveOccurred())
	Expect(ins).NotTo(BeNil(), "the partition of the watch has an owner")
	return ins
}

// taskFaults strike while the work runs.
var taskFaults = map[string]func(ctx context.Context, wrk work){
	"agent killed and restarted": func(ctx context.Context, wrk work) {
		Expect(wrk.host(ctx).Agent().Restart()).To(Succeed())
	},
	"agent killed for good": func(ctx context.Context, wrk work) { wrk.host(ctx).Agent().Kill() },
	"endpoint and worker killed": func(ctx context.Context, wrk work) {
		Expect(wrk.fleet.KillEndpoint(ctx, wrk.host(ctx))).To(Succeed())
	},
	"agent paused beyond the task lease": func(ctx context.Context, wrk work) {
		agt := wrk.host(ctx).Agent()
		agt.Pause()
		hold(ctx, pauseBeyondTaskLease)
		agt.Resume()
	},
	// The agent returns after another one has taken the partition over, so that
	// the ends of its tasks are heard of.
	"owner killed": func(ctx context.Context, wrk work) {
		agt := wrk.owner(ctx).Agent()
		agt.Kill()
		hold(ctx, pauseBeyondPartitionLease)
		Expect(agt.Restart()).To(Succeed())
	},
	"owner paused beyond its partition lease": func(ctx context.Context, wrk work) {
		agt := wrk.owner(ctx).Agent()
		agt.Pause()
		hold(ctx, pauseBeyondPartitionLease)
		agt.Resume()
	},
	"store down":   func(ctx context.Context, wrk work) { storeDown(ctx, wrk.fleet, 10*time.Second) },
	"answers lost": func(ctx context.Context, wrk work) { loseAnswers(ctx, wrk.fleet, 30) },
}

var _ = Describe("invariant 2 and invariant 3 (one place, exactly once)", func() {
	// Guards against a task that runs in two places or twice to its end, or that is
	// lost, when the process that runs, controls or records it fails.
	DescribeTable("a build and a watch",
		func(ctx SpecContext, name, payload string) {
			fle := startFleet(ctx, "sen-vang")
			wrk := startWork(ctx, fle, payload)
			taskFaults[name](ctx, wrk)
			expectFinishedOnce(ctx, fle, wrk.build)
			expectOneRun(ctx, fle, wrk.watch)
			setStore(ctx, fle, tableapi.Faults{})
			cancelJob(ctx, fle, wrk.watch)
			expectNoOverlap(ctx, fle)
		},
		Entry("when the agent is killed and restarted", "agent killed and restarted", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the agent is killed for good", "agent killed for good", longWork, SpecTimeout(2*time.Minute)),
		Entry("when the endpoint and worker are killed", "endpoint and worker killed", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the agent is paused beyond the task lease", "agent paused beyond the task lease", longWork, SpecTimeout(2*time.Minute)),
		Entry("when the owner is killed", "owner killed", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the owner is paused beyond its partition lease", "owner paused beyond its partition lease", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the store is down", "store down", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the store loses answers", "answers lost", shortWork, SpecTimeout(2*time.Minute)),
	)
})
