package batch

import (
	"time"

	"jacinthpost/core/fleet"
)

// Limits of moves that reduce the interference with serving tasks.
const (
	// moveSearchInterval is the time between searches. Measurements arrive twice a second.
	moveSearchInterval = 300 * time.Millisecond
	// moveInterval is the time between moves from one instance. It lets measurements show the effect
	// of the last move.
	moveInterval = time.Second
	// minRunTimeBeforeMove is how long a best-effort task must have been running.
	minRunTimeBeforeMove = 600 * time.Millisecond
	// minMoveGain is the number of serving tasks that a move must bring within their targets.
	minMoveGain = 0.6
	// maxBacklogForMoves limits the backlog of best-effort tasks. With a longer one, the next task
	// would take the place at once.
	maxBacklogForMoves = time.Second
	// maxProgressForMoves limits the progress of the task, in percent. Beyond it the task would end
	// before a move has much effect.
	maxProgressForMoves = 60
)

// Limits of moves of best-effort tasks that are throttled on their instance.
const (
	// throttledBelow is the percentage of full speed below which a task counts as throttled.
	throttledBelow = 45
	// throttledMoveAfter is how long a task must have been throttled.
	throttledMoveAfter = 700 * time.Millisecond
	// minRunTimeBeforeThrottledMove is how long a task must have been running on its instance.
	minRunTimeBeforeThrottledMove = 2500 * time.Millisecond
	// maxInterferenceRatio limits the interference on the new instance relative to the present one.
	maxInterferenceRatio = 0.5
)

// moveThrottled stops best-effort tasks that are throttled to protect serving tasks, if they would
// interfere less on another instance. Otherwise long pauses would make their jobs late.
func (sch *Scheduler[O, P]) moveThrottled(now time.Time) {
	sch.eachAttempt(func(att *attempt) {
		if !att.throttled(now) {
			return
		}
		least, found := sch.leastInterference(att, now)
		if !found || least > maxInterferenceRatio*sch.interferenceBy(sch.instance(att.instance), att.step) {
			return
		}
		att.throttledSince = time.Time{}
		sch.stop(att, stopThrottled, now)
	})
}

// throttled reports whether an attempt has been throttled for some time and may be moved.
func (att *attempt) throttled(now time.Time) bool {
	return att.step.spec.BestEffort() && att.step.spec.Checkpointing() && !att.stopping && !att.throttledSince.IsZero() &&
		now.Sub(att.throttledSince) >= throttledMoveAfter && now.Sub(att.workingSince) >= minRunTimeBeforeThrottledMove
}

// move is a possible move of an attempt away from its instance.
type move struct {
	att  *attempt
	gain float64 // number of serving tasks that it brings within their targets
}

// better reports whether a move is better than another. Equal gains are common, because a tail
// latency is either over its target or not. The task ID breaks ties, so that decisions are
// deterministic.
func (mov move) better(oth move) bool {
	if oth.att == nil || mov.gain != oth.gain {
		return mov.gain > oth.gain
	}
	return mov.att.taskID.String() < oth.att.taskID.String()
}

// reduceInterference stops best-effort tasks that keep serving tasks over their targets, if they
// would interfere less on another instance. The interference between two images is often unknown
// until they have been placed together.
func (sch *Scheduler[O, P]) reduceInterference(now time.Time) {
	if now.Sub(sch.moveSearchedAt) < moveSearchInterval {
		return
	}
	sch.moveSearchedAt = now
	best := make(map[fleet.InstanceID]move)
	sch.eachAttempt(func(att *attempt) {
		mov, found := sch.evaluateMove(att, now)
		if found && mov.better(best[att.instance]) {
			best[att.instance] = mov
		}
	})
	for id, mov := range best {
		sch.instance(id).movedAt = now
		sch.stop(mov.att, stopDisturbing, now)
	}
}

// evaluateMove returns the best move of an attempt, and whether its gain is large enough.
func (sch *Scheduler[O, P]) evaluateMove(att *attempt, now time.Time) (move, bool) {
	ins := sch.instance(att.instance)
	if len(ins.serving) == 0 || !att.movable(now) || now.Sub(ins.movedAt) < moveInterval || sch.bestEffortWait[ins.service] > maxBacklogForMoves {
		return move{}, false
	}
	here := sch.interferenceBy(ins, att.step)
	if here < minMoveGain {
		return move{}, false
	}
	least, found := sch.leastInterference(att, now)
	gain := here - least
	return move{att: att, gain: gain}, found && gain >= minMoveGain
}

// movable reports whether an attempt is of a best-effort task that may be moved without losing
// work.
func (att *attempt) movable(now time.Time) bool {
	stp := att.step
	return stp.spec.BestEffort() && stp.spec.Checkpointing() && !stp.spec.Gang() && !att.stopping && !att.workingSince.IsZero() &&
		now.Sub(att.workingSince) >= minRunTimeBeforeMove && att.percent < maxProgressForMoves
}

// leastInterference returns the lowest interference of an attempt's task on the other instances on
// which it fits, and whether there is such an instance.
func (sch *Scheduler[O, P]) leastInterference(att *attempt, now time.Time) (least float64, found bool) {
	for _, ins := range sch.instanceList {
		if ins.id == att.instance || !sch.serves(ins, att.job) || !sch.admits(ins, att.job, att.step, now) || !sch.placement.Fits(sch.assignment(att.step, ins), ins.info()) {
			continue
		}
		if val := sch.interference(ins, att.step); !found || val < least {
			least, found = val, true
		}
	}
	return least, found
}
