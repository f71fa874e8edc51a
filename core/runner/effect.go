package runner

import (
	"time"

	"jacinthpost/core/lease"
	"jacinthpost/core/worker"
)

// Effect is an action that the caller of the Runner has to carry out.
type Effect interface{ effect() }

// Claim asks the owner for the lease of an offered task.
type Claim struct {
	ref       worker.Ref
	partition int
	address   string
}

// Ref returns the assignment to claim.
func (clm Claim) Ref() worker.Ref { return clm.ref }

// Partition returns the partition of the task.
func (clm Claim) Partition() int { return clm.partition }

// Address returns the address of the owner.
func (clm Claim) Address() string { return clm.address }

// Start sends a start order to the worker.
type Start struct{ order worker.StartOrder }

// Order returns the order to send.
func (str Start) Order() worker.StartOrder { return str.order }

// Extend sends later deadlines of tasks to the worker.
type Extend struct{ leases []worker.Lease }

// Leases returns the tasks with their new deadlines.
func (ext Extend) Leases() []worker.Lease { return ext.leases }

// Stop sends a stop order to the worker.
type Stop struct {
	ref        worker.Ref
	checkpoint bool
}

// Ref returns the assignment to stop.
func (stp Stop) Ref() worker.Ref { return stp.ref }

// Checkpoint reports whether the worker takes a checkpoint before it stops the task.
func (stp Stop) Checkpoint() bool { return stp.checkpoint }

// Renew asks the owner of a partition to renew leases.
type Renew struct {
	call  Call
	set   lease.Set
	tasks []Status
}

// Call identifies the call in the answer to Renewed.
func (ren Renew) Call() Call { return ren.call }

// LeaseSet describes the assignments that are renewed as one set. It is empty if
// all of them are renewed individually.
func (ren Renew) LeaseSet() lease.Set { return ren.set }

// Tasks returns the assignments to renew individually, and those of the set whose
// status has changed.
func (ren Renew) Tasks() []Status { return ren.tasks }

// Report reports ended assignments to the owner of their partition.
type Report struct {
	call Call
	ends []End
}

// Call identifies the call in the answer to Reported.
func (rep Report) Call() Call { return rep.call }

// Ends returns the assignments whose end the owner has not recorded.
func (rep Report) Ends() []End { return rep.ends }

// Forget lets the worker drop its record of an ended assignment. The Runner expects no answer.
type Forget struct{ ref worker.Ref }

// Ref returns the ended assignment.
func (fgt Forget) Ref() worker.Ref { return fgt.ref }

// Throttle limits the speed of a task at the worker. The Runner expects no answer.
type Throttle struct {
	ref     worker.Ref
	percent int
}

// Ref returns the assignment to throttle.
func (thr Throttle) Ref() worker.Ref { return thr.ref }

// Percent returns the permitted percentage of the full speed.
func (thr Throttle) Percent() int { return thr.percent }

func (Claim) effect()    {}
func (Start) effect()    {}
func (Extend) effect()   {}
func (Stop) effect()     {}
func (Renew) effect()    {}
func (Report) effect()   {}
func (Forget) effect()   {}
func (Throttle) effect() {}

// Call identifies one call to the owner of a partition. An answer that arrives
// after a takeover of the partition is ignored.
type Call struct {
	partition int
	address   string
	sequence  uint64
}

// Partition returns the number of the partition.
func (cal Call) Partition() int { return cal.partition }

// Address returns the address of the owner.
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

// ClaimFailed returns the answer for a claim that the owner may not have received.
func ClaimFailed() ClaimAnswer { return ClaimAnswer{failed: true} }

// StartAnswer is the answer to a start order.
type StartAnswer struct {
	result worker.StartResult
	failed bool
}

// StartAnswered returns the answer with the result from the worker.
func StartAnswered(res worker.StartResult) StartAnswer { return StartAnswer{result: res} }

// StartFailed returns the answer for a start order that the worker may not have received.
func StartFailed() StartAnswer { return StartAnswer{failed: true} }

// Grant is the renewal of one lease.
type Grant struct {
	ref   worker.Ref
	lease time.Duration
}

// NewGrant returns the renewal of an assignment for the duration of a lease.
func NewGrant(ref worker.Ref, lease time.Duration) Grant { return Grant{ref: ref, lease: lease} }

// StopOrder is an order of the owner to stop an assignment.
type StopOrder struct {
	ref        worker.Ref
	checkpoint bool
	reason     string
}

// NewStopOrder returns an order to stop an assignment, after a checkpoint if requested.
func NewStopOrder(ref worker.Ref, checkpoint bool, reason string) StopOrder {
	return StopOrder{ref: ref, checkpoint: checkpoint, reason: reason}
}

// RenewAnswer is the answer to a renewal. The zero value is a renewal that failed.
type RenewAnswer struct {
	answered         bool
	leaseSetRenewed  bool
	leaseSetRejected bool
	sent             time.Time
	next             time.Duration
	grants           []Grant
	stops            []StopOrder
}

// RenewAnswered returns the answer of the owner to a renewal that was sent at a
// time: the leases that it renewed individually and the tasks to stop.
func RenewAnswered(sent time.Time, grants []Grant, stops []StopOrder) RenewAnswer {
	return RenewAnswer{answered: true, sent: sent, grants: grants, stops: stops}
}

// WithLeaseSetResult returns the answer with the owner's decision about the set. With
// renewed, all leases of the set are renewed; with rejected, the owner knows
// another set and requests a list of all tasks. Both are false if there was no set.
func (ans RenewAnswer) WithLeaseSetResult(renewed, rejected bool) RenewAnswer {
	ans.leaseSetRenewed, ans.leaseSetRejected = renewed, rejected
	return ans
}

// WithNext returns the answer with the delay after which the owner requests the
// next renewal, zero for the default period.
func (ans RenewAnswer) WithNext(next time.Duration) RenewAnswer {
	ans.next = next
	return ans
}

// empty reports whether the answer concerns no assignment.
func (ans RenewAnswer) empty() bool {
	return len(ans.grants)+len(ans.stops) == 0 && !ans.leaseSetRenewed && !ans.leaseSetRejected
}
