package batchagent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/batchhost"
	"jacinthpost/internal/specs"
)

func TestBatchagent(t *testing.T) { specs.Run(t, "batchagent") }

// started returns an agent whose control thread runs and whose worker has announced itself.
func started() (*Agent, context.Context) {
	GinkgoHelper()
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	agt := New("a", nil, nil, batchhost.Options{}, 1, time.Now, zap.NewNop())
	go agt.loop.Run(ctx)
	Expect(agt.Announce(ctx, Announcement{Worker: batchhost.Worker{Life: "w@1"}, Born: 1, Sequence: 1})).To(Succeed())
	return agt, ctx
}

func requested(ctx context.Context, agt *Agent) HoldRequest {
	GinkgoHelper()
	req, ok := agt.holdRequest(ctx)
	Expect(ok).To(BeTrue())
	return req
}

var _ = Describe("Requests to hold a worker", func() {
	It("ask for the clock at once while it is not known", func() {
		agt, ctx := started()
		Expect(requested(ctx, agt).Wait).To(BeZero())
	})

	// Guards against requests without a pause while the owner can't be reached, as in a cut
	// of a zone that lasts longer than its grant.
	It("wait for an end when the owner's grant has run out", func() {
		agt, ctx := started()
		agt.list(ctx, batchhost.Listing{Life: "w@1", Clock: time.Second, SentAt: time.Now(), At: time.Now()})
		req := requested(ctx, agt)
		Expect(req.Until).To(BeZero())
		Expect(req.Wait).To(Equal(sharedWait))
	})
})
