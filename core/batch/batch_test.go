package batch_test

import (
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

// owner drives a scheduler the way its process does.
type owner struct {
	*scheduler
	now time.Time
}

func newOwner() *owner {
	return &owner{scheduler: batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{LostAfter: 5 * time.Second}, start), now: start}
}

func (own *owner) pass(dur time.Duration) {
	own.now = own.now.Add(dur)
	own.Tick(own.now, own.now)
}

// store plans, stores everything and returns the records.
func (own *owner) store() []batch.JobRecord {
	own.Plan(own.now)
	bat := own.NextBatch(100)
	own.Committed(bat, own.now)
	return bat.Records()
}

func step(count int) workload.StepParams {
	return workload.StepParams{Count: count, MilliCPU: 1000, MemoryMB: 100, EstimateMillis: 1000}
}

func (own *owner) submit(id string, steps ...workload.StepParams) workload.Job {
	job, err := workload.New(workload.JobParams{
		ID: id, Queue: "q", Service: "svc", Payload: "p", Steps: steps, MaxAttempts: 2, Stretch: 2, AcceptedMillis: own.now.UnixMilli(),
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

func ended(seq uint64, rid batch.RunID, cause batch.EndCause) batch.Event {
	return batch.Event{Seq: seq, ID: rid, Cause: cause}
}

func (own *owner) hear(rep batch.Report, evts ...batch.Event) {
	rep.Events = evts
	own.ApplyReport(rep, own.now)
}

func expectState(recs []batch.JobRecord, sta batch.JobState) {
	GinkgoHelper()
	Expect(recs).To(HaveLen(1))
	Expect(recs[0].State).To(Equal(sta))
}

var _ = Describe("Scheduler", func() {
	It("releases a start only after the run is stored", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(1))
		own.Plan(own.now)
		bat := own.NextBatch(10)
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.Abandoned(bat)
		bat = own.NextBatch(10)
		own.Committed(bat, own.now)
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
	})

	It("starts a later step after the earlier one and completes the job", func() {
		own := newOwner()
		own.hear(report("a", 1))
		snd := step(1)
		snd.Dependencies = []int{0}
		own.submit("j", step(1), snd)
		own.store()
		fst := own.orders("a", 1, batch.StartRun)
		Expect(fst).To(HaveLen(1))
		own.hear(report("a", 1), ended(1, fst[0].ID, batch.EndDone))
		expectState(own.store(), batch.JobRunning)
		both := own.orders("a", 1, batch.StartRun)
		Expect(both).To(HaveLen(2))
		own.hear(report("a", 1), ended(1, fst[0].ID, batch.EndDone), ended(2, both[1].ID, batch.EndDone))
		expectState(own.store(), batch.JobCompleted)
	})

	It("lets an agent forget an end only after it is stored", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(1))
		own.store()
		ord := own.orders("a", 1, batch.StartRun)[0]
		own.hear(report("a", 1), ended(1, ord.ID, batch.EndDone))
		out, _ := own.Outbox("a", 1, 0)
		Expect(out.Acked).To(BeZero())
		own.store()
		out, _ = own.Outbox("a", 1, 0)
		Expect(out.Acked).To(BeEquivalentTo(1))
	})

	It("never reserves more than an instance has, counting what is being stopped", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(10))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
		own.Cancel("j", own.now)
		own.submit("k", step(4))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
	})

	It("fails a job after its attempts and not because of stops", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(1))
		for seq, cause := range []batch.EndCause{batch.EndStopped, batch.EndFailed, batch.EndLeaseExpired, batch.EndFailed} {
			own.store()
			ords := own.orders("a", 1, batch.StartRun)
			own.hear(report("a", 1), ended(uint64(seq+1), ords[len(ords)-1].ID, cause))
			own.pass(time.Second)
		}
		expectState(own.store(), batch.JobFailed)
	})

	DescribeTable("starts a task again only when the old run is certainly gone",
		func(change func(own *owner), again bool) {
			own := newOwner()
			own.hear(report("a", 1))
			own.submit("j", step(1))
			own.store()
			own.hear(report("b", 1))
			change(own)
			own.store()
			Expect(own.orders("b", 1, batch.StartRun)).To(HaveLen(map[bool]int{true: 1}[again]))
		},
		Entry("the agent is silent within its lease", func(own *owner) { own.pass(4 * time.Second) }, false),
		Entry("the lease has expired", func(own *owner) {
			own.pass(4 * time.Second)
			own.hear(report("b", 1))
			own.pass(1500 * time.Millisecond)
		}, true),
		Entry("a new agent process lists the run", func(own *owner) {
			rep := report("a", 2)
			rep.Runs = []batch.RunState{{ID: batch.RunID{Task: batch.TaskID{Job: "j"}, Run: 1}, Working: true}}
			own.hear(rep)
		}, false),
		Entry("a new agent process does not list the run", func(own *owner) {
			rep := report("a", 2)
			rep.Draining = true
			own.hear(rep)
		}, true),
		Entry("the worker has a new life", func(own *owner) {
			rep := report("a", 2)
			rep.Incarnation, rep.Draining = "another", true
			own.hear(rep)
		}, true),
	)

	It("keeps inherited runs until their instance reports or the lease of the former owner has expired", func() {
		own := newOwner()
		own.hear(report("a", 1))
		job := own.submit("j", step(1))
		recs := own.store()
		nxt := newOwner()
		nxt.Restore(job, recs[0], nxt.now)
		nxt.hear(report("b", 1))
		nxt.pass(9 * time.Second)
		nxt.hear(report("b", 1))
		nxt.store()
		Expect(nxt.orders("b", 1, batch.StartRun)).To(BeEmpty())
		nxt.pass(2 * time.Second)
		nxt.store()
		Expect(nxt.orders("b", 1, batch.StartRun)).To(HaveLen(1))
		Expect(nxt.orders("b", 1, batch.StartRun)[0].ID.Run).To(Equal(2))
	})

	It("starts nothing in a data centre that is out", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.SetExcluded(map[fleet.DataCentre]bool{"dc": true})
		own.submit("j", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.SetExcluded(nil)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
	})

	It("stops a run that no job knows", func() {
		own := newOwner()
		rep := report("a", 1)
		rep.Runs = []batch.RunState{{ID: batch.RunID{Task: batch.TaskID{Job: "gone"}, Run: 3}}}
		own.hear(rep)
		own.hear(rep)
		Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(1))
	})

	It("keeps work away from a worker that fails what it runs", func() {
		own := newOwner()
		own.hear(report("a", 1))
		for seq, id := range []string{"j", "k", "l"} {
			own.submit(id, step(1))
			own.store()
			ords := own.orders("a", 1, batch.StartRun)
			own.hear(report("a", 1), ended(uint64(seq+1), ords[len(ords)-1].ID, batch.EndFailed))
		}
		own.submit("m", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3))
		own.pass(3 * time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
	})

	It("starts a task that found no idle processors for a while when its job has nothing at work", func() {
		own := newOwner()
		own.hear(report("a", 1))
		watch, noisy := step(1), step(2)
		watch.LongRunning, watch.TargetMillis, watch.Image = true, 18, "web"
		noisy.BestEffort, noisy.Image, noisy.MilliCPU = true, "noisy", 5000
		own.submit("w", watch)
		own.store()
		own.submit("j", noisy)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		own.pass(1100 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(2))
	})

	// Guards against new filling tasks that keep a tail over its target while the others pause
	// (bayou quiet-1, seed 787359202736: HARM).
	It("places no filling task where those that are there pause", func() {
		own := newOwner()
		rep := report("a", 1)
		own.hear(rep)
		noisy := step(1)
		noisy.BestEffort, noisy.Image = true, "noisy"
		own.submit("j", noisy)
		own.store()
		rep.Runs = []batch.RunState{{ID: own.orders("a", 1, batch.StartRun)[0].ID, Working: true, Share: 0}}
		own.hear(rep)
		own.submit("k", noisy)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		rep.Runs[0].Share = 100
		own.hear(rep)
		own.pass(100 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(2))
	})

	// Guards against a worker with a lasting task that gets no more work after a suspension,
	// because that task never ends (senvang mix, seed 926949979109: LOST).
	It("gives a worker with a lasting task work again after a suspension", func() {
		own := newOwner()
		own.hear(report("a", 1))
		watch := step(1)
		watch.LongRunning = true
		own.submit("w", watch)
		own.store()
		seq := uint64(0)
		for _, id := range []string{"j", "k", "l"} {
			own.submit(id, step(1))
			own.store()
			ords := own.orders("a", 1, batch.StartRun)
			seq++
			own.hear(report("a", 1), ended(seq, ords[len(ords)-1].ID, batch.EndFailed))
		}
		own.store()
		own.pass(3 * time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(5), "one run on trial")
		own.hear(report("a", 1))
		own.pass(2 * time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(7), "the others after it")
	})

	// Guards against an end that the worker forgets before it is stored: a restarted agent
	// repeats the event, and the run is not known any more (soak, seed 203).
	It("lets a restarted agent forget an end only after it is stored", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(1))
		own.store()
		rid := own.orders("a", 1, batch.StartRun)[0].ID
		own.hear(report("a", 1), ended(1, rid, batch.EndDone))
		own.hear(report("a", 2), ended(1, rid, batch.EndDone))
		out, _ := own.Outbox("a", 2, 0)
		Expect(out.Acked).To(BeZero())
		own.store()
		out, _ = own.Outbox("a", 2, 0)
		Expect(out.Acked).To(Equal(uint64(1)))
	})

	// Guards against a second run when an instance that was given up comes back and takes
	// an order of the time before.
	It("withdraws a start that an instance did not take before it was lost", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(1))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(1))
		own.pass(6 * time.Second)
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
	})

	// Load pattern: noisy filling tasks while every instance has serving tasks. Waiting for a
	// quiet place left processors idle and made the jobs late.
	It("starts a filling task at once beside a serving task that it disturbs", func() {
		own := newOwner()
		own.hear(report("a", 1))
		watch, noisy := step(1), step(1)
		watch.LongRunning, watch.TargetMillis, watch.Image = true, 18, "web"
		noisy.BestEffort, noisy.Image, noisy.MilliCPU = true, "noisy", 3900
		own.submit("w", watch)
		own.store()
		own.submit("j", noisy)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(2))
	})

	It("leaves room for short tasks and makes some when there is none", func() {
		own := newOwner()
		own.hear(report("a", 1))
		watch := step(4)
		watch.LongRunning = true
		own.submit("w", watch)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3))
		short := step(2)
		own.submit("j", short)
		own.store()
		own.pass(300 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(1))
	})

	It("gives a lasting task the headroom when no short task takes it in time", func() {
		own := newOwner()
		own.hear(report("a", 1))
		watch := step(4)
		watch.LongRunning = true
		own.submit("w", watch)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3))
		own.pass(1600 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(4))
	})

	It("puts tightly coupled tasks into one rack when it has room", func() {
		own := newOwner()
		own.scheduler = batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{RemoteFactor: 3}, start)
		for _, id := range []string{"a", "b", "c"} {
			rep := report(id, 1)
			rep.Labels = []string{"kind", map[string]string{"a": "r1", "b": "r2", "c": "r1"}[id]}
			own.hear(rep)
		}
		coupled := step(6)
		coupled.TightlyCoupled = true
		own.submit("j", coupled)
		own.store()
		Expect(own.orders("b", 1, batch.StartRun)).To(BeEmpty())
	})

	It("takes no more lasting tasks down than their budget allows", func() {
		own := newOwner()
		own.hear(report("a", 1))
		watch := step(3)
		watch.LongRunning, watch.MaxUnavailable = true, 1
		own.submit("w", watch)
		own.store()
		own.submit("j", step(3))
		own.store()
		own.pass(300 * time.Millisecond)
		own.store()
		Expect(own.orders("a", 1, batch.StopRun)).To(BeEmpty(), "none of them is surely at work yet")
	})

	It("starts the tasks of an advised queue only with a ticket that is still valid", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.hear(report("b", 1))
		job, err := workload.New(workload.JobParams{ID: "j", Service: "svc", Steps: []workload.StepParams{step(1)}, NeedsPermission: true})
		Expect(err).NotTo(HaveOccurred())
		own.Submit(job, own.now)
		own.pass(time.Second)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		reqs := own.PermissionRequests(own.now)
		Expect(reqs).To(HaveLen(1))
		Expect(reqs[0].Incarnations).To(ConsistOf(batch.Incarnation("a-life"), batch.Incarnation("b-life")))
		own.SetPermissions(reqs[0], map[batch.Incarnation]string{"b-life": "t"}, own.now)
		own.store()
		Expect(own.orders("b", 1, batch.StartRun)).To(BeEmpty(), "the ticket has expired")
		own.pass(time.Second)
		again := own.PermissionRequests(own.now)
		Expect(again[0].Incarnations).To(ConsistOf(batch.Incarnation("b-life")), "a refusal does not change")
		own.SetPermissions(again[0], map[batch.Incarnation]string{"b-life": "t"}, own.now.Add(time.Minute))
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		Expect(own.orders("b", 1, batch.StartRun)).To(HaveLen(1))
		Expect(own.orders("b", 1, batch.StartRun)[0].Ticket).To(Equal("t"))
	})

	Describe("gang", func() {
		start := func() (*owner, []batch.Order) {
			own := newOwner()
			own.hear(report("a", 1))
			gang := step(3)
			gang.Gang = true
			own.submit("j", gang, gang)
			own.store()
			return own, own.orders("a", 1, batch.StartRun)
		}

		It("stops the other members when one was refused, because they would wait in vain", func() {
			own, ords := start()
			own.hear(report("a", 1), ended(1, ords[0].ID, batch.EndRefused))
			Expect(own.orders("a", 1, batch.StopRun)).To(HaveLen(2))
		})

		It("is done when one member is, and holds its room until all ends are reported", func() {
			own, ords := start()
			own.hear(report("a", 1), ended(1, ords[0].ID, batch.EndDone))
			own.store()
			Expect(own.orders("a", 1, batch.StopRun)).To(BeEmpty())
			Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(3), "the second gang has no room yet")
			own.hear(report("a", 1), ended(1, ords[0].ID, batch.EndDone), ended(2, ords[1].ID, batch.EndDone), ended(3, ords[2].ID, batch.EndDone))
			own.store()
			Expect(own.orders("a", 1, batch.StartRun)).To(HaveLen(6))
		})
	})

	It("places all members of a gang with one run number or none", func() {
		own := newOwner()
		own.hear(report("a", 1))
		gang := step(5)
		gang.Gang = true
		own.submit("j", gang)
		own.store()
		Expect(own.orders("a", 1, batch.StartRun)).To(BeEmpty())
		own.hear(report("b", 1))
		own.pass(time.Millisecond)
		own.store()
		ords := append(own.orders("a", 1, batch.StartRun), own.orders("b", 1, batch.StartRun)...)
		Expect(ords).To(HaveLen(5))
		for _, ord := range ords {
			Expect(ord.ID.Run).To(Equal(ords[0].ID.Run))
		}
	})
})
