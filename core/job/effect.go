package job

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

// Tag identifies the caller that waits for the reply to an event.
type Tag uint64

// Effect is a message to another process or to a waiting caller. It may be
// released only when the record with the number After, and all before it, are
// durable.
type Effect interface {
	After() uint64
}

// releaseCondition holds the record number that every effect waits for.
type releaseCondition struct {
	after uint64
}

// After returns the number of the last record that must be durable, zero for none.
func (dur releaseCondition) After() uint64 { return dur.after }

// Offer asks an instance to reserve capacity for a task.
type Offer struct {
	releaseCondition
	to   fleet.Process
	task Task
}

// To returns the process that receives the offer.
func (off Offer) To() fleet.Process { return off.to }

// Task returns the task offered.
func (off Offer) Task() Task { return off.task }

// StopOrder tells an agent to end an assignment.
type StopOrder struct {
	ref        Ref
	checkpoint bool
	reason     string
}

// Ref returns the assignment to end.
func (ord StopOrder) Ref() Ref { return ord.ref }

// Checkpoint reports whether a checkpoint is taken first.
func (ord StopOrder) Checkpoint() bool { return ord.checkpoint }

// Reason returns why the assignment is ended.
func (ord StopOrder) Reason() string { return ord.reason }

// Stop sends stop orders to an instance.
type Stop struct {
	releaseCondition
	to     fleet.InstanceID
	orders []StopOrder
}

// To returns the instance that receives the orders.
func (stp Stop) To() fleet.InstanceID { return stp.to }

// Orders returns the assignments to end and how.
func (stp Stop) Orders() []StopOrder { return stp.orders }

// Adopt asks an instance which tasks of the partition it holds.
type Adopt struct {
	releaseCondition
	to fleet.InstanceID
}

// To returns the instance asked.
func (ado Adopt) To() fleet.InstanceID { return ado.to }

// Reasons for refusing a claim.
const (
	RefusedOutdated   = "outdated"   // the token is not the current one
	RefusedNotOwner   = "notOwner"   // the partition lease of the owner has ended
	RefusedCancelled  = "cancelled"  // the job is cancelled
	RefusedNoStarts   = "noStarts"   // no task may start in the data centre now
	RefusedOtherAgent = "otherAgent" // the offer went to another instance
)

// ClaimReply grants or refuses a claim.
type ClaimReply struct {
	releaseCondition
	tag    Tag
	lease  time.Duration
	reason string
}

// Tag identifies the caller of Claim.
func (rep ClaimReply) Tag() Tag { return rep.tag }

// Granted reports whether the claim is granted.
func (rep ClaimReply) Granted() bool { return rep.reason == "" }

// Lease returns the task lease, which the agent counts from the send time of the claim.
func (rep ClaimReply) Lease() time.Duration { return rep.lease }

// Reason returns why the claim is refused.
func (rep ClaimReply) Reason() string { return rep.reason }

// Grant is one renewed lease.
type Grant struct {
	ref   Ref
	lease time.Duration
}

// Ref returns the assignment renewed.
func (grt Grant) Ref() Ref { return grt.ref }

// Lease returns the task lease, counted from the send time of the request.
func (grt Grant) Lease() time.Duration { return grt.lease }

// RenewReply answers a renewal. An assignment may be granted and ordered to
// stop, so that it keeps its lease while it takes a checkpoint.
type RenewReply struct {
	releaseCondition
	tag       Tag
	agreed    bool
	disagreed bool
	count     int
	grants    []Grant
	stops     []StopOrder
}

// Tag identifies the caller of Renew or RenewHeld.
func (rep RenewReply) Tag() Tag { return rep.tag }

// Agreed reports whether the set that the agent described matched the owner's, so that all its leases
// are renewed.
func (rep RenewReply) Agreed() bool { return rep.agreed }

// Disagreed reports whether the set that the agent described did not match the owner's, so that the
// agent has to list its assignments.
func (rep RenewReply) Disagreed() bool { return rep.disagreed }

// Renewed returns the number of leases renewed.
func (rep RenewReply) Renewed() int {
	if rep.agreed {
		return rep.count + len(rep.grants)
	}
	return len(rep.grants)
}

// Grants returns the leases renewed one by one, without those renewed as part of the set.
func (rep RenewReply) Grants() []Grant { return rep.grants }

// Stops returns the assignments to end.
func (rep RenewReply) Stops() []StopOrder { return rep.stops }

// ReportReply acknowledges the reported ends, which are either recorded or outdated.
type ReportReply struct {
	releaseCondition
	tag      Tag
	recorded []Ref
}

// Tag identifies the caller of Report.
func (rep ReportReply) Tag() Tag { return rep.tag }

// Recorded returns the assignments that the agent may forget.
func (rep ReportReply) Recorded() []Ref { return rep.recorded }

// Reasons that only job operations give, in addition to those of package outcome.
const (
	ReasonInvalid  outcome.Reason = "invalid"  // the specification breaks a limit
	ReasonConflict outcome.Reason = "conflict" // the key was used with other content
	ReasonNoJob    outcome.Reason = "noJob"    // the job is not known
)

// Reply answers a submission, a cancellation or a retry.
type Reply struct {
	releaseCondition
	tag      Tag
	job      ID
	out      outcome.Outcome
	existing bool
}

// Tag identifies the caller of Submit, Cancel or Retry.
func (rep Reply) Tag() Tag { return rep.tag }

// Job returns the job.
func (rep Reply) Job() ID { return rep.job }

// Outcome returns outcome.Answered if the operation took effect, otherwise a not-run outcome with the
// reason.
func (rep Reply) Outcome() outcome.Outcome { return rep.out }

// Existing reports whether the job was submitted before.
func (rep Reply) Existing() bool { return rep.existing }

// Output holds the records and effects of one event.
type Output struct {
	records []Record
	effects []Effect
}

// Records returns the facts to make durable, in order.
func (out *Output) Records() []Record { return out.records }

// Effects returns the messages to release, in order.
func (out *Output) Effects() []Effect { return out.effects }

func (out *Output) emit(eff Effect) { out.effects = append(out.effects, eff) }
