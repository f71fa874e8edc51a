package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

// succession is an owner and what it has stored, from which another one can take over.
type succession struct {
	*owner
	job    workload.Job
	record batch.JobRecord
}

func newSuccession(steps ...workload.StepParams) *succession {
	suc := &succession{owner: newOwner()}
	suc.receive(report("a", 1))
	suc.receive(report("b", 1))
	suc.job = suc.submit("j", steps...)
	suc.save()
	return suc
}

func (suc *succession) save() {
	for _, rec := range suc.store() {
		suc.record = rec
	}
}

// started returns the runs whose start was ordered on an instance.
func (suc *succession) started(id string) []batch.RunID {
	var rids []batch.RunID
	for _, ord := range suc.orders(id, 1, batch.StartRun) {
		rids = append(rids, ord.ID)
	}
	return rids
}

// list reports runs as listed by the worker of an instance.
func (suc *succession) list(id string, session uint64, rids ...batch.RunID) {
	var runs []batch.RunState
	for _, rid := range rids {
		runs = append(runs, batch.RunState{ID: rid, Working: true, Percent: 100})
	}
	suc.report(id, session, runs...)
}

func (suc *succession) report(id string, session uint64, runs ...batch.RunState) {
	rep := report(id, session)
	rep.Runs = runs
	suc.ApplyReport(rep, suc.now)
}

// takeOver replaces the owner by one that knows only what is stored.
func (suc *succession) takeOver() {
	nxt := newOwner()
	nxt.now = suc.now
	nxt.Restore(suc.job, suc.record, nxt.now)
	suc.owner = nxt
}

// expectStopsAfterTakeover expects that a new owner stops runs that an instance lists, and orders each
// stop once.
func expectStopsAfterTakeover(suc *succession, id string, rids ...batch.RunID) {
	GinkgoHelper()
	Expect(rids).NotTo(BeEmpty())
	suc.takeOver()
	for range 3 {
		suc.list(id, 2, rids...)
		suc.advance(500 * time.Millisecond)
		suc.save()
	}
	var stopped []batch.RunID
	for _, ord := range suc.orders(id, 2, batch.StopRun) {
		stopped = append(stopped, ord.ID)
	}
	Expect(stopped).To(ConsistOf(rids))
}

var _ = Describe("Runs that are being stopped", func() {
	// Guards against more unavailable tasks than the disruption budget allows, when a new owner takes a
	// task for serving that the former one has ordered to stop.
	It("count as unavailable after a change of the owner", func() {
		serving := step(2)
		serving.LongRunning, serving.MaxUnavailable = true, 1
		suc := newSuccession(serving)
		stopped, other := suc.started("a"), suc.started("b")
		Expect(stopped).To(HaveLen(1))
		Expect(other).To(HaveLen(1))
		suc.takeOver()
		for range 4 {
			suc.report("a", 2, batch.RunState{ID: stopped[0], Working: true, Stopping: true, Percent: 100})
			suc.list("b", 2, other...)
			suc.advance(500 * time.Millisecond)
		}
		suc.SetEvacuating(func(inc batch.Incarnation) bool { return inc == "b-life" })
		suc.advance(100 * time.Millisecond)
		Expect(suc.orders("b", 2, batch.StopRun)).To(BeEmpty())
	})
})

var _ = Describe("Runs that nobody wants", func() {
	longRunning := step(2)
	longRunning.LongRunning = true
	speculative := step(1)
	speculative.Speculative = true
	gang := step(2)
	gang.Gang = true
	gang.PerInstance = 1

	// Guards against a task of a cancelled job that runs on because the owner was replaced before the stop
	// had taken effect (UNASKED).
	Describe("are stopped after a change of the owner", func() {
		It("when their job was cancelled", func() {
			suc := newSuccession(longRunning)
			rids := suc.started("a")
			suc.Cancel("j", suc.now)
			suc.save()
			Expect(suc.record.State).To(Equal(batch.JobCancelled))
			expectStopsAfterTakeover(suc, "a", rids...)
		})

		It("when their job has failed", func() {
			suc := newSuccession(step(4))
			fst, others := suc.started("a")[0], suc.started("a")[1:]
			suc.receive(report("a", 1), endEvent(1, fst, batch.EndFailed))
			suc.advance(time.Second)
			suc.save()
			again := suc.started("b")
			snd := again[len(again)-1]
			Expect(snd.Task).To(Equal(fst.Task))
			suc.receive(report("b", 1), endEvent(1, snd, batch.EndFailed))
			suc.save()
			Expect(suc.record.State).To(Equal(batch.JobFailed))
			expectStopsAfterTakeover(suc, "a", others...)
		})

		It("when another copy of their task is done", func() {
			suc := newSuccession(speculative)
			fst := suc.started("a")
			for range 10 {
				suc.list("a", 1, fst...)
				suc.receive(report("b", 1))
				suc.advance(time.Second)
			}
			suc.save()
			suc.receive(report("b", 1), endEvent(1, suc.started("b")[0], batch.EndDone))
			suc.save()
			expectStopsAfterTakeover(suc, "a", fst...)
		})

		It("when another member of their gang is gone", func() {
			suc := newSuccession(gang)
			others := suc.started("b")
			suc.receive(report("a", 1), endEvent(1, suc.started("a")[0], batch.EndRefused))
			suc.save()
			expectStopsAfterTakeover(suc, "b", others...)
		})
	})
})
