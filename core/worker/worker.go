// Package worker declares the port to the worker of an instance, which runs
// tasks under leases.
//
// Deadlines are absolute readings of the worker's own monotonic clock. The clock
// is meaningful within one incarnation of the worker only, so a start order
// names the incarnation whose clock it used. A worker starts whatever it is
// given, whether or not it fits; it refuses a start that comes after its
// deadline or with an outdated token, and ends a task whose deadline passes.
// A worker that restarts has lost its tasks and their checkpoints remain usable
// on any worker. The types are plain values that any goroutine may use.
package worker

import (
	"context"
	"errors"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

var (
	// ErrUnavailable reports that the worker could not be reached; the call had no effect.
	ErrUnavailable = errors.New("worker unavailable")
	// ErrUncertain reports that no complete answer came; the call may have taken effect.
	ErrUncertain = errors.New("worker outcome uncertain")
)

// Worker is the port to one worker. Every call may be repeated safely.
type Worker interface {
	// State reads the clock, the capacity and every task that is not forgotten.
	State(ctx context.Context) (Report, error)
	// Start starts a task. A refusal is a result and not an error.
	Start(ctx context.Context, ord StartOrder) (StartResult, error)
	// Renew moves deadlines later and returns the tasks that still run and hold their lease.
	Renew(ctx context.Context, leases []Lease) ([]Ref, error)
	// Stop ends a task, after a checkpoint if asked. Once it returns, no assignment
	// with this token or a lower one runs or can start. The state is NotStarted
	// when the worker has no record of the assignment.
	Stop(ctx context.Context, ref Ref, checkpoint bool) (TaskReport, error)
	// Throttle limits a running task to a percentage of its full speed; 100 lifts the limit.
	Throttle(ctx context.Context, ref Ref, percent int) error
	// Forget drops the record of an ended assignment. A running one is kept.
	Forget(ctx context.Context, ref Ref) error
}

// Instant is a reading of the worker's monotonic clock.
type Instant time.Duration

// Add returns the instant a duration later.
func (ins Instant) Add(dur time.Duration) Instant { return ins + Instant(dur) }

// Sub returns the duration since an earlier instant.
func (ins Instant) Sub(oth Instant) time.Duration { return time.Duration(ins - oth) }

// Lease is the deadline of one assignment.
type Lease struct {
	ref      Ref
	deadline Instant
}

// NewLease returns the lease of an assignment.
func NewLease(ref Ref, deadline Instant) Lease { return Lease{ref: ref, deadline: deadline} }

// Ref returns the assignment.
func (lea Lease) Ref() Ref { return lea.ref }

// Deadline returns when the worker ends the task.
func (lea Lease) Deadline() Instant { return lea.deadline }

// Report is the state of a worker at one moment.
type Report struct {
	incarnation fleet.Incarnation
	clock       Instant
	capacity    resource.Vector
	tasks       []TaskReport
}

// NewReport returns a report without tasks.
func NewReport(inc fleet.Incarnation, clock Instant, capacity resource.Vector) Report {
	return Report{incarnation: inc, clock: clock, capacity: capacity}
}

// WithTasks returns the report with its tasks, which must not change afterwards.
func (rep Report) WithTasks(tasks []TaskReport) Report {
	rep.tasks = tasks
	return rep
}

// Incarnation returns the incarnation of the worker process.
func (rep Report) Incarnation() fleet.Incarnation { return rep.incarnation }

// Clock returns the worker's clock when it wrote the report. The latest moment
// for that is the receipt of the report, so a caller that converts a deadline of
// its own clock counts from the receipt; the result is then never too late.
func (rep Report) Clock() Instant { return rep.clock }

// Capacity returns the resources of the instance.
func (rep Report) Capacity() resource.Vector { return rep.capacity }

// Tasks returns the assignments in the order of job, index and token.
func (rep Report) Tasks() []TaskReport { return rep.tasks }
