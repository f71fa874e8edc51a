package joblog_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/partition"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/joblog"
)

// Guards against two processes that divide the jobs of one deployment into
// different numbers of partitions, so that a job belongs to two owners.
var _ = Describe("the number of partitions", func() {
	// expectRefused checks that nothing can be read or written with another number.
	expectRefused := func(rws *joblog.Rows) {
		GinkgoHelper()
		var cer *joblog.CountError
		Expect(rws.Agree(context.Background())).To(MatchError("partitions is 64 in the settings, but the deployment has 16"))
		_, err := rws.Read(context.Background(), num)
		Expect(err).To(BeAssignableToTypeOf(cer))
		_, err = rws.Write(context.Background(), num, partition.Action{})
		Expect(err).To(BeAssignableToTypeOf(cer))
		Expect(rws.Agreed()).To(BeFalse())
	}

	It("is that of the first process", func() {
		sto := &storefake.Store{}
		Expect(joblog.NewRows(sto, partitions).Agree(context.Background())).To(Succeed())
		Expect(joblog.NewRows(sto, partitions).Agree(context.Background())).To(Succeed())
		expectRefused(joblog.NewRows(sto, 64))
	})

	It("is agreed upon when two processes write it at once", func() {
		sto := &storefake.Store{}
		racing := &proposal{Store: sto}
		racing.before = func() { Expect(joblog.NewRows(sto, partitions).Agree(context.Background())).To(Succeed()) }
		expectRefused(joblog.NewRows(racing, 64))
	})

	It("is written once when the answer to the write is lost", func() {
		sto := &storefake.Store{}
		lost := &proposal{Store: sto, lost: true}
		rws := joblog.NewRows(lost, partitions)
		Expect(rws.Agree(context.Background())).To(MatchError(store.ErrUncertain))
		Expect(rws.Agree(context.Background())).To(Succeed())
		expectRefused(joblog.NewRows(sto, 64))
	})
})

// proposal runs a function before the first commit and can lose its answer.
type proposal struct {
	*storefake.Store
	before func()
	lost   bool
}

func (prp *proposal) Commit(ctx context.Context, txn *store.Transaction) (store.Result, error) {
	if run := prp.before; run != nil {
		prp.before = nil
		run()
	}
	res, err := prp.Store.Commit(ctx, txn)
	if prp.lost {
		prp.lost = false
		return store.Result{}, store.ErrUncertain
	}
	return res, err
}
