package runner

import (
	"time"

	"jacinthpost/core/lease"
	"jacinthpost/core/worker"
)

// Effect is something that the adapter has to do.
type Effect interface{ effect() }

// Claim asks the owner for the lease of an offered task.
type Claim struct {
	ref       worker.Ref
	partition int
	address   string
}

// Ref returns the assignment.
func (clm Claim) Ref() worker.Ref { return clm.ref }

// Partition returns the partition of the task.
func (clm Claim) Partition() int { return clm.partition }

// Address returns where the owner is.
func (clm Claim) Address() string { return clm.address }

// Start sends a start order to the worker.
type Start struct{ order worker.StartOrder }

// Order returns the order.
func (str Start) Order() worker.StartOrder { return str.order }

// Extend moves deadlines at the worker.
type Extend struct{ leases []worker.Lease }

// Leases returns the deadlines.
func (ext Extend) Leases() []worker.Lease { return ext.leases }

// Stop sends a stop order to the worker.
type Stop struct {
	ref        worker.Ref
	checkpoint bool
}

// Ref returns the assignment.
func (stp Stop) Ref() worker.Ref { return stp.ref }

// Checkpoint reports whether the worker takes a checkpoint first.
func (stp Stop) Checkpoint() bool { return stp.checkpoint }

// Renew asks the owner of a partition to renew leases.
type Renew struct {
	call  Call
	held  lease.Set
	tasks []Status
}

// Call returns the identity of the exchange with the owner.
func (ren Renew) Call() Call { return ren.call }

// Held describes the assignments that agent and owner agree upon, which are
// renewed in one step, or none.
func (ren Renew) LeaseSet() lease.Set { return ren.held }

// Tasks returns the assignments to renew one by one, and those of the set about
// which there is something new to tell.
func (ren Renew) Tasks() []Status { return ren.tasks }

// Report tells the owner of a partition about ends.
type Report struct {
	call Call
	ends []End
}

// Call returns the identity of the exchange with the owner.
func (rep Report) Call() Call { return rep.call }

// Ends returns the ends.
func (rep Report) Ends() []End { return rep.ends }

// Forget drops the record of an assignment at the worker. It needs no answer.
type Forget struct{ ref worker.Ref }

// Ref returns the assignment.
func (fgt Forget) Ref() worker.Ref { return fgt.ref }

// Throttle limits the speed of a task at the worker. It needs no answer.
type Throttle struct {
	ref     worker.Ref
	percent int
}

// Ref returns the assignment.
func (thr Throttle) Ref() worker.Ref { return thr.ref }

// Percent returns the percentage of the full speed.
func (thr Throttle) Percent() int { return thr.percent }

func (Claim) effect()    {}
func (Start) effect()    {}
func (Extend) effect()   {}
func (Stop) effect()     {}
func (Renew) effect()    {}
func (Report) effect()   {}
func (Forget) effect()   {}
func (Throttle) effect() {}

// Call identifies one exchange with the owner of a partition. The answer of an
// exchange that a takeover has overtaken is ignored.
type Call struct {
	partition int
	address   string
	sequence  uint64
}

// Partition returns the number of the partition.
func (cal Call) Partition() int { return cal.partition }

// Address returns where the owner is.
func (cal Call) Address() string { return cal.address }

// ClaimAnswer is the answer to a claim.
type ClaimAnswer struct {
	granted bool
	failed  bool
	lease   time.Duration
	sent    time.Time
}

// ClaimGranted returns the answer of an owner that granted a lease to a claim sent at a time.
func ClaimGranted(sent time.Time, lease time.Duration) ClaimAnswer {
	return ClaimAnswer{granted: true, lease: lease, sent: sent}
}

// ClaimRefused returns the answer of an owner that has not assigned the task.
func ClaimRefused() ClaimAnswer { return ClaimAnswer{} }

// ClaimFailed returns the answer when none arrived.
func ClaimFailed() ClaimAnswer { return ClaimAnswer{failed: true} }

// StartAnswer is the answer to a start order.
type StartAnswer struct {
	result worker.StartResult
	failed bool
}

// StartAnswered returns the answer of the worker.
func StartAnswered(res worker.StartResult) StartAnswer { return StartAnswer{result: res} }

// StartFailed returns the answer when none arrived.
func StartFailed() StartAnswer { return StartAnswer{failed: true} }

// Grant is the renewal of one lease.
type Grant struct {
	ref   worker.Ref
	lease time.Duration
}

// NewGrant returns the renewal of an assignment.
func NewGrant(ref worker.Ref, lease time.Duration) Grant { return Grant{ref: ref, lease: lease} }

// Order is an order of the owner to stop an assignment.
type StopOrder struct {
	ref        worker.Ref
	checkpoint bool
	reason     string
}

// NewOrder returns an order to stop an assignment, after a checkpoint if asked.
func NewStopOrder(ref worker.Ref, checkpoint bool, reason string) StopOrder {
	return StopOrder{ref: ref, checkpoint: checkpoint, reason: reason}
}

// RenewAnswer is the answer to a renewal. The zero value is a renewal that failed.
type RenewAnswer struct {
	answered  bool
	agreed    bool
	disagreed bool
	sent      time.Time
	next      time.Duration
	grants    []Grant
	stops     []StopOrder
}

// RenewAnswered returns the answer of the owner to a renewal that was sent at a time.
func RenewAnswered(sent time.Time, grants []Grant, stops []StopOrder) RenewAnswer {
	return RenewAnswer{answered: true, sent: sent, grants: grants, stops: stops}
}

// WithHeld returns the answer with the decision about the set: agreed renews all
// of it, disagreed asks for the whole list.
func (ans RenewAnswer) WithLeaseSetResult(agreed, disagreed bool) RenewAnswer {
	ans.agreed, ans.disagreed = agreed, disagreed
	return ans
}

// WithNext returns the answer with the time after which the owner wants the next renewal, zero for no wish.
func (ans RenewAnswer) WithNext(next time.Duration) RenewAnswer {
	ans.next = next
	return ans
}

// empty reports whether the answer says nothing about any assignment.
func (ans RenewAnswer) empty() bool {
	return len(ans.grants)+len(ans.stops) == 0 && !ans.agreed && !ans.disagreed
}
