package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
)

// Limits of moves for the sake of serving tasks.
const (
	relievePeriod   = 300 * time.Millisecond // between searches: measures come twice a second
	relieveInterval = time.Second            // between moves from one instance, until the measures show the effect of the last one
	relieveAfter    = 600 * time.Millisecond // at work before a filling task may be moved
	relieveGain     = 0.6                    // serving tasks within their targets that a move must gain
	relieveBacklog  = time.Second            // of waiting filling tasks: beyond it the next one takes the place at once
	relieveProgress = 60                     // percent; beyond it the task is done before a move has helped much
)

// Limits of moving filling tasks that may hardly work where they are.
const (
	slowShare  = 45                      // percent, below which a task is better off elsewhere
	slowFor    = 700 * time.Millisecond  // until it is moved
	moveAgain  = 2500 * time.Millisecond // at work before a task is moved (again)
	betterPart = 0.5                     // of the disturbance here is the most elsewhere
)

// moveSlowed stops filling tasks that were slowed down for the sake of serving ones, when
// they would disturb less on another instance. It answers pauses that would make their jobs late.
func (sch *Scheduler[O, P]) moveSlowed(now time.Time) {
	sch.eachAttempt(func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		stp, _ := job.task(tid)
		if !att.slow(stp, now) {
			return
		}
		least, found := sch.leastDisturbance(job, stp, att, now)
		if !found || least > betterPart*sch.disturbedBy(sch.instance(att.instance), stp) {
			return
		}
		att.slowSince = time.Time{}
		sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, att.instance, "slowed down")
		sch.stop(job, tid, tsk, att)
	})
}

// slow reports whether an attempt was slowed down for a while, and may be moved.
func (att *attempt) slow(stp *stepState, now time.Time) bool {
	return stp.spec.BestEffort() && stp.spec.Checkpointing() && !att.stopping && !att.slowSince.IsZero() &&
		now.Sub(att.slowSince) >= slowFor && now.Sub(att.working) >= moveAgain
}

// departure is an attempt that may be moved away.
type departure struct {
	job  *jobState
	tid  TaskID
	tsk  *task
	att  *attempt
	gain float64 // serving tasks that get within their targets
}

// before reports whether a departure goes first. Equal gains are common, because a tail is over
// its target or not, so the identity decides and decisions repeat with the same events.
func (dep departure) before(oth departure) bool {
	if oth.att == nil || dep.gain != oth.gain {
		return dep.gain > oth.gain
	}
	return dep.tid.String() < oth.tid.String()
}

// relieve moves filling tasks that keep serving tasks over their targets to instances where
// they disturb less. It answers pairs of images that turn out to disturb after they were placed.
func (sch *Scheduler[O, P]) relieve(now time.Time) {
	if now.Sub(sch.relievedAt) < relievePeriod {
		return
	}
	sch.relievedAt = now
	best := make(map[fleet.InstanceID]departure)
	sch.eachAttempt(func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		dep, found := sch.departure(job, tid, tsk, att, now)
		if found && dep.before(best[att.instance]) {
			best[att.instance] = dep
		}
	})
	for id, dep := range best {
		sch.instance(id).relievedAt = now
		sch.note(now, decision.RunStopped, dep.job.spec.ID(), RunID{Task: dep.tid, Run: dep.att.run}, id, "disturbs serving tasks")
		sch.stop(dep.job, dep.tid, dep.tsk, dep.att)
	}
}

// departure returns the move of an attempt, and whether it is worth its cost.
func (sch *Scheduler[O, P]) departure(job *jobState, tid TaskID, tsk *task, att *attempt, now time.Time) (departure, bool) {
	stp, _ := job.task(tid)
	ins := sch.instance(att.instance)
	if !att.movable(stp, now) || len(ins.serving) == 0 || now.Sub(ins.relievedAt) < relieveInterval || sch.fillWait[ins.service] > relieveBacklog {
		return departure{}, false
	}
	here := sch.disturbedBy(ins, stp)
	if here < relieveGain {
		return departure{}, false
	}
	least, found := sch.leastDisturbance(job, stp, att, now)
	gain := here - least
	return departure{job: job, tid: tid, tsk: tsk, att: att, gain: gain}, found && gain >= relieveGain
}

// movable reports whether a filling attempt may be moved without losing work.
func (att *attempt) movable(stp *stepState, now time.Time) bool {
	return stp.spec.BestEffort() && stp.spec.Checkpointing() && !stp.spec.Gang() && !att.stopping && !att.working.IsZero() &&
		now.Sub(att.working) >= relieveAfter && att.percent < relieveProgress
}

// leastDisturbance returns the disturbance at the best other instance on which the task
// of an attempt fits, and whether there is any.
func (sch *Scheduler[O, P]) leastDisturbance(job *jobState, stp *stepState, att *attempt, now time.Time) (least float64, found bool) {
	for _, ins := range sch.instances {
		if ins.id == att.instance || !sch.serves(ins, job) || !sch.admits(ins, job, stp, now) || !sch.placement.Fits(sch.need(stp, ins), ins.site()) {
			continue
		}
		if val := sch.disturbance(ins, stp); !found || val < least {
			least, found = val, true
		}
	}
	return least, found
}
