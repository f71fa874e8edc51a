package joblog

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/partition"
	"jacinthpost/core/resource"
	"jacinthpost/core/store"
	"jacinthpost/core/token"
)

func everyRecord() []job.Record {
	spc := job.NewSpec(job.KindBuild, 2, resource.New(500, 1_000, 1)).WithKey("workspace", "key").WithTeam("team").
		WithClass("class", 15*time.Second).WithService("service").WithUrgency(true).WithPayload([]byte("payload")).WithDeadline(9)
	ref := job.NewRef("job", 1, token.New(2, 3))
	var recs []job.Record
	for knd := job.JobSubmitted; knd <= job.TaskRestored; knd++ {
		recs = append(recs, job.NewRecord(knd, ref, 4).WithHolder(fleet.NewProcess("agent-1", 5)).WithSpec(spc, "digest").
			WithEnd(job.NewEnd(0, "checkpoint").WithResult([]byte("result"), "detail").WithEviction(true)).
			WithTask(0, true, job.NewCounters(1, 2, 3)))
	}
	return recs
}

// formerBatch is a row of an earlier version, in which the workspace has another name.
const formerBatch = `{"batchID":"id","epoch":1,"records":[{"kind":"jobSubmitted","atUnixMillis":4,"job":"job","spec":{"key":"key","customer":"uni","kind":"build","tasks":1,"milliCPU":1,"memoryMB":1,"leaseMillis":1}}]}`

// Guards against jobs that lose their workspace, and with it their identity, when
// a row of an earlier version is read.
var _ = It("reads the workspace of a job that an earlier version stored", func() {
	bat, err := decodeBatch([]byte(formerBatch))
	Expect(err).NotTo(HaveOccurred())
	recs, err := decodeRecords(bat.Records)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(recs[0].Spec().Workspace())).To(Equal("uni"))
})

// FuzzDecodeBatch guards against panics on a damaged log row and against
// records that change when they are written again in a snapshot.
func FuzzDecodeBatch(f *testing.F) {
	for _, rec := range everyRecord() {
		raw, err := json.Marshal(batchRow{BatchID: "id", Epoch: 1, Records: encodeRecords([]job.Record{rec})})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(formerBatch))
	f.Fuzz(func(t *testing.T, raw []byte) {
		bat, err := decodeBatch(raw)
		if err != nil {
			return
		}
		recs, err := decodeRecords(bat.Records)
		if err != nil {
			return
		}
		once := encoded(t, encodeRecords(recs))
		var list []recordJSON
		if err := json.Unmarshal(once, &list); err != nil {
			t.Fatal(err)
		}
		again, err := decodeRecords(list)
		if err != nil || string(encoded(t, encodeRecords(again))) != string(once) {
			t.Fatalf("changed from %s to %s: %v", once, encoded(t, encodeRecords(again)), err)
		}
	})
}

// FuzzDecodeRow guards against panics on a damaged ownership row and against
// rows that change when they are renewed.
func FuzzDecodeRow(f *testing.F) {
	raw, err := encodeRow(partition.NewRow(fleet.NewPeer("agent-1", 2, "127.0.0.1:1"), 3, 4, true))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		row, err := decodeRow(store.NewRow("partition/1", raw, 1))
		if err != nil {
			return
		}
		once, err := encodeRow(row)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeRow(store.NewRow("partition/1", once, 1))
		if err != nil || again != row {
			t.Fatalf("changed from %v to %v: %v", row, again, err)
		}
	})
}

func encoded(t *testing.T, val any) []byte {
	t.Helper()
	raw, err := json.Marshal(val)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
