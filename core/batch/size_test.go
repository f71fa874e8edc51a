package batch_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// largestState is what a transaction of the store holds: 1 MB, of which base64 and names take a third.
const largestState = 700_000

func expectStorable(recs []batch.JobRecord) {
	GinkgoHelper()
	size := 0
	for _, rec := range recs {
		data, err := json.Marshal(rec)
		Expect(err).NotTo(HaveOccurred())
		size += len(data)
	}
	Expect(size).To(BeNumerically("<", largestState))
}

var _ = Describe("The state of a job", func() {
	roomy := func() batch.Report {
		rep := report("a", 1)
		rep.Capacity = resource.New(1_000_000, 1_000_000, 0)
		return rep
	}
	small := func(count int) workload.StepParams {
		return workload.StepParams{Count: count, MilliCPU: 10, MemoryMB: 20, EstimateMillis: 2000}
	}

	// Guards against occurrences that became due during an outage and make the state too large to be stored (LOST).
	It("stays storable when many occurrences are due at once, and each of them runs", func() {
		own := newOwner()
		own.receive(roomy())
		const occurrences = 150
		job, err := workload.New(workload.JobParams{
			ID: "j", Queue: "q", Service: "svc", Steps: []workload.StepParams{small(280)}, MaxAttempts: 2, Stretch: 2,
			AcceptedMillis: start.UnixMilli(), Occurrences: occurrences, FirstRunMillis: start.Add(-time.Hour).UnixMilli(), IntervalMillis: 1000,
		})
		Expect(err).NotTo(HaveOccurred())
		own.Submit(job, own.now)
		for range 20 { // until all runs that may be are assigned
			own.advance(time.Millisecond)
			expectStorable(own.store())
		}
		runs := make(map[batch.RunID]bool)
		var seq uint64
		for range 60 {
			own.advance(time.Millisecond)
			expectStorable(own.store())
			var evts []batch.Event
			for _, ord := range own.orders("a", 1, batch.StartRun) {
				if !runs[ord.ID] {
					runs[ord.ID] = true
					seq++
					evts = append(evts, endEvent(seq, ord.ID, batch.EndDone))
				}
			}
			own.receive(roomy(), evts...)
		}
		Expect(runs).To(HaveLen(occurrences * 280))
		own.store()
		Expect(own.Totals().Active).To(BeZero())
	})

	// Guards against checkpoints, which are strings of the workers, that make the state too large.
	It("keeps the last checkpoints that fit", func() {
		own := newOwner()
		own.receive(roomy())
		stp := small(workload.MaxTasks)
		stp.Checkpointing = true
		own.submit("j", stp)
		own.store()
		// The run that ends in a round is not listed in the next one.
		for num, length := range []int{16, 100_000} {
			rep := roomy()
			for _, ord := range own.orders("a", 1, batch.StartRun)[num:] {
				rep.Runs = append(rep.Runs, batch.RunState{ID: ord.ID, Working: true, Share: -1, Checkpoint: strings.Repeat("c", length)})
			}
			own.receive(rep)
			own.receive(rep, endEvent(uint64(num)+1, rep.Runs[0].ID, batch.EndStopped)) // changes the state
			recs := own.store()
			expectStorable(recs)
			Expect(recs[0].Occurrences[0].Steps[0][workload.MaxTasks-1].Checkpoint).To(HaveLen(16))
		}
	})

	// Guards against transactions over the limit because many jobs are stored together.
	It("shares a transaction with no more jobs than fit", func() {
		own := newOwner()
		own.receive(roomy())
		const jobs = 24
		for num := range jobs {
			own.submit(fmt.Sprintf("j%d", num), small(workload.MaxTasks))
		}
		for range 20 { // until all runs are assigned
			own.advance(time.Millisecond)
			own.Plan(own.now)
		}
		stored := 0
		for wrb := own.NextBatch(100); !wrb.Empty(); wrb = own.NextBatch(100) {
			expectStorable(wrb.Records())
			stored += len(wrb.Records())
			own.Committed(wrb, own.now)
		}
		Expect(stored).To(Equal(jobs))
	})
})
