package batchstore_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/batchstore"
)

func TestBatchstore(t *testing.T) { specs.Run(t, "batchstore") }

const (
	part     = batchstore.Partition("p")
	rowBytes = 1000
)

// record returns the state of a job whose encoding is about a number of bytes.
func record(id string, size int) batch.JobRecord {
	tsk := batch.TaskRecord{Phase: batch.Active, Run: 1, Checkpoint: strings.Repeat("c", size)}
	return batch.JobRecord{ID: id, Queue: "q", State: batch.JobRunning, Occurrences: []batch.OccurrenceRecord{{Steps: [][]batch.TaskRecord{{tsk}}}}}
}

var _ = Describe("The rows of a state", func() {
	var tab *storefake.Store
	BeforeEach(func() { tab = &storefake.Store{} })
	put := func(ctx SpecContext, rec batch.JobRecord, before int) int {
		GinkgoHelper()
		var txn store.Transaction
		num := part.PutState(&txn, rec, rowBytes, before)
		for _, wrt := range txn.Writes() {
			Expect(len(wrt.Value())).To(BeNumerically("<=", rowBytes), wrt.Key())
		}
		_, err := tab.Commit(ctx, &txn)
		Expect(err).NotTo(HaveOccurred())
		return num
	}
	rows := func(ctx SpecContext) []store.Row {
		GinkgoHelper()
		all, err := tab.List(ctx, part.StatesPrefix(), "", 1000)
		Expect(err).NotTo(HaveOccurred())
		return all
	}
	expectStored := func(ctx SpecContext, rec batch.JobRecord, pieces int) {
		GinkgoHelper()
		sta := part.DecodeStates(rows(ctx))[rec.ID]
		Expect(sta.Err).NotTo(HaveOccurred())
		Expect(sta.Record).To(Equal(rec))
		Expect(sta.Pieces).To(Equal(pieces))
	}

	// Guards against a state that the store does not accept because it is larger than a row (LOST).
	DescribeTable("hold a state of any size", func(ctx SpecContext, size int) {
		rec, oth := record("j", size), record("k", 10)
		put(ctx, oth, 0)
		num := put(ctx, rec, 0)
		expectStored(ctx, rec, num)
		expectStored(ctx, oth, 0)
	},
		Entry("one row", 10),
		Entry("two pieces", rowBytes),
		Entry("many pieces", 20*rowBytes),
	)

	// Guards against rows that a smaller state leaves behind, and that a larger one would be read with.
	It("are removed when the state becomes smaller", func(ctx SpecContext) {
		num := put(ctx, record("j", 5*rowBytes), 0)
		num = put(ctx, record("j", 2*rowBytes), num)
		expectStored(ctx, record("j", 2*rowBytes), num)
		num = put(ctx, record("j", 10), num)
		expectStored(ctx, record("j", 10), 0)
		Expect(rows(ctx)).To(HaveLen(1))
		num = put(ctx, record("j", 5*rowBytes), num)
		var txn store.Transaction
		part.DeleteState(&txn, "j", num)
		_, err := tab.Commit(ctx, &txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows(ctx)).To(BeEmpty())
	})

	// Guards against callers that get no answer for a job whose state has several rows.
	It("tell callers the state of the job in the first one", func(ctx SpecContext) {
		put(ctx, record("j", 5*rowBytes), 0)
		head, err := tab.Read(ctx, part.StateKey("j"))
		Expect(err).NotTo(HaveOccurred())
		rec, err := batchstore.DecodeState(head[0].Value())
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.State).To(Equal(batch.JobRunning))
	})

	// Guards against tasks that start again because a part of the state is missing.
	DescribeTable("give an error when one is wrong", func(ctx SpecContext, change func(txn *store.Transaction)) {
		put(ctx, record("j", 5*rowBytes), 0)
		var txn store.Transaction
		change(&txn)
		_, err := tab.Commit(ctx, &txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(part.DecodeStates(rows(ctx))["j"].Err).To(HaveOccurred())
	},
		Entry("missing", func(txn *store.Transaction) { txn.Delete(part.StateKey("j") + "/2") }),
		Entry("cut short", func(txn *store.Transaction) { txn.Put(part.StateKey("j")+"/2", []byte("x")) }),
		Entry("with a wrong number", func(txn *store.Transaction) {
			data, err := json.Marshal(map[string]any{"id": "j", "state": "running", "pieces": 9, "bytes": 10})
			Expect(err).NotTo(HaveOccurred())
			txn.Put(part.StateKey("j"), data)
		}),
	)

	// Guards against rows of the owner that are over the limit at the size to design for.
	It("hold the presence of 1,400 instances in one", func() {
		reported, silent := batch.Presence{}, batch.Presence{Silent: make(map[fleet.InstanceID]time.Duration)}
		for num := range 1400 {
			id := fleet.InstanceID(fmt.Sprintf("side-nam-binhduong-%d", num))
			reported.Reported, silent.Silent[id] = append(reported.Reported, id), 6500*time.Millisecond
		}
		for _, prs := range []batch.Presence{reported, silent} {
			Expect(len(batchstore.Encode(batchstore.FromPresence(1, prs)))).To(BeNumerically("<", 65536))
		}
	})
})
