package batchhost_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/batchhost"
	"jacinthpost/core/resource"
)

const nextIncarnation = batch.Incarnation("w@2")

func expectHigher(fnc *batchhost.Fence, than uint64) {
	GinkgoHelper()
	Expect(fnc.Token()).To(BeNumerically(">", than))
}

var _ = Describe("Fence", func() {
	const bornAt = 1_700_000_000_000

	// Guards against calls for a former incarnation that take effect in the next one after its first listing, and
	// against a process that the next incarnation refuses because of such a call (TWICE).
	It("gives the next incarnation a higher token, although its clock starts again", func() {
		var fnc batchhost.Fence
		fnc.Begin(bornAt, time.Hour)
		former := fnc.Token()
		fnc.Begin(bornAt+time.Hour.Milliseconds(), time.Second)
		expectHigher(&fnc, former)
	})

	It("gives the next incarnation a higher token after the time of day was set back", func() {
		var fnc batchhost.Fence
		fnc.Begin(bornAt, time.Second)
		former := fnc.Token()
		fnc.Begin(bornAt-time.Hour.Milliseconds(), time.Second)
		expectHigher(&fnc, former)
	})

	It("gives the next process of the agent a higher token", func() {
		var fst, snd batchhost.Fence
		fst.Begin(bornAt, time.Second)
		snd.Begin(bornAt, 2*time.Second)
		expectHigher(&snd, fst.Token())
	})

	// Guards against a process that can't call its worker because a former process used a token that is higher by
	// the jump of a clock.
	It("passes a token that is higher by days after a few refusals", func() {
		var fnc batchhost.Fence
		fnc.Begin(bornAt, time.Second)
		highest := fnc.Token() + uint64(48*time.Hour/time.Millisecond)
		refusals := 0
		for ; fnc.Token() < highest; refusals++ {
			fnc.Refused(fnc.Token())
		}
		Expect(refusals).To(BeNumerically("<", 20))
	})

	It("rises once for several calls that were refused with the same token", func() {
		var fnc batchhost.Fence
		fnc.Begin(bornAt, time.Second)
		old := fnc.Token()
		fnc.Refused(old)
		once := fnc.Token()
		fnc.Refused(old)
		Expect(fnc.Token()).To(Equal(once))
	})
})

var _ = Describe("Host of a worker that starts again under its id", func() {
	// Guards against starts that a new incarnation executes before its agent knows of it.
	It("starts nothing from a failed call to the next listing", func() {
		agt := newAgent()
		agt.Calls()
		agt.CallFailed(incarnation)
		agt.order(batch.StartRun, "j")
		agt.expectCalls()
		agt.expectEvents(batch.EndRefused)
		agt.list()
		agt.order(batch.StartRun, "k")
		agt.expectCalls(batchhost.CallStart)
	})

	// Guards against a hold request that makes a new incarnation forget ends that nobody has seen, because it
	// numbers them from one again.
	It("lets the worker forget no end from a failed call to the next listing", func() {
		agt := newAgent()
		end := batchhost.EndedRun{Seq: 1, ID: run("j"), Cause: batch.EndDone}
		agt.listEnds(end)
		agt.Report("a", agt.now)
		agt.Confirmed(agt.Epoch(), agt.Session(), 1)
		Expect(agt.Forgettable()).To(Equal(uint64(1)))
		agt.CallFailed(incarnation)
		Expect(agt.Forgettable()).To(BeZero())
		agt.listEnds(end)
		Expect(agt.Forgettable()).To(Equal(uint64(1)))
	})

	// Guards against a request that waits for ends and makes an incarnation that has begun unnoticed forget each of
	// them (soak, seed 32030).
	It("lets the worker forget an end once", func() {
		agt := newAgent()
		agt.listEnds(batchhost.EndedRun{Seq: 1, ID: run("j"), Cause: batch.EndDone})
		agt.Report("a", agt.now)
		agt.Confirmed(agt.Epoch(), agt.Session(), 1)
		agt.ApplyListing(batchhost.Listing{Incarnation: incarnation, Clock: agt.clock(), Forgot: agt.Forgettable(), SentAt: agt.now, ReceivedAt: agt.now})
		Expect(agt.Forgettable()).To(BeZero())
	})

	// Guards against a start that was decided before a pause of the process and reaches a new incarnation after it.
	It("does not send a start that was decided long ago", func() {
		agt := newAgent()
		agt.Calls()
		agt.order(batch.StartRun, "j")
		cal := agt.Calls()[0]
		Expect(cal.Stale(agt.now.Add(100 * time.Millisecond))).To(BeFalse())
		Expect(cal.Stale(agt.now.Add(time.Second))).To(BeTrue())
	})

	// Guards against runs that are given up while they work. A call for the former incarnation renews the lease
	// until a time on the former clock, which the worker cuts to the longest lease.
	It("gives up no run of the next incarnation before the longest lease has ended", func() {
		agt := newAgent()
		agt.Announce(batchhost.Worker{Incarnation: nextIncarnation, Capacity: resource.New(4000, 4000, 0)}, agt.now)
		agt.ApplyListing(batchhost.Listing{
			Incarnation: nextIncarnation, Clock: agt.clock(), Runs: []batch.RunState{{ID: run("j")}}, SentAt: agt.now, ReceivedAt: agt.now,
		})
		agt.advance(9 * time.Second)
		agt.expectEvents()
		agt.advance(2 * time.Second)
		agt.expectEvents(batch.EndLeaseExpired)
	})
})
