package batchowner

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/lead"
)

const testPartition = batchstore.Partition("p")

// newWriter returns the writer of an owner that has just won an election.
func newWriter(ctx context.Context, tab *storefake.Store) *writer {
	GinkgoHelper()
	self := batchstore.Owner{Holder: "me", Nonce: "mine"}
	ele := lead.New(tab, testPartition, self, lead.Candidacy{}, time.Now, zap.NewNop())
	trm, err := ele.Run(ctx)
	Expect(err).NotTo(HaveOccurred())
	cfg := Config{Table: tab, Partition: testPartition, Elector: ele, Clock: time.Now, WallClock: time.Now, Log: zap.NewNop()}
	return &writer{ownership: newOwnership(cfg, trm), sequence: trm.Owner().Sequence}
}

// overwrite writes the owner row without conditions.
func overwrite(ctx context.Context, tab store.Table, own batchstore.Owner) {
	GinkgoHelper()
	var txn store.Transaction
	txn.Put(testPartition.OwnerKey(), batchstore.Encode(own))
	_, err := tab.Commit(ctx, &txn)
	Expect(err).NotTo(HaveOccurred())
}

func ownerRow(ctx context.Context, tab store.Table) batchstore.Owner {
	GinkgoHelper()
	rows, err := tab.Read(ctx, testPartition.OwnerKey())
	Expect(err).NotTo(HaveOccurred())
	own, err := batchstore.DecodeOwner(rows[0].Value())
	Expect(err).NotTo(HaveOccurred())
	return own
}

var _ = Describe("Release", func() {
	// Guards against a planned stop after which the jobs have no owner for as long as after a failure,
	// because the last transaction was in flight when the process was told to stop.
	It("succeeds after an earlier transaction whose outcome was unknown was applied", func(ctx SpecContext) {
		tab := &storefake.Store{}
		wrt := newWriter(ctx, tab)
		applied := wrt.owner
		applied.Sequence += 7
		overwrite(ctx, tab, applied)
		Expect(wrt.release()).To(Succeed())
		Expect(ownerRow(ctx, tab).Released).To(BeTrue())
	})

	// Guards against a release of a partition that another process owns.
	It("leaves the row of another owner", func(ctx SpecContext) {
		tab := &storefake.Store{}
		wrt := newWriter(ctx, tab)
		overwrite(ctx, tab, batchstore.Owner{Epoch: 9, Holder: "other", Nonce: "theirs"})
		Expect(wrt.release()).To(MatchError(errOwnershipLost))
		Expect(ownerRow(ctx, tab).Released).To(BeFalse())
	})

	// Guards against a need that the next owner does not know.
	It("tells candidates what the load needs", func(ctx SpecContext) {
		tab := &storefake.Store{}
		wrt := newWriter(ctx, tab)
		wrt.need.Store(0.36)
		Expect(wrt.release()).To(Succeed())
		Expect(ownerRow(ctx, tab).Need).To(Equal(0.36))
		rows, err := tab.Read(ctx, testPartition.YieldKey())
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Exists()).To(BeTrue())
	})
})
