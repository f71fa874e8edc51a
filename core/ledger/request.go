package ledger

import (
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
)

// Admit takes a slot, a connection and a slot's share of the reserve for a
// request. Batch requests leave the critical slots free. A request that is
// already admitted stays admitted once.
func (led *Ledger[T, R]) Admit(key R, batch bool) (outcome.Outcome, bool) {
	if _, present := led.requests[key]; present {
		return outcome.Outcome{}, true
	}
	if out, room := led.CanAdmit(batch); !room {
		return out, false
	}
	if led.requests == nil {
		led.requests = make(map[R]use)
	}
	sha := led.capacity.SlotShare()
	led.requests[key] = use{share: sha, batch: batch}
	led.requestSum = led.requestSum.Plus(sha)
	if batch {
		led.batch++
	}
	return outcome.Outcome{}, true
}

// Room reports whether a request could be admitted now, and if not, why.
func (led *Ledger[T, R]) CanAdmit(batch bool) (outcome.Outcome, bool) {
	cpy := led.capacity
	switch {
	case !led.ready:
		return outcome.NotRun(outcome.ReasonNotReady, "the worker has not reported yet"), false
	case len(led.requests) >= cpy.slots:
		return outcome.NotRun(outcome.ReasonCapacity, "all slots are in use"), false
	case len(led.requests) >= cpy.connections:
		return outcome.NotRun(outcome.ReasonCapacity, "all connections are in use"), false
	case batch && led.batch >= cpy.slots-cpy.criticalSlots:
		return outcome.NotRun(outcome.ReasonCapacity, "all slots of batch requests are in use"), false
	case !led.taskSum.Plus(led.requestSum).Plus(cpy.SlotShare()).FitsIn(cpy.total):
		return outcome.NotRun(outcome.ReasonCapacity, "tasks hold part of the reserve"), false
	}
	return outcome.Outcome{}, true
}

// Finish releases what a request holds.
func (led *Ledger[T, R]) ReleaseRequest(key R) {
	use, present := led.requests[key]
	if !present {
		return
	}
	delete(led.requests, key)
	led.requestSum = led.requestSum.Minus(use.share)
	if use.batch {
		led.batch--
	}
	led.check()
}

// Requests returns the number of admitted requests.
func (led *Ledger[T, R]) RequestCount() int { return len(led.requests) }

// RequestSum returns the resources that the admitted requests hold.
func (led *Ledger[T, R]) RequestSum() resource.Vector { return led.requestSum }

// TaskSum returns the resources of all tasks that count.
func (led *Ledger[T, R]) TaskSum() resource.Vector { return led.taskSum }
