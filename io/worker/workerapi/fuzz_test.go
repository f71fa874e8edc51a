package workerapi_test

import (
	"encoding/json"
	"testing"

	"jacinthpost/io/worker/workerapi"
)

// coreMessage is a message that can be converted to the type C of core/worker.
type coreMessage[C any] interface{ Core() C }

// expectRoundTrip fails if a message changes when it is converted to the core type and back.
func expectRoundTrip[M coreMessage[C], C any](t *testing.T, raw []byte, newMessage func(val C) M) {
	t.Helper()
	var msg M
	if err := json.Unmarshal(raw, &msg); err != nil {
		return
	}
	once, err := json.Marshal(newMessage(msg.Core()))
	if err != nil {
		t.Fatal(err)
	}
	var again M
	if err := json.Unmarshal(once, &again); err != nil {
		t.Fatal(err)
	}
	twice, err := json.Marshal(newMessage(again.Core()))
	if err != nil || string(twice) != string(once) {
		t.Fatalf("changed from %s to %s: %v", once, twice, err)
	}
}

// FuzzMessages guards against panics on malformed messages and against assignments, deadlines and
// amounts that change in the conversion.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"incarnation":1,"clockMillis":5,"capacity":{"milliCPU":4000,"memoryMB":9000},"tasks":[{"job":"job","index":1,"token":{"epoch":1,"sequence":2},"state":"running","deadlineMillis":90,"progressPercent":40,"result":"eA=="}]}`))
	f.Add([]byte(`{"job":"job","index":1,"token":{"epoch":1,"sequence":2},"incarnation":3,"deadlineMillis":100,"kind":"build","resources":{"milliCPU":1},"payload":"eA==","checkpoint":"c"}`))
	f.Add([]byte(`{"leases":[{"job":"job","index":1,"token":{"epoch":1,"sequence":2},"deadlineMillis":100}]}`))
	f.Add([]byte(`{"renewed":[{"job":"job","index":1,"token":{"epoch":1,"sequence":2}}]}`))
	f.Add([]byte(`{"clockMillis":9223372036854775807,"deadlineMillis":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		expectRoundTrip(t, raw, workerapi.NewStateReply)
		expectRoundTrip(t, raw, workerapi.NewTaskReport)
		expectRoundTrip(t, raw, workerapi.NewStartRequest)
		expectRoundTrip(t, raw, workerapi.NewRenewRequest)
		expectRoundTrip(t, raw, workerapi.NewRenewReply)
	})
}
