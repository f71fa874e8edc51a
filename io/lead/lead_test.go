package lead_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/lead"
)

func TestLead(t *testing.T) { specs.Run(t, "lead") }

const part = batchstore.Partition("p")

func row(holder string, epoch, seq uint64, released bool) []byte {
	return batchstore.Encode(batchstore.Owner{Epoch: epoch, Holder: holder, Sequence: seq, Nonce: holder, Released: released})
}

func write(ctx context.Context, tab store.Table, val []byte) {
	GinkgoHelper()
	var txn store.Transaction
	txn.Put(part.OwnerKey(), val)
	_, err := tab.Commit(ctx, &txn)
	Expect(err).NotTo(HaveOccurred())
}

// elect runs a candidate for at most limit. It returns the term, the time that the election took and
// whether the candidate won.
func elect(ctx context.Context, tab store.Table, limit time.Duration) (lead.Term, time.Duration, bool) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	begun := time.Now()
	ele := lead.New(tab, part, batchstore.Owner{Holder: "me", Nonce: "mine"}, time.Now, zap.NewNop())
	trm, err := ele.Run(ctx)
	return trm, time.Since(begun), err == nil
}

var _ = Describe("Elector", func() {
	It("takes over a missing or released row before TakeoverAfter has passed", func(ctx SpecContext) {
		tab := &storefake.Store{}
		trm, took, won := elect(ctx, tab, 5*time.Second)
		Expect(won).To(BeTrue())
		Expect(trm.Owner().Epoch).To(BeEquivalentTo(1))
		Expect(took).To(BeNumerically("<", lead.TakeoverAfter))
		write(ctx, tab, row("other", 4, 9, true))
		trm, took, won = elect(ctx, tab, 5*time.Second)
		Expect(won).To(BeTrue())
		Expect(trm.Owner().Epoch).To(BeEquivalentTo(5))
		Expect(took).To(BeNumerically("<", lead.TakeoverAfter))
	})

	// Guards against an epoch below former ones, which no agent follows.
	It("takes over a row that can't be decoded with an epoch above all former ones", func(ctx SpecContext) {
		tab := &storefake.Store{}
		for seq := range uint64(6) {
			write(ctx, tab, row("other", 5, seq, false))
		}
		write(ctx, tab, []byte(strings.Repeat("[", 20_000)))
		trm, _, won := elect(ctx, tab, 5*time.Second)
		Expect(won).To(BeTrue())
		Expect(trm.Owner().Epoch).To(BeNumerically(">", 5))
	})

	It("takes over a row that does not change, with a higher epoch", func(ctx SpecContext) {
		tab := &storefake.Store{}
		write(ctx, tab, row("other", 4, 9, false))
		trm, took, won := elect(ctx, tab, 10*time.Second)
		Expect(won).To(BeTrue())
		Expect(trm.Owner().Epoch).To(BeEquivalentTo(5))
		Expect(took).To(BeNumerically(">=", lead.TakeoverAfter))
	})

	It("does not take over a row that its holder renews", func(ctx SpecContext) {
		tab := &storefake.Store{}
		write(ctx, tab, row("other", 4, 1, false))
		renewed, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for seq := uint64(2); renewed.Err() == nil; seq++ {
				write(ctx, tab, row("other", 4, seq, false))
				select {
				case <-renewed.Done():
				case <-time.After(lead.RenewPeriod):
				}
			}
		}()
		_, _, won := elect(ctx, tab, 2*lead.TakeoverAfter)
		stop()
		<-done
		Expect(won).To(BeFalse())
	})

	It("recognizes a takeover whose answer was lost by the nonce in the row", func(ctx SpecContext) {
		tab := &storefake.Store{}
		tab.Inject(storefake.None, storefake.None, storefake.LoseAnswer) // two reads, then the takeover
		trm, _, won := elect(ctx, tab, 5*time.Second)
		Expect(won).To(BeTrue())
		Expect(trm.Owner().Nonce).To(Equal("mine"))
	})
})
