package batch

import (
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
		ins.startSession(rep)
		sch.note(now, decision.InstanceHeard, "", RunID{}, ins.id, string(rep.Incarnation))
	}
	ins.update(rep, now)
	sch.recordSize(rep)
	for _, evt := range rep.Events {
		sch.applyEvent(ins, evt, now)
	}
	listed := make(map[RunID]bool, len(rep.Runs))
	for _, run := range rep.Runs {
		listed[run.ID] = true
		sch.confirm(ins, run, newSession, now)
	}
	if newSession {
		sch.reconcile(ins, listed, now)
	}
	sch.learnInterference(ins, rep, now)
	if ins.draining {
		sch.evacuateDraining(ins, now)
	}
}

// startSession resets the state of the connection to the agent: in a new session the agent knows no
// orders, and its event numbers start again.
func (ins *instance) startSession(rep Report) {
	ins.session, ins.incarnation = rep.Session, rep.Incarnation
	ins.appliedEvents, ins.unstoredEvents = 0, nil
	ins.orders, ins.orderSeq = nil, 0
	ins.orphans = nil
	ins.health = health{}
}

func (ins *instance) update(rep Report, now time.Time) {
	ins.service, ins.location, ins.labels = rep.Service, rep.Location, rep.Labels
	ins.capacity, ins.draining, ins.drainTime = rep.Capacity, rep.Draining, rep.Remaining
	ins.unready, ins.present, ins.reportedAt = rep.Unready, true, now
	ins.bestEffortPaused = slices.ContainsFunc(rep.Runs, func(run RunState) bool { return run.Share == pacing.PausedShare })
	ins.ackOrders(rep.AckedOrders)
}

// confirm records that the agent lists a run. A run without an attempt is ordered to stop.
func (sch *Scheduler[O, P]) confirm(ins *instance, run RunState, newSession bool, now time.Time) {
	stp, tsk, att := sch.find(ins, run.ID)
	if att == nil {
		ins.stopOrphan(run.ID)
		return
	}
	att.confirmed = true
	att.percent, att.measurement = run.Percent, run.Figure
	if run.Working && att.workingSince.IsZero() {
		att.workingSince = now
	}
	if run.Checkpoint != "" {
		tsk.checkpoint = run.Checkpoint
	}
	switch {
	case run.Share < 0 || run.Share >= throttledBelow:
		att.throttledSince = time.Time{}
	case att.throttledSince.IsZero():
		att.throttledSince = now
	}
	if !newSession {
		return
	}
	ins.push(sch.jobs[run.ID.Task.Job].order(DescribeRun, stp, tsk, run.ID))
	if att.stopping {
		ins.push(Order{Kind: StopRun, ID: run.ID})
	}
}

func (ins *instance) stopOrphan(rid RunID) {
	if ins.orphans[rid] {
		return
	}
	if ins.orphans == nil {
		ins.orphans = make(map[RunID]bool)
	}
	ins.orphans[rid] = true
	ins.push(Order{Kind: StopRun, ID: rid})
}

// find returns the step, the task and the attempt of a run. The attempt is nil if it is not on the
// present incarnation of the instance's worker.
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
	if att == nil || att.instance != ins.id || att.incarnation != ins.incarnation {
		return stp, tsk, nil
	}
	return stp, tsk, att
}

// reconcile ends the attempts on an instance that its agent does not list at the start of a
// session.
func (sch *Scheduler[O, P]) reconcile(ins *instance, listed map[RunID]bool, now time.Time) {
	sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		if att.incarnation == ins.incarnation && (listed[RunID{Task: tid, Run: att.run}] || !att.released) {
			return
		}
		sch.endLost(job, tid, tsk, att, now)
	})
}

func (sch *Scheduler[O, P]) eachAttemptOn(id fleet.InstanceID, visit func(*jobState, TaskID, *task, *attempt)) {
	for _, job := range sch.jobs {
		job.eachAttempt(func(tid TaskID, tsk *task, att *attempt) {
			if att.instance == id {
				visit(job, tid, tsk, att)
			}
		})
	}
}

// endLost drops an attempt that is certainly not running any more.
func (sch *Scheduler[O, P]) endLost(job *jobState, tid TaskID, tsk *task, att *attempt, now time.Time) {
	sch.note(now, decision.RunEnded, job.spec.ID(), RunID{Task: tid, Run: att.run}, att.instance, string(EndLost))
	sch.instance(att.instance).withdraw(RunID{Task: tid, Run: att.run})
	sch.drop(job, tid, tsk, att)
	sch.stopGang(job, tid, EndLost)
	sch.markDirty(job)
}

// stopGang stops the other members of a gang after the end of a member that may not have run,
// because they would wait for it forever. Members of a running gang end by themselves when one of
// them ends.
func (sch *Scheduler[O, P]) stopGang(job *jobState, tid TaskID, cause EndCause) {
	stp, tsk := job.task(tid)
	if !stp.spec.Gang() || tsk.phase == Done || cause == EndDone || cause == EndFailed || cause == EndGangEnded {
		return
	}
	for idx, oth := range stp.tasks {
		member := tid
		member.Index = idx
		for _, att := range slices.Clone(oth.attempts) {
			sch.stop(job, member, oth, att)
		}
	}
}

// checkPresence treats an instance as lost when its worker's lease has certainly expired.
func (sch *Scheduler[O, P]) checkPresence(ins *instance, now time.Time) {
	limit := ins.reportedAt.Add(sch.option().LostAfter)
	if ins.session == 0 {
		limit = sch.takeoverAt.Add(sch.option().InheritedAfter - sch.unreportedFor[ins.id])
	}
	if now.Before(limit) || (!ins.present && ins.runs == 0) {
		return
	}
	sch.note(now, decision.InstanceLost, "", RunID{}, ins.id, "")
	ins.present = false
	sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		sch.endLost(job, tid, tsk, att, now)
	})
}

// applyEvent applies an event unless it was applied before. An event that changes a job is
// acknowledged when the job is stored.
func (sch *Scheduler[O, P]) applyEvent(ins *instance, evt Event, now time.Time) {
	if evt.Seq <= ins.appliedEvents {
		return
	}
	ins.appliedEvents = evt.Seq
	ins.changed = true
	delete(ins.orphans, evt.ID)
	stp, tsk, att := sch.find(ins, evt.ID)
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
	sch.applyEnd(job, stp, tsk, att, evt, now)
	sch.markDirty(job)
}

// ackWhenStored lets the agent discard an event when the job is stored.
func (sch *Scheduler[O, P]) ackWhenStored(ins *instance, job *jobState, evt Event) {
	ins.addUnstored(evt.Seq)
	job.acks = append(job.acks, ack{instance: ins.id, session: ins.session, seq: evt.Seq})
}

// applyEnd applies the end of an attempt to its task and its job.
func (sch *Scheduler[O, P]) applyEnd(job *jobState, stp *stepState, tsk *task, att *attempt, evt Event, now time.Time) {
	ins := sch.instance(att.instance)
	sch.drop(job, evt.ID.Task, tsk, att)
	if evt.Checkpoint != "" && evt.Cause != EndDone {
		tsk.checkpoint = evt.Checkpoint
	}
	if job.state.Final() || tsk.phase == Done {
		return
	}
	sch.stopGang(job, evt.ID.Task, evt.Cause)
	switch {
	case stp.spec.LongRunning():
		sch.applyLongRunningEnd(job, tsk, ins, evt, now)
	case evt.Cause == EndDone:
		sch.applySuccess(job, stp, tsk, att, evt, now)
	case evt.Cause == EndFailed:
		sch.applyFailure(job, stp, tsk, ins, evt, now)
	case evt.Cause == EndRefused:
		if evt.Reason == reasonAuthorization {
			delete(stp.permissions, att.incarnation)
		}
		tsk.notBefore = now.Add(sch.option().RetryDelay)
	}
}

func (sch *Scheduler[O, P]) applyLongRunningEnd(job *jobState, tsk *task, ins *instance, evt Event, now time.Time) {
	if evt.Cause == EndFailed {
		tsk.failedOn = appendRecent(tsk.failedOn, ins.id)
		sch.countFailure(ins, job, now)
	}
}

func (sch *Scheduler[O, P]) applySuccess(job *jobState, stp *stepState, tsk *task, att *attempt, evt Event, now time.Time) {
	ins := sch.instance(att.instance)
	ins.health.recordSuccess()
	if !att.workingSince.IsZero() {
		took := now.Sub(att.workingSince)
		stp.doneTimes = append(stp.doneTimes, took)
		sch.runTimes.learn(job.spec.Queue(), stp.spec, took)
	}
	sch.complete(job, stp, tsk, evt.ID.Task)
	if stp.spec.Gang() {
		completeGang(stp)
	}
	if job.dropFinished() {
		sch.note(now, decision.JobFinished, job.spec.ID(), RunID{}, "", string(JobCompleted))
		job.state, job.finalAt = JobCompleted, now
	}
}

// complete marks a task as done and stops its other copies.
func (sch *Scheduler[O, P]) complete(job *jobState, stp *stepState, tsk *task, tid TaskID) {
	if tsk.phase == Done {
		return
	}
	tsk.phase = Done
	stp.done++
	for _, oth := range slices.Clone(tsk.attempts) {
		sch.stop(job, tid, tsk, oth)
	}
}

// completeGang marks all members of a gang as done, because one successful end completes all of
// them. The attempts of the others keep their reservations until their own ends are reported.
func completeGang(stp *stepState) {
	for _, oth := range stp.tasks {
		if oth.phase != Done {
			oth.phase = Done
			stp.done++
		}
	}
}

func (sch *Scheduler[O, P]) applyFailure(job *jobState, stp *stepState, tsk *task, ins *instance, evt Event, now time.Time) {
	tsk.failures++
	tsk.failedOn = appendRecent(tsk.failedOn, ins.id)
	tsk.notBefore = now.Add(sch.option().RetryDelay)
	sch.countFailure(ins, job, now)
	failures := tsk.failures
	if stp.spec.Gang() {
		failures = stp.failures()
	}
	if failures < job.spec.MaxAttempts() {
		return
	}
	sch.note(now, decision.JobFinished, job.spec.ID(), evt.ID, ins.id, string(JobFailed))
	sch.end(job, JobFailed, now)
}

// failures returns the number of failed runs of a gang. Each of them is counted at one of the
// members.
func (stp *stepState) failures() int {
	num := 0
	for _, tsk := range stp.tasks {
		num += tsk.failures
	}
	return num
}

// countFailure counts a failure against an instance, which may suspend it.
func (sch *Scheduler[O, P]) countFailure(ins *instance, job *jobState, now time.Time) {
	if ins.health.recordFailure(job.spec.ID(), now) {
		sch.note(now, decision.InstanceSuspended, job.spec.ID(), RunID{}, ins.id, ins.health.suspension.String())
	}
}

const maxFailedInstances = 4 // kept per task, so that its next run is placed on another instance

func appendRecent(ids []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	if len(ids) == maxFailedInstances {
		ids = ids[1:]
	}
	return append(ids, id)
}

// evacuateDraining stops the runs that would not end before a draining worker shuts down. They lose
// less work when they move now than when the shutdown cuts them off.
func (sch *Scheduler[O, P]) evacuateDraining(ins *instance, now time.Time) {
	sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		stp, _ := job.task(tid)
		if att.stopping || job.state.Final() || stp.spec.Gang() {
			return
		}
		left := sch.runTimes.predict(job.spec.Queue(), stp) - now.Sub(att.orderedAt)
		if stp.spec.LongRunning() || left > ins.drainTime {
			sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, ins.id, "drain")
			sch.stop(job, tid, tsk, att)
		}
	})
}
