package batchowner

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
	"jacinthpost/io/follow"
	"jacinthpost/io/lead"
)

// listFeed is a feed of the present rows of a table, without changes.
type listFeed struct{ table store.Table }

func (fee listFeed) Snapshot(ctx context.Context, prefix string) (store.Changes, error) {
	rows, err := fee.table.List(ctx, prefix, "", 100)
	return store.NewChanges(rows, 1), err
}

func (fee listFeed) Changes(ctx context.Context, _ string, after store.Version, wait time.Duration) (store.Changes, error) {
	select {
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	case <-time.After(wait):
		return store.NewChanges(nil, after), nil
	}
}

// ownFor runs an owner for a time.
func ownFor(ctx context.Context, tab *storefake.Store, dur time.Duration) {
	GinkgoHelper()
	ele := lead.New(tab, testPartition, batchstore.Owner{Holder: "me", Nonce: "mine"}, lead.Candidacy{}, time.Now, zap.NewNop())
	fee := listFeed{tab}
	own := New(Config{
		Table: tab, Feed: fee, Partition: testPartition, Elector: ele, Clock: time.Now, WallClock: time.Now, Log: zap.NewNop(),
		Directives: func(_ context.Context, apply func(Directives)) *follow.Follower {
			return follow.New(fee, []string{"op//"}, time.Now, zap.NewNop(), func([]store.Row, bool) { apply(Directives{}) })
		},
	})
	ctx, cancel := context.WithTimeout(ctx, dur)
	defer cancel()
	Expect(own.Run(ctx)).To(Succeed())
}

func put(ctx context.Context, tab *storefake.Store, key string, val any) {
	GinkgoHelper()
	var txn store.Transaction
	txn.Put(key, batchstore.Encode(val))
	_, err := tab.Commit(ctx, &txn)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("An owner", func() {
	// Guards against a job that starts again from the beginning, because an owner that could not decode it
	// has removed its state.
	It("keeps the state of a job that it can't decode", func(ctx SpecContext) {
		tab := &storefake.Store{}
		put(ctx, tab, testPartition.JobKey("j"), "of a later version")
		put(ctx, tab, testPartition.StateKey("j"), batch.JobRecord{ID: "j", Queue: "q", State: batch.JobRunning})
		put(ctx, tab, testPartition.StateKey("removed"), batch.JobRecord{ID: "removed", Queue: "q", State: batch.JobCompleted})
		ownFor(ctx, tab, time.Second)
		rows, err := tab.Read(ctx, testPartition.StateKey("j"), testPartition.StateKey("removed"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Exists()).To(BeTrue())
		Expect(rows[1].Exists()).To(BeFalse(), "the state of a job that was removed")
	})

	// Guards against starts of tasks whose job was cancelled while the feed of jobs stood still.
	DescribeTable("may start runs only while its views of directives and jobs are recent", func(ctx SpecContext, directives, jobs time.Duration, may bool) {
		wrt := newWriter(ctx, &storefake.Store{})
		wrt.directives, wrt.jobs = followed(ctx, directives), followed(ctx, jobs)
		Expect(wrt.mayStart(time.Now())).To(Equal(may))
	},
		Entry("both recent", time.Duration(0), time.Duration(0), true),
		Entry("old directives", time.Minute, time.Duration(0), false),
		Entry("old jobs", time.Duration(0), time.Minute, false),
	)
})

// followed returns a follower whose view is of an age.
func followed(ctx context.Context, age time.Duration) *follow.Follower {
	clk := func() time.Time { return time.Now().Add(-age) }
	fol := follow.New(listFeed{&storefake.Store{}}, []string{"rows//"}, clk, zap.NewNop(), func([]store.Row, bool) {})
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	fol.Run(ctx)
	return fol
}
