package batchhost_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/batchhost"
	"jacinthpost/core/resource"
	"jacinthpost/internal/specs"
)

func TestBatchhost(t *testing.T) { specs.Run(t, "batchhost") }

const (
	incarnation = batch.Incarnation("w@1")
	// startsFor is how long the owner's answers usually allow starts in these specs.
	startsFor = 2800 * time.Millisecond
)

// agent drives a host as the agent process does, with a simulated clock.
type agent struct {
	*batchhost.Host
	now       time.Time
	lastOrder uint64
	startsFor time.Duration // allowed by the owner's answers
}

func newAgent() *agent {
	agt := &agent{Host: batchhost.New(batchhost.Options{}, 100), now: time.Unix(1000, 0), startsFor: startsFor}
	agt.Announce(batchhost.Worker{Incarnation: incarnation, Capacity: resource.New(4000, 4000, 0)}, agt.now)
	agt.Follow(1)
	agt.list()
	agt.Grant(1, agt.now, 6*time.Second)
	return agt
}

func (agt *agent) advance(dur time.Duration) {
	agt.now = agt.now.Add(dur)
	agt.Tick(agt.now)
}

func (agt *agent) clock() time.Duration { return agt.now.Sub(time.Unix(0, 0)) }

func (agt *agent) list(runs ...batch.RunState) {
	agt.ApplyListing(batchhost.Listing{Incarnation: incarnation, Clock: agt.clock(), Runs: runs, SentAt: agt.now, ReceivedAt: agt.now})
}

func (agt *agent) listEnds(ends ...batchhost.EndedRun) {
	agt.ApplyListing(batchhost.Listing{Incarnation: incarnation, Clock: agt.clock(), Ended: ends, SentAt: agt.now, ReceivedAt: agt.now})
}

func run(job string) batch.RunID { return batch.RunID{Task: batch.TaskID{Job: job}, Run: 1} }

func (agt *agent) order(knd batch.OrderKind, job string) {
	agt.lastOrder++
	agt.ApplyOrders(agt.Epoch(), agt.Session(), []batch.Order{{Seq: agt.lastOrder, Kind: knd, ID: run(job), Need: resource.New(3000, 100, 0)}}, agt.now.Add(agt.startsFor), agt.now)
}

func (agt *agent) expectCalls(knds ...batchhost.CallKind) {
	GinkgoHelper()
	got := []batchhost.CallKind{}
	for _, cal := range agt.Calls() {
		got = append(got, cal.Kind)
	}
	Expect(got).To(Equal(append([]batchhost.CallKind{}, knds...)))
}

// Guards against run times that the owner can't learn, because the run ended before a report listed it.
var _ = It("tells in its news how long a run took", func() {
	agt := newAgent()
	agt.order(batch.StartRun, "j")
	agt.StartEnded(incarnation, run("j"), batchhost.Accepted, "", agt.now)
	agt.now = agt.now.Add(640 * time.Millisecond)
	agt.listEnds(batchhost.EndedRun{Seq: 1, ID: run("j"), Cause: batch.EndDone})
	nws := agt.News("a")
	Expect(nws.Session).To(Equal(agt.Session()))
	Expect(nws.Events).To(HaveLen(1))
	Expect(nws.Events[0].Took).To(Equal(640 * time.Millisecond))
	agt.Confirmed(agt.Epoch(), agt.Session(), 1)
	Expect(agt.News("a").Events).To(BeEmpty())
})

// Guards against a new owner that takes a run for wanted although its stop was ordered.
var _ = It("reports which runs are being stopped", func() {
	agt := newAgent()
	agt.list(batch.RunState{ID: run("j")}, batch.RunState{ID: run("k")})
	agt.order(batch.StopRun, "j")
	agt.Follow(2)
	var stopping []batch.RunID
	for _, sta := range agt.Report("a", agt.now).Runs {
		if sta.Stopping {
			stopping = append(stopping, sta.ID)
		}
	}
	Expect(stopping).To(ConsistOf(run("j")))
})

func (agt *agent) expectEvents(causes ...batch.EndCause) {
	GinkgoHelper()
	var got []batch.EndCause
	for _, evt := range agt.Report("a", agt.now).Events {
		got = append(got, evt.Cause)
	}
	Expect(got).To(Equal(causes))
}

var _ = Describe("A listing whose ends are cut", func() {
	cut := func(agt *agent, ends ...batchhost.EndedRun) {
		agt.ApplyListing(batchhost.Listing{Incarnation: incarnation, Clock: agt.clock(), Ended: ends, EndsCut: true, SentAt: agt.now, ReceivedAt: agt.now})
	}

	// Guards against a run whose end is not listed yet and that counts as refused, so that its task runs again (TWICE).
	DescribeTable("ends no run that it lacks", func(before func(agt *agent)) {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		agt.StartEnded(incarnation, run("j"), batchhost.Accepted, "", agt.now)
		before(agt)
		for range 4 {
			agt.now = agt.now.Add(100 * time.Millisecond)
			cut(agt)
		}
		agt.expectEvents()
		Expect(agt.Report("a", agt.now).Partial).To(BeTrue())
		agt.listEnds(batchhost.EndedRun{Seq: 501, ID: run("j"), Cause: batch.EndDone})
		agt.expectEvents(batch.EndDone)
		Expect(agt.Report("a", agt.now).Partial).To(BeFalse())
	},
		Entry("after a start", func(*agent) {}),
		Entry("after a stop", func(agt *agent) {
			agt.order(batch.StopRun, "j")
			agt.StopEnded(incarnation, run("j"), batchhost.Accepted, agt.now)
		}),
	)
})

var _ = Describe("Host", func() {
	DescribeTable("refuses a start that the worker may have no capacity or no lease for",
		func(change func(agt *agent)) {
			agt := newAgent()
			change(agt)
			agt.Calls()
			agt.order(batch.StartRun, "j")
			agt.expectCalls()
			Expect(agt.Report("a", agt.now).Events).To(ContainElement(HaveField("Cause", batch.EndRefused)))
		},
		Entry("no room beside a run that may still start", func(agt *agent) { agt.order(batch.StartRun, "k") }),
		Entry("no room beside a run that is being stopped", func(agt *agent) {
			agt.order(batch.StartRun, "k")
			agt.list(batch.RunState{ID: run("k")})
			agt.order(batch.StopRun, "k")
		}),
		Entry("a run with unknown needs after a restart of the agent", func(agt *agent) { agt.list(batch.RunState{ID: run("k")}) }),
		Entry("the owner's answer allows no starts", func(agt *agent) {
			agt.startsFor = 0
		}),
		Entry("the worker drains", func(agt *agent) { agt.Announce(batchhost.Worker{Incarnation: incarnation, Draining: true}, agt.now) }),
		Entry("the owner's grant has nearly ended", func(agt *agent) { agt.advance(5800 * time.Millisecond) }),
	)

	// Guards against a pause that begins only with the next listing, when the tail latency has been
	// over its target for longer than tolerated (grown bayou scale-1: HARM).
	It("pauses best-effort runs when a tail latency has been over its target for too long, without a new list", func() {
		agt := newAgent()
		serving, bestEffort := run("web"), run("noisy")
		agt.ApplyOrders(1, agt.Session(), []batch.Order{
			{Seq: 1, Kind: batch.StartRun, ID: serving, Image: "web", Target: 10 * time.Millisecond},
			{Seq: 2, Kind: batch.StartRun, ID: bestEffort, Image: "noisy", BestEffort: true},
		}, agt.now.Add(startsFor), agt.now)
		agt.list(batch.RunState{ID: serving, Figure: 50}, batch.RunState{ID: bestEffort})
		agt.Calls()
		agt.advance(2100 * time.Millisecond)
		agt.expectCalls()
		agt.advance(150 * time.Millisecond)
		agt.expectCalls(batchhost.CallPace)
		agt.advance(100 * time.Millisecond)
		agt.expectCalls()
	})

	// Guards against a run that runs at full speed during a pause until it is first listed.
	It("pauses a best-effort run that starts during a pause at once", func() {
		agt := newAgent()
		serving, bestEffort := run("web"), run("noisy")
		agt.ApplyOrders(1, agt.Session(), []batch.Order{{Seq: 1, Kind: batch.StartRun, ID: serving, Image: "web", Target: 10 * time.Millisecond}}, agt.now.Add(startsFor), agt.now)
		agt.StartEnded(incarnation, serving, batchhost.Accepted, "", agt.now)
		for range 12 {
			agt.advance(300 * time.Millisecond)
			agt.list(batch.RunState{ID: serving, Figure: 50})
		}
		agt.Calls()
		agt.Grant(1, agt.now, 6*time.Second)
		agt.ApplyOrders(1, agt.Session(), []batch.Order{{Seq: 2, Kind: batch.StartRun, ID: bestEffort, Image: "noisy", BestEffort: true}}, agt.now.Add(startsFor), agt.now)
		agt.expectCalls(batchhost.CallStart)
		agt.StartEnded(incarnation, bestEffort, batchhost.Accepted, "", agt.now)
		agt.expectCalls(batchhost.CallPace)
	})

	// Guards against a retry without payload and checkpoint: a new owner describes the runs that the
	// agent reports, and the description must not replace the order of a pending start
	// (late orders: UNASKED).
	It("repeats a start as it was ordered after a new owner described the run", func() {
		agt := newAgent()
		rid := run("j")
		agt.ApplyOrders(1, agt.Session(), []batch.Order{{Seq: 1, Kind: batch.StartRun, ID: rid, Payload: "build", Checkpoint: "half"}}, agt.now.Add(startsFor), agt.now)
		agt.Calls()
		agt.Follow(2)
		agt.ApplyOrders(2, agt.Session(), []batch.Order{{Seq: 1, Kind: batch.DescribeRun, ID: rid, Need: resource.New(1, 1, 0)}}, agt.now.Add(startsFor), agt.now)
		agt.StartEnded(incarnation, rid, batchhost.Unknown, "", agt.now)
		Expect(agt.Calls()).To(ConsistOf(And(
			HaveField("Kind", batchhost.CallStart), HaveField("Order.Payload", "build"), HaveField("Order.Checkpoint", "half"))))
	})

	// Guards against retries without delay to a worker that resets each connection, such as one that
	// restarts repeatedly (flapping-workers: 50,000 connections in 14 s).
	DescribeTable("retries an unconfirmed start a few times a second", func(out batchhost.CallOutcome) {
		agt := newAgent()
		rid, tries := run("j"), 0
		agt.order(batch.StartRun, "j")
		for range 100 {
			for _, cal := range agt.Calls() {
				Expect(cal.Kind).To(Equal(batchhost.CallStart))
				tries++
				agt.StartEnded(incarnation, rid, out, "", agt.now)
			}
			agt.advance(10 * time.Millisecond)
		}
		Expect(tries).To(BeNumerically(">=", 5))
		Expect(tries).To(BeNumerically("<=", 12))
	},
		Entry("no answer", batchhost.Unknown),
		Entry("refused, but may be repeated with new values", batchhost.Retry),
	)

	// Guards against a task that runs twice. A restarted agent does not know which lease its former
	// process requested, so it must wait for the longest possible one to expire
	// (late-orders on bayou-paddle, seed 2: TWICE).
	It("ends the runs of a silent worker after a restart only when the former lease has ended", func() {
		agt := &agent{Host: batchhost.New(batchhost.Options{Lease: 4 * time.Second}, 100), now: time.Unix(1000, 0)}
		agt.Announce(batchhost.Worker{Incarnation: incarnation, Capacity: resource.New(4000, 4000, 0)}, agt.now)
		agt.Follow(1)
		agt.list(batch.RunState{ID: run("j")})
		agt.advance(3900 * time.Millisecond)
		agt.expectEvents()
		agt.advance(400 * time.Millisecond)
		agt.expectEvents(batch.EndLeaseExpired)
	})

	// Guards against starts more than the allowed time after the cancellation of their job, repeated by an agent whose
	// owner is frozen or was replaced by a process that does not answer either (UNASKED).
	DescribeTable("repeats no start that the owner's last answer does not allow any more", func(after func(agt *agent), calls ...batchhost.CallKind) {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		agt.expectCalls(batchhost.CallStart)
		agt.StartEnded(incarnation, run("j"), batchhost.Unknown, "", agt.now)
		agt.expectCalls(batchhost.CallStart)
		agt.now = agt.now.Add(startsFor - 700*time.Millisecond)
		agt.list()
		agt.StartEnded(incarnation, run("j"), batchhost.Unknown, "", agt.now)
		agt.now = agt.now.Add(800 * time.Millisecond)
		agt.list()
		after(agt)
		agt.advance(0)
		agt.expectCalls(calls...)
	},
		Entry("no later answer", func(*agent) {}),
		Entry("a new owner that has not answered", func(agt *agent) { agt.Follow(2) }),
		Entry("a later answer that allows it", func(agt *agent) {
			agt.ApplyOrders(1, agt.Session(), nil, agt.now.Add(startsFor), agt.now)
		}, batchhost.CallStart),
		Entry("a later answer of the former owner", func(agt *agent) {
			session := agt.Session()
			agt.Follow(2)
			agt.ApplyOrders(1, session, nil, agt.now.Add(startsFor), agt.now)
		}),
		Entry("an answer of the new owner", func(agt *agent) {
			agt.Follow(2)
			agt.ApplyOrders(2, agt.Session(), nil, agt.now.Add(startsFor), agt.now)
		}, batchhost.CallStart),
		Entry("so long that the run is given up", func(agt *agent) { agt.now = agt.now.Add(2 * time.Second); agt.list() }, batchhost.CallStop),
	)

	// Guards against starts on a worker that is about to leave, and whose work is lost then (DRAIN).
	It("stops a run whose start got no answer when the worker drains", func() {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		agt.expectCalls(batchhost.CallStart)
		agt.Announce(batchhost.Worker{Incarnation: incarnation, Capacity: resource.New(4000, 4000, 0), Draining: true}, agt.now)
		agt.advance(100 * time.Millisecond)
		agt.expectCalls()
		agt.StartEnded(incarnation, run("j"), batchhost.Unknown, "", agt.now)
		agt.expectCalls(batchhost.CallStop)
		agt.StopEnded(incarnation, run("j"), batchhost.Accepted, agt.now)
		agt.now = agt.now.Add(time.Millisecond)
		agt.list()
		agt.expectEvents(batch.EndRefused)
	})

	// Guards against a call that waits behind others and reaches the worker when it is not allowed any more.
	It("limits a start call by the time until which the owner allows it", func() {
		agt := newAgent()
		agt.ApplyOrders(1, agt.Session(), []batch.Order{{Seq: 1, Kind: batch.StartRun, ID: run("j")}}, agt.now.Add(100*time.Millisecond), agt.now)
		cals := agt.Calls()
		Expect(cals).To(HaveLen(1))
		Expect(cals[0].NotAfter).To(Equal(agt.now.Add(100 * time.Millisecond)))
		Expect(cals[0].Stale(agt.now.Add(99 * time.Millisecond))).To(BeFalse())
		Expect(cals[0].Stale(agt.now.Add(100 * time.Millisecond))).To(BeTrue())
	})

	It("ignores orders of an owner that was replaced", func() {
		agt := newAgent()
		Expect(agt.Follow(2)).To(BeTrue())
		agt.ApplyOrders(1, agt.Session(), []batch.Order{{Seq: 1, Kind: batch.StartRun, ID: run("j")}}, agt.now.Add(startsFor), agt.now)
		agt.expectCalls()
		Expect(agt.Follow(1)).To(BeFalse())
	})

	// Guards against a start of a cancelled job by an agent that hears of the order and of its stop at once (UNASKED).
	It("does not start a run that the same answer stops", func() {
		agt := newAgent()
		agt.ApplyOrders(1, agt.Session(), []batch.Order{
			{Seq: 1, Kind: batch.StartRun, ID: run("j")},
			{Seq: 2, Kind: batch.StopRun, ID: run("j")},
		}, agt.now.Add(startsFor), agt.now)
		agt.expectCalls()
		agt.expectEvents(batch.EndRefused)
		Expect(agt.LastOrder()).To(Equal(uint64(2)))
	})

	It("repeats a start without an answer and counts it as started when the worker lists it", func() {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		agt.expectCalls(batchhost.CallStart)
		agt.StartEnded(incarnation, run("j"), batchhost.Unknown, "timeout", agt.now)
		agt.expectCalls(batchhost.CallStart)
		agt.list(batch.RunState{ID: run("j")})
		agt.StartEnded(incarnation, run("j"), batchhost.Unknown, "timeout", agt.now)
		agt.expectCalls()
		agt.expectEvents()
	})

	It("stops a run that is refused after a call without an answer, because that call may be executed late", func() {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		agt.StartEnded(incarnation, run("j"), batchhost.Unknown, "timeout", agt.now)
		agt.Calls()
		agt.StartEnded(incarnation, run("j"), batchhost.NotDone, "busy", agt.now)
		agt.expectEvents()
		agt.expectCalls(batchhost.CallStop)
		agt.list()
		agt.expectEvents()
		agt.StopEnded(incarnation, run("j"), batchhost.Accepted, agt.now)
		agt.advance(time.Millisecond)
		agt.list()
		agt.expectEvents(batch.EndRefused)
	})

	It("ignores a missing run in a listing that was requested before its start was answered", func() {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		requestedAt := agt.now
		agt.advance(10 * time.Millisecond)
		agt.StartEnded(incarnation, run("j"), batchhost.Accepted, "", agt.now)
		for range 3 {
			agt.ApplyListing(batchhost.Listing{Incarnation: incarnation, Clock: agt.clock(), SentAt: requestedAt, ReceivedAt: agt.now})
		}
		agt.expectEvents()
	})

	It("ends the runs of a silent worker only when its lease has expired", func() {
		agt := newAgent()
		agt.order(batch.StartRun, "j")
		agt.list(batch.RunState{ID: run("j"), Checkpoint: "c"})
		for range 40 {
			agt.LeaseEnd(agt.now) // every attempt to reach the worker requests a lease
			agt.advance(100 * time.Millisecond)
		}
		agt.expectEvents()
		for range 20 {
			agt.Grant(1, agt.now, 6*time.Second)
			agt.LeaseEnd(agt.now)
			agt.advance(100 * time.Millisecond)
		}
		agt.expectEvents(batch.EndLeaseExpired)
	})

	It("never renews a lease beyond the owner's grant", func() {
		agt := newAgent()
		agt.advance(5 * time.Second)
		agt.list()
		until, ok := agt.LeaseEnd(agt.now)
		Expect(ok).To(BeTrue())
		Expect(until - agt.clock()).To(Equal(time.Second))
		agt.advance(time.Second)
		_, ok = agt.LeaseEnd(agt.now)
		Expect(ok).To(BeFalse())
	})

	It("lets the worker forget an end only when the owner has stored it", func() {
		agt := newAgent()
		agt.listEnds(batchhost.EndedRun{Seq: 7, ID: run("j"), Cause: batch.EndDone})
		Expect(agt.Forgettable()).To(BeZero())
		agt.Confirmed(agt.Epoch(), agt.Session(), 1)
		Expect(agt.Forgettable()).To(BeEquivalentTo(7))
	})

	It("reports an end again to a new owner, once", func() {
		agt := newAgent()
		agt.listEnds(batchhost.EndedRun{Seq: 7, ID: run("j"), Cause: batch.EndDone})
		agt.Follow(2)
		agt.listEnds(batchhost.EndedRun{Seq: 7, ID: run("j"), Cause: batch.EndDone})
		agt.expectEvents(batch.EndDone)
	})

	It("starts a new session without runs when the worker has a new incarnation", func() {
		agt := newAgent()
		agt.list(batch.RunState{ID: run("j")})
		before := agt.Session()
		agt.Announce(batchhost.Worker{Incarnation: "w@2"}, agt.now)
		Expect(agt.Session()).To(BeNumerically(">", before))
		Expect(agt.ReadyToReport()).To(BeFalse())
		Expect(agt.Report("a", agt.now).Runs).To(BeEmpty())
	})
})
