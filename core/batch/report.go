package batch

import (
	"fmt"
	"slices"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
)

// staleReportWindow is the time within which reports of an earlier session may still arrive. A
// lower session number after that time belongs to a machine that replaces the former one.
const staleReportWindow = 3 * time.Second

// ApplyReport applies the report of an agent. A delayed report of an earlier session is ignored.
func (sch *Scheduler[O, P]) ApplyReport(rep Report, now time.Time) {
	ins := sch.instance(rep.Instance)
	if rep.Session < ins.session && now.Sub(ins.reportedAt) < staleReportWindow {
		return
	}
	newSession := rep.Session != ins.session
	if newSession {
		ins.startSession(rep, now)
		sch.note(now, decision.InstanceHeard, "", RunID{}, ins.id, string(rep.Incarnation))
	}
	ins.update(rep, now)
	sch.setPresent(ins, true)
	sch.touch(ins)
	sch.recordSize(rep)
	for _, evt := range rep.Events {
		sch.applyEvent(ins, evt, now)
	}
	sch.work.Listed += len(rep.Runs)
	for _, run := range rep.Runs {
		sch.confirm(ins, run, newSession, now)
	}
	if ins.unreconciled && !rep.Partial {
		ins.unreconciled = false
		sch.reconcile(ins, rep.Runs, now)
	}
	sch.learnInterference(ins, rep, now)
	if ins.draining {
		sch.evacuateDraining(ins, now)
	}
}

// ApplyNews applies the news of an agent. It returns false if the agent must send a report first, because
// its session is not known.
func (sch *Scheduler[O, P]) ApplyNews(nws News, now time.Time) bool {
	ins := sch.instances[nws.Instance]
	if ins == nil || ins.session != nws.Session || !ins.present {
		return false
	}
	ins.reportedAt = now
	ins.ackOrders(nws.AckedOrders)
	for _, evt := range nws.Events {
		sch.applyEvent(ins, evt, now)
	}
	return true
}

// startSession resets the state of the connection to the agent: in a new session the agent knows no
// orders, and its event numbers start again.
func (ins *instance) startSession(rep Report, now time.Time) {
	ins.session, ins.incarnation = rep.Session, rep.Incarnation
	ins.sessionSince, ins.unreconciled = now, true
	ins.appliedEvents, ins.unstoredEvents = 0, nil
	ins.orders, ins.orderSeq = nil, 0
	ins.orphans = nil
	ins.health = health{}
}

func (ins *instance) update(rep Report, now time.Time) {
	ins.service, ins.location, ins.labels = rep.Service, rep.Location, rep.Labels
	ins.usesKnown = ins.usesKnown && rep.Capacity == ins.capacity
	ins.capacity, ins.draining, ins.drainTime = rep.Capacity, rep.Draining, rep.Remaining
	ins.unready, ins.reportedAt = rep.Unready, now
	ins.bestEffortPaused = slices.ContainsFunc(rep.Runs, func(run RunState) bool { return run.Share == pacing.PausedShare })
	ins.ackOrders(rep.AckedOrders)
}

// confirm records that the agent lists a run. A run without an attempt is ordered to stop.
func (sch *Scheduler[O, P]) confirm(ins *instance, run RunState, newSession bool, now time.Time) {
	_, tsk, att := sch.find(ins, run.ID)
	if att == nil {
		sch.stopOrphan(ins, run.ID, now)
		return
	}
	sch.adopt(att, ins, now)
	att.confirmed = true
	att.stopping = att.stopping || run.Stopping // also on the order of a former owner
	att.percent, att.measurement = run.Percent, run.Figure
	if run.Working && att.workingSince.IsZero() {
		att.workingSince = now
	}
	att.job.begun = att.job.begun || run.Working
	if run.Checkpoint != "" {
		sch.saveCheckpoint(att, run.Checkpoint, now)
	}
	switch {
	case run.Share < 0 || run.Share >= throttledBelow:
		att.throttledSince = time.Time{}
	case att.throttledSince.IsZero():
		att.throttledSince = now
	}
	if newSession {
		sch.push(ins, att.job.order(DescribeRun, att.step, tsk, run.ID))
		if att.stopping {
			sch.push(ins, Order{Kind: StopRun, ID: run.ID})
		}
	}
	if why := att.unwanted(); why != "" {
		sch.stop(att, why, now)
	}
}

// find returns the step, the task and the attempt of a run. The attempt is nil if it is not on the
// instance. A run number is assigned once, for one instance, so the attempt is that of the run in whichever
// incarnation of the instance's worker it runs: a start that was meant for one may be executed by the next.
func (sch *Scheduler[O, P]) find(ins *instance, rid RunID) (*stepState, *task, *attempt) {
	job := sch.jobs[rid.Task.Job]
	if job == nil {
		return nil, nil, nil
	}
	stp, tsk := job.task(rid.Task)
	if tsk == nil {
		return nil, nil, nil
	}
	att := tsk.find(rid.Run)
	if att == nil || att.instance != ins.id {
		return stp, tsk, nil
	}
	return stp, tsk, att
}

// saveCheckpoint sets the checkpoint of an attempt's task. It notes once for each job that one was left out.
func (sch *Scheduler[O, P]) saveCheckpoint(att *attempt, val string, now time.Time) {
	if att.job.setCheckpoint(att.task, val) || att.job.checkpointLeftOut {
		return
	}
	att.job.checkpointLeftOut = true
	sch.note(now, decision.CheckpointLeftOut, att.job.spec.ID(), att.id(), att.instance, fmt.Sprintf("%d bytes, job %d", len(val), att.job.size()))
}

// adopt ties an attempt to the incarnation whose worker lists its run.
func (sch *Scheduler[O, P]) adopt(att *attempt, ins *instance, now time.Time) {
	if att.incarnation == ins.incarnation {
		return
	}
	sch.note(now, decision.RunAdopted, att.job.spec.ID(), att.id(), ins.id, string(ins.incarnation))
	att.incarnation = ins.incarnation
	sch.markDirty(att.job)
}

// reconcile ends the attempts from before the session on an instance that its agent does not list in the first report
// of the session that is not partial. Until then they may have ended in any way.
func (sch *Scheduler[O, P]) reconcile(ins *instance, runs []RunState, now time.Time) {
	listed := make(map[RunID]bool, len(runs))
	for _, run := range runs {
		listed[run.ID] = true
	}
	ins.eachAttempt(func(att *attempt) {
		if listed[att.id()] || att.incarnation == ins.incarnation && (!att.released || att.orderedAt.After(ins.sessionSince)) {
			return
		}
		sch.endLost(att, now)
	})
}

// endLost drops an attempt that is certainly not running any more.
func (sch *Scheduler[O, P]) endLost(att *attempt, now time.Time) {
	ins := sch.instance(att.instance)
	sch.note(now, decision.RunEnded, att.job.spec.ID(), att.id(), ins.id, string(EndLost))
	ins.withdraw(att.id())
	sch.drop(att)
	sch.stopGang(att, EndLost, now)
	sch.markDirty(att.job)
}

// checkPresence treats an instance as lost when its worker's lease has certainly expired.
func (sch *Scheduler[O, P]) checkPresence(ins *instance, now time.Time) {
	if now.Before(sch.lastGrant(ins).Add(sch.option().LostAfter)) || (!ins.present && len(ins.attempts) == 0) {
		return
	}
	sch.note(now, decision.InstanceLost, "", RunID{}, ins.id, "")
	sch.setPresent(ins, false)
	sch.touch(ins)
	ins.eachAttempt(func(att *attempt) { sch.endLost(att, now) })
}

// applyEvent applies an event unless it was applied before. An event that changes a job is
// acknowledged when the job is stored.
func (sch *Scheduler[O, P]) applyEvent(ins *instance, evt Event, now time.Time) {
	if evt.Seq <= ins.appliedEvents {
		return
	}
	sch.work.Events++
	ins.appliedEvents = evt.Seq
	sch.eventsStored(ins)
	if ins.orphans[evt.ID] {
		delete(ins.orphans, evt.ID)
		sch.note(now, decision.RunEnded, evt.ID.Task.Job, evt.ID, ins.id, string(evt.Cause)+" "+evt.Reason)
	}
	_, _, att := sch.find(ins, evt.ID)
	job := sch.jobs[evt.ID.Task.Job]
	if att == nil {
		if job != nil && job.unstored {
			// A restarted agent repeats events whose effects may not be stored yet.
			sch.ackWhenStored(ins, job, evt)
			sch.markDirty(job)
		}
		return
	}
	sch.ackWhenStored(ins, job, evt)
	sch.note(now, decision.RunEnded, job.spec.ID(), evt.ID, ins.id, string(evt.Cause)+" "+evt.Reason)
	sch.applyEnd(att, evt, now)
	sch.markDirty(job)
}

// ackWhenStored lets the agent discard an event when the job is stored.
func (sch *Scheduler[O, P]) ackWhenStored(ins *instance, job *jobState, evt Event) {
	ins.addUnstored(evt.Seq)
	job.acks = append(job.acks, ack{instance: ins.id, session: ins.session, seq: evt.Seq})
}

// applyEnd applies the end of an attempt to its task and its job.
func (sch *Scheduler[O, P]) applyEnd(att *attempt, evt Event, now time.Time) {
	job, tsk := att.job, att.task
	job.begun = job.begun || evt.Cause != EndRefused && evt.Cause != EndLeaseExpired
	sch.drop(att)
	if evt.Checkpoint != "" && evt.Cause != EndDone {
		sch.saveCheckpoint(att, evt.Checkpoint, now)
	}
	if job.state.Final() || tsk.phase == Done {
		return
	}
	sch.stopGang(att, evt.Cause, now)
	switch {
	case att.step.spec.LongRunning():
		sch.applyLongRunningEnd(att, evt, now)
	case evt.Cause == EndDone:
		sch.applySuccess(att, evt.Took, now)
	case evt.Cause == EndFailed:
		sch.applyFailure(att, evt, now)
	case evt.Cause == EndRefused:
		if evt.Reason == reasonAuthorization {
			delete(att.step.permissions, att.incarnation)
		}
		tsk.notBefore = now.Add(sch.option().RetryDelay)
	}
}

func (sch *Scheduler[O, P]) applyLongRunningEnd(att *attempt, evt Event, now time.Time) {
	if evt.Cause == EndFailed {
		ins := sch.instance(att.instance)
		att.step.avoid(att.task, ins.id)
		sch.countFailure(ins, att.job, now)
	}
}

func (sch *Scheduler[O, P]) applySuccess(att *attempt, took time.Duration, now time.Time) {
	job, stp := att.job, att.step
	ins := sch.instance(att.instance)
	ins.health.recordSuccess()
	sch.touch(ins)
	if !att.workingSince.IsZero() {
		took = now.Sub(att.workingSince) // what predictions are compared with
	}
	if took > 0 {
		stp.addDoneTime(took)
		sch.runTimes.learn(job.spec.Queue(), stp.spec, took)
	}
	sch.complete(stp, att.task, now)
	if stp.spec.Gang() {
		completeGang(stp)
	}
	sch.openDependents(stp)
	if job.dropFinished() {
		sch.note(now, decision.JobFinished, job.spec.ID(), RunID{}, "", string(JobCompleted))
		sch.finish(job, JobCompleted, now)
	}
}

// finish marks a task as done. Its checkpoint is of no use any more.
func (stp *stepState) finish(tsk *task) {
	tsk.phase = Done
	stp.done++
	stp.occurrence.job.setCheckpoint(tsk, "")
}

// complete marks a task as done and stops its other copies.
func (sch *Scheduler[O, P]) complete(stp *stepState, tsk *task, now time.Time) {
	if tsk.phase == Done {
		return
	}
	stp.finish(tsk)
	for _, oth := range slices.Clone(tsk.attempts) {
		sch.stop(oth, stopTaskDone, now)
	}
}

// completeGang marks all members of a gang as done, because one successful end completes all of
// them. The attempts of the others keep their reservations until their own ends are reported.
func completeGang(stp *stepState) {
	for _, oth := range stp.tasks {
		if oth.phase != Done {
			stp.finish(oth)
		}
	}
}

func (sch *Scheduler[O, P]) applyFailure(att *attempt, evt Event, now time.Time) {
	job, stp, tsk, ins := att.job, att.step, att.task, sch.instance(att.instance)
	stp.avoid(tsk, ins.id)
	tsk.notBefore = now.Add(sch.option().RetryDelay)
	sch.countFailure(ins, job, now)
	if stp.addFailure(tsk, att.run) < job.spec.MaxAttempts() {
		return
	}
	sch.note(now, decision.JobFinished, job.spec.ID(), evt.ID, ins.id, string(JobFailed))
	sch.end(job, JobFailed, stopFailed, now)
}

// addFailure records that a run of a task failed, and returns the number of failed runs of the task, or of its gang.
// A run of a gang in which several members fail is counted once, at the member whose end is applied first.
func (stp *stepState) addFailure(tsk *task, run int) int {
	if !stp.spec.Gang() {
		tsk.failures++
		return tsk.failures
	}
	if !slices.ContainsFunc(stp.tasks, func(oth *task) bool { return oth.failedRun == run }) {
		tsk.failures++
	}
	tsk.failedRun = run
	num := 0
	for _, oth := range stp.tasks {
		num += oth.failures
	}
	return num
}

// countFailure counts a failure against an instance, which may suspend it.
func (sch *Scheduler[O, P]) countFailure(ins *instance, job *jobState, now time.Time) {
	if ins.health.recordFailure(job.spec.ID(), now) {
		sch.touch(ins)
		sch.note(now, decision.InstanceSuspended, job.spec.ID(), RunID{}, ins.id, ins.health.suspension.String())
	}
}

// avoid records that a task failed on an instance. The members of a gang avoid it together, because a failure of one
// ends the run of all.
func (stp *stepState) avoid(tsk *task, id fleet.InstanceID) {
	if !stp.spec.Gang() {
		tsk.failedOn = appendRecent(tsk.failedOn, id)
		return
	}
	for _, oth := range stp.tasks {
		oth.failedOn = appendRecent(oth.failedOn, id)
	}
}

const maxFailedInstances = 4 // kept per task, so that its next run is placed on another instance

func appendRecent(ids []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	if slices.Contains(ids, id) {
		return ids
	}
	if len(ids) == maxFailedInstances {
		ids = ids[1:]
	}
	return append(ids, id)
}

// evacuateDraining stops the runs that would not end before a draining worker shuts down. They lose
// less work when they move now than when the shutdown cuts them off.
func (sch *Scheduler[O, P]) evacuateDraining(ins *instance, now time.Time) {
	ins.eachAttempt(func(att *attempt) {
		if att.stopping || att.job.state.Final() || att.step.spec.Gang() {
			return
		}
		left := sch.runTimes.predict(att.job.spec.Queue(), att.step) - now.Sub(att.orderedAt)
		if att.step.spec.LongRunning() || left > ins.drainTime {
			sch.stop(att, stopDraining, now)
		}
	})
}
