// Package jobaccess is what a front end for jobs needs: accept a job, cancel it,
// tell its state and the number of jobs that wait.
//
// A Desk works on the store alone, so that jobs are accepted, cancelled and looked
// up while the owner of the partition is being replaced. A job is accepted when its
// row is stored. A refusal is given only when the row certainly is not and can't be
// stored any more; when that is not known, the outcome is unknown.
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
	// refusalPatience is how long a caller is held while the store certainly did
	// nothing: a quarter of the shortest latency target of the deployments.
	refusalDelay = 100 * time.Millisecond
	// RefusalValidity is how long a published refusal holds: after it, the owner that
	// published it may have gone, and the backlog with it.
	RefusalValidity = 3 * time.Second
	// lookupLimit bounds the look for a stored job before a refusal: a few round trips between regions.
	lookupTimeout = 300 * time.Millisecond
	// noWorkerRetry is when the caller of a job that fits no worker should come back: larger
	// ones join seldom.
	noWorkerRetry = 30 * time.Second
	// OutageRetry is when a caller should come back while the store fails.
	OutageRetryAfter = time.Second
)

// Answer is the outcome of a request to a desk.
type Answer struct {
	outcome    outcome.Outcome
	retryAfter time.Duration
}

// Outcome returns whether the request was carried out.
func (ans Answer) Outcome() outcome.Outcome { return ans.outcome }

// RetryAfter returns when a refused caller should come back.
func (ans Answer) RetryAfter() time.Duration { return ans.retryAfter }

// Desk accepts and looks up the jobs of a partition. It is safe for use from any goroutine.
type Client struct {
	table store.Table
	part  batchstore.Partition
	load  atomic.Pointer[receivedLoad]
	log   *zap.Logger
}

// New returns a desk.
func New(tab store.Table, part batchstore.Partition, log *zap.Logger) *Client {
	return &Client{table: tab, part: part, log: log}
}

// published is a load with the time of its arrival.
type receivedLoad struct {
	load       batchstore.Load
	receivedAt time.Time
}

// SetLoad replaces the published load of the partition, which arrived at the given time.
func (clt *Client) SetLoad(lod batchstore.Load, at time.Time) {
	clt.load.Store(&receivedLoad{load: lod, receivedAt: at})
}

// Submit stores a job. A job that is stored already is accepted again.
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

// refuse returns the refusal of a job that can't be served in useful time, if there is one.
// A job that an earlier request of its caller has stored is never refused, nor is one of
// which this is not known soon.
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

// judge returns why a job is refused and when its caller should come back. The reason is
// empty when the job is to be accepted.
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

// write commits a transaction whose repetition does no harm. Once a try may have
// been received, it is repeated until the outcome is known or the context ends.
func (clt *Client) write(ctx context.Context, txn *store.Transaction) Answer {
	begun := time.Now()
	uncertain := false
	for wait := minRetryDelay; ; wait = min(maxRetryDelay, 2*wait) {
		_, err := clt.table.Commit(ctx, txn)
		if err == nil {
			return Answer{outcome: outcome.Answered()}
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

// Cancel stores the cancellation of a job. The second result is false when there is no such job.
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

// State returns the state of a job. The second result is false when there is no such job.
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

// Pending returns the number of jobs of a queue of which no task has started.
func (clt *Client) Pending(ctx context.Context, queue string) (int, error) {
	row, err := clt.read(ctx, clt.part.LoadKey())
	if err != nil || !row.Exists() {
		return 0, err
	}
	lod, err := batchstore.DecodeLoad(row.Value())
	return lod.Pending[queue], err
}

// read reads a row and repeats a failed try until the context ends.
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
