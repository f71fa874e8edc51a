package batchowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/core/workload"
	"jacinthpost/io/batchstore"
)

// workerlessService is a service without workers, so none of its jobs can start.
type workerlessService struct {
	scheduler *Scheduler
	now       time.Time
}

func newWorkerlessService() *workerlessService {
	now := time.Unix(1_700_000_000, 0)
	return &workerlessService{scheduler: batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{}, now), now: now}
}

func (svc *workerlessService) submit(id string) {
	GinkgoHelper()
	job, err := workload.New(workload.JobParams{
		ID: id, Queue: "q", Service: "svc", MaxAttempts: 1, Stretch: 2, Steps: []workload.StepParams{{Count: 1, MilliCPU: 100, MemoryMB: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	svc.scheduler.Submit(job, svc.now)
}

// run advances the time by dur and plans every 500 ms. The owner plans more often.
func (svc *workerlessService) run(dur time.Duration) {
	for end := svc.now.Add(dur); svc.now.Before(end); {
		svc.now = svc.now.Add(500 * time.Millisecond)
		svc.scheduler.Tick(svc.now, svc.now)
		svc.scheduler.Plan(svc.now)
	}
}

var _ = Describe("the published load", func() {
	// Guards against a forecast with each transaction: the owner commits about thirty a second.
	It("is computed at most once in loadPeriod", func() {
		svc := newWorkerlessService()
		var pub loadPublisher
		svc.submit("a")
		lod, err := batchstore.DecodeLoad(pub.next(svc.scheduler, svc.now, zap.NewNop()))
		Expect(err).NotTo(HaveOccurred())
		Expect(lod.Pending).To(HaveKeyWithValue("q", 1))
		svc.submit("b")
		Expect(pub.next(svc.scheduler, svc.now.Add(loadPeriod/2), zap.NewNop())).To(BeNil())
		Expect(pub.next(svc.scheduler, svc.now.Add(loadPeriod), zap.NewNop())).NotTo(BeNil())
	})

	// Guards against entries that take an old number of waiting jobs for the present one because the load of an owner that
	// is gone looks like one that does not change.
	It("is stored again when it has not changed for a while", func() {
		svc := newWorkerlessService()
		var pub loadPublisher
		pub.stored(pub.next(svc.scheduler, svc.now, zap.NewNop()), svc.now)
		Expect(pub.next(svc.scheduler, svc.now.Add(loadPeriod), zap.NewNop())).To(BeNil())
		Expect(pub.next(svc.scheduler, svc.now.Add(republishInterval+loadPeriod), zap.NewNop())).NotTo(BeNil())
	})

	// Guards against refusals without an explanation in the logs: the entry's log line does not
	// contain the forecast.
	It("logs what was predicted when a queue begins to refuse, once, and when it accepts again", func() {
		cor, logs := observer.New(zap.InfoLevel)
		svc := newWorkerlessService()
		var pub loadPublisher
		svc.submit("a")
		svc.run(10 * time.Second)
		for range 3 {
			pub.stored(pub.next(svc.scheduler, svc.now, zap.New(cor)), svc.now)
			svc.run(500 * time.Millisecond)
		}
		refusals := logs.FilterMessage(string(decision.QueueRefuses)).AllUntimed()
		Expect(refusals).To(HaveLen(1))
		Expect(refusals[0].ContextMap()).To(And(HaveKey("wait"), HaveKey("objective"), HaveKey("blocked"), HaveKeyWithValue("queue", "q")))
		svc.scheduler.Cancel("a", svc.now)
		Expect(pub.next(svc.scheduler, svc.now, zap.New(cor))).NotTo(BeNil())
		Expect(logs.FilterMessage(string(decision.QueueAccepts)).Len()).To(Equal(1))
	})
})
