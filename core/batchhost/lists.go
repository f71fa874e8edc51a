package batchhost

import (
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/pacing"
)

// Listing is a worker's answer about everything that it runs.
type Listing struct {
	Life       batch.Incarnation
	Clock      time.Duration
	Runs       []batch.RunState
	Ended      []EndedRun
	SentAt     time.Time // when the request was sent
	ReceivedAt time.Time // when the answer came
}

// EndedRun is a run that the worker lists as ended.
type EndedRun struct {
	Seq        uint64
	ID         batch.RunID
	Cause      batch.EndCause
	Checkpoint string
}

// List applies a listing and returns the number of new ends. Listings of another life are ignored.
func (hst *Host) ApplyListing(lst Listing) int {
	if lst.Life != hst.worker.Life || !hst.known {
		return 0
	}
	hst.answered = lst.ReceivedAt
	hst.lists = true
	hst.setClock(lst.Clock, lst.ReceivedAt)
	num := hst.listEnds(lst.Ended)
	there := make(map[batch.RunID]bool, len(lst.Runs))
	for _, sta := range lst.Runs {
		there[sta.ID] = true
		hst.listRun(sta, lst)
	}
	num += hst.missing(there, lst)
	hst.observe(lst.ReceivedAt)
	return num
}

// setClock notes a reading of the worker's clock. With the first one of a life, a former
// process of this agent may have asked for a lease up to then, and a whole one at most.
func (hst *Host) setClock(val time.Duration, at time.Time) {
	if hst.clock.at.IsZero() {
		hst.leaseEnd = max(hst.leaseEnd, val+hst.options.Lease)
	}
	hst.clock = clock{value: val, at: at}
}

func (hst *Host) listEnds(ends []EndedRun) int {
	num := 0
	for _, end := range ends {
		if end.Seq <= hst.listed {
			continue
		}
		hst.listed = end.Seq
		delete(hst.runs, end.ID)
		hst.emit(end.ID, end.Cause, end.Checkpoint, "", end.Seq)
		num++
	}
	return num
}

func (hst *Host) listRun(sta batch.RunState, lst Listing) {
	rn := hst.runs[sta.ID]
	if rn == nil {
		if hst.endedAlready(sta.ID) {
			return
		}
		if hst.runs == nil {
			hst.runs = make(map[batch.RunID]*run)
		}
		rn = &run{takenAt: lst.ReceivedAt, share: unknownShare, pacedAt: lst.ReceivedAt}
		hst.runs[sta.ID] = rn
	}
	rn.working, rn.missing, rn.calling = true, 0, false
	rn.state = sta
	rn.state.Working = true
	if rn.answered.IsZero() {
		rn.answered = lst.ReceivedAt
	}
}

// endedAlready reports whether an end of the run is on its way to the owner: an
// older listing may arrive after a newer one.
func (hst *Host) endedAlready(rid batch.RunID) bool {
	for _, evt := range hst.events {
		if evt.ID == rid {
			return true
		}
	}
	return false
}

// missing judges the runs that the worker does not list.
func (hst *Host) missing(there map[batch.RunID]bool, lst Listing) int {
	num := 0
	for rid, rn := range hst.runs {
		if there[rid] {
			continue
		}
		switch {
		case !rn.stopped.IsZero() && lst.SentAt.After(rn.stopped):
			// The stop was answered before the list was asked for, so the run can't start any more.
		case !rn.answered.IsZero() && lst.SentAt.After(rn.answered):
			if rn.missing++; rn.missing < missingLists {
				continue
			}
		default:
			continue
		}
		delete(hst.runs, rid)
		hst.emit(rid, batch.EndRefused, rn.state.Checkpoint, reasonVanished, 0)
		num++
	}
	return num
}

// observe sets the pace of the filling runs from the measures of the serving ones.
func (hst *Host) observe(now time.Time) {
	smp := batch.InterferenceSample(hst.worker.Capacity.MilliCPU(), func(visit func(batch.Order, float64)) {
		for _, rn := range hst.runs {
			if rn.working && rn.described {
				visit(rn.order, rn.state.Figure)
			}
		}
	})
	hst.pace.Observe(smp, now)
	hst.setPaces(now)
}

func (hst *Host) setPaces(now time.Time) {
	for rid, rn := range hst.runs {
		if rn.working && rn.order.BestEffort && !rn.stopping {
			hst.setPace(rid, rn, hst.pace.Share(), now)
		}
	}
}

// setPace asks for a share unless it was asked for recently. The share is asked for
// again now and then, because an earlier call may be carried out late.
func (hst *Host) setPace(rid batch.RunID, rn *run, share int, now time.Time) {
	if rn.pacedAt.IsZero() && share == pacing.FullShare {
		return
	}
	if rn.share == share && now.Sub(rn.pacedAt) < paceRepeat {
		return
	}
	rn.share, rn.pacedAt = share, now
	hst.calls = append(hst.calls, Call{Kind: CallPace, ID: rid, Life: hst.worker.Life, Percent: share})
}

// PaceEnded applies the end of a pace call. One that was not accepted is made again with the next list.
func (hst *Host) PaceEnded(life batch.Incarnation, rid batch.RunID, ver CallOutcome) {
	rn := hst.runs[rid]
	if rn == nil || life != hst.worker.Life || ver == Accepted {
		return
	}
	rn.share = unknownShare
}

// Pausing reports whether what fills pauses for the sake of a serving run.
func (hst *Host) Pausing() bool { return hst.pace.Share() == pacing.PausedShare }

// Sharing reports whether serving and filling runs share the worker, so that measures are needed often.
func (hst *Host) Sharing() bool {
	serving, filling := false, false
	for _, rn := range hst.runs {
		serving = serving || rn.order.Target > 0
		filling = filling || rn.order.BestEffort
	}
	return serving && filling
}

// Unconfirmed returns the number of events that the owner has not stored yet.
func (hst *Host) Unconfirmed() int { return len(hst.events) }

// Busy reports whether the worker may run something.
func (hst *Host) Busy() bool { return len(hst.runs) > 0 }
