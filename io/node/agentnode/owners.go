package agentnode

import (
	"context"
	"sync"
	"time"

	"jacinthpost/io/joblog"
)

const (
	ownerLookupPeriod  = 2 * time.Second // between reads of one partition row
	ownerLookupTimeout = time.Second
)

// ownerDirectory finds the owners of partitions for tasks that a restarted agent
// finds at its worker. Owners also announce themselves by Adopt; the directory is for
// owners that have not noticed the restart. Lookups run in the background.
type ownerDirectory struct {
	rows    *joblog.Rows
	mu      sync.Mutex
	entries []ownerEntry
}

type ownerEntry struct {
	address string
	asked   time.Time
}

func newOwnerDirectory(rws *joblog.Rows) *ownerDirectory {
	return &ownerDirectory{rows: rws, entries: make([]ownerEntry, rws.Count())}
}

// Address implements Owners. It returns the cached address at once and, if that is older than
// ownerLookupPeriod, reads the row again in the background.
func (dir *ownerDirectory) Address(num int) (string, bool) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	if num < 0 || num >= len(dir.entries) {
		return "", false
	}
	ent := &dir.entries[num]
	if now := time.Now(); now.Sub(ent.asked) > ownerLookupPeriod {
		ent.asked = now
		go dir.lookUp(num)
	}
	return ent.address, ent.address != ""
}

func (dir *ownerDirectory) lookUp(num int) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerLookupTimeout)
	defer cancel()
	list, err := dir.rows.Read(ctx, num)
	if err != nil {
		return
	}
	row := list[0].Row()
	address := row.Owner().Address()
	if row.Released() {
		address = ""
	}
	dir.mu.Lock()
	defer dir.mu.Unlock()
	dir.entries[num].address = address
}
