// Package jobaccess implements the operations of front ends on jobs: to accept or cancel a job, and to
// look up its state and the number of waiting jobs.
//
// A Client uses only the store, so it works while the owner of the partition is being replaced. A job
// is accepted when its row is stored. It is refused only if the row is certainly not stored and cannot
// be stored later by a pending call. If that is uncertain, the outcome is unknown.
package jobaccess

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/store"
	"jacinthpost/core/workload"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
)

const (
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// refusalDelay is how long a write is retried while the store has certainly not executed it. It
	// is a quarter of the shortest latency target of the deployments.
	refusalDelay = 100 * time.Millisecond
	// RefusalValidity is how long a published refusal is valid. After that, the owner may have been
	// replaced and its backlog may be gone.
	RefusalValidity = 3 * time.Second
	// PendingValidity is how long a published number of waiting jobs is valid. The platform's page allows 2 s.
	PendingValidity = 2 * time.Second
	// lookupTimeout limits the check for a stored job before a refusal. It is the time of a few round
	// trips between regions.
	lookupTimeout = 300 * time.Millisecond
	// noWorkerRetry is the retry time for a job that fits no worker. It is long, because larger
	// workers seldom join.
	noWorkerRetry = 30 * time.Second
	// OutageRetryAfter is the retry time while the store is unavailable.
	OutageRetryAfter = time.Second
)

// Answer is the outcome of a request to submit or cancel a job.
type Answer struct {
	outcome    outcome.Outcome
	retryAfter time.Duration
}

// Outcome returns whether the request was executed, and the reason if not.
func (ans Answer) Outcome() outcome.Outcome { return ans.outcome }

// RetryAfter returns how long the caller of a refused request should wait before a retry.
func (ans Answer) RetryAfter() time.Duration { return ans.retryAfter }

// Client submits, cancels and looks up the jobs of a partition. It is safe for concurrent use.
type Client struct {
	table store.Table
	part  batchstore.Partition
	load  atomic.Pointer[receivedLoad]
	count counter
	log   *zap.Logger
}

// New returns a client for the jobs of a partition. It refuses no job before the first call of SetLoad.
func New(tab store.Table, part batchstore.Partition, log *zap.Logger) *Client {
	return &Client{table: tab, part: part, log: log}
}

// receivedLoad is a published load and the time of its arrival.
type receivedLoad struct {
	load       batchstore.Load
	receivedAt time.Time
}

// SetLoad sets the published load of the partition, which arrived at the given time.
func (clt *Client) SetLoad(lod batchstore.Load, at time.Time) {
	clt.load.Store(&receivedLoad{load: lod, receivedAt: at})
}

// Submit stores a job. A job that is already stored is accepted again.
func (clt *Client) Submit(ctx context.Context, job workload.Job) Answer {
	begun := time.Now()
	if ans, refused := clt.refuse(ctx, job, begun); refused {
		return ans
	}
	var txn store.Transaction
	txn.Require(clt.part.JobKey(job.ID()), 0)
	txn.Put(clt.part.JobKey(job.ID()), batchstore.Encode(job.Params()))
	ans := clt.write(ctx, &txn)
	clt.log.Info(string(decision.JobHandedIn), zap.String("job", job.ID()), zap.String("queue", job.Queue()),
		zap.Stringer(decision.KeyOutcome, ans.outcome.Kind()), zap.String(decision.KeyReason, string(ans.outcome.Reason())),
		zap.Duration(decision.KeyTook, time.Since(begun)))
	return ans
}

// refuse reports whether a job is refused because it cannot be completed in time or fits no worker, and
// returns the answer if so. A job is not refused if an earlier request has stored it, or if this cannot be determined
// within lookupTimeout.
func (clt *Client) refuse(ctx context.Context, job workload.Job, now time.Time) (Answer, bool) {
	rcv := clt.load.Load()
	if rcv == nil {
		return Answer{}, false
	}
	after, detail := rcv.refusal(job, now)
	if detail == "" {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if found, err := clt.exists(ctx, job.ID()); err != nil || found {
		return Answer{}, false
	}
	clt.log.Info(string(decision.JobRefused), zap.String(decision.KeyJob, job.ID()), zap.String("queue", job.Queue()),
		zap.String(decision.KeyReason, string(outcome.ReasonCapacity)), zap.String("detail", detail),
		zap.Duration("retryAfter", after), zap.Duration("loadAge", now.Sub(rcv.receivedAt)))
	return Answer{outcome: outcome.NotRun(outcome.ReasonCapacity, detail), retryAfter: after}, true
}

// refusal returns the reason for which the load requires a refusal of the job, and the retry time. The
// reason is empty if the job can be accepted.
func (rcv receivedLoad) refusal(job workload.Job, now time.Time) (after time.Duration, detail string) {
	var needs []resource.Vector
	for _, stp := range job.Steps() {
		needs = append(needs, stp.Need())
	}
	if ned, found := admission.TooLarge(needs, rcv.load.SizesOf(job.Service())); found {
		return admission.Jitter(noWorkerRetry, job.ID()), "no worker has room for a task of " + ned.String()
	}
	if now.Sub(rcv.receivedAt) > RefusalValidity || rcv.load.RetryAfterMillis[job.Queue()] == 0 {
		return 0, ""
	}
	after = time.Duration(rcv.load.RetryAfterMillis[job.Queue()]) * time.Millisecond
	return admission.Jitter(after, job.ID()), "the job would be complete too late"
}

// write commits an idempotent transaction. Once the store may have received an attempt, write repeats
// it until the outcome is known or the context ends.
func (clt *Client) write(ctx context.Context, txn *store.Transaction) Answer {
	begun := time.Now()
	uncertain := false
	for wait := minRetryDelay; ; wait = min(maxRetryDelay, 2*wait) {
		_, err := clt.table.Commit(ctx, txn)
		if err == nil {
			return Answer{outcome: outcome.Answered()}
		}
		if errors.Is(err, store.ErrInvalid) && !uncertain {
			return Answer{outcome: outcome.NotRun(outcome.ReasonTooLarge, err.Error())}
		}
		uncertain = uncertain || !errors.Is(err, store.ErrUnavailable)
		if !uncertain && time.Since(begun)+wait > refusalDelay {
			return Answer{outcome: outcome.NotRun(outcome.ReasonStoreUnavailable, err.Error()), retryAfter: OutageRetryAfter}
		}
		if control.Pause(ctx, wait) != nil {
			return Answer{outcome: outcome.Unknown(outcome.ReasonTimeout, err.Error())}
		}
	}
}

// Cancel stores the cancellation of a job. The second result is false if there is no such job.
func (clt *Client) Cancel(ctx context.Context, id string) (Answer, bool) {
	begun := time.Now()
	found, err := clt.exists(ctx, id)
	if err != nil {
		return Answer{outcome: outcome.NotRun(outcome.ReasonStoreUnavailable, err.Error()), retryAfter: OutageRetryAfter}, true
	}
	if !found {
		return Answer{}, false
	}
	var txn store.Transaction
	txn.Put(clt.part.CancelKey(id), []byte("{}"))
	ans := clt.write(ctx, &txn)
	clt.log.Info(string(decision.CancelHandedIn), zap.String(decision.KeyJob, id), zap.Stringer(decision.KeyOutcome, ans.outcome.Kind()),
		zap.Duration(decision.KeyTook, time.Since(begun)))
	return ans, true
}

func (clt *Client) exists(ctx context.Context, id string) (bool, error) {
	rows, err := clt.read(ctx, clt.part.JobKey(id))
	if err != nil {
		return false, err
	}
	return rows.Exists(), nil
}

// State returns the state of a job. The second result is false if there is no such job.
func (clt *Client) State(ctx context.Context, id string) (batch.JobState, bool, error) {
	row, err := clt.read(ctx, clt.part.StateKey(id))
	if err != nil {
		return "", false, err
	}
	if row.Exists() {
		rec, err := batchstore.DecodeState(row.Value())
		return rec.State, true, err
	}
	found, err := clt.exists(ctx, id)
	return batch.JobQueued, found, err
}

// Pending returns the number of jobs of a queue of which no task has started. Without an owner nobody publishes
// the number; the client then counts the jobs without a run that it finds in the store.
func (clt *Client) Pending(ctx context.Context, queue string) (int, error) {
	if rcv := clt.load.Load(); rcv != nil && time.Since(rcv.receivedAt) <= PendingValidity {
		return rcv.load.Pending[queue], nil
	}
	nums, err := clt.count.pending(ctx, clt.countPending)
	return nums[queue], err
}

// read reads a row. It repeats failed attempts until the context ends.
func (clt *Client) read(ctx context.Context, key string) (store.Row, error) {
	for wait := minRetryDelay; ; wait = min(maxRetryDelay, 2*wait) {
		rows, err := clt.table.Read(ctx, key)
		if err == nil {
			return rows[0], nil
		}
		if control.Pause(ctx, wait) != nil {
			return store.Row{}, err
		}
	}
}
