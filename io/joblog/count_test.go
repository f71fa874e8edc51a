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
	// expectRefused checks that ownership can be neither read nor written with a number that differs.
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

	It("is the one written by the first process", func() {
		sto := &storefake.Store{}
		Expect(joblog.NewRows(sto, partitions).Agree(context.Background())).To(Succeed())
		Expect(joblog.NewRows(sto, partitions).Agree(context.Background())).To(Succeed())
		expectRefused(joblog.NewRows(sto, 64))
	})

	It("is the one written first when two processes write it at once", func() {
		sto := &storefake.Store{}
		racing := &proposalStore{Store: sto}
		racing.before = func() { Expect(joblog.NewRows(sto, partitions).Agree(context.Background())).To(Succeed()) }
		expectRefused(joblog.NewRows(racing, 64))
	})

	It("is written once when the answer to the write is lost", func() {
		sto := &storefake.Store{}
		lost := &proposalStore{Store: sto, lost: true}
		rws := joblog.NewRows(lost, partitions)
		Expect(rws.Agree(context.Background())).To(MatchError(store.ErrUncertain))
		Expect(rws.Agree(context.Background())).To(Succeed())
		expectRefused(joblog.NewRows(sto, 64))
	})
})

// proposalStore calls before ahead of the first commit and, if lost is set, loses the reply to it.
type proposalStore struct {
	*storefake.Store
	before func()
	lost   bool
}

func (prp *proposalStore) Commit(ctx context.Context, txn *store.Transaction) (store.Result, error) {
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
