package jobaccess_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/workload"
	"jacinthpost/internal/specs"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/jobaccess"
)

func TestJobAccess(t *testing.T) { specs.Run(t, "jobaccess") }

func job(id string, memoryMB int64) workload.Job {
	spc, err := workload.New(workload.JobParams{
		ID: id, Queue: "q", Service: "svc", Steps: []workload.StepParams{{Count: 1, MilliCPU: 100, MemoryMB: memoryMB}},
	})
	Expect(err).NotTo(HaveOccurred())
	return spc
}

func load() batchstore.Load {
	lod := batchstore.Load{RetryAfterMillis: map[string]int64{"q": 2000}}
	lod.SetSizes("svc", []resource.Vector{resource.New(4000, 1000, 0)})
	return lod
}

func expectRefused(ans jobaccess.Answer, least, most time.Duration) {
	GinkgoHelper()
	Expect(ans.Outcome().Kind()).To(Equal(outcome.KindNotRun))
	Expect(ans.Outcome().Reason()).To(Equal(outcome.ReasonCapacity))
	Expect(ans.RetryAfter()).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
}

func expectAccepted(ans jobaccess.Answer) {
	GinkgoHelper()
	Expect(ans.Outcome().Kind()).To(Equal(outcome.KindAnswered), ans.Outcome().Detail())
}

var _ = Describe("Refusals of jobs", func() {
	newClient := func() (*storefake.Store, *jobaccess.Client) {
		sto := &storefake.Store{}
		return sto, jobaccess.New(sto, "p0", zap.NewNop())
	}
	limited := func(ctx context.Context) context.Context {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		DeferCleanup(cancel)
		return ctx
	}

	// Guards against accepting a job that cannot be completed in time.
	It("are given at once while the load contains one for the queue, and store nothing", func(ctx SpecContext) {
		sto, clt := newClient()
		clt.SetLoad(load(), time.Now())
		expectRefused(clt.Submit(limited(ctx), job("1", 10)), 2*time.Second, 3*time.Second)
		Expect(sto.Commits()).To(BeZero())
	})

	// Guards against a refusal of a job that an earlier request has stored.
	It("are not given for a job that is already stored", func(ctx SpecContext) {
		_, clt := newClient()
		expectAccepted(clt.Submit(limited(ctx), job("1", 10)))
		clt.SetLoad(load(), time.Now())
		expectAccepted(clt.Submit(limited(ctx), job("1", 10)))
	})

	// Guards against refusals that continue after the owner that published them has failed.
	It("end after RefusalValidity", func(ctx SpecContext) {
		_, clt := newClient()
		clt.SetLoad(load(), time.Now().Add(-jobaccess.RefusalValidity-time.Second))
		expectAccepted(clt.Submit(limited(ctx), job("1", 10)))
	})

	// Guards against a job that never starts because no worker is large enough.
	It("are given for a job that fits no worker, regardless of the age of the load", func(ctx SpecContext) {
		_, clt := newClient()
		lod := load()
		lod.RetryAfterMillis = nil
		clt.SetLoad(lod, time.Now().Add(-time.Hour))
		expectRefused(clt.Submit(limited(ctx), job("1", 1001)), 30*time.Second, 45*time.Second)
		expectAccepted(clt.Submit(limited(ctx), job("2", 1000)))
	})

	// Guards against a wrong refusal while it is unknown whether an earlier request was stored.
	It("are not given for lack of capacity while the store cannot be read", func(ctx SpecContext) {
		sto, clt := newClient()
		clt.SetLoad(load(), time.Now())
		sto.SetDown(true)
		ans := clt.Submit(limited(ctx), job("1", 10))
		Expect(ans.Outcome().Reason()).To(Equal(outcome.ReasonStoreUnavailable))
	})
})
