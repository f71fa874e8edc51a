package runner

import (
	"time"

	"jacinthpost/core/worker"
)

// Stop ends an assignment by order of the owner of its partition. An assignment
// that the agent does not know is stopped at the worker all the same, so that a
// start order of an earlier agent process cannot take effect later.
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

// Evict stops an assignment without an order of its owner, who will place the
// task again. It reports whether the assignment can be stopped.
func (run *Runner) Evict(ref worker.Ref, reason string, now time.Time) ([]Effect, bool) {
	tsk := run.find(ref)
	if tsk == nil || tsk.phase >= Stopping {
		return nil, false
	}
	tsk.evicted, tsk.detail = true, reason
	return run.stop(tsk, true, now), true
}

// Throttle limits the speed of a running task.
func (run *Runner) Throttle(ref worker.Ref, percent int) []Effect {
	tsk := run.find(ref)
	if tsk == nil || tsk.phase != Running {
		return nil
	}
	tsk.slow(percent, run.clock.received)
	return []Effect{Throttle{ref: ref, percent: percent}}
}

const drainReason = "the instance is draining"

// Drain refuses further offers and hands all tasks back to their owners. It is
// done when Len returns zero.
func (run *Runner) Drain(now time.Time) []Effect {
	run.draining = true
	var efs []Effect
	for _, sta := range run.Tasks() {
		add, _ := run.Evict(sta.ref, drainReason, now)
		efs = append(efs, add...)
	}
	return efs
}

// Resume accepts offers again after a drain.
func (run *Runner) Resume() { run.draining = false }

// stop begins the stop of an assignment that has not ended.
func (run *Runner) stop(tsk *task, checkpoint bool, now time.Time) []Effect {
	switch {
	case tsk.phase >= Ended:
		return nil
	case tsk.phase == Offered && tsk.claimed:
		tsk.evicted = false
		run.end(tsk, EndNotStarted, "stopped before the start", now)
		return nil
	case tsk.phase == Offered:
		run.account.Release(tsk.ref)
		run.remove(tsk)
		return nil
	case tsk.phase == Stopping && tsk.stopping:
		return nil
	}
	tsk.phase, tsk.checkpoint = Stopping, checkpoint && !tsk.spec.restarts
	run.account.Stop(tsk.ref)
	return run.sendStop(tsk)
}

func (run *Runner) sendStop(tsk *task) []Effect {
	tsk.stopping, tsk.touched = true, true
	return []Effect{Stop{ref: tsk.ref, checkpoint: tsk.checkpoint}}
}

// Stopped takes the worker's answer to a stop order; failed tells that none arrived.
func (run *Runner) Stopped(ref worker.Ref, rep worker.TaskReport, failed bool, now time.Time) {
	tsk := run.find(ref)
	if tsk == nil {
		return
	}
	tsk.stopping = false
	if tsk.phase != Stopping {
		return
	}
	if failed || !rep.State().Ended() {
		tsk.retryAt = now.Add(RetryPeriod)
		return
	}
	run.ended(tsk, rep, now)
}

// ended notes an end that the worker reported.
func (run *Runner) ended(tsk *task, rep worker.TaskReport, now time.Time) {
	if rep.State() == worker.NotStarted {
		knd := EndNotStarted
		if !tsk.confirmed.IsZero() {
			knd = EndLost
		}
		run.end(tsk, knd, rep.Detail(), now)
		return
	}
	tsk.last = rep
	run.end(tsk, endKinds[rep.State()], rep.Detail(), now)
}

// endKinds maps the states of the worker. An expired task was stopped by the
// worker, and its last checkpoint remains usable.
var endKinds = map[worker.State]EndKind{
	worker.Finished:     EndFinished,
	worker.Failed:       EndFailed,
	worker.Checkpointed: EndCheckpointed,
	worker.Stopped:      EndStopped,
	worker.Expired:      EndStopped,
}
