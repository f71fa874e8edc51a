// Package ledger accounts for everything that one instance is committed to:
// resources of tasks, and slots and connections of requests.
//
// Workers and endpoints start whatever they are given, so this account is the
// only thing that keeps an instance within its capacity. Model:
//
//   - A ledger admits nothing until it is rebuilt from the worker's report.
//   - Tasks are reserved, committed and released. A reservation expires unless it
//     is committed. A task that is being stopped counts until it is released.
//   - The reserve for requests is set aside whether or not requests use it, so
//     tasks can never take it. Each request takes a slot, a connection and one
//     slot's share of the reserve.
//   - Tasks found on the worker count even when they do not fit. While the
//     commitments exceed the capacity nothing is admitted that would add to the
//     excess, and Deficit tells how much has to end.
//
// The ledger knows what was promised and not what is used. It is not safe for
// concurrent use: the control goroutine owns it. T identifies assignments of
// tasks and R requests. The zero value is an empty ledger that is not ready.
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

// Phases of a commitment. All of them count.
const (
	Absent    Phase = iota // not in the ledger
	Reserved               // offered; expires unless committed
	Committed              // started, or possibly started
	Stopping               // a stop was ordered and is not confirmed
)

// Ledger is the account of one instance.
type Ledger[T, R comparable] struct {
	ready      bool
	capacity   Capacity
	tasks      []*holding[T] // in order of arrival
	byTask     map[T]*holding[T]
	taskSum    resource.Vector
	requests   map[R]use
	requestSum resource.Vector
	batch      int
}

// holding is the commitment of one task.
type holding[T comparable] struct {
	key     T
	amount  resource.Vector
	phase   Phase
	expires time.Time
}

// use is what one request holds.
type use struct {
	share resource.Vector
	batch bool
}

// Ready reports whether the ledger was rebuilt.
func (led *Ledger[T, R]) Ready() bool { return led.ready }

// Capacity returns the present capacity.
func (led *Ledger[T, R]) Capacity() Capacity { return led.capacity }

// Rebuild makes the ledger ready. The caller has counted every task of the
// worker's report with Count before.
func (led *Ledger[T, R]) MarkReady(total resource.Vector) {
	led.capacity = led.capacity.WithTotal(total)
	led.ready = true
}

// Resize changes the capacity. Present commitments stay, so a smaller capacity
// can lead to a deficit.
func (led *Ledger[T, R]) SetCapacity(cpy Capacity) { led.capacity = cpy }

// Count adds a task that is already on the worker, whether or not it fits. A
// task that the ledger knows becomes committed, unless it is being stopped.
func (led *Ledger[T, R]) CommitReported(key T, amount resource.Vector) {
	if hld := led.byTask[key]; hld != nil {
		led.setAmount(hld, amount)
		if hld.phase == Reserved {
			hld.phase = Committed
		}
		return
	}
	led.add(&holding[T]{key: key, amount: amount, phase: Committed})
}

// Reserve holds resources for a task until a time. Reserving the same task
// again moves the expiry of a reservation and changes nothing else.
func (led *Ledger[T, R]) Reserve(key T, amount resource.Vector, now, expires time.Time) (outcome.Outcome, bool) {
	led.Expire(now)
	if hld := led.byTask[key]; hld != nil {
		if hld.phase == Reserved {
			hld.expires = expires
		}
		return outcome.Outcome{}, true
	}
	if out, fits := led.fits(amount); !fits {
		return out, false
	}
	led.add(&holding[T]{key: key, amount: amount, phase: Reserved, expires: expires})
	return outcome.Outcome{}, true
}

func (led *Ledger[T, R]) fits(amount resource.Vector) (outcome.Outcome, bool) {
	most := led.capacity.TaskTotal()
	switch {
	case !led.ready:
		return outcome.NotRun(outcome.ReasonNotReady, "the worker has not reported yet"), false
	case !amount.Valid():
		return outcome.NotRun(outcome.ReasonTooLarge, "negative amount: "+amount.String()), false
	case !amount.FitsIn(most):
		return outcome.NotRun(outcome.ReasonTooLarge, "needs "+amount.String()+", at most "+most.String()), false
	case !amount.FitsIn(led.Free()):
		return outcome.NotRun(outcome.ReasonCapacity, "needs "+amount.String()+", free "+led.Free().String()), false
	}
	return outcome.Outcome{}, true
}

// Commit turns a reservation into a commitment before the task is started. It
// reports false when the reservation expired, in which case the task must not start.
func (led *Ledger[T, R]) Commit(key T, now time.Time) bool {
	led.Expire(now)
	hld := led.byTask[key]
	if hld == nil || hld.phase == Stopping {
		return false
	}
	hld.phase = Committed
	return true
}

// Stop marks a task as being stopped. It counts until it is released.
func (led *Ledger[T, R]) Stop(key T) {
	if hld := led.byTask[key]; hld != nil {
		hld.phase = Stopping
	}
}

// Adjust changes the resources of a task. A smaller amount always takes effect;
// a larger one only if the addition fits.
func (led *Ledger[T, R]) Adjust(key T, amount resource.Vector) bool {
	hld := led.byTask[key]
	if hld == nil || !amount.Valid() {
		return false
	}
	added := amount.Minus(hld.amount).Max(resource.Vector{})
	if _, fits := led.fits(added); added != (resource.Vector{}) && !fits {
		return false
	}
	led.setAmount(hld, amount)
	return true
}

// Release ends the commitment of a task that certainly runs no more and cannot start.
func (led *Ledger[T, R]) Release(key T) bool {
	hld := led.byTask[key]
	if hld == nil {
		return false
	}
	delete(led.byTask, key)
	led.tasks = slices.DeleteFunc(led.tasks, func(oth *holding[T]) bool { return oth == hld })
	led.taskSum = led.taskSum.Minus(hld.amount)
	led.check()
	return true
}

// Expire releases the reservations that have expired and returns their tasks.
func (led *Ledger[T, R]) Expire(now time.Time) []T {
	var gone []T
	for _, hld := range led.tasks {
		if hld.phase == Reserved && !now.Before(hld.expires) {
			gone = append(gone, hld.key)
		}
	}
	for _, key := range gone {
		led.Release(key)
	}
	return gone
}

// Phase returns the phase of a task's commitment.
func (led *Ledger[T, R]) Phase(key T) Phase {
	if hld := led.byTask[key]; hld != nil {
		return hld.phase
	}
	return Absent
}

// Amount returns the resources committed to a task.
func (led *Ledger[T, R]) Amount(key T) resource.Vector {
	if hld := led.byTask[key]; hld != nil {
		return hld.amount
	}
	return resource.Vector{}
}

// Tasks returns the number of tasks that count.
func (led *Ledger[T, R]) TaskCount() int { return len(led.tasks) }

// Committed returns the resources of all tasks that count and the endpoint's
// reserve, or what its requests hold if that is more.
func (led *Ledger[T, R]) Committed() resource.Vector {
	return led.taskSum.Plus(led.requestSum.Max(led.capacity.RequestReserve()))
}

// Free returns the resources that a task could take, none of them negative.
func (led *Ledger[T, R]) Free() resource.Vector {
	return led.capacity.total.Minus(led.Committed()).Max(resource.Vector{})
}

// Deficit returns by how much the commitments exceed the capacity.
func (led *Ledger[T, R]) Deficit() resource.Vector {
	return led.Committed().Minus(led.capacity.total).Max(resource.Vector{})
}

func (led *Ledger[T, R]) add(hld *holding[T]) {
	if led.byTask == nil {
		led.byTask = make(map[T]*holding[T])
	}
	led.byTask[hld.key] = hld
	led.tasks = append(led.tasks, hld)
	led.taskSum = led.taskSum.Plus(hld.amount)
	led.check()
}

func (led *Ledger[T, R]) setAmount(hld *holding[T], amount resource.Vector) {
	led.taskSum = led.taskSum.Minus(hld.amount).Plus(amount)
	hld.amount = amount
	led.check()
}

// check panics when the sums cannot stem from the entries.
func (led *Ledger[T, R]) check() {
	empty := len(led.tasks) == 0 && led.taskSum != (resource.Vector{}) ||
		len(led.requests) == 0 && led.requestSum != (resource.Vector{})
	if empty || len(led.tasks) != len(led.byTask) || !led.taskSum.Valid() || !led.requestSum.Valid() {
		panic(fmt.Sprintf("ledger: %d tasks sum to %v, %d requests to %v",
			len(led.tasks), led.taskSum, len(led.requests), led.requestSum))
	}
}
