// Package runner implements the agent's state machine for the tasks of one instance.
//
// A task passes through these steps: an offer reserves resources; a claim lets the
// owner write the assignment and grant a lease; a start order starts the task;
// renewals extend the lease; and a report of its end is repeated until the owner has
// recorded it. These rules hold:
//
//   - A lease starts when the claim or renewal is sent, and is shortened by the clock
//     drift bound. The worker receives it as an absolute deadline in its own clock,
//     so a delayed order cannot extend it.
//   - A start order carries a deadline of at most StartWindow, which is extended
//     once the start is confirmed. A start order that is delayed for longer never
//     takes effect, even if its lease has not ended. A new agent process relies on
//     this: it accepts offers only after all start orders of the previous process
//     have expired.
//   - An assignment holds its resources until the worker proves that it ended: by
//     an answer to a stop order, by a report that lists it as ended, or by a report
//     that does not list it and was written after its deadline.
//   - The absence of a task from a worker report proves something only if the task
//     was known to run before the report was requested.
//   - A running task that uses more than its commitment has the commitment raised to
//     its usage, as far as the instance has free resources. Committed memory is never
//     lowered; committed processors follow the usage down to the amount offered.
//   - The tasks of the worker survive a restart of the agent. They keep running until
//     their deadlines while the new agent process contacts their owners.
//
// Events are method calls that carry the time, and return the effects to carry out.
// Each Claim, Start, Stop, Renew and Report must be answered by exactly one call of
// Claimed, Started, Stopped, Renewed or Reported, also after a failure. A Runner
// is not safe for concurrent use: only the control goroutine may use it.
package runner

import (
	"slices"
	"time"

	"jacinthpost/core/lease"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

// Time limits and periods.
const (
	// OfferTimeout is how long an offer reserves resources. It outlasts a stall of
	// the store of several seconds while the owner writes the assignment.
	OfferTimeout = 10 * time.Second
	// StartWindow bounds how late a start order can take effect.
	StartWindow = 2 * time.Second
	// RenewPeriod is the time between renewals. A lease of 15 s survives the loss of two.
	RenewPeriod = 5 * time.Second
	// RenewWindow is how much earlier than RenewPeriod an owner may request a renewal,
	// so that the renewals of many agents arrive together.
	RenewWindow = time.Second
	// MaxReportAgeToRenew is the age of the last worker report above which no lease
	// is renewed, so that the tasks of a failed worker move to another instance. It
	// tolerates a worker whose answers are lost for 20 s while its tasks keep running.
	MaxReportAgeToRenew = 25 * time.Second
	// RetryPeriod is the time between attempts of a failed call.
	RetryPeriod = time.Second
	// CheckpointMargin is how long before the end of its lease a task is stopped with a
	// checkpoint. Short leases have a shorter margin.
	CheckpointMargin = 2 * time.Second
	// MaxReportAgeToOffer is the age of the last worker report above which no offer is
	// accepted, because a start would probably fail.
	MaxReportAgeToOffer = 3 * time.Second
)

// Ledger is the interface to the ledger of the instance.
type Ledger interface {
	Reserve(ref worker.Ref, amount resource.Vector, now, expires time.Time) (outcome.Outcome, bool)
	Commit(ref worker.Ref, now time.Time) bool
	CommitReported(ref worker.Ref, amount resource.Vector)
	Amount(ref worker.Ref) resource.Vector
	Adjust(ref worker.Ref, amount resource.Vector) bool
	Free() resource.Vector
	Stop(ref worker.Ref)
	Release(ref worker.Ref) bool
	MarkReady(total resource.Vector)
}

// Environment provides information from other parts of the process. Its methods
// read immutable snapshots and do not block.
type Environment interface {
	// StartsAllowed reports whether tasks may start now, and if not, why.
	StartsAllowed(now time.Time) (outcome.Outcome, bool)
	// Partition returns the partition of a job.
	Partition(job string) int
	// Owner returns the last known address of the owner of a partition.
	Owner(partition int) (address string, known bool)
}

// Runner holds the tasks of one instance.
type Runner struct {
	ledger            Ledger
	env               Environment
	clock             clock
	tasks             []*task      // in the order of worker.Ref
	partitions        []*partition // in the order of their numbers
	draining          bool
	reported          bool           // the worker has reported to this agent process
	oldOrdersExpireAt worker.Instant // when all start orders of earlier agent processes have expired
	oldOrdersExpired  bool
}

// New returns a runner without tasks. It refuses offers until the worker has reported.
func New(led Ledger, env Environment) *Runner { return &Runner{ledger: led, env: env} }

// Ready reports whether a worker report was applied, so that the tasks are known.
func (run *Runner) Ready() bool { return run.reported }

// Draining reports whether the runner refuses offers because of Drain.
func (run *Runner) Draining() bool { return run.draining }

// Offer reserves resources for a task. An accepted offer leads to a claim. A
// repeated offer is accepted again without further effect.
func (run *Runner) Offer(spc Spec, now time.Time) (outcome.Outcome, bool, []Effect) {
	par := run.partition(spc.partition)
	if out, ok := run.offerAllowed(spc, par, now); !ok {
		return out, false, nil
	}
	par.setOwner(spc.ref.Token().Epoch(), spc.owner)
	if tsk := run.find(spc.ref); tsk != nil {
		return run.repeatOffer(tsk)
	}
	if out, efs, clear := run.supersede(spc.ref, now); !clear {
		return out, false, efs
	}
	expires := now.Add(OfferTimeout)
	if out, ok := run.ledger.Reserve(spc.ref, spc.resources, now, expires); !ok {
		return out, false, nil
	}
	tsk := &task{spec: spc, ref: spc.ref, partition: spc.partition, phase: Offered, expires: expires}
	run.insert(tsk)
	return outcome.Outcome{}, true, run.claim(tsk, par)
}

func (run *Runner) offerAllowed(spc Spec, par *partition, now time.Time) (outcome.Outcome, bool) {
	switch {
	case run.draining:
		return outcome.NotRun(outcome.ReasonLeaving, "the agent is stopping"), false
	case !run.reported || now.Sub(run.clock.receivedAt) > MaxReportAgeToOffer:
		return outcome.NotRun(outcome.ReasonNotReady, "the worker has not reported recently"), false
	case !run.oldOrdersExpired:
		return outcome.NotRun(outcome.ReasonNotReady, "start orders of an earlier agent process may still arrive"), false
	case spc.ref.Token().Epoch() < par.epoch:
		return outcome.NotRun(outcome.ReasonFenced, "the partition has a newer owner"), false
	}
	return run.env.StartsAllowed(now)
}

func (run *Runner) repeatOffer(tsk *task) (outcome.Outcome, bool, []Effect) {
	if tsk.phase >= Ended {
		return outcome.NotRun(outcome.ReasonFenced, "the assignment has ended"), false, nil
	}
	return outcome.Outcome{}, true, nil
}

// supersede removes older assignments of the same task, and reports whether a new
// one may be accepted. An older assignment that was only offered is dropped. One
// that may run is stopped, and the new one is refused until it has ended.
func (run *Runner) supersede(ref worker.Ref, now time.Time) (outcome.Outcome, []Effect, bool) {
	for _, tsk := range slices.Clone(run.tasks) {
		if !tsk.ref.SameTask(ref) || tsk.phase >= Ended {
			continue
		}
		if ref.Token().Less(tsk.ref.Token()) {
			return outcome.NotRun(outcome.ReasonFenced, "a newer assignment of the task is present"), nil, false
		}
		if tsk.phase == Offered {
			run.ledger.Release(tsk.ref)
			run.remove(tsk)
			continue
		}
		return outcome.NotRun(outcome.ReasonCapacity, "an earlier assignment of the task may still run"), run.stop(tsk, false, now), false
	}
	return outcome.Outcome{}, nil, true
}

func (run *Runner) claim(tsk *task, par *partition) []Effect {
	if par.address == "" {
		return nil
	}
	tsk.claimPending, tsk.claimSent = true, true
	return []Effect{Claim{ref: tsk.ref, partition: par.number, address: par.address}}
}

// Claimed handles the answer to a claim. A grant starts the task unless starts are
// no longer allowed.
func (run *Runner) Claimed(ref worker.Ref, ans ClaimAnswer, now time.Time) []Effect {
	tsk := run.find(ref)
	if tsk == nil && ans.granted {
		run.reportNotStarted(ref, now)
	}
	if tsk == nil || tsk.phase != Offered {
		return nil
	}
	tsk.claimPending = false
	switch {
	case ans.failed:
		tsk.retryAt, tsk.claimUncertain = now.Add(RetryPeriod), true
		return nil
	case !ans.granted && tsk.claimUncertain:
		// An earlier claim may have been granted, so the owner must learn that the task does not run.
		run.markEnded(tsk, EndNotStarted, "the owner refused the claim", now)
		return nil
	case !ans.granted:
		run.ledger.Release(ref)
		run.remove(tsk)
		return nil
	}
	tsk.lease, tsk.leaseEnd = ans.lease, lease.HolderEnd(ans.sent, ans.lease)
	if out, ok := run.env.StartsAllowed(now); !ok {
		run.markEnded(tsk, EndNotStarted, "starts are not allowed: "+string(out.Reason()), now)
		return nil
	}
	if run.draining || !now.Add(tsk.checkpointMargin()).Before(tsk.leaseEnd) || !run.ledger.Commit(ref, now) {
		run.markEnded(tsk, EndNotStarted, "the grant came after a drain began, near the end of the lease, or after the reservation expired", now)
		return nil
	}
	tsk.phase = Starting
	return run.start(tsk, now)
}

// reportNotStarted reports an assignment as not started that was granted after its
// offer was dropped. Otherwise the owner would wait for the end of the lease.
func (run *Runner) reportNotStarted(ref worker.Ref, now time.Time) {
	num := run.env.Partition(ref.Job())
	tsk := &task{ref: ref, partition: num, spec: NewSpec(ref, num, "")}
	run.insert(tsk)
	run.markEnded(tsk, EndNotStarted, "the offer was dropped before the grant", now)
}

// start sends the start order, or repeats it with the same deadline.
func (run *Runner) start(tsk *task, now time.Time) []Effect {
	if tsk.startOrders == 0 {
		end := now.Add(StartWindow)
		if tsk.leaseEnd.Before(end) {
			end = tsk.leaseEnd
		}
		tsk.deadline, tsk.startIncarnation = run.clock.toWorker(end), run.clock.incarnation
	}
	tsk.startOrders++
	tsk.startPending, tsk.mayBeAtWorker = true, true
	ord := worker.NewStartOrder(tsk.ref, tsk.startIncarnation, tsk.deadline).
		WithClass(tsk.spec.kind, tsk.spec.class).
		WithResources(tsk.spec.resources).
		WithPayload(tsk.spec.payload, tsk.spec.checkpoint)
	return []Effect{Start{order: ord}}
}

// Started handles the answer to a start order. After a failure the worker may or
// may not run the task, so the order is repeated.
func (run *Runner) Started(ref worker.Ref, ans StartAnswer, now time.Time) []Effect {
	tsk := run.find(ref)
	if tsk == nil {
		return nil
	}
	tsk.startPending = false
	switch {
	case tsk.phase != Starting:
		return nil
	case ans.failed:
		tsk.retryAt = now.Add(RetryPeriod / 4)
		return nil
	case ans.result.Started():
		run.markRunning(tsk, now)
		return run.extendDeadlines(now)
	}
	knd := EndNotStarted
	if ans.result.Refusal() == worker.RefusedIncarnation && tsk.startOrders > 1 {
		// An earlier copy of the order may have started the task in the previous worker process.
		knd = EndLost
	}
	run.markEnded(tsk, knd, string(ans.result.Refusal())+": "+ans.result.Detail(), now)
	return nil
}

// markRunning records that the worker runs the task.
func (run *Runner) markRunning(tsk *task, now time.Time) {
	tsk.phase, tsk.runningSince = Running, now
	run.partition(tsk.partition).renewNoLaterThan(now.Add(RenewPeriod))
}

// NextTick returns the time by which Tick must be called, at most MaxTickPeriod from
// now.
func (run *Runner) NextTick(now time.Time) time.Time {
	next := now.Add(MaxTickPeriod)
	if run.draining {
		next = now.Add(busyTickPeriod)
	}
	for _, tsk := range run.tasks {
		switch tsk.phase {
		case Offered, Starting, Stopping:
			next = earlier(next, now.Add(busyTickPeriod))
		case Running:
			next = earlier(next, tsk.leaseEnd.Add(-tsk.checkpointMargin()))
		default:
		}
	}
	for _, par := range run.partitions {
		if par.pendingReport == 0 && !par.reportAt.IsZero() {
			next = earlier(next, par.reportAt)
		}
		if par.pendingRenewal == 0 && !par.renewAt.IsZero() {
			next = earlier(next, par.renewAt)
		}
	}
	return next
}

// MaxTickPeriod is the longest time between two calls of Tick. Work without a
// deadline of its own, such as the retry of an Extend, waits for the next call.
const MaxTickPeriod = 500 * time.Millisecond

// busyTickPeriod is the longest time between two calls of Tick while a claim, start
// or stop may need a retry.
const busyTickPeriod = 200 * time.Millisecond

func earlier(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

// Tick returns the effects that have become due. It must be called by NextTick at the latest.
func (run *Runner) Tick(now time.Time) []Effect {
	var efs []Effect
	for _, tsk := range slices.Clone(run.tasks) {
		efs = append(efs, run.tickTask(tsk, now)...)
	}
	efs = append(efs, run.extendDeadlines(now)...)
	for _, par := range run.partitions {
		efs = append(efs, run.tickPartition(par, now)...)
	}
	return efs
}

func (run *Runner) tickTask(tsk *task, now time.Time) []Effect {
	due := !now.Before(tsk.retryAt)
	switch tsk.phase {
	case Offered:
		return run.tickOffered(tsk, due, now)
	case Starting:
		if _, ok := run.env.StartsAllowed(now); !ok && !tsk.startPending {
			return run.stop(tsk, false, now)
		}
		if due && !tsk.startPending && now.Before(tsk.leaseEnd) {
			return run.start(tsk, now)
		}
	case Running:
		if run.draining {
			// The worker reported it after the drain began.
			efs, _ := run.Evict(tsk.ref, drainReason, now)
			return efs
		}
		if !now.Before(tsk.leaseEnd.Add(-tsk.checkpointMargin())) {
			tsk.detail = "the lease was not renewed"
			return run.stop(tsk, true, now)
		}
	case Stopping:
		if due && !tsk.stopPending {
			return run.sendStop(tsk)
		}
	}
	return nil
}

func (run *Runner) tickOffered(tsk *task, due bool, now time.Time) []Effect {
	switch {
	case tsk.claimPending:
		return nil
	case !now.Before(tsk.expires) && tsk.claimSent:
		run.markEnded(tsk, EndNotStarted, "the owner did not answer the claim before the offer expired", now)
	case !now.Before(tsk.expires):
		run.ledger.Release(tsk.ref)
		run.remove(tsk)
	case due:
		return run.claim(tsk, run.partition(tsk.partition))
	}
	return nil
}

// extendDeadlines moves the deadlines at the worker to the ends of the leases.
func (run *Runner) extendDeadlines(now time.Time) []Effect {
	var leases []worker.Lease
	for _, tsk := range run.tasks {
		extendable := tsk.phase == Running || tsk.phase == Stopping && !tsk.runningSince.IsZero()
		if !extendable || tsk.leaseEnd.IsZero() || !now.Before(tsk.leaseEnd) || now.Before(tsk.extendAt) {
			continue
		}
		if end := run.clock.toWorker(tsk.leaseEnd); end.Sub(tsk.deadline) > minExtension {
			tsk.extendAt = now.Add(RetryPeriod / 2)
			leases = append(leases, worker.NewLease(tsk.ref, end))
		}
	}
	if len(leases) == 0 {
		return nil
	}
	return []Effect{Extend{leases: leases}}
}

// minExtension is the smallest extension of a deadline that is sent to the worker.
// Without a renewal, the computed deadline of a lease of 15 s moves by up to 150 ms,
// because newer reports leave less time for the clocks to drift apart.
const minExtension = 250 * time.Millisecond

// Extended handles the answer to an Extend: the leases that were sent and the
// assignments for which the worker applied them.
func (run *Runner) Extended(leases []worker.Lease, applied []worker.Ref) {
	for _, lea := range leases {
		if tsk := run.find(lea.Ref()); tsk != nil && slices.Contains(applied, lea.Ref()) {
			tsk.deadline = max(tsk.deadline, lea.Deadline())
		}
	}
}
