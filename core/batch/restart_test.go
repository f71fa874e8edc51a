package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
)

var _ = Describe("A worker that starts again under its id", func() {
	// started returns an owner that has ordered instance a to start the only task of a job, and the run.
	started := func() (*owner, batch.RunID) {
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		own.store()
		return own, own.orders("a", 1, batch.StartRun)[0].ID
	}
	restarted := func(runs ...batch.RunState) batch.Report {
		rep := report("a", 2)
		rep.Incarnation = "a-next-life"
		rep.Runs = runs
		return rep
	}

	// Guards against a run that was meant for the former incarnation, ends done in the next one and is run again
	// (TWICE).
	It("completes a task by the end of a run that was meant for the former incarnation", func() {
		own, rid := started()
		own.receive(restarted(), endEvent(1, rid, batch.EndDone))
		expectState(own.store(), batch.JobCompleted)
		Expect(own.orders("a", 2, batch.StartRun)).To(BeEmpty())
	})

	// Guards against a second run beside one that the next incarnation has started.
	It("keeps a run that was meant for the former incarnation while the next one lists it", func() {
		own, rid := started()
		own.receive(restarted(batch.RunState{ID: rid, Working: true, Share: -1}))
		rec := own.store()[0]
		Expect(rec.Places).To(ConsistOf(batch.PlaceRecord{Instance: "a", Incarnation: "a-next-life"}))
		Expect(own.orders("a", 2, batch.StartRun)).To(BeEmpty())
		Expect(own.orders("a", 2, batch.StopRun)).To(BeEmpty())
		own.receive(restarted(), endEvent(1, rid, batch.EndDone))
		expectState(own.store(), batch.JobCompleted)
	})

	// Guards against a task that runs again because its end `done` is not among the first ends that its worker
	// lists after a restart of the agent (TWICE).
	It("gives up no run while the report may lack ends", func() {
		own, rid := started()
		again := report("a", 2)
		again.Partial = true
		own.receive(again)
		own.receive(again)
		own.store()
		Expect(own.orders("a", 2, batch.StartRun)).To(BeEmpty())
		own.receive(report("a", 2), endEvent(1, rid, batch.EndDone))
		expectState(own.store(), batch.JobCompleted)
	})

	// Guards against a run of the present session that is given up because an earlier report was partial.
	It("gives up runs from before the session only, when a report lacks nothing any more", func() {
		own, rid := started()
		again := report("a", 2)
		again.Partial = true
		own.receive(again)
		own.advance(time.Second)
		own.submit("k", step(1))
		own.store()
		Expect(own.orders("a", 2, batch.StartRun)).To(HaveLen(1))
		own.receive(report("a", 2))
		own.store()
		var jobs []string
		for _, ord := range own.orders("a", 2, batch.StartRun) {
			jobs = append(jobs, ord.ID.Task.Job)
		}
		Expect(jobs).To(ConsistOf("k", rid.Task.Job))
	})

	// Guards against a task that never runs again because its run is looked for in the next incarnation.
	It("runs a task again whose run the next incarnation does not list", func() {
		own, rid := started()
		own.receive(restarted())
		own.store()
		again := own.orders("a", 2, batch.StartRun)
		Expect(again).To(HaveLen(1))
		Expect(again[0].ID.Run).To(BeNumerically(">", rid.Run))
	})
})
