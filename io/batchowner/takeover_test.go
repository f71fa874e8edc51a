package batchowner

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/follow"
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

var _ = Describe("An owner", func() {
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
