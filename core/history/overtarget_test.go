package history_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/decision"
	"jacinthpost/core/history"
)

// serving returns a change of line for a serving task of a job on instance a.
func serving(job string) func(*history.Line) {
	return func(lin *history.Line) {
		lin.Job, lin.Task, lin.Instance, lin.Image = job, job+".0.0.0", "a", "web"
	}
}

// beside returns a change of line for run 1 of a best-effort task on instance a.
func beside(job string, plc history.Placed) func(*history.Line) {
	return func(lin *history.Line) {
		lin.Job, lin.Task, lin.Run, lin.Instance, lin.Image, lin.Placed = job, job+".0.0.0", 1, "a", "img-"+job, plc
	}
}

func onInstance(lin *history.Line) { lin.Instance = "a" }

// Guards against reports that blame the wrong cause, or no run at all, for serving tasks over their
// targets.
var _ = Describe("OverTarget", func() {
	overTarget := func(log *log) history.OverTarget { return history.New(log.lines).Summarize().OverTarget() }
	harmless := history.Placed{Reason: "harmless", Urgency: "onTime"}

	DescribeTable("names the cause", func(log *log, cause history.OverCause) {
		ovr := overTarget(log.
			add(1000, "a", decision.TargetExceeded, serving("s")).
			add(3000, "a", decision.TargetMet, serving("s")))
		Expect(ovr.Causes()).To(Equal(map[history.OverCause]time.Duration{cause: 2 * time.Second}))
		Expect(ovr.Total()).To(Equal(2 * time.Second))
	},
		Entry("no run beside", new(log), history.OverAlone),
		Entry("a run that has ended", new(log).
			add(0, "o", decision.RunAssigned, beside("b", harmless)).
			add(500, "o", decision.RunEnded, beside("b", history.Placed{})), history.OverAlone),
		Entry("a pause", new(log).
			add(0, "o", decision.RunAssigned, beside("b", harmless)).
			add(500, "a", decision.FillingPaused, onInstance), history.OverPaused),
		Entry("an image that was never measured", new(log).
			add(0, "o", decision.RunAssigned, beside("b", history.Placed{Reason: "starved", Unmeasured: 1})), history.OverUnmeasured),
		Entry("a job without a run", new(log).
			add(0, "o", decision.RunAssigned, beside("b", history.Placed{Reason: "starved"})).
			add(0, "o", decision.RunAssigned, beside("c", harmless)), history.OverStarved),
		Entry("a wrong expectation", new(log).
			add(0, "o", decision.RunAssigned, beside("b", harmless)), history.OverUnexpected),
	)

	It("counts jobs and instances once, however many tasks are over their targets", func() {
		ovr := overTarget(new(log).
			add(0, "a", decision.TargetExceeded, serving("s")).
			add(0, "a", decision.TargetExceeded, serving("t")).
			add(1000, "a", decision.TargetMet, serving("s")).
			add(2000, "a", decision.TargetMet, serving("t")))
		Expect(ovr.Total()).To(Equal(3 * time.Second))
		Expect(ovr.Jobs()).To(Equal(3 * time.Second))
		Expect(ovr.Instances()).To(Equal(2 * time.Second))
		Expect(ovr.ByJob()).To(Equal(map[string]time.Duration{"s": time.Second, "t": 2 * time.Second}))
	})

	It("divides the time between the images beside a task, and has the highest urgency of their jobs", func() {
		ovr := overTarget(new(log).
			add(0, "o", decision.RunAssigned, beside("b", history.Placed{Reason: "starved", Urgency: "late"})).
			add(0, "o", decision.RunAssigned, beside("c", history.Placed{Reason: "starved", Urgency: "onTime"})).
			add(0, "a", decision.TargetExceeded, serving("s")).
			add(1000, "a", decision.TargetMet, serving("s")))
		Expect(ovr.ByPair()).To(Equal(map[history.ImagePair]time.Duration{
			{Serving: "web", BestEffort: "img-b"}: 500 * time.Millisecond, {Serving: "web", BestEffort: "img-c"}: 500 * time.Millisecond,
		}))
		Expect(ovr.Urgencies()).To(Equal(map[string]time.Duration{"onTime": time.Second}))
	})

	It("counts violations that return soon as repeated", func() {
		ovr := overTarget(new(log).
			add(0, "a", decision.TargetExceeded, serving("s")).
			add(1000, "a", decision.TargetMet, serving("s")).
			add(2000, "a", decision.TargetExceeded, serving("s")).
			add(4000, "a", decision.TargetMet, serving("s")).
			add(9000, "a", decision.TargetExceeded, serving("s")).
			add(9500, "a", decision.TargetMet, serving("s")))
		Expect(ovr.Repeated()).To(Equal(2 * time.Second))
	})

	It("ends violations with their runs and with the process of the agent", func() {
		ovr := overTarget(new(log).
			add(0, "a", decision.TargetExceeded, serving("s")).
			add(0, "a", decision.TargetExceeded, serving("t")).
			add(1000, "o", decision.RunEnded, serving("s")).
			add(2000, "a", decision.ProcessStarted, nil).
			add(9000, "o", decision.JobFinished, job("j")))
		Expect(ovr.Total()).To(Equal(3 * time.Second))
	})
})
