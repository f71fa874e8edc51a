package jobaccess_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/jobaccess"
)

var _ = Describe("The number of waiting jobs", func() {
	const part = batchstore.Partition("p0")
	var (
		sto *storefake.Store
		clt *jobaccess.Client
	)
	BeforeEach(func(ctx SpecContext) {
		sto = &storefake.Store{}
		clt = jobaccess.New(sto, part, zap.NewNop())
		for _, id := range []string{"1", "2", "3", "4"} {
			expectAccepted(clt.Submit(ctx, job(id, 10)))
		}
	})
	publish := func(num int, age time.Duration) {
		clt.SetLoad(batchstore.Load{Pending: map[string]int{"q": num}}, time.Now().Add(-age))
	}
	expectPending := func(ctx context.Context, want int) {
		GinkgoHelper()
		num, err := clt.Pending(ctx, "q")
		Expect(err).NotTo(HaveOccurred())
		Expect(num).To(Equal(want))
	}
	putState := func(ctx context.Context, id string, sta batch.JobState) {
		GinkgoHelper()
		var txn store.Transaction
		part.PutState(&txn, batch.JobRecord{ID: id, Queue: "q", State: sta}, 0, 0)
		_, err := sto.Commit(ctx, &txn)
		Expect(err).NotTo(HaveOccurred())
	}

	It("is the published one while that is recent", func(ctx SpecContext) {
		publish(7, 0)
		expectPending(ctx, 7)
	})

	// Guards against the last number of an owner that is gone, which lacks the jobs accepted since (MIXED).
	It("is counted when the published one is old", func(ctx SpecContext) {
		publish(0, jobaccess.PendingValidity+time.Second)
		expectPending(ctx, 4)
	})

	It("is counted without jobs that are cancelled or have had a run", func(ctx SpecContext) {
		_, found := clt.Cancel(ctx, "1")
		Expect(found).To(BeTrue())
		putState(ctx, "2", batch.JobRunning)
		putState(ctx, "3", batch.JobQueued)
		expectPending(ctx, 2)
	})

	// Guards against callers who make the entries read all jobs at each request.
	It("is counted once for many requests", func(ctx SpecContext) {
		expectPending(ctx, 4)
		reads := sto.Reads()
		for range 10 {
			expectPending(ctx, 4)
		}
		Expect(sto.Reads()).To(Equal(reads))
	})

	// Guards against a number that is made up because the jobs can't be read.
	It("is an error while the store is down", func(ctx SpecContext) {
		sto.SetDown(true)
		_, err := clt.Pending(ctx, "q")
		Expect(err).To(HaveOccurred())
	})
})
