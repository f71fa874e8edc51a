package runner

import (
	"slices"
	"time"

	"jacinthpost/core/worker"
)

// ApplyReport updates the state from a worker report that was requested at the
// time sent. Only one request may be outstanding at a time. The first report makes
// the ledger ready. A report from an earlier worker process is ignored.
func (run *Runner) ApplyReport(rep worker.Report, sent, now time.Time) []Effect {
	if run.reported && rep.Incarnation() < run.clock.incarnation {
		return nil
	}
	restarted := run.reported && rep.Incarnation() != run.clock.incarnation
	run.expireOldOrders(rep, restarted)
	run.clock = clock{incarnation: rep.Incarnation(), workerTime: rep.Clock(), receivedAt: now}
	var efs []Effect
	for _, trp := range rep.Tasks() {
		efs = append(efs, run.applyListed(trp, sent, now)...)
	}
	for _, tsk := range slices.Clone(run.tasks) {
		listed := slices.ContainsFunc(rep.Tasks(), func(trp worker.TaskReport) bool { return trp.Ref() == tsk.ref })
		if !listed {
			run.applyUnlisted(tsk, rep, sent, now, restarted)
		}
	}
	run.ledger.MarkReady(rep.Capacity())
	run.commitUsage(now)
	return efs
}

// expireOldOrders determines whether start orders of an earlier agent process can
// still take effect. They cannot once the worker's clock has passed the start window
// of orders sent before the first report, or once the worker has restarted, because
// it then refuses them.
func (run *Runner) expireOldOrders(rep worker.Report, restarted bool) {
	if !run.reported {
		run.reported = true
		run.oldOrdersExpireAt = rep.Clock().Add(StartWindow)
	}
	run.oldOrdersExpired = run.oldOrdersExpired || restarted || rep.Clock() >= run.oldOrdersExpireAt
}

// applyListed updates an assignment that the worker report lists.
func (run *Runner) applyListed(trp worker.TaskReport, sent, now time.Time) []Effect {
	tsk := run.find(trp.Ref())
	if tsk == nil {
		tsk = run.addOrphan(trp, now)
	}
	tsk.mayBeAtWorker = true
	switch {
	case tsk.phase == Recorded && trp.State().Ended():
		return []Effect{Forget{ref: tsk.ref}}
	case tsk.phase >= Ended && !trp.State().Ended() && sent.After(tsk.endedAt):
		// The task runs although the worker had proved its end. Stop it, and commit its
		// resources until it has ended.
		run.ledger.CommitReported(tsk.ref, tsk.committed(trp.Resources()))
		tsk.phase, tsk.runningSince = Running, now
		return run.stop(tsk, false, now)
	case tsk.phase >= Ended:
		return nil
	case trp.State().Ended():
		run.applyEndReport(tsk, trp, now)
		return nil
	}
	tsk.lastReport = trp
	tsk.deadline = max(tsk.deadline, trp.Deadline())
	run.ledger.CommitReported(tsk.ref, tsk.committed(trp.Resources()))
	if tsk.phase < Running {
		run.markRunning(tsk, now)
	}
	if tsk.runningSince.IsZero() {
		tsk.runningSince = now
	}
	return nil
}

// addOrphan adds an assignment that an earlier agent process started. Its owner is
// not known yet.
func (run *Runner) addOrphan(trp worker.TaskReport, now time.Time) *task {
	num := run.env.Partition(trp.Ref().Job())
	spc := NewSpec(trp.Ref(), num, "").WithClass("", trp.Class(), false).WithResources(trp.Resources())
	tsk := &task{spec: spc, ref: trp.Ref(), partition: num, phase: Starting, deadline: trp.Deadline()}
	tsk.leaseEnd = run.clock.toAgent(trp.Deadline())
	run.insert(tsk)
	run.partition(num).renewNoLaterThan(now)
	return tsk
}

// applyUnlisted updates an assignment that the worker report does not list. The
// report is evidence only about a task that ran before the report was requested.
func (run *Runner) applyUnlisted(tsk *task, rep worker.Report, sent, now time.Time, restarted bool) {
	known := !tsk.runningSince.IsZero() && tsk.runningSince.Before(sent)
	switch tsk.phase {
	case Starting:
		if restarted {
			run.markEnded(tsk, EndLost, "the worker restarted", now)
		} else if rep.Clock() >= tsk.deadline {
			run.markEnded(tsk, EndNotStarted, "the start order expired before the worker started the task", now)
		}
	case Running, Stopping:
		if restarted || known {
			run.markEnded(tsk, EndLost, "the worker has no record of the task", now)
		}
	case Ended:
		tsk.mayBeAtWorker = tsk.mayBeAtWorker && !known
	case Recorded:
		run.remove(tsk)
	}
}
