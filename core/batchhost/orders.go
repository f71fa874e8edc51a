package batchhost

import (
	"cmp"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

// Reasons of refusals.
const (
	reasonStale       = "stale order"
	reasonDraining    = "draining"
	reasonNoLease     = "no lease"
	reasonNoRoom      = "no room"
	reasonUndescribed = "unknown room"
	reasonNoAnswer    = "no answer"
	reasonVanished    = "not listed"
)

func compareRuns(fst, snd batch.RunID) int {
	return cmp.Or(cmp.Compare(fst.Task.Job, snd.Task.Job), cmp.Compare(fst.Task.Occurrence, snd.Task.Occurrence),
		cmp.Compare(fst.Task.Step, snd.Task.Step), cmp.Compare(fst.Task.Index, snd.Task.Index), cmp.Compare(fst.Run, snd.Run))
}

// Take applies the orders of an owner that were asked for at sentAt.
func (hst *Host) ApplyOrders(epoch, session uint64, ords []batch.Order, sentAt, now time.Time) {
	if epoch != hst.epoch || session != hst.session {
		return
	}
	for _, ord := range ords {
		if ord.Seq <= hst.seen {
			continue
		}
		hst.seen = ord.Seq
		switch ord.Kind {
		case batch.StartRun:
			hst.start(ord, sentAt, now)
		case batch.StopRun:
			hst.stop(ord.ID)
		case batch.DescribeRun:
			hst.describe(ord)
		}
	}
}

// describe notes what a run needs that was found at the worker. A run that was ordered is known
// already, and its start may have to be repeated with the payload of that order.
func (hst *Host) describe(ord batch.Order) {
	if rn := hst.runs[ord.ID]; rn != nil && !rn.described {
		rn.order, rn.described = ord, true
	}
}

func (hst *Host) start(ord batch.Order, sentAt, now time.Time) {
	if hst.runs[ord.ID] != nil {
		return
	}
	if reason := hst.refusal(ord, sentAt, now); reason != "" {
		hst.emit(ord.ID, batch.EndRefused, "", reason, 0)
		return
	}
	if hst.runs == nil {
		hst.runs = make(map[batch.RunID]*run)
	}
	hst.runs[ord.ID] = &run{
		order: ord, described: true, takenAt: now, calling: true, share: pacing.FullShare,
		state: batch.RunState{ID: ord.ID, Checkpoint: ord.Checkpoint},
	}
	hst.callStart(ord.ID, ord, now)
}

func (hst *Host) refusal(ord batch.Order, sentAt, now time.Time) string {
	if now.Sub(sentAt) > hst.options.MaxOrderAge {
		return reasonStale
	}
	if hst.worker.Draining {
		return reasonDraining
	}
	if hst.granted.Sub(now) < hst.options.MinStartLease || hst.clock.at.IsZero() || hst.silent(now) {
		return reasonNoLease
	}
	var used resource.Vector
	for _, rn := range hst.runs {
		if !rn.described {
			return reasonUndescribed
		}
		used = used.Plus(rn.order.Need)
	}
	if !used.Plus(ord.Need).FitsIn(hst.worker.Capacity) {
		return reasonNoRoom
	}
	return ""
}

func (hst *Host) callStart(rid batch.RunID, ord batch.Order, now time.Time) {
	until, ok := hst.LeaseEnd(now)
	if !ok {
		hst.stop(rid)
		return
	}
	hst.calls = append(hst.calls, Call{Kind: CallStart, ID: rid, Order: ord, Life: hst.worker.Life, LeaseEnd: until})
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
	rn.stopCall = true
	hst.calls = append(hst.calls, Call{Kind: CallStop, ID: rid, Life: hst.worker.Life})
}

// Verdict is how a call to the worker ended.
type CallOutcome int

// Verdicts.
const (
	Accepted CallOutcome = iota
	NotDone              // the worker certainly did nothing and will not
	Retry                // the call may be made again with fresh values
	Unknown              // it may have been carried out, or may be later
)

// StartEnded applies the end of a start call.
func (hst *Host) StartEnded(life batch.Incarnation, rid batch.RunID, ver CallOutcome, reason string, now time.Time) {
	rn := hst.runs[rid]
	if rn == nil || life != hst.worker.Life || !rn.calling {
		return
	}
	switch ver {
	case Accepted:
		rn.calling, rn.answered = false, now
		hst.answered = now
		if rn.order.BestEffort && hst.Pausing() && !rn.stopping {
			hst.setPace(rid, rn, pacing.PausedShare, now) // it began at full speed
		}
	case NotDone:
		if rn.uncertain {
			// An earlier try may still be carried out, so only a stop settles the run.
			hst.stop(rid)
			return
		}
		delete(hst.runs, rid)
		hst.emit(rid, batch.EndRefused, "", reason, 0)
	case Retry, Unknown:
		rn.uncertain = rn.uncertain || ver == Unknown
		rn.repeatAt = now
		if rn.repeated {
			rn.repeatAt = now.Add(startRetry)
		}
		hst.repeatStart(rid, rn, now)
	}
}

// repeatStart repeats a start that is not settled, when it is due.
func (hst *Host) repeatStart(rid batch.RunID, rn *run, now time.Time) {
	if !rn.calling || rn.stopping || rn.repeatAt.IsZero() || now.Before(rn.repeatAt) {
		return
	}
	if now.Sub(rn.takenAt) > hst.options.StartTimeout {
		hst.stop(rid)
		return
	}
	rn.repeatAt, rn.repeated = time.Time{}, true
	hst.callStart(rid, rn.order, now)
}

// StopEnded applies the end of a stop call. A stop that may have been lost is repeated.
func (hst *Host) StopEnded(life batch.Incarnation, rid batch.RunID, ver CallOutcome, now time.Time) {
	rn := hst.runs[rid]
	if rn == nil || life != hst.worker.Life {
		return
	}
	rn.stopCall = false
	if ver == Accepted {
		rn.stopped = now
	}
}

// Tick repeats starts and stops that were not answered, begins a pause that is due, and
// gives up runs whose lease has certainly expired.
func (hst *Host) Tick(now time.Time) {
	for rid, rn := range hst.runs {
		hst.repeatStart(rid, rn, now)
		if rn.stopping && rn.stopped.IsZero() && !rn.stopCall && !hst.silent(now) {
			hst.callStop(rid, rn)
		}
	}
	if hst.pace.Advance(now) {
		hst.setPaces(now)
	}
	if hst.lapsed(now) {
		hst.lapse()
	}
}

// lapsed reports whether the worker does not answer and every lease it may have got has ended.
func (hst *Host) lapsed(now time.Time) bool {
	if hst.clock.at.IsZero() || !hst.silent(now) || len(hst.runs) == 0 {
		return false
	}
	since := now.Sub(hst.clock.at)
	return hst.clock.value+since-since*clockSlowPercent/100 > hst.leaseEnd+lapseMargin
}

func (hst *Host) lapse() {
	for rid, rn := range hst.runs {
		hst.emit(rid, batch.EndLeaseExpired, rn.state.Checkpoint, reasonNoAnswer, 0)
		delete(hst.runs, rid)
	}
}
