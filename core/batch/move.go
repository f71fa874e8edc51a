package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
)

// Limits of moves for the sake of serving tasks.
const (
	moveSearchInterval   = 300 * time.Millisecond // between searches: measures come twice a second
	moveInterval         = time.Second            // between moves from one instance, until the measures show the effect of the last one
	minRunTimeBeforeMove = 600 * time.Millisecond // at work before a filling task may be moved
	minMoveGain          = 0.6                    // serving tasks within their targets that a move must gain
	maxBacklogForMoves   = time.Second            // of waiting filling tasks: beyond it the next one takes the place at once
	maxProgressForMoves  = 60                     // percent; beyond it the task is done before a move has helped much
)

// Limits of moving filling tasks that may hardly work where they are.
const (
	throttledBelow                = 45                      // percent, below which a task is better off elsewhere
	throttledMoveAfter            = 700 * time.Millisecond  // until it is moved
	minRunTimeBeforeThrottledMove = 2500 * time.Millisecond // at work before a task is moved (again)
	maxInterferenceRatio          = 0.5                     // of the disturbance here is the most elsewhere
)

// moveSlowed stops filling tasks that were slowed down for the sake of serving ones, when
// they would disturb less on another instance. It answers pauses that would make their jobs late.
func (sch *Scheduler[O, P]) moveThrottled(now time.Time) {
	sch.eachAttempt(func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		stp, _ := job.task(tid)
		if !att.throttled(stp, now) {
			return
		}
		least, found := sch.leastInterference(job, stp, att, now)
		if !found || least > maxInterferenceRatio*sch.interferenceBy(sch.instance(att.instance), stp) {
			return
		}
		att.throttledSince = time.Time{}
		sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, att.instance, "slowed down")
		sch.stop(job, tid, tsk, att)
	})
}

// slow reports whether an attempt was slowed down for a while, and may be moved.
func (att *attempt) throttled(stp *stepState, now time.Time) bool {
	return stp.spec.BestEffort() && stp.spec.Checkpointing() && !att.stopping && !att.throttledSince.IsZero() &&
		now.Sub(att.throttledSince) >= throttledMoveAfter && now.Sub(att.workingSince) >= minRunTimeBeforeThrottledMove
}

// departure is an attempt that may be moved away.
type move struct {
	job  *jobState
	tid  TaskID
	tsk  *task
	att  *attempt
	gain float64 // serving tasks that get within their targets
}

// before reports whether a departure goes first. Equal gains are common, because a tail is over
// its target or not, so the identity decides and decisions repeat with the same events.
func (mov move) better(oth move) bool {
	if oth.att == nil || mov.gain != oth.gain {
		return mov.gain > oth.gain
	}
	return mov.tid.String() < oth.tid.String()
}

// relieve moves filling tasks that keep serving tasks over their targets to instances where
// they disturb less. It answers pairs of images that turn out to disturb after they were placed.
func (sch *Scheduler[O, P]) reduceInterference(now time.Time) {
	if now.Sub(sch.moveSearchedAt) < moveSearchInterval {
		return
	}
	sch.moveSearchedAt = now
	best := make(map[fleet.InstanceID]move)
	sch.eachAttempt(func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		mov, found := sch.evaluateMove(job, tid, tsk, att, now)
		if found && mov.better(best[att.instance]) {
			best[att.instance] = mov
		}
	})
	for id, mov := range best {
		sch.instance(id).movedAt = now
		sch.note(now, decision.RunStopped, mov.job.spec.ID(), RunID{Task: mov.tid, Run: mov.att.run}, id, "disturbs serving tasks")
		sch.stop(mov.job, mov.tid, mov.tsk, mov.att)
	}
}

// departure returns the move of an attempt, and whether it is worth its cost.
func (sch *Scheduler[O, P]) evaluateMove(job *jobState, tid TaskID, tsk *task, att *attempt, now time.Time) (move, bool) {
	stp, _ := job.task(tid)
	ins := sch.instance(att.instance)
	if !att.movable(stp, now) || len(ins.serving) == 0 || now.Sub(ins.movedAt) < moveInterval || sch.bestEffortWait[ins.service] > maxBacklogForMoves {
		return move{}, false
	}
	here := sch.interferenceBy(ins, stp)
	if here < minMoveGain {
		return move{}, false
	}
	least, found := sch.leastInterference(job, stp, att, now)
	gain := here - least
	return move{job: job, tid: tid, tsk: tsk, att: att, gain: gain}, found && gain >= minMoveGain
}

// movable reports whether a filling attempt may be moved without losing work.
func (att *attempt) movable(stp *stepState, now time.Time) bool {
	return stp.spec.BestEffort() && stp.spec.Checkpointing() && !stp.spec.Gang() && !att.stopping && !att.workingSince.IsZero() &&
		now.Sub(att.workingSince) >= minRunTimeBeforeMove && att.percent < maxProgressForMoves
}

// leastDisturbance returns the disturbance at the best other instance on which the task
// of an attempt fits, and whether there is any.
func (sch *Scheduler[O, P]) leastInterference(job *jobState, stp *stepState, att *attempt, now time.Time) (least float64, found bool) {
	for _, ins := range sch.instances {
		if ins.id == att.instance || !sch.serves(ins, job) || !sch.admits(ins, job, stp, now) || !sch.placement.Fits(sch.assignment(stp, ins), ins.info()) {
			continue
		}
		if val := sch.interference(ins, stp); !found || val < least {
			least, found = val, true
		}
	}
	return least, found
}
