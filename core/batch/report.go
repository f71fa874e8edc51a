package batch

import (
	"slices"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
)

// staleSession is how long reports of an earlier session may still arrive. After
// that, a lower session is that of a machine that replaces the former one.
const staleSession = 3 * time.Second

// Hear applies the report of an agent. A report of an earlier session is ignored.
func (sch *Scheduler[O, P]) ApplyReport(rep Report, now time.Time) {
	ins := sch.instance(rep.Instance)
	if rep.Session < ins.session && now.Sub(ins.heardAt) < staleSession {
		return
	}
	fresh := rep.Session != ins.session
	if fresh {
		ins.open(rep)
		sch.note(now, decision.InstanceHeard, "", RunID{}, ins.id, string(rep.Incarnation))
	}
	ins.update(rep, now)
	sch.learnSize(rep)
	for _, evt := range rep.Events {
		sch.hearEvent(ins, evt, now)
	}
	listed := make(map[RunID]bool, len(rep.Runs))
	for _, run := range rep.Runs {
		listed[run.ID] = true
		sch.confirm(ins, run, fresh, now)
	}
	if fresh {
		sch.reconcile(ins, listed, now)
	}
	sch.learnSharing(ins, rep, now)
	if ins.draining {
		sch.leaveDraining(ins, now)
	}
}

// open starts a session: the agent knows no order and numbers its events anew.
func (ins *instance) open(rep Report) {
	ins.session, ins.life = rep.Session, rep.Incarnation
	ins.handled, ins.durable = 0, nil
	ins.orders, ins.orderSeq = nil, 0
	ins.strays = nil
	ins.health = health{}
}

func (ins *instance) update(rep Report, now time.Time) {
	ins.service, ins.location, ins.labels = rep.Service, rep.Location, rep.Labels
	ins.capacity, ins.draining, ins.remaining = rep.Capacity, rep.Draining, rep.Remaining
	ins.unready, ins.present, ins.heardAt = rep.Unready, true, now
	ins.pausing = slices.ContainsFunc(rep.Runs, func(run RunState) bool { return run.Share == pacing.PausedShare })
	ins.seen(rep.AckedOrders)
}

// confirm notes that a run is there. A run without an attempt is told to stop.
func (sch *Scheduler[O, P]) confirm(ins *instance, run RunState, fresh bool, now time.Time) {
	stp, tsk, att := sch.find(ins, run.ID)
	if att == nil {
		ins.stopStray(run.ID)
		return
	}
	att.confirmed = true
	att.percent, att.figure = run.Percent, run.Figure
	if run.Working && att.working.IsZero() {
		att.working = now
	}
	if run.Checkpoint != "" {
		tsk.checkpoint = run.Checkpoint
	}
	switch {
	case run.Share < 0 || run.Share >= slowShare:
		att.slowSince = time.Time{}
	case att.slowSince.IsZero():
		att.slowSince = now
	}
	if !fresh {
		return
	}
	ins.push(sch.jobs[run.ID.Task.Job].order(DescribeRun, stp, tsk, run.ID))
	if att.stopping {
		ins.push(Order{Kind: StopRun, ID: run.ID})
	}
}

func (ins *instance) stopStray(rid RunID) {
	if ins.strays[rid] {
		return
	}
	if ins.strays == nil {
		ins.strays = make(map[RunID]bool)
	}
	ins.strays[rid] = true
	ins.push(Order{Kind: StopRun, ID: rid})
}

// find returns the attempt of a run on an instance in its present life, or nil.
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
	if att == nil || att.instance != ins.id || att.life != ins.life {
		return stp, tsk, nil
	}
	return stp, tsk, att
}

// reconcile drops the attempts on an instance that its agent does not list at the start of a session.
func (sch *Scheduler[O, P]) reconcile(ins *instance, listed map[RunID]bool, now time.Time) {
	sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		if att.life == ins.life && (listed[RunID{Task: tid, Run: att.run}] || !att.released) {
			return
		}
		sch.lose(job, tid, tsk, att, now)
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

// lose drops an attempt that is certainly not at work any more.
func (sch *Scheduler[O, P]) lose(job *jobState, tid TaskID, tsk *task, att *attempt, now time.Time) {
	sch.note(now, decision.RunEnded, job.spec.ID(), RunID{Task: tid, Run: att.run}, att.instance, string(EndLost))
	sch.instance(att.instance).withdraw(RunID{Task: tid, Run: att.run})
	sch.drop(job, tid, tsk, att)
	sch.breakGang(job, tid, EndLost)
	sch.mark(job)
}

// breakGang stops the other members when one is not there any more: they would wait
// for it in vain. Members of a gang that ran end by themselves when one of them ends.
func (sch *Scheduler[O, P]) breakGang(job *jobState, tid TaskID, cause EndCause) {
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

// checkPresence gives up an instance whose worker's lease has certainly expired.
func (sch *Scheduler[O, P]) checkPresence(ins *instance, now time.Time) {
	limit := ins.heardAt.Add(sch.option().LostAfter)
	if ins.session == 0 {
		limit = sch.since.Add(sch.option().InheritedAfter - sch.silent[ins.id])
	}
	if now.Before(limit) || (!ins.present && ins.runs == 0) {
		return
	}
	sch.note(now, decision.InstanceLost, "", RunID{}, ins.id, "")
	ins.present = false
	sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		sch.lose(job, tid, tsk, att, now)
	})
}

// hearEvent applies an event once. Events that change a stored job are settled when it is stored.
func (sch *Scheduler[O, P]) hearEvent(ins *instance, evt Event, now time.Time) {
	if evt.Seq <= ins.handled {
		return
	}
	ins.handled = evt.Seq
	ins.changed = true
	delete(ins.strays, evt.ID)
	stp, tsk, att := sch.find(ins, evt.ID)
	job := sch.jobs[evt.ID.Task.Job]
	if att == nil {
		if job != nil && job.unsettled {
			// A restarted agent repeats an event whose effect may not be stored yet.
			sch.acknowledge(ins, job, evt)
			sch.mark(job)
		}
		return
	}
	sch.acknowledge(ins, job, evt)
	sch.note(now, decision.RunEnded, job.spec.ID(), evt.ID, ins.id, string(evt.Cause)+" "+evt.Reason)
	sch.settle(job, stp, tsk, att, evt, now)
	sch.mark(job)
}

// acknowledge lets the agent forget an event when the job is stored.
func (sch *Scheduler[O, P]) acknowledge(ins *instance, job *jobState, evt Event) {
	ins.pendingEvent(evt.Seq)
	job.acks = append(job.acks, ack{instance: ins.id, session: ins.session, seq: evt.Seq})
}

// settle applies the end of an attempt to its task and its job.
func (sch *Scheduler[O, P]) settle(job *jobState, stp *stepState, tsk *task, att *attempt, evt Event, now time.Time) {
	ins := sch.instance(att.instance)
	sch.drop(job, evt.ID.Task, tsk, att)
	if evt.Checkpoint != "" && evt.Cause != EndDone {
		tsk.checkpoint = evt.Checkpoint
	}
	if job.state.Final() || tsk.phase == Done {
		return
	}
	sch.breakGang(job, evt.ID.Task, evt.Cause)
	switch {
	case stp.spec.LongRunning():
		sch.settleLasting(job, tsk, ins, evt, now)
	case evt.Cause == EndDone:
		sch.settleDone(job, stp, tsk, att, evt, now)
	case evt.Cause == EndFailed:
		sch.settleFailed(job, stp, tsk, ins, evt, now)
	case evt.Cause == EndRefused:
		if evt.Reason == reasonTicket {
			delete(stp.permissions, att.life)
		}
		tsk.notBefore = now.Add(sch.option().RetryDelay)
	}
}

func (sch *Scheduler[O, P]) settleLasting(job *jobState, tsk *task, ins *instance, evt Event, now time.Time) {
	if evt.Cause == EndFailed {
		tsk.failedOn = appendRecent(tsk.failedOn, ins.id)
		sch.judge(ins, job, now)
	}
}

func (sch *Scheduler[O, P]) settleDone(job *jobState, stp *stepState, tsk *task, att *attempt, evt Event, now time.Time) {
	ins := sch.instance(att.instance)
	ins.health.good()
	if !att.working.IsZero() {
		took := now.Sub(att.working)
		stp.took = append(stp.took, took)
		sch.learned.learn(job.spec.Queue(), stp.spec, took)
	}
	sch.complete(job, stp, tsk, evt.ID.Task)
	if stp.spec.Gang() {
		completeGang(stp)
	}
	if job.finish() {
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

// completeGang marks all members as done: one end stands for all of them. The
// attempts of the others hold their room until their own ends are reported.
func completeGang(stp *stepState) {
	for _, oth := range stp.tasks {
		if oth.phase != Done {
			oth.phase = Done
			stp.done++
		}
	}
}

func (sch *Scheduler[O, P]) settleFailed(job *jobState, stp *stepState, tsk *task, ins *instance, evt Event, now time.Time) {
	tsk.failures++
	tsk.failedOn = appendRecent(tsk.failedOn, ins.id)
	tsk.notBefore = now.Add(sch.option().RetryDelay)
	sch.judge(ins, job, now)
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

// failures returns the failed runs of all members of a gang: each failed run of the gang has one.
func (stp *stepState) failures() int {
	num := 0
	for _, tsk := range stp.tasks {
		num += tsk.failures
	}
	return num
}

// judge counts a failure against an instance.
func (sch *Scheduler[O, P]) judge(ins *instance, job *jobState, now time.Time) {
	if ins.health.bad(job.spec.ID(), now) {
		sch.note(now, decision.InstanceSuspended, job.spec.ID(), RunID{}, ins.id, ins.health.period.String())
	}
}

const recentInstances = 4 // remembered per task, so that its next run goes elsewhere

func appendRecent(ids []fleet.InstanceID, id fleet.InstanceID) []fleet.InstanceID {
	if len(ids) == recentInstances {
		ids = ids[1:]
	}
	return append(ids, id)
}

// leaveDraining stops the runs that would not end before a draining worker leaves:
// they lose less by moving now than by being cut off.
func (sch *Scheduler[O, P]) leaveDraining(ins *instance, now time.Time) {
	sch.eachAttemptOn(ins.id, func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		stp, _ := job.task(tid)
		if att.stopping || job.state.Final() || stp.spec.Gang() {
			return
		}
		left := sch.learned.predict(job.spec.Queue(), stp) - now.Sub(att.orderedAt)
		if stp.spec.LongRunning() || left > ins.remaining {
			sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, ins.id, "drain")
			sch.stop(job, tid, tsk, att)
		}
	})
}
