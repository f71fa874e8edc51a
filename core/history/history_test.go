package history_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/decision"
	"jacinthpost/core/history"
	"jacinthpost/internal/specs"
)

func TestHistory(t *testing.T) { specs.Run(t, "history") }

var start = time.UnixMilli(1_700_000_000_000)

// log collects lines. The times are in milliseconds by the clock of the node of the line.
type log struct{ lines []history.Line }

func (log *log) add(millis int, node string, knd decision.Kind, set func(lin *history.Line)) *log {
	lin := history.Line{At: start.Add(time.Duration(millis) * time.Millisecond), Node: node, Kind: knd}
	if set != nil {
		set(&lin)
	}
	log.lines = append(log.lines, lin)
	return log
}

func job(id string) func(*history.Line) { return func(lin *history.Line) { lin.Job = id } }

func run(num int, detail string) func(*history.Line) {
	return func(lin *history.Line) {
		lin.Job, lin.Task, lin.Run, lin.Instance, lin.Detail = "j", "j.0.0.0", num, "a", detail
	}
}

func finishedAs(state string) func(*history.Line) {
	return func(lin *history.Line) { lin.Job, lin.Detail = "j", state }
}

// runningJob returns the lines of a job from its request to the start of its only run.
func runningJob() *log {
	return new(log).
		add(0, "entry", decision.JobHandedIn, job("j")).
		add(20, "owner", decision.JobSubmitted, job("j")).
		add(60, "owner", decision.RunAssigned, run(1, "")).
		add(80, "a", decision.RunStarted, run(1, ""))
}

func traceOf(log *log) history.Trace {
	GinkgoHelper()
	trc, found := history.New(log.lines).Trace("j")
	Expect(found).To(BeTrue())
	return trc
}

func expectGapCauses(trc history.Trace, causes ...history.Cause) {
	GinkgoHelper()
	var got []history.Cause
	for _, gap := range trc.Gaps() {
		got = append(got, gap.Cause)
	}
	Expect(got).To(Equal(causes))
}

// Guards against reports on a job that hide or invent delays and their causes.
var _ = Describe("Trace", func() {
	It("returns the state, the number of runs and the duration of a job", func() {
		trc := traceOf(runningJob().add(1000, "owner", decision.RunEnded, run(1, "done ")).add(1000, "owner", decision.JobFinished, finishedAs("completed")))
		Expect(trc.State()).To(Equal("completed"))
		Expect(trc.Runs()).To(Equal(1))
		took, ok := trc.Took()
		Expect(ok).To(BeTrue())
		Expect(took).To(Equal(time.Second))
		expectGapCauses(trc)
	})

	It("is not found for a job without lines", func() {
		_, found := history.New(runningJob().lines).Trace("k")
		Expect(found).To(BeFalse())
	})

	It("has no end if no line reports one", func() {
		trc := traceOf(runningJob())
		_, ok := trc.Took()
		Expect(ok).To(BeFalse())
		Expect(trc.State()).To(Equal("running"))
	})

	DescribeTable("returns the cause of a gap between runs", func(detail string, cause history.Cause) {
		trc := traceOf(runningJob().add(1000, "owner", decision.RunEnded, run(1, detail)).add(2000, "owner", decision.RunAssigned, run(2, "")))
		expectGapCauses(trc, cause)
		Expect(trc.Gaps()[0].Length()).To(Equal(time.Second))
	},
		Entry("a failed run", "failed ", history.CauseRunFailed),
		Entry("a stopped run", "stopped ", history.CauseRunStopped),
		Entry("a lapsed lease", "lapsed no answer", history.CauseRunLost),
		Entry("a lost instance", "lost", history.CauseRunLost),
		Entry("a refused run", "refused no room", history.CauseRunRefused),
		Entry("a finished step", "done ", history.CauseNoPlace),
		Entry("an end without a cause", "", history.CauseNotInLog),
	)

	It("returns the gaps before the owner records the job and before its first assignment", func() {
		trc := traceOf(new(log).
			add(0, "entry", decision.JobHandedIn, job("j")).
			add(2200, "owner", decision.JobSubmitted, job("j")).
			add(3000, "owner", decision.RunAssigned, run(1, "")))
		expectGapCauses(trc, history.CauseNoOwner, history.CauseNoPlace)
	})

	It("names the runs of an ended job without an end, and the owners since", func() {
		trc := traceOf(runningJob().
			add(1000, "owner", decision.JobCancelled, job("j")).
			add(1100, "owner2", decision.JobsRestored, nil).
			add(9000, "owner2", decision.JobSubmitted, job("k")))
		Expect(trc.Unended()).To(HaveLen(1))
		Expect(trc.Unended()[0].Run).To(Equal(1))
		Expect(trc.Context()).To(HaveLen(1))
	})

	It("has elections and losses of instances during the job as context, and no lines of other jobs or nodes", func() {
		log := runningJob().
			add(500, "owner2", decision.OwnerElected, nil).
			add(600, "other", decision.FillingPaused, nil).
			add(700, "owner", decision.InstanceLost, func(lin *history.Line) { lin.Instance = "a" }).
			add(800, "owner", decision.JobSubmitted, job("k")).
			add(1000, "owner", decision.JobFinished, finishedAs("completed"))
		var got []decision.Kind
		for _, lin := range traceOf(log).Context() {
			got = append(got, lin.Kind)
		}
		Expect(got).To(Equal([]decision.Kind{decision.OwnerElected, decision.InstanceLost}))
	})
})

// Guards against reports in which the clocks of the nodes put effects before their causes.
var _ = Describe("Clocks", func() {
	It("are not moved if the lines are in causal order", func() {
		Expect(history.New(runningJob().lines).Offsets()).To(BeEmpty())
	})

	It("are moved until all lines are in causal order", func() {
		tml := history.New(new(log).
			add(5000, "entry", decision.JobHandedIn, job("j")).
			add(20, "owner", decision.JobSubmitted, job("j")).
			add(60, "owner", decision.RunAssigned, run(1, "")).
			add(10, "a", decision.RunStarted, run(1, "")).
			add(90, "owner", decision.RunEnded, run(1, "done ")).lines)
		var got []decision.Kind
		for _, lin := range tml.Lines() {
			got = append(got, lin.Kind)
		}
		Expect(got).To(Equal([]decision.Kind{
			decision.JobHandedIn, decision.JobSubmitted, decision.RunAssigned, decision.RunStarted, decision.RunEnded,
		}))
		Expect(tml.Contradictions()).To(BeZero())
	})

	It("that were set between the lines are counted as contradictions", func() {
		tml := history.New(new(log).
			add(0, "owner", decision.RunAssigned, run(1, "")).
			add(9000, "a", decision.RunStarted, run(1, "")).
			add(100, "owner", decision.RunEnded, run(1, "stopped ")).
			add(200, "owner", decision.RunAssigned, run(2, "")).
			add(300, "a", decision.RunStarted, run(2, "")).lines)
		Expect(tml.Contradictions()).To(BeNumerically(">", 0))
	})

	It("count requests from their begin, because their lines are written at the end", func() {
		lines := runningJob().lines
		lines[0].At, lines[0].Took = start.Add(time.Second), time.Second
		Expect(history.New(lines).Offsets()).To(BeEmpty())
	})
})

// Guards against totals that miss jobs, count them twice or assign them to another cause.
var _ = Describe("Summary", func() {
	summarize := func(log *log) history.Summary { return history.New(log.lines).Summarize() }

	It("counts jobs by state and runs by cause of their end, and adds up the gaps", func() {
		sum := summarize(runningJob().
			add(500, "owner", decision.RunStopped, run(1, "preempted for k")).
			add(600, "owner", decision.RunEnded, run(1, "stopped ")).
			add(1600, "owner", decision.RunAssigned, run(2, "")).
			add(2000, "owner", decision.RunEnded, run(2, "done ")).
			add(2000, "owner", decision.JobFinished, finishedAs("completed")))
		Expect(sum.Queues()).To(HaveLen(1))
		Expect(sum.Queues()[0].States).To(Equal(map[string]int{"completed": 1}))
		Expect(sum.Ends()).To(Equal(map[string]int{"stopped": 1, "done": 1}))
		Expect(sum.Stops()).To(Equal(map[string]int{"preempted": 1}))
		Expect(sum.Gaps()).To(Equal(map[history.Cause]time.Duration{history.CauseRunStopped: time.Second}))
		Expect(sum.Slowest()).To(HaveLen(1))
	})

	It("measures the time without assignments around an election", func() {
		sum := summarize(runningJob().
			add(1000, "b", decision.OwnerElected, nil).
			add(2560, "b", decision.RunAssigned, run(2, "")))
		Expect(sum.Elections()).To(HaveLen(1))
		Expect(sum.Elections()[0].AssignmentGap).To(Equal(2500 * time.Millisecond))
	})

	// Guards against a busy owner that is not named when its agents gave it up.
	It("names owners that were busy, with the causes", func() {
		busy := func(reason string, took time.Duration) func(*history.Line) {
			return func(lin *history.Line) { lin.Reason, lin.Took = reason, took }
		}
		sum := summarize(runningJob().
			add(1000, "a", decision.OwnerBusy, busy("plan", 800*time.Millisecond)).
			add(1500, "b", decision.OwnerBusy, busy("report", 900*time.Millisecond)).
			add(2000, "b", decision.OwnerBusy, busy("plan", 700*time.Millisecond)))
		Expect(sum.BusyOwners()).To(Equal([]history.BusyOwner{
			{Node: "b", Busy: 1600 * time.Millisecond, Causes: map[string]time.Duration{"report": 900 * time.Millisecond, "plan": 700 * time.Millisecond}},
			{Node: "a", Busy: 800 * time.Millisecond, Causes: map[string]time.Duration{"plan": 800 * time.Millisecond}},
		}))
	})

	It("counts waiting and running jobs over time", func() {
		prg := summarize(runningJob().add(1000, "owner", decision.JobFinished, finishedAs("completed"))).Progress()
		Expect(prg[0].Waiting).To(Equal(1))
		Expect(prg[len(prg)/2].Running).To(Equal(1))
		Expect(prg[len(prg)-1].Running + prg[len(prg)-1].Waiting).To(BeZero())
	})

	It("of a log without lines is empty", func() {
		Expect(summarize(new(log)).Queues()).To(BeEmpty())
	})
})
