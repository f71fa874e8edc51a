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
	return electAs(ctx, tab, lead.Candidacy{}, limit)
}

func electAs(ctx context.Context, tab store.Table, cdc lead.Candidacy, limit time.Duration) (lead.Term, time.Duration, bool) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	begun := time.Now()
	ele := lead.New(tab, part, batchstore.Owner{Holder: "me", Nonce: "mine"}, cdc, time.Now, zap.NewNop())
	trm, err := ele.Run(ctx)
	return trm, time.Since(begun), err == nil
}

// released returns a row whose holder has released it because it needs a larger machine.
func released(need float64) []byte {
	return batchstore.Encode(batchstore.Owner{Epoch: 4, Holder: "other", Nonce: "other", Released: true, Need: need})
}

// Guards against a load that goes back to a machine that can't carry it, and against a released row that
// nobody takes over.
var _ = DescribeTable("a row that needs a larger machine", func(ctx SpecContext, cdc lead.Candidacy, need float64, won bool, within time.Duration) {
	tab := &storefake.Store{}
	write(ctx, tab, released(need))
	trm, took, got := electAs(ctx, tab, cdc, 2500*time.Millisecond)
	Expect(got).To(Equal(won))
	if won {
		Expect(took).To(BeNumerically("<", within))
		Expect(trm.Owner().Need).To(Equal(need), "successors must know the need")
	}
},
	Entry("is taken over by one at once", lead.Candidacy{Share: 0.8, Standby: true}, 0.36, true, 900*time.Millisecond),
	Entry("is left to larger ones by a smaller one for a second", lead.Candidacy{Share: 0.24}, 0.36, true, 3*time.Second),
	Entry("is never taken over by a smaller one on standby", lead.Candidacy{Share: 0.3, Standby: true}, 0.36, false, time.Duration(0)),
	Entry("is not taken over by one on standby when it needs none", lead.Candidacy{Share: 0.8, Standby: true}, 0.0, false, time.Duration(0)),
)

// Guards against a process on standby that takes part in the elections after failures, and against one
// that reads the row all the time.
var _ = It("a candidate on standby leaves a missing row and one that stands still to others", func(ctx SpecContext) {
	tab := &storefake.Store{}
	_, _, won := electAs(ctx, tab, lead.Candidacy{Share: 0.8, Standby: true}, time.Second)
	Expect(won).To(BeFalse())
	write(ctx, tab, row("other", 4, 9, false))
	_, _, won = electAs(ctx, tab, lead.Candidacy{Share: 0.8, Standby: true}, 2*lead.TakeoverAfter)
	Expect(won).To(BeFalse())
})

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
