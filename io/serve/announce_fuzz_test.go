package serve

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzAnnouncement guards against panics on announcements, against accepted announcements with
// invalid amounts, and against values that change when an announcement is encoded again.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"catalog-core","address":"127.0.0.1:7000","incarnation":1,"state":"ready","slots":8,"connections":64,"capacity":{"milliCPU":32000,"memoryMB":125000,"accelerators":0}}`))
	f.Add([]byte(`{"service":"s","address":"localhost:1","incarnation":18446744073709551615,"state":"leaving","slots":1,"connections":1}`))
	f.Add([]byte(`{"service":"s","address":":1","incarnation":1,"state":"ready","slots":-1,"connections":1}{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		ann, err := decode(bytes.NewReader(raw))
		if err != nil {
			return
		}
		got := ann.toCore()
		if got.Incarnation() == 0 || got.Slots() < 1 || got.Connections() < 1 || !got.Capacity().Valid() {
			t.Fatalf("accepted %s", raw)
		}
		once, err := json.Marshal(ann)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := decode(bytes.NewReader(once)); err != nil || again != ann {
			t.Fatalf("changed from %+v to %+v: %v", ann, again, err)
		}
	})
}
