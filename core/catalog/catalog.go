// Package catalog holds the configured queues of jobs: which requests belong to a queue, which
// service runs its tasks, and the policy for its jobs.
//
// A Catalog is one version of the operators' configuration and is immutable.
package catalog

import (
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// Queue is a queue of jobs with its policy. Host and PathPrefix select its requests.
type Queue struct {
	Name            string
	Host            string
	PathPrefix      string
	Service         fleet.Service
	Priority        int // zero is the highest
	MaxAttempts     int
	Stretch         float64
	TargetLatency   time.Duration
	Timeout         time.Duration // of one request to the queue
	NeedsPermission bool          // the policy service has to permit the instances of a step
}

// Limits are the limits on requests of callers.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is a version of the configured queues. The zero value has no queues and precedes the first
// version.
type Catalog struct {
	version uint64
	queues  []Queue
	byHost  map[string][]int
	limits  Limits
}

// New returns a catalog of the queues, which the caller must not change afterwards.
func New(ver uint64, ques []Queue, lim Limits) *Catalog {
	cat := &Catalog{version: ver, queues: ques, byHost: make(map[string][]int), limits: lim}
	for num, que := range ques {
		host := strings.ToLower(que.Host)
		cat.byHost[host] = append(cat.byHost[host], num)
	}
	return cat
}

// Version returns the version of the configuration, or zero before the first one.
func (cat *Catalog) Version() uint64 { return cat.version }

// Limits returns the limits on requests.
func (cat *Catalog) Limits() Limits { return cat.limits }

// Queues returns all queues. The caller must not change them.
func (cat *Catalog) Queues() []Queue { return cat.queues }

// Queue returns the queue with a name, and false if there is none.
func (cat *Catalog) Queue(name string) (Queue, bool) {
	pos := slices.IndexFunc(cat.queues, func(que Queue) bool { return que.Name == name })
	if pos < 0 {
		return Queue{}, false
	}
	return cat.queues[pos], true
}

// Apply returns the parameters of a submitted job with the policy of the queue filled in.
func (que Queue) Apply(par workload.JobParams) workload.JobParams {
	par.Queue, par.Service, par.Priority = que.Name, string(que.Service), que.Priority
	par.MaxAttempts, par.Stretch, par.NeedsPermission = que.MaxAttempts, que.Stretch, que.NeedsPermission
	par.TargetLatencyMillis = float64(que.TargetLatency) / float64(time.Millisecond)
	return par
}

// Match returns the queue of the host whose prefix of the path is longest, and the rest of the path.
// The port of the host and its case are ignored.
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

// Newer returns nxt unless old is a newer version. Processes use it to never return to an older one.
func Newer(old, nxt *Catalog) *Catalog {
	if old != nil && nxt.version < old.version {
		return old
	}
	return nxt
}
