package batch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// fakeWorker is a worker that runs each task for one second.
type fakeWorker struct {
	id        string
	seq       uint64
	events    uint64
	startedAt map[batch.RunID]time.Time
}

// exchange receives the new orders, ends the runs that are one second old, and reports.
func (wkr *fakeWorker) exchange(own *owner) {
	rep := report(wkr.id, 1)
	out, known := own.Outbox(rep.Instance, 1, wkr.seq)
	if known {
		for _, ord := range out.Orders {
			wkr.seq = ord.Seq
			if ord.Kind == batch.StartRun {
				wkr.startedAt[ord.ID] = own.now
			}
		}
	}
	rep.AckedOrders = wkr.seq
	for rid, startedAt := range wkr.startedAt {
		if own.now.Sub(startedAt) < time.Second {
			rep.Runs = append(rep.Runs, batch.RunState{ID: rid, Working: true})
			continue
		}
		delete(wkr.startedAt, rid)
		wkr.events++
		rep.Events = append(rep.Events, endEvent(wkr.events, rid, batch.EndDone))
	}
	own.ApplyReport(rep, own.now)
}

// serviceModel is a service of two workers with four CPUs each. Callers submit jobs of four tasks,
// each of which uses one CPU for one second.
type serviceModel struct {
	*owner
	workers       []*fakeWorker
	jobs          int
	refused       int
	maxRetryAfter time.Duration // longest wait that a refused caller was given
}

// newServiceModel returns a service whose owner took over long enough ago to make forecasts.
func newServiceModel() *serviceModel {
	svm := newServiceAfterTakeover()
	svm.submitAtRate("", 0, 0, 10*time.Second)
	return svm
}

// newServiceAfterTakeover returns a service whose owner has just taken over.
func newServiceAfterTakeover() *serviceModel {
	svm := &serviceModel{owner: newOwner()}
	for num := range 2 {
		svm.workers = append(svm.workers, &fakeWorker{id: fmt.Sprintf("w%d", num), startedAt: make(map[batch.RunID]time.Time)})
	}
	svm.step(100 * time.Millisecond)
	return svm
}

func (svm *serviceModel) step(dur time.Duration) {
	svm.advance(dur)
	for _, wkr := range svm.workers {
		wkr.exchange(svm.owner)
	}
	svm.store()
}

func (svm *serviceModel) refusals() map[string]time.Duration {
	return admission.Refusals(admission.RefuseLate{}, svm.Forecasts(svm.now))
}

// submitUnlessRefused submits a job unless its queue refuses jobs.
func (svm *serviceModel) submitUnlessRefused(queue string, priority int) {
	if after, refuse := svm.refusals()[queue]; refuse {
		svm.refused++
		svm.maxRetryAfter = max(svm.maxRetryAfter, after)
		return
	}
	svm.jobs++
	job, err := workload.New(workload.JobParams{
		ID: fmt.Sprintf("%s-%d", queue, svm.jobs), Queue: queue, Service: "svc", Priority: priority, Stretch: 1.5,
		TargetLatencyMillis: 500, Steps: []workload.StepParams{step(4)},
	})
	Expect(err).NotTo(HaveOccurred())
	svm.Submit(job, svm.now)
}

// submitAtRate submits jobs at a rate for a time.
func (svm *serviceModel) submitAtRate(queue string, priority int, perSecond float64, dur time.Duration) {
	const interval = 100 * time.Millisecond
	due := 0.0
	for end := svm.now.Add(dur); svm.now.Before(end); {
		for due += perSecond * interval.Seconds(); due >= 1; due-- {
			svm.submitUnlessRefused(queue, priority)
		}
		svm.step(interval)
	}
}

var _ = Describe("refusals by load", func() {
	// The service completes two jobs per second. Jobs are on time within 2 s, and their results
	// have no value after 6 s.

	// Guards against refusals while the service completes jobs as fast as they arrive.
	It("refuses nothing just below full load", func() {
		svm := newServiceModel()
		svm.submitAtRate("q", 0, 1.8, 20*time.Second)
		Expect(svm.refused).To(BeZero())
	})

	// Guards against refusals in a short burst, whose jobs are late but still have value.
	It("refuses nothing in a short burst", func() {
		svm := newServiceModel()
		svm.submitAtRate("q", 0, 6, time.Second)
		svm.submitAtRate("q", 0, 1, 5*time.Second)
		Expect(svm.refused).To(BeZero())
	})

	// Guards against accepted jobs that complete too late, against refusals after the backlog has
	// been processed, and against the loss of accepted jobs.
	It("refuses in a long burst and accepts again after it", func() {
		svm := newServiceModel()
		svm.submitAtRate("q", 0, 8, 10*time.Second)
		Expect(svm.refused).To(BeNumerically(">", 20))
		Expect(svm.maxRetryAfter).To(BeNumerically("<=", 10*time.Second))
		svm.submitAtRate("q", 0, 0, 10*time.Second)
		refused, accepted := svm.refused, svm.jobs
		svm.submitAtRate("q", 0, 1, 5*time.Second)
		Expect(svm.refused).To(Equal(refused))
		Expect(svm.jobs).To(BeNumerically(">", accepted))
		svm.submitAtRate("q", 0, 0, 10*time.Second)
		Expect(svm.Forecasts(svm.now)).To(BeEmpty(), "unfinished jobs")
	})

	// Guards against refusals while idle workers have not reported to a new owner yet.
	It("refuses nothing for some seconds after a takeover, and then what is too late", func() {
		svm := newServiceAfterTakeover()
		svm.submitAtRate("q", 0, 12, 5*time.Second)
		Expect(svm.refused).To(BeZero())
		svm.submitAtRate("q", 0, 12, 5*time.Second)
		Expect(svm.refused).To(BeNumerically(">", 0))
	})

	// Guards against urgent jobs that are refused because of a backlog with a lower priority.
	It("refuses no urgent job because of a backlog with a lower priority", func() {
		svm := newServiceModel()
		svm.submitAtRate("slow", 2, 8, 10*time.Second)
		Expect(svm.refusals()).To(HaveKey("slow"))
		before := svm.refused
		svm.submitAtRate("fast", 0, 1, 5*time.Second)
		Expect(svm.refused).To(Equal(before))
	})

	// Guards against a queue that accepts jobs while it has no workers, or still refuses them when
	// the workers are back.
	It("refuses jobs while all workers are excluded, and accepts them afterwards", func() {
		svm := newServiceModel()
		svm.submitAtRate("q", 0, 2, 2*time.Second)
		svm.SetExcluded(map[fleet.DataCentre]bool{"dc": true})
		svm.submitAtRate("q", 0, 2, 4*time.Second)
		Expect(svm.refusals()).To(HaveKey("q"))
		svm.SetExcluded(nil)
		svm.submitAtRate("q", 0, 0, 2*time.Second)
		Expect(svm.refusals()).To(BeEmpty())
	})
})

var _ = Describe("sizes of workers", func() {
	// Guards against jobs that a new owner refuses as too large before all workers have reported.
	It("are known only when all workers have had the time to report", func() {
		own := newOwner()
		own.ApplyReport(report("a", 1), own.now)
		Expect(own.WorkerSizes(own.now)).To(BeEmpty())
		own.advance(20 * time.Second)
		Expect(own.WorkerSizes(own.now)).To(HaveKeyWithValue(fleet.Service("svc"), []resource.Vector{resource.New(4000, 4000, 0)}))
	})
})
