package batchhost

import (
	"cmp"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

// Reasons of refused and lost runs, as reported to the owner.
const (
	reasonStaleOrder  = "stale order"
	reasonWithdrawn   = "withdrawn"
	reasonDraining    = "draining"
	reasonNoLease     = "no lease"
	reasonNoRoom      = "no room"
	reasonUnknownNeed = "unknown room"
	reasonNoAnswer    = "no answer"
	reasonNotListed   = "not listed"
)

func compareRunIDs(fst, snd batch.RunID) int {
	return cmp.Or(cmp.Compare(fst.Task.Job, snd.Task.Job), cmp.Compare(fst.Task.Occurrence, snd.Task.Occurrence),
		cmp.Compare(fst.Task.Step, snd.Task.Step), cmp.Compare(fst.Task.Index, snd.Task.Index), cmp.Compare(fst.Run, snd.Run))
}

// ApplyOrders applies the owner's answer to a request for orders. The owner allows starts until startsUntil, those of
// earlier answers included. Answers of other epochs and sessions and orders that were applied before are ignored.
func (hst *Host) ApplyOrders(epoch, session uint64, ords []batch.Order, startsUntil, now time.Time) {
	if epoch != hst.epoch || session != hst.session {
		return
	}
	hst.startsUntil = startsUntil
	stopped := stops(ords)
	for _, ord := range ords {
		if ord.Seq <= hst.lastOrder {
			continue
		}
		hst.lastOrder = ord.Seq
		switch ord.Kind {
		case batch.StartRun:
			hst.start(ord, stopped[ord.ID], now)
		case batch.StopRun:
			hst.stop(ord.ID)
		case batch.DescribeRun:
			hst.describe(ord)
		}
	}
}

// stops returns the runs that orders stop.
func stops(ords []batch.Order) map[batch.RunID]bool {
	out := make(map[batch.RunID]bool)
	for _, ord := range ords {
		if ord.Kind == batch.StopRun {
			out[ord.ID] = true
		}
	}
	return out
}

// describe sets the needs of a run that was first seen in a listing. It does not change a run that
// was ordered in this session, whose start may have to be retried with the payload of that order.
func (hst *Host) describe(ord batch.Order) {
	if rn := hst.runs[ord.ID]; rn != nil && !rn.described {
		rn.order, rn.described = ord, true
	}
}

// start starts a run, unless the owner has withdrawn the order meanwhile.
func (hst *Host) start(ord batch.Order, withdrawn bool, now time.Time) {
	if hst.runs[ord.ID] != nil {
		return
	}
	reason := hst.refusal(ord, now)
	if withdrawn {
		reason = reasonWithdrawn
	}
	if reason != "" {
		hst.emit(batch.Event{ID: ord.ID, Cause: batch.EndRefused, Reason: reason}, 0)
		return
	}
	if hst.runs == nil {
		hst.runs = make(map[batch.RunID]*run)
	}
	hst.runs[ord.ID] = &run{
		order: ord, described: true, orderedAt: now, startPending: true, share: pacing.FullShare,
		state: batch.RunState{ID: ord.ID, Checkpoint: ord.Checkpoint},
	}
	hst.callStart(ord.ID, ord, now)
}

// refusal returns why a run may not be started, or an empty string if it may.
func (hst *Host) refusal(ord batch.Order, now time.Time) string {
	if reason := hst.startBlocked(now); reason != "" {
		return reason
	}
	var used resource.Vector
	for _, rn := range hst.runs {
		if !rn.described {
			return reasonUnknownNeed
		}
		used = used.Plus(rn.order.Need)
	}
	if !used.Plus(ord.Need).FitsIn(hst.worker.Capacity) {
		return reasonNoRoom
	}
	return ""
}

// startBlocked returns why no start call may be made now, be it the first one for its run or a later one, or an empty
// string if one may.
func (hst *Host) startBlocked(now time.Time) string {
	switch {
	case hst.worker.Draining:
		return reasonDraining
	case !now.Before(hst.startsUntil):
		// A job may have been cancelled, or a data centre taken out, since the view that the owner's last answer rests on.
		return reasonStaleOrder
	case hst.grantedUntil.Sub(now) < hst.options.MinStartLease || hst.clock.at.IsZero() || hst.silent(now) || !hst.lifeCertain:
		return reasonNoLease
	default:
		return ""
	}
}

func (hst *Host) callStart(rid batch.RunID, ord batch.Order, now time.Time) {
	until, ok := hst.LeaseEnd(now)
	if !ok {
		hst.stop(rid)
		return
	}
	hst.calls = append(hst.calls, Call{Kind: CallStart, ID: rid, Order: ord, Incarnation: hst.worker.Incarnation, LeaseEnd: until, NotAfter: hst.startsUntil, decidedAt: now})
}

func (hst *Host) stop(rid batch.RunID) {
	rn := hst.runs[rid]
	if rn == nil || rn.stopping {
		return
	}
	rn.stopping = true
	hst.callStop(rid, rn)
}

func (hst *Host) callStop(rid batch.RunID, rn *run) {
	rn.stopInFlight = true
	hst.calls = append(hst.calls, Call{Kind: CallStop, ID: rid, Incarnation: hst.worker.Incarnation})
}

// CallOutcome is the outcome of a call to the worker.
type CallOutcome int

// The outcomes of calls.
const (
	Accepted CallOutcome = iota
	NotDone              // the call was not executed and will not be
	Retry                // the call may be repeated with a new lease end and token
	Unknown              // the call may have been executed or may be executed later
)

// StartEnded applies the outcome of a start call.
func (hst *Host) StartEnded(inc batch.Incarnation, rid batch.RunID, out CallOutcome, reason string, now time.Time) {
	rn := hst.runs[rid]
	if rn == nil || inc != hst.worker.Incarnation || !rn.startPending {
		return
	}
	switch out {
	case Accepted:
		rn.startPending, rn.startedAt = false, now
		hst.answeredAt = now
		if rn.order.BestEffort && hst.Pausing() && !rn.stopping {
			hst.setPace(rid, rn, pacing.PausedShare, now) // runs start at full speed
		}
	case NotDone:
		if rn.mayStartLate {
			// An earlier start call may still be executed, so the run has to be stopped.
			hst.stop(rid)
			return
		}
		delete(hst.runs, rid)
		hst.emit(batch.Event{ID: rid, Cause: batch.EndRefused, Reason: reason}, 0)
	case Retry, Unknown:
		rn.mayStartLate = rn.mayStartLate || out == Unknown
		rn.retryAt = now
		if rn.retried {
			rn.retryAt = now.Add(startRetryDelay)
		}
		hst.retryStart(rid, rn, now)
	}
}

// retryStart retries a pending start if its retry is due. It stops the run if StartTimeout has passed or the worker
// drains: the run would end with it.
func (hst *Host) retryStart(rid batch.RunID, rn *run, now time.Time) {
	if !rn.startPending || rn.stopping || rn.retryAt.IsZero() || now.Before(rn.retryAt) {
		return
	}
	blocked := hst.startBlocked(now)
	if blocked == reasonDraining || now.Sub(rn.orderedAt) > hst.options.StartTimeout {
		hst.stop(rid)
		return
	}
	if blocked != "" {
		return // the owner's next answer or the worker's next listing allows the start, or a stop follows
	}
	rn.retryAt, rn.retried = time.Time{}, true
	hst.callStart(rid, rn.order, now)
}

// StopEnded applies the outcome of a stop call. Tick repeats calls that were not accepted.
func (hst *Host) StopEnded(inc batch.Incarnation, rid batch.RunID, out CallOutcome, now time.Time) {
	rn := hst.runs[rid]
	if rn == nil || inc != hst.worker.Incarnation {
		return
	}
	rn.stopInFlight = false
	if out == Accepted {
		rn.stopAnsweredAt = now
	}
}

// Tick repeats starts and stops that are not confirmed, begins a pause that is due, and ends the
// runs of a silent worker after its lease has expired.
func (hst *Host) Tick(now time.Time) {
	for rid, rn := range hst.runs {
		hst.retryStart(rid, rn, now)
		if rn.stopping && rn.stopAnsweredAt.IsZero() && !rn.stopInFlight && !hst.silent(now) {
			hst.callStop(rid, rn)
		}
	}
	if hst.pace.Advance(now) {
		hst.setPaces(now)
	}
	if hst.leaseExpired(now) {
		hst.expireRuns()
	}
}

// leaseExpired reports whether the worker is silent and every lease that was requested from it has
// expired, even if its clock is slow by maxClockLagPercent.
func (hst *Host) leaseExpired(now time.Time) bool {
	if hst.clock.at.IsZero() || !hst.silent(now) || len(hst.runs) == 0 {
		return false
	}
	since := now.Sub(hst.clock.at)
	return hst.clock.value+since-since*maxClockLagPercent/100 > hst.maxLeaseEnd+expiryMargin
}

func (hst *Host) expireRuns() {
	for rid, rn := range hst.runs {
		hst.emit(batch.Event{ID: rid, Cause: batch.EndLeaseExpired, Checkpoint: rn.state.Checkpoint, Reason: reasonNoAnswer}, 0)
		delete(hst.runs, rid)
	}
}
