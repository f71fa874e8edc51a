package batch_test

import (
	"cmp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
	"jacinthpost/internal/specs"
)

func TestBatch(t *testing.T) { specs.Run(t, "batch") }

var start = time.UnixMilli(1_700_000_000_000)

type scheduler = batch.Scheduler[batch.DeadlineOrder, batch.SpreadPlacement]

// owner drives a scheduler as the owner's process does, with a clock that the test advances.
type owner struct {
	*scheduler
	now         time.Time
	maxAttempts int // of submitted jobs, 2 if zero
}

func newOwner() *owner {
	return &owner{scheduler: batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{LostAfter: 5 * time.Second}, start), now: start}
}

func (own *owner) advance(dur time.Duration) {
	own.now = own.now.Add(dur)
	own.Tick(own.now, own.now)
}

// store plans, commits all records and returns them.
func (own *owner) store() []batch.JobRecord {
	own.Plan(own.now)
	wrb := own.NextBatch(100)
	own.Committed(wrb, own.now)
	return wrb.Records()
}

func step(count int) workload.StepParams {
	return workload.StepParams{Count: count, MilliCPU: 1000, MemoryMB: 100, EstimateMillis: 1000}
}

func (own *owner) submit(id string, steps ...workload.StepParams) workload.Job {
	job, err := workload.New(workload.JobParams{
		ID: id, Queue: "q", Service: "svc", Payload: "p", Steps: steps, MaxAttempts: cmp.Or(own.maxAttempts, 2), Stretch: 2, AcceptedMillis: own.now.UnixMilli(),
	})
	Expect(err).NotTo(HaveOccurred())
	own.Submit(job, own.now)
	own.Tick(own.now, own.now)
	return job
}

func report(id string, session uint64) batch.Report {
	return batch.Report{
		Instance: fleet.InstanceID(id), Session: session, Incarnation: batch.Incarnation(id + "-life"), Service: "svc",
		Location: fleet.NewLocation("r", "dc", "rack"), Capacity: resource.New(4000, 4000, 0),
	}
}

func (own *owner) orders(id string, session uint64, knd batch.OrderKind) []batch.Order {
	out, ok := own.Outbox(fleet.InstanceID(id), session, 0)
	Expect(ok).To(BeTrue())
	var ords []batch.Order
	for _, ord := range out.Orders {
		if ord.Kind == knd {
			ords = append(ords, ord)
		}
	}
	return ords
}

func endEvent(seq uint64, rid batch.RunID, cause batch.EndCause) batch.Event {
	return batch.Event{Seq: seq, ID: rid, Cause: cause}
}

func (own *owner) receive(rep batch.Report, evts ...batch.Event) {
	rep.Events = evts
	own.ApplyReport(rep, own.now)
}

func expectNoStarts(own *owner, none bool) {
	GinkgoHelper()
	out, known := own.Outbox("a", 1, 0)
	Expect(known).To(BeTrue())
	Expect(out.NoStarts).To(Equal(none))
}

func expectState(recs []batch.JobRecord, sta batch.JobState) {
	GinkgoHelper()
	Expect(recs).To(HaveLen(1))
	Expect(recs[0].State).To(Equal(sta))
}

var _ = Describe("Scheduler", func() {
	It("releases a start only after the run is stored", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.Plan(own.now)
		wrb := own.NextBatch(10)
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.Abandoned(wrb)
		wrb = own.NextBatch(10)
		own.Committed(wrb, own.now)
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
	})

	// Guards against an agent that goes on repeating a start without an answer in a data centre that was taken out
	// (EVAC), or on a machine before its maintenance.
	DescribeTable("allows no starts on an instance that gets no new work", func(change func(own *owner)) {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		expectNoStarts(own, false)
		change(own)
		expectNoStarts(own, true)
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1), "the order stays until the agent has received it")
	},
		Entry("in a data centre that was taken out", func(own *owner) { own.SetExcluded(map[fleet.DataCentre]bool{"dc": true}) }),
		Entry("whose machine is to be maintained", func(own *owner) { own.SetEvacuating(func(batch.Incarnation) bool { return true }) }),
		Entry("that drains", func(own *owner) {
			rep := report("a", 1)
			rep.Draining, rep.Remaining = true, time.Minute
			own.receive(rep)
		}),
	)

	It("starts a later step after the earlier one and completes the job", func() {
		own := newOwner()
		own.receive(report("a", 1))
		snd := step(1)
		snd.Dependencies = []int{0}
		own.submit("j", step(1), snd)
		own.store()
		fst := own.orders("a", 1, batch.StartRun)
		Expect(fst).To(HaveLen(1))
		own.receive(report("a", 1), endEvent(1, fst[0].ID, batch.EndDone))
		expectState(own.store(), batch.JobRunning)
		both := own.orders("a", 1, batch.StartRun)
		Expect(both).To(HaveLen(2))
		own.receive(report("a", 1), endEvent(1, fst[0].ID, batch.EndDone), endEvent(2, both[1].ID, batch.EndDone))
		expectState(own.store(), batch.JobCompleted)
	})

	It("lets an agent forget an end only after it is stored", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		ord := own.orders("a", 1, batch.StartRun)[0]
		own.receive(report("a", 1), endEvent(1, ord.ID, batch.EndDone))
		out, _ := own.Outbox("a", 1, 0)
		Expect(out.Acked).To(BeZero())
		own.store()
		out, _ = own.Outbox("a", 1, 0)
		Expect(out.Acked).To(BeEquivalentTo(1))
	})

	// Guards against ends that are applied to a session in which the agent's runs are not known.
	It("applies news only after a report of the session", func() {
		own := newOwner()
		news := batch.News{Instance: "a", Session: 1}
		Expect(own.ApplyNews(news, own.now)).To(BeFalse())
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		news.Events = []batch.Event{endEvent(1, own.orders("a", 1, batch.StartRun)[0].ID, batch.EndDone)}
		news.Session = 2
		Expect(own.ApplyNews(news, own.now)).To(BeFalse())
		news.Session = 1
		Expect(own.ApplyNews(news, own.now)).To(BeTrue())
		Expect(own.StoredEvents("a", 1)).To(BeZero())
		expectState(own.store(), batch.JobCompleted)
		Expect(own.StoredEvents("a", 1)).To(BeEquivalentTo(1))
		Expect(own.Stored()).To(ConsistOf(fleet.InstanceID("a")))
	})

	// Guards against an instance that is lost although it sends news.
	It("takes news as a sign of life", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		for range 20 {
			own.advance(time.Second)
			Expect(own.ApplyNews(batch.News{Instance: "a", Session: 1}, own.now)).To(BeTrue())
		}
		Expect(own.store()).To(BeEmpty())
	})

	It("never reserves more than the capacity of an instance, including runs that are being stopped", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(10))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
		own.Cancel("j", own.now)
		own.submit("k", step(4))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
	})

	It("fails a job after its maximum number of failed runs, not counting stopped runs", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		for seq, cause := range []batch.EndCause{batch.EndStopped, batch.EndFailed, batch.EndLeaseExpired, batch.EndFailed} {
			own.store()
			ords := own.orders("a", 1, batch.StartRun)
			own.receive(report("a", 1), endEvent(uint64(seq+1), ords[len(ords)-1].ID, cause))
			own.advance(time.Second)
		}
		expectState(own.store(), batch.JobFailed)
	})

	DescribeTable("starts a task again only when the old run is certainly gone",
		func(change func(own *owner), again bool) {
			own := newOwner()
			own.receive(report("a", 1))
			own.submit("j", step(1))
			own.store()
			own.receive(report("b", 1))
			change(own)
			own.store()
			Expect(own.orders("b", 1, batch.StartRun)).To(HaveLen(map[bool]int{true: 1}[again]))
		},
		Entry("the agent is silent within its lease", func(own *owner) { own.advance(4 * time.Second) }, false),
		Entry("the lease has expired", func(own *owner) {
			own.advance(4 * time.Second)
			own.receive(report("b", 1))
			own.advance(1500 * time.Millisecond)
		}, true),
		Entry("a new agent process lists the run", func(own *owner) {
			rep := report("a", 2)
			rep.Runs = []batch.RunState{{ID: batch.RunID{Task: batch.TaskID{Job: "j"}, Run: 1}, Working: true}}
			own.receive(rep)
		}, false),
		Entry("a new agent process does not list the run", func(own *owner) {
			rep := report("a", 2)
			rep.Draining = true
			own.receive(rep)
		}, true),
		Entry("the worker has a new incarnation", func(own *owner) {
			rep := report("a", 2)
			rep.Incarnation, rep.Draining = "another", true
			own.receive(rep)
		}, true),
	)

	It("keeps the runs of the former owner until their instance reports or its lease has expired", func() {
		own := newOwner()
		own.receive(report("a", 1))
		job := own.submit("j", step(1))
		recs := own.store()
		nxt := newOwner()
		nxt.Restore(job, recs[0], nxt.now)
		nxt.receive(report("b", 1))
		nxt.advance(9 * time.Second)
		nxt.receive(report("b", 1))
		nxt.store()
		Expect(nxt.orders("b", 1, batch.StartRun)).To(BeEmpty())
		nxt.advance(2 * time.Second)
		nxt.store()
		Expect(nxt.orders("b", 1, batch.StartRun)).To(HaveLen(1))
		Expect(nxt.orders("b", 1, batch.StartRun)[0].ID.Run).To(Equal(2))
	})

	It("starts nothing in a data centre that is excluded", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.SetExcluded(map[fleet.DataCentre]bool{"dc": true})
		own.submit("j", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.SetExcluded(nil)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
	})

	It("stops a run that belongs to no job", func() {
		own := newOwner()
		rep := report("a", 1)
		rep.Runs = []batch.RunState{{ID: batch.RunID{Task: batch.TaskID{Job: "gone"}, Run: 3}}}
		own.receive(rep)
		own.receive(rep)
		Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(1))
	})

	It("places no runs on a worker whose runs fail", func() {
		own := newOwner()
		own.receive(report("a", 1))
		for seq, id := range []string{"j", "k", "l"} {
			own.submit(id, step(1))
			own.store()
			ords := own.orders("a", 1, batch.StartRun)
			own.receive(report("a", 1), endEvent(uint64(seq+1), ords[len(ords)-1].ID, batch.EndFailed))
		}
		own.submit("m", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3))
		own.advance(3 * time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
	})

	It("starts a best-effort task without idle CPU when its job has had no run for a while", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning, noisy := step(1), step(2)
		longRunning.LongRunning, longRunning.TargetMillis, longRunning.Image = true, 18, "web"
		noisy.BestEffort, noisy.Image, noisy.MilliCPU = true, "noisy", 5000
		own.submit("w", longRunning)
		own.store()
		own.submit("j", noisy)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		own.advance(1100 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(2))
	})

	// Guards against new best-effort tasks that keep a tail latency over its target while the
	// others are paused (bayou quiet-1, seed 787359202736: HARM).
	It("places no best-effort task where those that are there pause", func() {
		own := newOwner()
		rep := report("a", 1)
		own.receive(rep)
		noisy := step(1)
		noisy.BestEffort, noisy.Image = true, "noisy"
		own.submit("j", noisy)
		own.store()
		rep.Runs = []batch.RunState{{ID: own.orders("a", 1, batch.StartRun)[0].ID, Working: true, Share: 0}}
		own.receive(rep)
		own.submit("k", noisy)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		rep.Runs[0].Share = 100
		own.receive(rep)
		own.advance(100 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(2))
	})

	// Guards against a worker that gets no new runs after a suspension because its long-running
	// task never ends (senvang mix, seed 926949979109: LOST).
	It("places new runs on a worker with a long-running task after a suspension", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning := step(1)
		longRunning.LongRunning = true
		own.submit("w", longRunning)
		own.store()
		seq := uint64(0)
		for _, id := range []string{"j", "k", "l"} {
			own.submit(id, step(1))
			own.store()
			ords := own.orders("a", 1, batch.StartRun)
			seq++
			own.receive(report("a", 1), endEvent(seq, ords[len(ords)-1].ID, batch.EndFailed))
		}
		own.store()
		own.advance(3 * time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(5), "one trial run")
		own.receive(report("a", 1))
		own.advance(2 * time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(7), "the others after the trial")
	})

	// Guards against a run whose end is discarded before it is stored. A restarted agent repeats
	// the event when the owner no longer has the attempt (soak, seed 203).
	It("lets a restarted agent forget an end only after it is stored", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		rid := own.orders("a", 1, batch.StartRun)[0].ID
		own.receive(report("a", 1), endEvent(1, rid, batch.EndDone))
		own.receive(report("a", 2), endEvent(1, rid, batch.EndDone))
		out, _ := own.Outbox("a", 2, 0)
		Expect(out.Acked).To(BeZero())
		own.store()
		out, _ = own.Outbox("a", 2, 0)
		Expect(out.Acked).To(Equal(uint64(1)))
	})

	// Guards against two runs of a task when a lost instance returns and receives an old start
	// order.
	It("withdraws a start order that an instance had not received when it was lost", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		own.advance(6 * time.Second)
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
	})

	// Load pattern: noisy best-effort tasks while every instance has serving tasks. Guards against
	// tasks that wait for an instance without interference, which leaves CPU idle and makes jobs
	// late.
	It("starts a best-effort task at once beside a serving task with which it interferes", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning, noisy := step(1), step(1)
		longRunning.LongRunning, longRunning.TargetMillis, longRunning.Image = true, 18, "web"
		noisy.BestEffort, noisy.Image, noisy.MilliCPU = true, "noisy", 3900
		own.submit("w", longRunning)
		own.store()
		own.submit("j", noisy)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(2))
	})

	It("leaves room for short tasks and preempts a long-running task when there is none", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning := step(4)
		longRunning.LongRunning = true
		own.submit("w", longRunning)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3))
		short := step(2)
		own.submit("j", short)
		own.store()
		own.advance(300 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(1))
	})

	It("gives a lasting task the headroom when no short task takes it in time", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning := step(4)
		longRunning.LongRunning = true
		own.submit("w", longRunning)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3))
		own.advance(1600 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
	})

	// Guards against a lasting task that stands still because short tasks, whose jobs are on time, take all
	// room as it becomes free.
	It("starts an interrupted lasting task again before short tasks of its priority", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning := step(1)
		longRunning.LongRunning, longRunning.MilliCPU = true, 3000
		own.submit("w", longRunning)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		own.advance(time.Minute)
		own.receive(report("b", 1))
		own.submit("j", step(4))
		own.store()
		ords := own.orders("b", 1, batch.StartRun)
		Expect(ords).To(HaveLen(2))
		Expect(ords).To(ContainElement(HaveField("ID.Task.Job", "w")))
	})

	It("puts tightly coupled tasks into one rack when it has room", func() {
		own := newOwner()
		own.scheduler = batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{RemoteFactor: 3}, start)
		for _, id := range []string{"a", "b", "c"} {
			rep := report(id, 1)
			rep.Labels = []string{"kind", map[string]string{"a": "r1", "b": "r2", "c": "r1"}[id]}
			own.receive(rep)
		}
		coupled := step(6)
		coupled.TightlyCoupled = true
		own.submit("j", coupled)
		own.store()
		Expect(own.orders("b", 1, batch.StartRun)).To(BeEmpty())
	})

	It("stops no more long-running tasks than their disruption budget allows", func() {
		own := newOwner()
		own.receive(report("a", 1))
		longRunning := step(3)
		longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
		own.submit("w", longRunning)
		own.store()
		own.submit("j", step(3))
		own.store()
		own.advance(300 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StopRun)).To(BeEmpty(), "none of them is certainly serving yet")
	})

	It("starts the tasks of a job that needs permission only with a valid authorization", func() {
		own := newOwner()
		own.receive(report("a", 1))
		own.receive(report("b", 1))
		job, err := workload.New(workload.JobParams{ID: "j", Service: "svc", Steps: []workload.StepParams{step(1)}, NeedsPermission: true})
		Expect(err).NotTo(HaveOccurred())
		own.Submit(job, own.now)
		own.advance(time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		reqs := own.PermissionRequests(own.now)
		Expect(reqs).To(HaveLen(1))
		Expect(reqs[0].Incarnations).To(ConsistOf(batch.Incarnation("a-life"), batch.Incarnation("b-life")))
		own.SetPermissions(reqs[0], map[batch.Incarnation]string{"b-life": "t"}, own.now)
		own.store()
		Expect(own.orders("b", 1, batch.StartRun)).To(BeEmpty(), "the authorization has expired")
		own.advance(time.Second)
		again := own.PermissionRequests(own.now)
		Expect(again[0].Incarnations).To(ConsistOf(batch.Incarnation("b-life")), "a refused permission is not requested again")
		own.SetPermissions(again[0], map[batch.Incarnation]string{"b-life": "t"}, own.now.Add(time.Minute))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		Expect(own.orders("b", 1, batch.StartRun)).To(HaveLen(1))
		Expect(own.orders("b", 1, batch.StartRun)[0].Authorization).To(Equal("t"))
	})

	Describe("gang", func() {
		start := func() (*owner, []batch.Order) {
			own := newOwner()
			own.receive(report("a", 1))
			gang := step(3)
			gang.Gang = true
			own.submit("j", gang, gang)
			own.store()
			return own, own.orders("a", 1, batch.StartRun)
		}

		It("stops the other members when one was refused, because they would wait forever", func() {
			own, ords := start()
			own.receive(report("a", 1), endEvent(1, ords[0].ID, batch.EndRefused))
			Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(2))
		})

		It("is done when one member is, and keeps its reservations until all ends are reported", func() {
			own, ords := start()
			own.receive(report("a", 1), endEvent(1, ords[0].ID, batch.EndDone))
			own.store()
			Expect(own.orders("a", 1, batch.StopRun)).To(BeEmpty())
			Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3), "there is no room for the second gang yet")
			own.receive(report("a", 1), endEvent(1, ords[0].ID, batch.EndDone), endEvent(2, ords[1].ID, batch.EndDone), endEvent(3, ords[2].ID, batch.EndDone))
			own.store()
			Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(6))
		})
	})

	It("places all members of a gang with one run number or none", func() {
		own := newOwner()
		own.receive(report("a", 1))
		gang := step(5)
		gang.Gang = true
		own.submit("j", gang)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.receive(report("b", 1))
		own.advance(time.Millisecond)
		own.store()
		ords := append(own.orders("a", 1, batch.StartRun), own.orders("b", 1, batch.StartRun)...)
		Expect(ords).To(HaveLen(5))
		for _, ord := range ords {
			Expect(ord.ID.Run).To(Equal(ords[0].ID.Run))
		}
	})
})
