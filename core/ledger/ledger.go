// Package ledger records the commitments of one instance: resources of tasks, and
// slots and connections of requests.
//
// Workers and endpoints start everything that is sent to them, so only the ledger
// keeps an instance within its capacity. These rules hold:
//
//   - A ledger admits nothing until MarkReady was called with the resources that the
//     worker reported.
//   - Resources for a task are reserved, committed and released. A reservation
//     expires unless it is committed. A task that is being stopped keeps its
//     resources until they are released.
//   - Tasks can never use the reserve for requests, even while requests do not use
//     it. Each request takes a slot, a connection and one slot's share of the reserve.
//   - Tasks that the worker reports are committed even if they do not fit. While the
//     commitments exceed the capacity, nothing is admitted that would increase the
//     excess, and Deficit returns the excess.
//
// The ledger contains commitments, not actual usage. It is not safe for concurrent
// use: only the control goroutine may use it. T identifies assignments of tasks and
// R identifies requests. The zero value is an empty ledger that is not ready.
package ledger

import (
	"fmt"
	"slices"
	"time"

	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
)

// Phase is the phase of a task's commitment.
type Phase int

// Phases of a commitment. Its resources are taken in all phases but Absent.
const (
	Absent    Phase = iota // the ledger has no commitment for the task
	Reserved               // the task was offered; the reservation expires unless it is committed
	Committed              // the task was started, or may have been
	Stopping               // a stop was ordered, and the worker has not confirmed it
)

// Ledger records the commitments of one instance.
type Ledger[T, R comparable] struct {
	ready         bool
	capacity      Capacity
	tasks         []*commitment[T] // in the order in which they were added
	byTask        map[T]*commitment[T]
	taskSum       resource.Vector
	requests      map[R]requestCommitment
	requestSum    resource.Vector
	batchRequests int
}

// commitment is the commitment of one task.
type commitment[T comparable] struct {
	key     T
	amount  resource.Vector
	phase   Phase
	expires time.Time
}

// requestCommitment is the commitment of one request.
type requestCommitment struct {
	share resource.Vector
	batch bool
}

// Ready reports whether MarkReady was called.
func (led *Ledger[T, R]) Ready() bool { return led.ready }

// Capacity returns the current capacity.
func (led *Ledger[T, R]) Capacity() Capacity { return led.capacity }

// MarkReady sets the total resources and lets the ledger admit tasks and requests.
// The caller must have passed every task of the worker's report to CommitReported.
func (led *Ledger[T, R]) MarkReady(total resource.Vector) {
	led.capacity = led.capacity.WithTotal(total)
	led.ready = true
}

// SetCapacity changes the capacity. Existing commitments stay, so a smaller capacity
// can cause a deficit.
func (led *Ledger[T, R]) SetCapacity(cpy Capacity) { led.capacity = cpy }

// CommitReported commits the resources of a task that the worker reported, even if
// they do not fit. A known task gets the amount, and a reservation for it is
// committed.
func (led *Ledger[T, R]) CommitReported(key T, amount resource.Vector) {
	if cmt := led.byTask[key]; cmt != nil {
		led.setAmount(cmt, amount)
		if cmt.phase == Reserved {
			cmt.phase = Committed
		}
		return
	}
	led.add(&commitment[T]{key: key, amount: amount, phase: Committed})
}

// Reserve reserves resources for a task until a time. A repeated call for a reserved
// task only changes that time. For a committed one it changes nothing.
func (led *Ledger[T, R]) Reserve(key T, amount resource.Vector, now, expires time.Time) (outcome.Outcome, bool) {
	led.Expire(now)
	if cmt := led.byTask[key]; cmt != nil {
		if cmt.phase == Reserved {
			cmt.expires = expires
		}
		return outcome.Outcome{}, true
	}
	if out, fits := led.checkFit(amount); !fits {
		return out, false
	}
	led.add(&commitment[T]{key: key, amount: amount, phase: Reserved, expires: expires})
	return outcome.Outcome{}, true
}

func (led *Ledger[T, R]) checkFit(amount resource.Vector) (outcome.Outcome, bool) {
	most := led.capacity.TaskTotal()
	switch {
	case !led.ready:
		return outcome.NotRun(outcome.ReasonNotReady, "the worker has not reported yet"), false
	case !amount.Valid():
		return outcome.NotRun(outcome.ReasonTooLarge, "negative amount: "+amount.String()), false
	case !amount.FitsIn(most):
		return outcome.NotRun(outcome.ReasonTooLarge, "needs "+amount.String()+", but tasks can use at most "+most.String()), false
	case !amount.FitsIn(led.Free()):
		return outcome.NotRun(outcome.ReasonCapacity, "needs "+amount.String()+", free "+led.Free().String()), false
	}
	return outcome.Outcome{}, true
}

// Commit commits a reservation before the task is started. It reports false if the
// reservation has expired or a stop was ordered; the task must not start then.
func (led *Ledger[T, R]) Commit(key T, now time.Time) bool {
	led.Expire(now)
	cmt := led.byTask[key]
	if cmt == nil || cmt.phase == Stopping {
		return false
	}
	cmt.phase = Committed
	return true
}

// Stop marks a task as being stopped. It keeps its resources until Release.
func (led *Ledger[T, R]) Stop(key T) {
	if cmt := led.byTask[key]; cmt != nil {
		cmt.phase = Stopping
	}
}

// Adjust changes the resources of a task, and reports whether it did. A decrease
// always takes effect, an increase only if it fits.
func (led *Ledger[T, R]) Adjust(key T, amount resource.Vector) bool {
	cmt := led.byTask[key]
	if cmt == nil || !amount.Valid() {
		return false
	}
	added := amount.Minus(cmt.amount).Max(resource.Vector{})
	if _, fits := led.checkFit(added); added != (resource.Vector{}) && !fits {
		return false
	}
	led.setAmount(cmt, amount)
	return true
}

// Release removes the commitment of a task, and reports whether there was one. The
// caller must have proof that the task neither runs nor can start.
func (led *Ledger[T, R]) Release(key T) bool {
	cmt := led.byTask[key]
	if cmt == nil {
		return false
	}
	delete(led.byTask, key)
	led.tasks = slices.DeleteFunc(led.tasks, func(oth *commitment[T]) bool { return oth == cmt })
	led.taskSum = led.taskSum.Minus(cmt.amount)
	led.checkSums()
	return true
}

// Expire releases expired reservations and returns their tasks.
func (led *Ledger[T, R]) Expire(now time.Time) []T {
	var expired []T
	for _, cmt := range led.tasks {
		if cmt.phase == Reserved && !now.Before(cmt.expires) {
			expired = append(expired, cmt.key)
		}
	}
	for _, key := range expired {
		led.Release(key)
	}
	return expired
}

// Phase returns the phase of a task's commitment, Absent for an unknown task.
func (led *Ledger[T, R]) Phase(key T) Phase {
	if cmt := led.byTask[key]; cmt != nil {
		return cmt.phase
	}
	return Absent
}

// Amount returns the resources reserved or committed for a task, zero for an unknown one.
func (led *Ledger[T, R]) Amount(key T) resource.Vector {
	if cmt := led.byTask[key]; cmt != nil {
		return cmt.amount
	}
	return resource.Vector{}
}

// TaskCount returns the number of tasks with a reservation or commitment.
func (led *Ledger[T, R]) TaskCount() int { return len(led.tasks) }

// Committed returns the sum of the resources of all tasks and of the reserve for
// requests, or of the resources that requests hold where these exceed the reserve.
func (led *Ledger[T, R]) Committed() resource.Vector {
	return led.taskSum.Plus(led.requestSum.Max(led.capacity.RequestReserve()))
}

// Free returns the resources that are available to a new task, none of them negative.
func (led *Ledger[T, R]) Free() resource.Vector {
	return led.capacity.total.Minus(led.Committed()).Max(resource.Vector{})
}

// Deficit returns by how much the commitments exceed the capacity.
func (led *Ledger[T, R]) Deficit() resource.Vector {
	return led.Committed().Minus(led.capacity.total).Max(resource.Vector{})
}

func (led *Ledger[T, R]) add(cmt *commitment[T]) {
	if led.byTask == nil {
		led.byTask = make(map[T]*commitment[T])
	}
	led.byTask[cmt.key] = cmt
	led.tasks = append(led.tasks, cmt)
	led.taskSum = led.taskSum.Plus(cmt.amount)
	led.checkSums()
}

func (led *Ledger[T, R]) setAmount(cmt *commitment[T], amount resource.Vector) {
	led.taskSum = led.taskSum.Minus(cmt.amount).Plus(amount)
	cmt.amount = amount
	led.checkSums()
}

// checkSums panics if the sums are inconsistent with the entries.
func (led *Ledger[T, R]) checkSums() {
	empty := len(led.tasks) == 0 && led.taskSum != (resource.Vector{}) ||
		len(led.requests) == 0 && led.requestSum != (resource.Vector{})
	if empty || len(led.tasks) != len(led.byTask) || !led.taskSum.Valid() || !led.requestSum.Valid() {
		panic(fmt.Sprintf("ledger: inconsistent sums: %d tasks with a sum of %v, %d requests with a sum of %v",
			len(led.tasks), led.taskSum, len(led.requests), led.requestSum))
	}
}
