package entry

import (
	"bytes"
	"testing"

	"jacinthpost/core/attempt"
	"jacinthpost/core/fleet"
)

// FuzzDecodeRecord guards against panics on an invalid row and against records that change when they
// are written back.
func FuzzDecodeRecord(f *testing.F) {
	tgt := fleet.NewPeer("agent-1", 2, "127.0.0.1:1")
	for _, ans := range []attempt.Answer{attempt.NewAnswer(200, []byte("seat 12")), attempt.NewStoredAnswer(200, "answer/1")} {
		for _, sta := range []attempt.State{attempt.StateStarted, attempt.StateAnswered, attempt.StateNotRun} {
			f.Add(encodeRecord(attempt.Restore("digest", 3, "entry-1/2/3", tgt, sta, ans)))
		}
	}
	f.Add([]byte(`{"number":-1,"state":"other"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec, err := decodeRecord(raw)
		if err != nil {
			return
		}
		once := encodeRecord(rec)
		again, err := decodeRecord(once)
		if err != nil || !bytes.Equal(encodeRecord(again), once) {
			t.Fatalf("changed from %s to %s: %v", once, encodeRecord(again), err)
		}
	})
}
