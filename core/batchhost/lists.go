package batchhost

import (
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/pacing"
)

// Listing is a worker's list of its runs. The list of those that are running is complete, that of the ends may be cut.
type Listing struct {
	Incarnation batch.Incarnation
	Clock       time.Duration
	Runs        []batch.RunState
	Ended       []EndedRun // in the order of their numbers
	EndsCut     bool       // there may be further ends, which the worker lists when it may forget these
	Forgot      uint64     // the request made the worker forget ends up to this sequence number
	SentAt      time.Time  // time at which the listing was requested
	ReceivedAt  time.Time  // time at which the answer arrived
}

// EndedRun is a run that the worker lists as ended.
type EndedRun struct {
	Seq        uint64
	ID         batch.RunID
	Cause      batch.EndCause
	Checkpoint string
}

// ApplyListing applies a listing and returns the number of runs that it shows as ended for the first
// time. Listings of another incarnation are ignored.
func (hst *Host) ApplyListing(lst Listing) int {
	if lst.Incarnation != hst.worker.Incarnation || !hst.announced {
		return 0
	}
	hst.answeredAt = lst.ReceivedAt
	hst.hasListing, hst.lifeCertain, hst.endsCut = true, true, lst.EndsCut
	hst.forgotten = max(hst.forgotten, lst.Forgot)
	hst.setClock(lst.Clock, lst.ReceivedAt)
	num := hst.addEnds(lst.Ended, lst.ReceivedAt)
	listed := make(map[batch.RunID]bool, len(lst.Runs))
	for _, sta := range lst.Runs {
		listed[sta.ID] = true
		hst.updateRun(sta, lst)
	}
	if !lst.EndsCut {
		num += hst.endMissingRuns(listed, lst)
	}
	hst.updatePaces(lst.ReceivedAt)
	return num
}

// setClock records a reading of the worker's clock. Until the first reading of an incarnation, an
// earlier process of this agent may have renewed the lease, for its full duration at most, or a call that was
// meant for a former incarnation, until a time on another clock.
func (hst *Host) setClock(val time.Duration, at time.Time) {
	if hst.clock.at.IsZero() {
		renewed := hst.options.Lease
		if hst.succeeds {
			renewed = hst.options.MaxLease
		}
		hst.maxLeaseEnd = max(hst.maxLeaseEnd, val+renewed)
	}
	hst.clock = clock{value: val, at: at}
}

func (hst *Host) addEnds(ends []EndedRun, at time.Time) int {
	num := 0
	for _, end := range ends {
		if end.Seq <= hst.lastEnd {
			continue
		}
		hst.lastEnd = end.Seq
		evt := batch.Event{ID: end.ID, Cause: end.Cause, Checkpoint: end.Checkpoint}
		if rn := hst.runs[end.ID]; rn != nil && !rn.startedAt.IsZero() {
			evt.Took = at.Sub(rn.startedAt)
		}
		delete(hst.runs, end.ID)
		hst.emit(evt, end.Seq)
		num++
	}
	return num
}

func (hst *Host) updateRun(sta batch.RunState, lst Listing) {
	rn := hst.runs[sta.ID]
	if rn == nil {
		if hst.endedAlready(sta.ID) {
			return
		}
		if hst.runs == nil {
			hst.runs = make(map[batch.RunID]*run)
		}
		rn = &run{orderedAt: lst.ReceivedAt, share: unknownShare, pacedAt: lst.ReceivedAt}
		hst.runs[sta.ID] = rn
	}
	rn.listed, rn.missedListings, rn.startPending = true, 0, false
	rn.state = sta
	rn.state.Working = true
	if rn.startedAt.IsZero() {
		rn.startedAt = lst.ReceivedAt
	}
}

// endedAlready reports whether the end of a run is among the unconfirmed events. An older listing,
// which arrives after a newer one, may still contain such a run.
func (hst *Host) endedAlready(rid batch.RunID) bool {
	for _, evt := range hst.events {
		if evt.ID == rid {
			return true
		}
	}
	return false
}

// endMissingRuns ends the runs that are missing in a listing with all ends and cannot be running any more. It
// returns their number. A run that is missing in one whose ends are cut may have ended in any way.
func (hst *Host) endMissingRuns(listed map[batch.RunID]bool, lst Listing) int {
	num := 0
	for rid, rn := range hst.runs {
		if listed[rid] {
			continue
		}
		switch {
		case !rn.stopAnsweredAt.IsZero() && lst.SentAt.After(rn.stopAnsweredAt):
			// The worker never starts a run after it has answered a stop for it.
		case !rn.startedAt.IsZero() && lst.SentAt.After(rn.startedAt):
			if rn.missedListings++; rn.missedListings < maxMissedListings {
				continue
			}
		default:
			continue
		}
		delete(hst.runs, rid)
		hst.emit(batch.Event{ID: rid, Cause: batch.EndRefused, Checkpoint: rn.state.Checkpoint, Reason: reasonNotListed}, 0)
		num++
	}
	return num
}

// updatePaces sets the pace of the best-effort runs from the tail latencies of the serving runs.
func (hst *Host) updatePaces(now time.Time) {
	smp := batch.InterferenceSample(hst.worker.Capacity.MilliCPU(), func(visit func(batch.Order, float64)) {
		for _, rn := range hst.runs {
			if rn.listed && rn.described {
				visit(rn.order, rn.state.Figure)
			}
		}
	})
	hst.violations = append(hst.violations, hst.pace.Observe(smp, now)...)
	hst.setPaces(now)
}

func (hst *Host) setPaces(now time.Time) {
	for rid, rn := range hst.runs {
		if rn.listed && rn.order.BestEffort && !rn.stopping {
			hst.setPace(rid, rn, hst.pace.Share(), now)
		}
	}
}

// setPace requests a share for a run, unless the same share was requested within
// paceRepeatInterval. It repeats the request after that, because an earlier call may have been
// executed late and have overridden the share.
func (hst *Host) setPace(rid batch.RunID, rn *run, share int, now time.Time) {
	if rn.pacedAt.IsZero() && share == pacing.FullShare {
		return
	}
	if rn.share == share && now.Sub(rn.pacedAt) < paceRepeatInterval {
		return
	}
	rn.share, rn.pacedAt = share, now
	hst.calls = append(hst.calls, Call{Kind: CallPace, ID: rid, Incarnation: hst.worker.Incarnation, Percent: share})
}

// PaceEnded applies the outcome of a pace call. A call that was not accepted is repeated after the
// next listing.
func (hst *Host) PaceEnded(inc batch.Incarnation, rid batch.RunID, out CallOutcome) {
	rn := hst.runs[rid]
	if rn == nil || inc != hst.worker.Incarnation || out == Accepted {
		return
	}
	rn.share = unknownShare
}

// Violations removes and returns the beginnings and ends of violations of latency targets since the
// last call.
func (hst *Host) Violations() []pacing.Change {
	out := hst.violations
	hst.violations = nil
	return out
}

// Pausing reports whether best-effort runs are paused to protect a serving run.
func (hst *Host) Pausing() bool { return hst.pace.Share() == pacing.PausedShare }

// Sharing reports whether the worker has both serving and best-effort runs. Tail latencies are then
// needed often.
func (hst *Host) Sharing() bool {
	serving, bestEffort := false, false
	for _, rn := range hst.runs {
		serving = serving || rn.order.Target > 0
		bestEffort = bestEffort || rn.order.BestEffort
	}
	return serving && bestEffort
}

// Unconfirmed returns the number of events that the owner has not confirmed as stored.
func (hst *Host) Unconfirmed() int { return len(hst.events) }

// Busy reports whether the worker has runs, including those that may not have started yet.
func (hst *Host) Busy() bool { return len(hst.runs) > 0 }
