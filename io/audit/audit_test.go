package audit_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/audit"
)

var suite *testing.T

func TestAudit(t *testing.T) {
	suite = t
	specs.Run(t, "audit")
}

var start = time.Unix(1_700_000_000, 0).UTC()

func entryAt(sec int) audit.Entry {
	return audit.Entry{At: start.Add(time.Duration(sec) * time.Second), Actor: "operator", Action: "drain", Outcome: "refused"}
}

// record runs a recorder over the table until the virtual time has passed, and returns the rows.
func record(tab *storefake.Store, entries []audit.Entry, dur time.Duration) (rows []audit.Entry, refused int) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		rec := audit.NewRecorder(tab, "entry-1", 7)
		for _, ent := range entries {
			if !rec.Record(ent) {
				refused++
			}
		}
		go rec.Run(ctx)
		<-time.After(dur)
		tab.SetDown(false)
		var err error
		rows, err = audit.NewTrail(tab).List(ctx, "", audit.MaxList)
		Expect(err).NotTo(HaveOccurred())
	})
	return rows, refused
}

func entries(num int) []audit.Entry {
	var list []audit.Entry
	for sec := range num {
		list = append(list, entryAt(sec))
	}
	return list
}

// Guards against rows that are lost or duplicated, or that block a request, while the table fails.
var _ = DescribeTable("recording", func(num int, down bool, faults []storefake.Fault, wantRows, wantRefused int) {
	tab := &storefake.Store{}
	tab.SetDown(down)
	tab.Inject(faults...)
	rows, refused := record(tab, entries(num), time.Minute)
	Expect(rows).To(HaveLen(wantRows))
	Expect(refused).To(Equal(wantRefused))
	for idx, ent := range rows {
		Expect(ent.At).To(Equal(entryAt(idx).At), "oldest first")
		Expect(ent.Instance).To(Equal("entry-1/7"))
	}
},
	Entry("sound table", 40, false, nil, 40, 0),
	Entry("lost answer", 3, false, []storefake.Fault{storefake.LoseAnswer}, 3, 0),
	Entry("lost call, then refused", 3, false, []storefake.Fault{storefake.LoseCall, storefake.Refuse}, 3, 0),
	Entry("more than the queue holds", audit.QueueLength+5, false, nil, audit.QueueLength, 5),
	Entry("down for longer than the retries last", 3, true, nil, 0, 0),
)

// Guards against an entry that is lost because the process stops while it is being written.
var _ = It("writes the entries that are under way and queued when the process stops", func() {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tab := &storefake.Store{}
		tab.SetDown(true)
		rec := audit.NewRecorder(tab, "entry-1", 7)
		rec.Record(entryAt(0))
		go rec.Run(ctx)
		synctest.Wait()
		rec.Record(entryAt(1))
		tab.SetDown(false)
		cancel()
		synctest.Wait()
		rows, err := audit.NewTrail(tab).List(context.Background(), "", audit.MaxList)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
	})
})

// Guards against a listing that skips or repeats rows between pages.
var _ = It("lists page by page and shows damaged rows", func() {
	ctx := context.Background()
	tab := &storefake.Store{}
	var txn store.Transaction
	for num := range 5 {
		Expect(audit.Add(&txn, entryAt(0), fmt.Sprint("ticket-", num))).To(Succeed())
	}
	txn.Put("audit/9999999999999/x", []byte("{"))
	_, err := tab.Commit(ctx, &txn)
	Expect(err).NotTo(HaveOccurred())
	var keys []string
	var last audit.Entry
	for page, _ := audit.NewTrail(tab).List(ctx, "", 2); len(page) > 0; page, _ = audit.NewTrail(tab).List(ctx, last.Key, 2) {
		for _, ent := range page {
			keys = append(keys, ent.Key)
			last = ent
		}
	}
	Expect(keys).To(HaveLen(6))
	Expect(last.Outcome).To(Equal("damaged"))
	Expect(last.Key).To(Equal("audit/9999999999999/x"))
})
