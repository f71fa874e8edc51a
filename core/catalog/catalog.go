// Package catalog models the queues that callers hand jobs to: how a request
// selects one, which service runs its tasks, and its policy.
//
// A Catalog is one version of the operators' configuration and never changes.
package catalog

import (
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// Queue is a named queue of jobs.
type Queue struct {
	Name            string
	Host            string
	PathPrefix      string
	Service         fleet.Service
	Priority        int // zero comes first
	MaxAttempts     int
	Stretch         float64
	TargetLatency   time.Duration
	Timeout         time.Duration // of one request to the queue
	NeedsPermission bool          // a policy service decides which instances may run a step
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is a version of the queues. The zero value is the state before any configuration.
type Catalog struct {
	version uint64
	queues  []Queue
	byHost  map[string][]int
	limits  Limits
}

// New returns a catalog.
func New(ver uint64, ques []Queue, lim Limits) *Catalog {
	cat := &Catalog{version: ver, queues: ques, byHost: make(map[string][]int), limits: lim}
	for num, que := range ques {
		host := strings.ToLower(que.Host)
		cat.byHost[host] = append(cat.byHost[host], num)
	}
	return cat
}

// Version returns the version of the configuration, zero before the first one.
func (cat *Catalog) Version() uint64 { return cat.version }

// Limits returns the bounds of requests.
func (cat *Catalog) Limits() Limits { return cat.limits }

// Queues returns all queues.
func (cat *Catalog) Queues() []Queue { return cat.queues }

// Queue returns the queue of a name.
func (cat *Catalog) Queue(name string) (Queue, bool) {
	pos := slices.IndexFunc(cat.queues, func(que Queue) bool { return que.Name == name })
	if pos < 0 {
		return Queue{}, false
	}
	return cat.queues[pos], true
}

// Apply returns the values of a job that is handed in to the queue with the queue's policy.
func (que Queue) Apply(par workload.JobParams) workload.JobParams {
	par.Queue, par.Service, par.Priority = que.Name, string(que.Service), que.Priority
	par.MaxAttempts, par.Stretch, par.NeedsPermission = que.MaxAttempts, que.Stretch, que.NeedsPermission
	par.TargetLatencyMillis = float64(que.TargetLatency) / float64(time.Millisecond)
	return par
}

// Match returns the queue with the longest prefix of the path among those of the
// host, and the rest of the path.
func (cat *Catalog) Match(host, path string) (que Queue, rest string, found bool) {
	host, _, _ = strings.Cut(host, ":")
	best := -1
	for _, num := range cat.byHost[strings.ToLower(host)] {
		prefix := cat.queues[num].PathPrefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(cat.queues[best].PathPrefix)) {
			best = num
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	return cat.queues[best], path[len(cat.queues[best].PathPrefix):], true
}

// Newer returns the newer of two catalogs: a process never returns to an older version.
func Newer(old, nxt *Catalog) *Catalog {
	if old != nil && nxt.version < old.version {
		return old
	}
	return nxt
}
