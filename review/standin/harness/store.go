package harness

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"jacinthpost/platform/standin/rowstore"
)

// Limits of a transaction, from PROTOCOL.md ("The platform's metadata store") and the settings.
const (
	maxEntries  = 100
	maxTxnBytes = 1 << 20
	maxRowBytes = 65536
	readDelay   = 4 * time.Millisecond
	txnDelay    = 8 * time.Millisecond // txTimeoutMs
)

// Store puts the limits and the times of the platform's store in front of the project's stand-in, which
// has none.
type Store struct {
	Rows rowstore.Server

	record *Record
	mu     sync.Mutex
	down   bool
	calls  map[string]int
}

// SetDown makes the store answer every call with 503, which means that nothing was done.
func (sto *Store) SetDown(down bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = down
}

// count counts a call by its outcome, and returns the number of such calls so far.
func (sto *Store) count(what string) int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.calls == nil {
		sto.calls = make(map[string]int)
	}
	sto.calls[what]++
	return sto.calls[what]
}

// Count returns the number of calls with an outcome.
func (sto *Store) Count(what string) int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.calls[what]
}

// ServeHTTP implements http.Handler.
func (sto *Store) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	down := sto.down
	sto.mu.Unlock()
	if down {
		sto.count("refused while down")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if req.URL.Path != "/-/rows-tx" {
		time.Sleep(readDelay)
		sto.Rows.ServeHTTP(wrt, req)
		return
	}
	data, err := io.ReadAll(req.Body)
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txnDelay)
	if why, size := excess(data); why != "" {
		if num := sto.count("over the limits"); num <= 5 || num%100 == 0 {
			sto.record.Add("store: transaction refused with 400, the %dth: %s, %d bytes", num, why, size)
		}
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.count("within the limits")
	req.Body = io.NopCloser(bytes.NewReader(data))
	sto.Rows.ServeHTTP(wrt, req)
}

// excess returns which limit a transaction exceeds, empty if none, and the size in question.
func excess(data []byte) (string, int) {
	var txn struct {
		ExpectedRev []json.RawMessage `json:"expectedRev"`
		Writes      []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value string `json:"value"`
		} `json:"writes"`
		Remove []json.RawMessage `json:"remove"`
	}
	if json.Unmarshal(data, &txn) != nil {
		return "body can't be read", len(data)
	}
	if num := len(txn.ExpectedRev) + len(txn.Writes) + len(txn.Remove); num > maxEntries {
		return "too many entries", num
	}
	if len(data) > maxTxnBytes {
		return "call over 1 MB", len(data)
	}
	for _, row := range txn.Writes {
		val, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil {
			return "value is no base64", len(row.Value)
		}
		if len(val) > maxRowBytes {
			return "row " + row.Table + "/" + row.Key + " over rowBytes", len(val)
		}
	}
	return "", 0
}

// Put writes a row as the operator does. A nil value removes it.
func (sto *Store) Put(table, key string, val []byte) {
	sto.Rows.Put(table, "", key, base64.StdEncoding.EncodeToString(val))
}
