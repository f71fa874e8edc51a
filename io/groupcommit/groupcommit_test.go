package groupcommit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/groupcommit"
)

func TestGroupcommit(t *testing.T) {
	specs.Run(t, "groupcommit")
}

// start returns a running committer over an empty store.
func start() (*groupcommit.Committer, *storefake.Store) {
	sto := new(storefake.Store)
	com := groupcommit.New(sto)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go com.Run(ctx)
	return com, sto
}

func expectRow(sto *storefake.Store, key, want string) {
	GinkgoHelper()
	rows, err := sto.Read(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(rows[0].Value())).To(Equal(want))
}

// Guards against a result that calls a written row not written, or the reverse.
var _ = DescribeTable("A write during a fault",
	func(faults []storefake.Fault, wantErr error, present string) {
		com, sto := start()
		sto.Inject(faults...)
		res := com.Set(context.Background(), "k", 0, []byte("mine"))
		if wantErr == nil {
			Expect(res.Err()).NotTo(HaveOccurred())
			Expect(res.Conflict()).To(BeFalse())
			Expect(res.Row().Version()).NotTo(BeZero())
		} else {
			Expect(res.Err()).To(MatchError(wantErr))
		}
		expectRow(sto, "k", present)
	},
	Entry("no fault", nil, nil, "mine"),
	Entry("refused", []storefake.Fault{storefake.Refuse}, store.ErrUnavailable, ""),
	Entry("answer lost", []storefake.Fault{storefake.LoseAnswer}, nil, "mine"),
	Entry("call lost", []storefake.Fault{storefake.LoseCall}, store.ErrUncertain, ""),
	Entry("answer lost, first read fails",
		[]storefake.Fault{storefake.LoseAnswer, storefake.Refuse}, nil, "mine"),
	Entry("answer lost, store down afterwards",
		[]storefake.Fault{storefake.LoseAnswer, storefake.Refuse, storefake.Refuse, storefake.Refuse}, store.ErrUncertain, "mine"),
)

var _ = Describe("Set", func() {
	It("lets exactly one of several concurrent writers create a row", func() {
		com, sto := start()
		var wgr sync.WaitGroup
		results := make([]groupcommit.Result, 40)
		for num := range results {
			wgr.Go(func() {
				results[num] = com.Set(context.Background(), "k", 0, fmt.Appendf(nil, "w%d", num))
			})
		}
		wgr.Wait()
		won := 0
		for num, res := range results {
			Expect(res.Err()).NotTo(HaveOccurred())
			if !res.Conflict() {
				won++
				expectRow(sto, "k", fmt.Sprintf("w%d", num))
			}
		}
		Expect(won).To(Equal(1))
	})
	It("writes the other rows of a group when one row conflicts", func() {
		com, sto := start()
		Expect(com.Set(context.Background(), "taken", 0, []byte("x")).Err()).NotTo(HaveOccurred())
		var wgr sync.WaitGroup
		for num := range 30 {
			wgr.Go(func() { com.Set(context.Background(), fmt.Sprintf("k%d", num), 0, []byte("v")) })
			wgr.Go(func() { com.Set(context.Background(), "taken", 0, []byte("y")) })
		}
		wgr.Wait()
		for num := range 30 {
			expectRow(sto, fmt.Sprintf("k%d", num), "v")
		}
		expectRow(sto, "taken", "x")
	})
	It("uses fewer transactions than writes when many arrive at once", func() {
		com, sto := start()
		var wgr sync.WaitGroup
		for num := range 600 {
			wgr.Go(func() { com.Set(context.Background(), fmt.Sprintf("k%d", num), 0, []byte("v")) })
		}
		wgr.Wait()
		Expect(sto.Commits()).To(BeNumerically("<", 600))
	})
})
