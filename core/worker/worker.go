// Package worker declares the interface to the worker of an instance, the process that runs tasks
// under leases.
//
// The deadline of a lease is a reading of the worker's monotonic clock. Such readings are comparable
// only within one incarnation of the worker, so a start order contains the incarnation whose clock
// its deadline refers to. A worker refuses a start order that arrives after its deadline or has an
// outdated token, but it does not check whether the resources of the task are free. It ends a task
// whose deadline passes. A restart of the worker ends its tasks; their checkpoints remain usable on
// any worker.
//
// The types are plain values that may be used from any goroutine.
package worker

import (
	"context"
	"errors"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

var (
	// ErrUnavailable reports that the worker could not be reached. The call had no effect.
	ErrUnavailable = errors.New("worker unavailable")
	// ErrUncertain reports that no complete answer was received. The call may have taken effect.
	ErrUncertain = errors.New("worker outcome uncertain")
)

// Worker is the interface to one worker. All calls are idempotent.
type Worker interface {
	// State returns the clock, the capacity and the assignments of the worker, including ended ones
	// until Forget is called for them.
	State(ctx context.Context) (Report, error)
	// Start starts a task. A refusal is reported in the result and not as an error.
	Start(ctx context.Context, ord StartOrder) (StartResult, error)
	// Renew extends leases; it never shortens one. It returns the assignments that still run
	// under a valid lease.
	Renew(ctx context.Context, leases []Lease) ([]Ref, error)
	// Stop ends a task, on request after a checkpoint. Once it has returned, no assignment of the
	// task with this token or a lower one runs or can start. The state is NotStarted if the worker
	// has no record of the assignment.
	Stop(ctx context.Context, ref Ref, checkpoint bool) (TaskReport, error)
	// Throttle limits a running task to a percentage of its full speed. 100 removes the limit.
	Throttle(ctx context.Context, ref Ref, percent int) error
	// Forget deletes the record of an ended assignment. It has no effect on a running one.
	Forget(ctx context.Context, ref Ref) error
}

// Instant is a reading of a worker's monotonic clock.
type Instant time.Duration

// Add returns the instant that is later by a duration.
func (ins Instant) Add(dur time.Duration) Instant { return ins + Instant(dur) }

// Sub returns the duration since an earlier instant.
func (ins Instant) Sub(oth Instant) time.Duration { return time.Duration(ins - oth) }

// Lease is the permission to run an assignment until a deadline.
type Lease struct {
	ref      Ref
	deadline Instant
}

// NewLease returns the lease of an assignment.
func NewLease(ref Ref, deadline Instant) Lease { return Lease{ref: ref, deadline: deadline} }

// Ref returns the assignment to which the lease applies.
func (lea Lease) Ref() Ref { return lea.ref }

// Deadline returns the time at which the worker ends the task, by the worker's clock.
func (lea Lease) Deadline() Instant { return lea.deadline }

// Report is the state of a worker at one point in time.
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

// WithTasks returns the report with the tasks, in the order of Ref.Compare. The caller must not
// modify the slice afterwards.
func (rep Report) WithTasks(tasks []TaskReport) Report {
	rep.tasks = tasks
	return rep
}

// Incarnation returns the incarnation of the worker, to which its clock and deadlines refer.
func (rep Report) Incarnation() fleet.Incarnation { return rep.incarnation }

// Clock returns the reading of the worker's clock at the time at which it wrote the report. To
// convert a deadline from its own clock, a caller takes this as the reading at the time at which it
// received the report. Since the report was written earlier, the result is never too late.
func (rep Report) Clock() Instant { return rep.clock }

// Capacity returns the resources of the instance.
func (rep Report) Capacity() resource.Vector { return rep.capacity }

// Tasks returns the assignments in the order of job, index and token. The caller must not modify
// the slice.
func (rep Report) Tasks() []TaskReport { return rep.tasks }
