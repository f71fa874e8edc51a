// Package runner is the state machine of the tasks of one instance, on the side
// of the agent.
//
// A task goes from an offer (resources reserved) over a claim (the owner writes
// the assignment and grants a lease) to a start order, is kept by renewals, and
// ends with a report that is repeated until the owner has recorded it. Model:
//
//   - A lease counts from the time at which the claim or renewal was sent, and is
//     shortened by the clock drift bound. The worker gets it as an absolute
//     deadline in its own clock, so a delayed order cannot prolong it.
//   - A start order carries a deadline of at most StartWindow, which is extended
//     once the start is confirmed. A start order that is delayed for longer never
//     takes effect, even if its lease still runs. A new agent process relies on
//     this: it accepts offers only when the start orders of the process before it
//     have run out.
//   - An assignment holds its resources until the worker proves that it ended: by
//     an answer to a stop, by a report that lists it as ended, or by a report
//     without it that was read after its deadline.
//   - A report of the worker is only evidence of absence for what was known
//     before the report was asked for.
//   - A running task that uses more than is committed to it is committed what it
//     uses, as far as the instance has room. Memory stays committed; processors
//     follow the use down to the amount offered.
//   - The tasks of the worker survive the agent. They keep running until their
//     deadline while the new agent process looks for their owners.
//
// Events go in as method calls with the time; effects come out as values. Each
// Claim, Start, Stop, Renew and Report must be answered by exactly one call of
// Claimed, Started, Stopped, Renewed or Reported, also after a failure. A Runner
// is not safe for concurrent use: the control goroutine owns it.
package runner

import (
	"slices"
	"time"

	"jacinthpost/core/lease"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

// Timing of tasks.
const (
	// OfferLimit is how long an offer holds resources. It covers a stall of the
	// store of several seconds while the owner writes the assignment.
	OfferTimeout = 10 * time.Second
	// StartWindow bounds how late a start order can take effect.
	StartWindow = 2 * time.Second
	// RenewPeriod is the time between renewals; a lease of 15 s survives two lost ones.
	RenewPeriod = 5 * time.Second
	// RenewWindow is how much earlier than that an owner may ask for a renewal, so
	// that those of many agents reach it together.
	RenewWindow = time.Second
	// WorkerSilence is the age of the last report of the worker above which no lease
	// is renewed: the tasks of a worker that is gone must reach another instance.
	// It outlasts a worker whose answers are lost for 20 s while its tasks run on.
	MaxReportAgeToRenew = 25 * time.Second
	// RetryPeriod is the time between attempts of whatever failed.
	RetryPeriod = time.Second
	// CheckpointMargin is how long before the end of its lease a task is told to checkpoint.
	CheckpointMargin = 2 * time.Second
	// ReportLimit is the age of the worker's report above which no offer is
	// accepted, because a start would probably fail.
	MaxReportAgeToOffer = 3 * time.Second
)

// Account is the port to the ledger of the instance.
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

// Site is the port to what other parts of the process know. Its functions read
// immutable snapshots and return at once.
type Environment interface {
	// StartsAllowed reports whether tasks may start now, and if not, why.
	StartsAllowed(now time.Time) (outcome.Outcome, bool)
	// Partition returns the partition of a job.
	Partition(job string) int
	// Owner returns where the owner of a partition is believed to be.
	Owner(partition int) (address string, known bool)
}

// Runner holds the tasks of one instance.
type Runner struct {
	account    Ledger
	site       Environment
	clock      clock
	tasks      []*task      // in the order of worker.Ref
	partitions []*partition // in the order of their numbers
	draining   bool
	reported   bool           // the worker has reported
	settleAt   worker.Instant // clock at which start orders of an earlier agent process have run out
	settled    bool
}

// New returns a runner without tasks, which accepts nothing before the worker has reported.
func New(acc Ledger, sit Environment) *Runner { return &Runner{account: acc, site: sit} }

// Ready reports whether the runner knows the tasks of the worker.
func (run *Runner) Ready() bool { return run.reported }

// Draining reports whether Drain was called.
func (run *Runner) Draining() bool { return run.draining }

// Offer reserves resources for a task. An accepted offer leads to a claim. An
// offer that is repeated is accepted again and has no further effect.
func (run *Runner) Offer(spc Spec, now time.Time) (outcome.Outcome, bool, []Effect) {
	par := run.partition(spc.partition)
	if out, ok := run.mayOffer(spc, par, now); !ok {
		return out, false, nil
	}
	par.follow(spc.ref.Token().Epoch(), spc.owner)
	if tsk := run.find(spc.ref); tsk != nil {
		return run.offerAgain(tsk)
	}
	if out, efs, clear := run.clearEarlier(spc.ref, now); !clear {
		return out, false, efs
	}
	expires := now.Add(OfferTimeout)
	if out, ok := run.account.Reserve(spc.ref, spc.resources, now, expires); !ok {
		return out, false, nil
	}
	tsk := &task{spec: spc, ref: spc.ref, partition: spc.partition, phase: Offered, expires: expires}
	run.insert(tsk)
	return outcome.Outcome{}, true, run.claim(tsk, par)
}

func (run *Runner) mayOffer(spc Spec, par *partition, now time.Time) (outcome.Outcome, bool) {
	switch {
	case run.draining:
		return outcome.NotRun(outcome.ReasonLeaving, "the agent is stopping"), false
	case !run.reported || now.Sub(run.clock.received) > MaxReportAgeToOffer:
		return outcome.NotRun(outcome.ReasonNotReady, "the worker does not report"), false
	case !run.settled:
		return outcome.NotRun(outcome.ReasonNotReady, "start orders of an earlier agent process may be under way"), false
	case spc.ref.Token().Epoch() < par.epoch:
		return outcome.NotRun(outcome.ReasonFenced, "the partition has a newer owner"), false
	}
	return run.site.StartsAllowed(now)
}

func (run *Runner) offerAgain(tsk *task) (outcome.Outcome, bool, []Effect) {
	if tsk.phase >= Ended {
		return outcome.NotRun(outcome.ReasonFenced, "the assignment has ended"), false, nil
	}
	return outcome.Outcome{}, true, nil
}

// clearEarlier makes way for a newer assignment of a task. An older one that was
// only offered is dropped; one that may run is stopped first.
func (run *Runner) clearEarlier(ref worker.Ref, now time.Time) (outcome.Outcome, []Effect, bool) {
	for _, tsk := range slices.Clone(run.tasks) {
		if !tsk.ref.SameTask(ref) || tsk.phase >= Ended {
			continue
		}
		if ref.Token().Less(tsk.ref.Token()) {
			return outcome.NotRun(outcome.ReasonFenced, "a newer assignment is present"), nil, false
		}
		if tsk.phase == Offered {
			run.account.Release(tsk.ref)
			run.remove(tsk)
			continue
		}
		return outcome.NotRun(outcome.ReasonCapacity, "an earlier assignment still runs"), run.stop(tsk, false, now), false
	}
	return outcome.Outcome{}, nil, true
}

func (run *Runner) claim(tsk *task, par *partition) []Effect {
	if par.address == "" {
		return nil
	}
	tsk.claiming, tsk.claimed = true, true
	return []Effect{Claim{ref: tsk.ref, partition: par.number, address: par.address}}
}

// Claimed takes the answer to a claim that was sent at a time. A grant starts the
// task unless starts are no longer allowed.
func (run *Runner) Claimed(ref worker.Ref, ans ClaimAnswer, now time.Time) []Effect {
	tsk := run.find(ref)
	if tsk == nil && ans.granted {
		run.disown(ref, now)
	}
	if tsk == nil || tsk.phase != Offered {
		return nil
	}
	tsk.claiming = false
	switch {
	case ans.failed:
		tsk.retryAt, tsk.unsure = now.Add(RetryPeriod), true
		return nil
	case !ans.granted && tsk.unsure:
		// An earlier claim may have been granted: the owner has to know that nothing runs.
		run.end(tsk, EndNotStarted, "the claim was refused", now)
		return nil
	case !ans.granted:
		run.account.Release(ref)
		run.remove(tsk)
		return nil
	}
	tsk.lease, tsk.leaseEnd = ans.lease, lease.HolderEnd(ans.sent, ans.lease)
	if out, ok := run.site.StartsAllowed(now); !ok {
		run.end(tsk, EndNotStarted, "starts are not allowed: "+string(out.Reason()), now)
		return nil
	}
	if run.draining || !now.Add(tsk.margin()).Before(tsk.leaseEnd) || !run.account.Commit(ref, now) {
		run.end(tsk, EndNotStarted, "the grant came too late", now)
		return nil
	}
	tsk.phase = Starting
	return run.start(tsk, now)
}

// disown reports that an assignment was not started whose offer was dropped
// before the grant arrived. Without it the owner would wait for the end of the lease.
func (run *Runner) disown(ref worker.Ref, now time.Time) {
	num := run.site.Partition(ref.Job())
	tsk := &task{ref: ref, partition: num, spec: NewSpec(ref, num, "")}
	run.insert(tsk)
	run.end(tsk, EndNotStarted, "the offer was dropped before the grant", now)
}

// start sends the start order, or repeats it with the same deadline.
func (run *Runner) start(tsk *task, now time.Time) []Effect {
	if tsk.orders == 0 {
		end := now.Add(StartWindow)
		if tsk.leaseEnd.Before(end) {
			end = tsk.leaseEnd
		}
		tsk.deadline, tsk.startIncarnation = run.clock.deadline(end), run.clock.incarnation
	}
	tsk.orders++
	tsk.starting, tsk.touched = true, true
	ord := worker.NewStartOrder(tsk.ref, tsk.startIncarnation, tsk.deadline).
		WithClass(tsk.spec.kind, tsk.spec.class).
		WithResources(tsk.spec.resources).
		WithPayload(tsk.spec.payload, tsk.spec.checkpoint)
	return []Effect{Start{order: ord}}
}

// Started takes the answer to a start order. After a failure the worker may or
// may not run the task.
func (run *Runner) Started(ref worker.Ref, ans StartAnswer, now time.Time) []Effect {
	tsk := run.find(ref)
	if tsk == nil {
		return nil
	}
	tsk.starting = false
	switch {
	case tsk.phase != Starting:
		return nil
	case ans.failed:
		tsk.retryAt = now.Add(RetryPeriod / 4)
		return nil
	case ans.result.Started():
		run.running(tsk, now)
		return run.extend(now)
	}
	knd := EndNotStarted
	if ans.result.Refusal() == worker.RefusedIncarnation && tsk.orders > 1 {
		// An earlier copy of the order can have reached the worker process before.
		knd = EndLost
	}
	run.end(tsk, knd, string(ans.result.Refusal())+": "+ans.result.Detail(), now)
	return nil
}

// running notes that the worker runs the task.
func (run *Runner) running(tsk *task, now time.Time) {
	tsk.phase, tsk.confirmed = Running, now
	run.partition(tsk.partition).renewBy(now.Add(RenewPeriod))
}

// Next returns the time at which Tick has to be called at the latest, at most
// QuietPeriod from now.
func (run *Runner) NextTick(now time.Time) time.Time {
	next := now.Add(MaxTickPeriod)
	if run.draining {
		next = now.Add(busyPeriod)
	}
	for _, tsk := range run.tasks {
		switch tsk.phase {
		case Offered, Starting, Stopping:
			next = sooner(next, now.Add(busyPeriod))
		case Running:
			next = sooner(next, tsk.leaseEnd.Add(-tsk.margin()))
		default:
		}
	}
	for _, par := range run.partitions {
		if par.reporting == 0 && !par.reportAt.IsZero() {
			next = sooner(next, par.reportAt)
		}
		if par.renewing == 0 && !par.renewAt.IsZero() {
			next = sooner(next, par.renewAt)
		}
	}
	return next
}

// QuietPeriod is the time between two calls of Tick without a nearer deadline.
// What has no deadline of its own, such as the retry of an Extend, waits for the next call.
const MaxTickPeriod = 500 * time.Millisecond

// busyPeriod is that time while an offer, a start or a stop may have to be repeated.
const busyPeriod = 200 * time.Millisecond

func sooner(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

// Tick returns what has become due. It has to be called at Next at the latest.
func (run *Runner) Tick(now time.Time) []Effect {
	var efs []Effect
	for _, tsk := range slices.Clone(run.tasks) {
		efs = append(efs, run.tickTask(tsk, now)...)
	}
	efs = append(efs, run.extend(now)...)
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
		if _, ok := run.site.StartsAllowed(now); !ok && !tsk.starting {
			return run.stop(tsk, false, now)
		}
		if due && !tsk.starting && now.Before(tsk.leaseEnd) {
			return run.start(tsk, now)
		}
	case Running:
		if run.draining {
			// It was found at the worker after the drain began.
			efs, _ := run.Evict(tsk.ref, drainReason, now)
			return efs
		}
		if !now.Before(tsk.leaseEnd.Add(-tsk.margin())) {
			tsk.detail = "the lease was not renewed"
			return run.stop(tsk, true, now)
		}
	case Stopping:
		if due && !tsk.stopping {
			return run.sendStop(tsk)
		}
	}
	return nil
}

func (run *Runner) tickOffered(tsk *task, due bool, now time.Time) []Effect {
	switch {
	case tsk.claiming:
		return nil
	case !now.Before(tsk.expires) && tsk.claimed:
		run.end(tsk, EndNotStarted, "no answer to the claim", now)
	case !now.Before(tsk.expires):
		run.account.Release(tsk.ref)
		run.remove(tsk)
	case due:
		return run.claim(tsk, run.partition(tsk.partition))
	}
	return nil
}

// extend moves the deadlines at the worker to the ends of the leases.
func (run *Runner) extend(now time.Time) []Effect {
	var leases []worker.Lease
	for _, tsk := range run.tasks {
		held := tsk.phase == Running || tsk.phase == Stopping && !tsk.confirmed.IsZero()
		if !held || tsk.leaseEnd.IsZero() || !now.Before(tsk.leaseEnd) || now.Before(tsk.extendAt) {
			continue
		}
		if end := run.clock.deadline(tsk.leaseEnd); end.Sub(tsk.deadline) > extendStep {
			tsk.extendAt = now.Add(RetryPeriod / 2)
			leases = append(leases, worker.NewLease(tsk.ref, end))
		}
	}
	if len(leases) == 0 {
		return nil
	}
	return []Effect{Extend{leases: leases}}
}

// extendStep is the least gain of a deadline that is worth a call to the worker.
// The computed deadline of a lease of 15 s moves by up to 150 ms as newer reports
// leave less time for the clocks to drift apart.
const extendStep = 250 * time.Millisecond

// Extended takes the assignments that the worker confirmed with their leases.
func (run *Runner) Extended(leases []worker.Lease, held []worker.Ref) {
	for _, lea := range leases {
		if tsk := run.find(lea.Ref()); tsk != nil && slices.Contains(held, lea.Ref()) {
			tsk.deadline = max(tsk.deadline, lea.Deadline())
		}
	}
}
