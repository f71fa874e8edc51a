package runner

import (
	"time"

	"jacinthpost/core/worker"
)

// Stop stops an assignment as ordered by the owner of its partition. It also sends
// the stop of an unknown assignment to the worker, so that a start order of an
// earlier agent process cannot take effect later.
func (run *Runner) Stop(partition int, ord StopOrder, now time.Time) []Effect {
	tsk := run.find(ord.ref)
	if tsk == nil {
		tsk = &task{ref: ord.ref, partition: partition, spec: NewSpec(ord.ref, partition, ""), phase: Starting}
		run.insert(tsk)
	}
	if tsk.phase < Stopping {
		tsk.detail = ord.reason
	}
	tsk.evicted = false
	return run.stop(tsk, ord.checkpoint, now)
}

// Evict stops an assignment without an order of its owner, which will place the
// task again. It reports false if the assignment is unknown or already stopping.
func (run *Runner) Evict(ref worker.Ref, reason string, now time.Time) ([]Effect, bool) {
	tsk := run.find(ref)
	if tsk == nil || tsk.phase >= Stopping {
		return nil, false
	}
	tsk.evicted, tsk.detail = true, reason
	return run.stop(tsk, true, now), true
}

// Throttle limits the speed of a running task to a percentage of the full speed.
func (run *Runner) Throttle(ref worker.Ref, percent int) []Effect {
	tsk := run.find(ref)
	if tsk == nil || tsk.phase != Running {
		return nil
	}
	tsk.setSpeed(percent, run.clock.receivedAt)
	return []Effect{Throttle{ref: ref, percent: percent}}
}

// Throttled handles the worker's confirmation of an order of Throttle. An order without a confirmation may
// have been lost.
func (run *Runner) Throttled(ref worker.Ref, percent int) {
	if tsk := run.find(ref); tsk != nil && tsk.speedPercent == percent {
		tsk.speedConfirmed = true
	}
}

const drainReason = "the instance is draining"

// Drain refuses further offers and evicts all tasks. The drain is complete when
// Unrecorded returns zero.
func (run *Runner) Drain(now time.Time) []Effect {
	run.draining = true
	var efs []Effect
	for _, sta := range run.Tasks() {
		add, _ := run.Evict(sta.ref, drainReason, now)
		efs = append(efs, add...)
	}
	return efs
}

// Resume makes the runner accept offers again after a drain.
func (run *Runner) Resume() { run.draining = false }

// stop stops an assignment unless it has ended. Without a start order there is
// nothing to stop at the worker, and the assignment ends at once.
func (run *Runner) stop(tsk *task, checkpoint bool, now time.Time) []Effect {
	switch {
	case tsk.phase >= Ended:
		return nil
	case tsk.phase == Offered && tsk.claimSent:
		tsk.evicted = false
		run.markEnded(tsk, EndNotStarted, "stopped before the start", now)
		return nil
	case tsk.phase == Offered:
		run.ledger.Release(tsk.ref)
		run.remove(tsk)
		return nil
	case tsk.phase == Stopping && tsk.stopPending:
		return nil
	}
	tsk.phase, tsk.checkpoint = Stopping, checkpoint && !tsk.spec.notCheckpointable
	run.ledger.Stop(tsk.ref)
	return run.sendStop(tsk)
}

func (run *Runner) sendStop(tsk *task) []Effect {
	tsk.stopPending, tsk.mayBeAtWorker = true, true
	return []Effect{Stop{ref: tsk.ref, checkpoint: tsk.checkpoint}}
}

// Stopped handles the worker's answer to a stop order. Failed means that no answer arrived.
func (run *Runner) Stopped(ref worker.Ref, rep worker.TaskReport, failed bool, now time.Time) {
	tsk := run.find(ref)
	if tsk == nil {
		return
	}
	tsk.stopPending = false
	if tsk.phase != Stopping {
		return
	}
	if failed || !rep.State().Ended() {
		tsk.retryAt = now.Add(RetryPeriod)
		return
	}
	run.applyEndReport(tsk, rep, now)
}

// applyEndReport records an end that the worker reported.
func (run *Runner) applyEndReport(tsk *task, rep worker.TaskReport, now time.Time) {
	if rep.State() == worker.NotStarted {
		knd := EndNotStarted
		if !tsk.runningSince.IsZero() {
			knd = EndLost
		}
		run.markEnded(tsk, knd, rep.Detail(), now)
		return
	}
	tsk.lastReport = rep
	run.markEnded(tsk, endKinds[rep.State()], rep.Detail(), now)
}

// endKinds maps worker states of ended tasks to kinds of end. An expired task was
// stopped by the worker at its deadline, and its last checkpoint remains usable.
var endKinds = map[worker.State]EndKind{
	worker.Finished:     EndFinished,
	worker.Failed:       EndFailed,
	worker.Checkpointed: EndCheckpointed,
	worker.Stopped:      EndStopped,
	worker.Expired:      EndStopped,
}
