package runner

import (
	"slices"
	"time"

	"jacinthpost/core/worker"
)

// Observe takes a report of the worker that was asked for at the time sent.
// Reports must be asked for one after the other. The first one makes the account
// ready. A report of an earlier worker process than the known one is ignored.
func (run *Runner) ApplyReport(rep worker.Report, sent, now time.Time) []Effect {
	if run.reported && rep.Incarnation() < run.clock.incarnation {
		return nil
	}
	restarted := run.reported && rep.Incarnation() != run.clock.incarnation
	run.settle(rep, restarted)
	run.clock = clock{incarnation: rep.Incarnation(), reading: rep.Clock(), received: now}
	var efs []Effect
	for _, trp := range rep.Tasks() {
		efs = append(efs, run.present(trp, sent, now)...)
	}
	for _, tsk := range slices.Clone(run.tasks) {
		listed := slices.ContainsFunc(rep.Tasks(), func(trp worker.TaskReport) bool { return trp.Ref() == tsk.ref })
		if !listed {
			run.absent(tsk, rep, sent, now, restarted)
		}
	}
	run.account.MarkReady(rep.Capacity())
	run.correct(now)
	return efs
}

// settle decides when start orders of an earlier agent process have run out: the
// worker's clock has passed the window of whatever was sent before the first
// report, or the worker was restarted since and refuses them.
func (run *Runner) settle(rep worker.Report, restarted bool) {
	if !run.reported {
		run.reported = true
		run.settleAt = rep.Clock().Add(StartWindow)
	}
	run.settled = run.settled || restarted || rep.Clock() >= run.settleAt
}

// present takes what the worker reports of one assignment.
func (run *Runner) present(trp worker.TaskReport, sent, now time.Time) []Effect {
	tsk := run.find(trp.Ref())
	if tsk == nil {
		tsk = run.found(trp, now)
	}
	tsk.touched = true
	switch {
	case tsk.phase == Recorded && trp.State().Ended():
		return []Effect{Forget{ref: tsk.ref}}
	case tsk.phase >= Ended && !trp.State().Ended() && sent.After(tsk.endedAt):
		// The worker contradicts a proof of the end: stop the task and count it until it has.
		run.account.CommitReported(tsk.ref, tsk.committed(trp.Resources()))
		tsk.phase, tsk.confirmed = Running, now
		return run.stop(tsk, false, now)
	case tsk.phase >= Ended:
		return nil
	case trp.State().Ended():
		run.ended(tsk, trp, now)
		return nil
	}
	tsk.last = trp
	tsk.deadline = max(tsk.deadline, trp.Deadline())
	run.account.CommitReported(tsk.ref, tsk.committed(trp.Resources()))
	if tsk.phase < Running {
		run.running(tsk, now)
	}
	if tsk.confirmed.IsZero() {
		tsk.confirmed = now
	}
	return nil
}

// found adds an assignment of an earlier agent process, whose owner is not known yet.
func (run *Runner) found(trp worker.TaskReport, now time.Time) *task {
	num := run.site.Partition(trp.Ref().Job())
	spc := NewSpec(trp.Ref(), num, "").WithClass("", trp.Class(), false).WithResources(trp.Resources())
	tsk := &task{spec: spc, ref: trp.Ref(), partition: num, phase: Starting, deadline: trp.Deadline()}
	tsk.leaseEnd = run.clock.ends(trp.Deadline())
	run.insert(tsk)
	run.partition(num).renewBy(now)
	return tsk
}

// absent decides about an assignment that the worker does not list.
func (run *Runner) absent(tsk *task, rep worker.Report, sent, now time.Time, restarted bool) {
	known := !tsk.confirmed.IsZero() && tsk.confirmed.Before(sent)
	switch tsk.phase {
	case Starting:
		if restarted {
			run.end(tsk, EndLost, "the worker restarted", now)
		} else if rep.Clock() >= tsk.deadline {
			run.end(tsk, EndNotStarted, "the start order ran out", now)
		}
	case Running, Stopping:
		if restarted || known {
			run.end(tsk, EndLost, "the worker has no record of the task", now)
		}
	case Ended:
		tsk.touched = tsk.touched && !known
	case Recorded:
		run.remove(tsk)
	}
}
