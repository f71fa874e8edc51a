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

// log collects lines of a day, each at a number of milliseconds in the clock of its node.
type log struct{ lines []history.Line }

func (log *log) add(millis int, node string, knd decision.Kind, change func(lin *history.Line)) *log {
	lin := history.Line{At: start.Add(time.Duration(millis) * time.Millisecond), Node: node, Kind: knd}
	if change != nil {
		change(&lin)
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

func finished(state string) func(*history.Line) {
	return func(lin *history.Line) { lin.Job, lin.Detail = "j", state }
}

// usual is a job that is handed in, run once and completed.
func usual() *log {
	return new(log).
		add(0, "entry", decision.JobHandedIn, job("j")).
		add(20, "owner", decision.JobSubmitted, job("j")).
		add(60, "owner", decision.RunAssigned, run(1, "")).
		add(80, "a", decision.RunStarted, run(1, ""))
}

func traced(log *log) history.Trace {
	GinkgoHelper()
	trc, found := history.New(log.lines).Trace("j")
	Expect(found).To(BeTrue())
	return trc
}

func expectGaps(trc history.Trace, causes ...history.Cause) {
	GinkgoHelper()
	var got []history.Cause
	for _, gap := range trc.Gaps() {
		got = append(got, gap.Cause)
	}
	Expect(got).To(Equal(causes))
}

var _ = Describe("Trace", func() {
	It("tells the state, the runs and the times of a job", func() {
		trc := traced(usual().add(1000, "owner", decision.RunEnded, run(1, "done ")).add(1000, "owner", decision.JobFinished, finished("completed")))
		Expect(trc.State()).To(Equal("completed"))
		Expect(trc.Runs()).To(Equal(1))
		took, ok := trc.Took()
		Expect(ok).To(BeTrue())
		Expect(took).To(Equal(time.Second))
		expectGaps(trc)
	})

	It("tells that there is no line about an unknown job", func() {
		_, found := history.New(usual().lines).Trace("k")
		Expect(found).To(BeFalse())
	})

	It("does not call a job ended whose end is not in the log", func() {
		trc := traced(usual())
		_, ok := trc.Took()
		Expect(ok).To(BeFalse())
		Expect(trc.State()).To(Equal("running"))
	})

	DescribeTable("names why nothing was at work", func(detail string, cause history.Cause) {
		trc := traced(usual().add(1000, "owner", decision.RunEnded, run(1, detail)).add(2000, "owner", decision.RunAssigned, run(2, "")))
		expectGaps(trc, cause)
		Expect(trc.Gaps()[0].Length()).To(Equal(time.Second))
	},
		Entry("a failed run", "failed ", history.CauseRunFailed),
		Entry("a stopped run", "stopped ", history.CauseRunStopped),
		Entry("a lapsed lease", "lapsed no answer", history.CauseRunLost),
		Entry("a lost instance", "lost", history.CauseRunLost),
		Entry("a refused run", "refused no room", history.CauseRunRefused),
		Entry("the next step waits", "done ", history.CauseNoPlace),
		Entry("an end of an unknown kind", "", history.CauseNotInLog),
	)

	It("names the wait for an owner and for a place", func() {
		trc := traced(new(log).
			add(0, "entry", decision.JobHandedIn, job("j")).
			add(2200, "owner", decision.JobSubmitted, job("j")).
			add(3000, "owner", decision.RunAssigned, run(1, "")))
		expectGaps(trc, history.CauseNoOwner, history.CauseNoPlace)
	})

	It("shows the change of the owner and the losses around a job, and no lines of other jobs", func() {
		log := usual().
			add(500, "owner2", decision.OwnerElected, nil).
			add(600, "other", decision.FillingPaused, nil).
			add(700, "owner", decision.InstanceLost, func(lin *history.Line) { lin.Instance = "a" }).
			add(800, "owner", decision.JobSubmitted, job("k")).
			add(1000, "owner", decision.JobFinished, finished("completed"))
		var got []decision.Kind
		for _, lin := range traced(log).Context() {
			got = append(got, lin.Kind)
		}
		Expect(got).To(Equal([]decision.Kind{decision.OwnerElected, decision.InstanceLost}))
	})
})

var _ = Describe("Clocks", func() {
	It("are left alone when the lines agree", func() {
		Expect(history.New(usual().lines).Offsets()).To(BeEmpty())
	})

	It("are moved until what was handed in comes before what was done with it", func() {
		day := history.New(new(log).
			add(5000, "entry", decision.JobHandedIn, job("j")).
			add(20, "owner", decision.JobSubmitted, job("j")).
			add(60, "owner", decision.RunAssigned, run(1, "")).
			add(10, "a", decision.RunStarted, run(1, "")).
			add(90, "owner", decision.RunEnded, run(1, "done ")).lines)
		var got []decision.Kind
		for _, lin := range day.Lines() {
			got = append(got, lin.Kind)
		}
		Expect(got).To(Equal([]decision.Kind{
			decision.JobHandedIn, decision.JobSubmitted, decision.RunAssigned, decision.RunStarted, decision.RunEnded,
		}))
		Expect(day.Contradictions()).To(BeZero())
	})

	It("of a node that was set during the day are called contradictory", func() {
		day := history.New(new(log).
			add(0, "owner", decision.RunAssigned, run(1, "")).
			add(9000, "a", decision.RunStarted, run(1, "")).
			add(100, "owner", decision.RunEnded, run(1, "stopped ")).
			add(200, "owner", decision.RunAssigned, run(2, "")).
			add(300, "a", decision.RunStarted, run(2, "")).lines)
		Expect(day.Contradictions()).To(BeNumerically(">", 0))
	})

	It("take the begin of a call, which its line tells, for the time of the request", func() {
		lines := usual().lines
		lines[0].At, lines[0].Took = start.Add(time.Second), time.Second
		Expect(history.New(lines).Offsets()).To(BeEmpty())
	})
})

var _ = Describe("Summary", func() {
	summed := func(log *log) history.Summary { return history.New(log.lines).Summarize() }

	It("counts jobs by state, ends and stops by cause, and time without work", func() {
		sum := summed(usual().
			add(500, "owner", decision.RunStopped, run(1, "preempted for k")).
			add(600, "owner", decision.RunEnded, run(1, "stopped ")).
			add(1600, "owner", decision.RunAssigned, run(2, "")).
			add(2000, "owner", decision.RunEnded, run(2, "done ")).
			add(2000, "owner", decision.JobFinished, finished("completed")))
		Expect(sum.Queues()).To(HaveLen(1))
		Expect(sum.Queues()[0].States).To(Equal(map[string]int{"completed": 1}))
		Expect(sum.Ends()).To(Equal(map[string]int{"stopped": 1, "done": 1}))
		Expect(sum.Stops()).To(Equal(map[string]int{"preempted": 1}))
		Expect(sum.Gaps()).To(Equal(map[history.Cause]time.Duration{history.CauseRunStopped: time.Second}))
		Expect(sum.Slowest()).To(HaveLen(1))
	})

	It("tells for how long nothing was assigned around an election", func() {
		sum := summed(usual().
			add(1000, "b", decision.OwnerElected, nil).
			add(2560, "b", decision.RunAssigned, run(2, "")))
		Expect(sum.Elections()).To(HaveLen(1))
		Expect(sum.Elections()[0].AssignmentGap).To(Equal(2500 * time.Millisecond))
	})

	It("counts what waits and what runs over time", func() {
		prg := summed(usual().add(1000, "owner", decision.JobFinished, finished("completed"))).Progress()
		Expect(prg[0].Waiting).To(Equal(1))
		Expect(prg[len(prg)/2].Running).To(Equal(1))
		Expect(prg[len(prg)-1].Running + prg[len(prg)-1].Waiting).To(BeZero())
	})

	It("of nothing is empty", func() {
		Expect(summed(new(log)).Queues()).To(BeEmpty())
	})
})
