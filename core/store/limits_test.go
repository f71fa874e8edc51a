package store_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/store"
	"jacinthpost/internal/specs"
)

func TestStore(t *testing.T) { specs.Run(t, "store") }

var _ = Describe("Limits", func() {
	lim := store.Limits{RowBytes: 100, KeyBytes: 10, Entries: 3, TransactionBytes: 1000}
	transaction := func(rows, size int, name string) *store.Transaction {
		txn := &store.Transaction{}
		for range rows {
			txn.Put("t/p/"+name, make([]byte, size))
		}
		return txn
	}

	// Guards against a transaction that can never be stored and is sent again and again, as if the store were down.
	DescribeTable("tell content that is not accepted from an outage", func(txn *store.Transaction, accepted bool) {
		err := lim.Check(txn)
		if accepted {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(store.ErrInvalid))
		Expect(err).To(MatchError(store.ErrUnavailable), "nothing was applied")
	},
		Entry("within all limits", transaction(3, 100, "x"), true),
		Entry("a long value", transaction(1, 101, "x"), false),
		Entry("a long name", transaction(1, 1, strings.Repeat("x", 11)), false),
		Entry("too many entries", transaction(4, 1, "x"), false),
	)

	It("bound the size of a transaction", func() {
		lim := store.Limits{TransactionBytes: 1000}
		Expect(lim.Check(transaction(1, 500, "x"))).To(Succeed())
		Expect(lim.Check(transaction(1, 800, "x"))).To(MatchError(store.ErrInvalid))
	})

	It("set no bound when they are zero", func() {
		Expect(store.Limits{}.Check(transaction(1000, 1000, strings.Repeat("x", 1000)))).To(Succeed())
	})
})
