package follow

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/store"
	"jacinthpost/internal/specs"
)

func TestFollow(t *testing.T) { specs.Run(t, "follow") }

// oneChange is a feed of an empty table with one change, after which the context of the poll ends.
type oneChange struct{ polls int }

func (fee *oneChange) Snapshot(context.Context, string) (store.Changes, error) {
	return store.NewChanges(nil, 1), nil
}

func (fee *oneChange) Changes(ctx context.Context, _ string, _ store.Version, _ time.Duration) (store.Changes, error) {
	if fee.polls++; fee.polls > 1 {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	return store.NewChanges([]store.Row{store.NewRow("t/p/k", nil, 2)}, 2), nil
}

var _ = Describe("Follower", func() {
	// Guards against starts of a job by an owner that takes its view for current although it has not applied the job's
	// cancellation yet.
	It("does not call its view current before the changes are applied", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		now := time.Unix(1000, 0)
		var fol *Follower
		var seen []time.Time
		fol = New(&oneChange{}, []string{"t/p/"}, func() time.Time { now = now.Add(time.Second); return now }, zap.NewNop(), func([]store.Row, bool) {
			seen = append(seen, fol.CurrentAsOf())
			if len(seen) == 2 {
				cancel()
			}
		})
		fol.Run(ctx)
		Expect(seen).To(Equal([]time.Time{{}, time.Unix(1001, 0)}))
		Expect(fol.CurrentAsOf()).To(Equal(time.Unix(1002, 0)))
	})
})
