package batchagent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batchhost"
)

// waitingWorker is a worker whose starts wait for a connection until their context ends.
type waitingWorker struct{ Worker }

func (waitingWorker) Start(ctx context.Context, _ batchhost.Call, _ uint64) Result {
	<-ctx.Done()
	return Result{Outcome: batchhost.Unknown, Reason: ctx.Err().Error()}
}

var _ = Describe("A start call", func() {
	// Guards against a start that waits behind others and reaches the worker after it was forbidden (UNASKED, EVAC).
	It("ends when the owner does not allow it any more", func() {
		agt, ctx := newAgentWith(waitingWorker{})
		begun := time.Now()
		agt.start(ctx, batchhost.Call{Kind: batchhost.CallStart, NotAfter: begun.Add(50 * time.Millisecond)}, 1)
		Expect(time.Since(begun)).To(BeNumerically("~", 50*time.Millisecond, 40*time.Millisecond))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})
})
