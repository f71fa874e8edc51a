package interfere

import (
	"slices"
	"time"

	"jacinthpost/core/explain"
)

// checkpointTimeout is how long a task may take for its checkpoint. Then it is kept, and another
// task may be chosen.
const checkpointTimeout = 30 * time.Second

const (
	// StarvedPeriod is how long a task may run near the throttle limit before it is evicted.
	StarvedPeriod = 10 * time.Minute
	// starvedPercent is the throttle from which a task uses too little of its reservation.
	starvedPercent = 80
	// starvedShare is the share of the processors up to which a starved task is not evicted,
	// because its reservation is too small to matter.
	starvedShare = 0.1
)

// evictTasks asks for the checkpoint of a task, and for its eviction when the checkpoint is
// confirmed. It handles one task at a time.
func (con *Controller) evictTasks(now time.Time) []Action {
	for _, run := range con.tasks {
		if !run.checkpointAsked.IsZero() {
			return con.finishEviction(run, now)
		}
	}
	if !con.lastEviction.IsZero() && now.Sub(con.lastEviction) < MinEvictionInterval {
		return nil
	}
	run, why := con.evictionCandidate(now)
	if run == nil {
		return nil
	}
	run.checkpointAsked, run.checkpointConfirmed = now, false
	return []Action{{kind: Checkpoint, task: run.task.id, reason: con.evictionReason(run, why, checkpointCodes, limitedDelay, now)}}
}

// cause is why a task is evicted.
type cause int

const (
	causeNone cause = iota
	causeMemory
	causeLatency
	causeStarved
)

var (
	checkpointCodes = [...]explain.Code{
		causeMemory: explain.MemoryCheckpointed, causeLatency: explain.Checkpointed, causeStarved: explain.ThrottledCheckpointed,
	}
	evictCodes = [...]explain.Code{
		causeMemory: explain.MemoryEvicted, causeLatency: explain.Evicted, causeStarved: explain.ThrottledEvicted,
	}
)

// evictionCandidate returns the task to be evicted next and why.
func (con *Controller) evictionCandidate(now time.Time) (*running, cause) {
	if run := con.overMemory(); run != nil {
		return run, causeMemory
	}
	if con.overloaded(now) {
		if run := con.mostHarmful(now); run != nil {
			return run, causeLatency
		}
	}
	if run := con.starved(now); run != nil {
		return run, causeStarved
	}
	return nil, causeNone
}

// remainingCause returns why a task that was asked for a checkpoint still has to be evicted.
func (con *Controller) remainingCause(run *running, now time.Time) cause {
	switch {
	case con.overMemory() != nil:
		return causeMemory
	case con.overloaded(now):
		return causeLatency
	case run.isStarved(now):
		return causeStarved
	default:
		return causeNone
	}
}

// evictionReason explains a checkpoint or an eviction by its cause.
func (con *Controller) evictionReason(run *running, why cause, codes [4]explain.Code, period time.Duration, now time.Time) explain.Reason {
	rsn := explain.New(codes[why], now, run.task.id)
	switch why {
	case causeMemory:
		return rsn.WithAmounts(run.used, run.task.size).WithCounts(int(con.memoryUsed()), int(con.capacity.MemoryMB()))
	case causeStarved:
		return rsn.WithOther(con.serviceNames()).WithAmounts(run.task.size, run.task.size).WithPeriod(StarvedPeriod)
	default:
		return rsn.WithOther(con.serviceNames()).WithPeriod(period)
	}
}

// finishEviction evicts a task after its checkpoint. It keeps the task when the checkpoint timed
// out or no cause remains.
func (con *Controller) finishEviction(run *running, now time.Time) []Action {
	waited := now.Sub(run.checkpointAsked)
	if !run.checkpointConfirmed && waited < checkpointTimeout {
		return nil
	}
	confirmed := run.checkpointConfirmed
	run.checkpointAsked, run.checkpointConfirmed = time.Time{}, false
	why := con.remainingCause(run, now)
	if !confirmed || why == causeNone {
		return nil
	}
	con.lastEviction = now
	return []Action{{kind: Evict, task: run.task.id, reason: con.evictionReason(run, why, evictCodes, limitedDelay+waited, now)}}
}

// overloaded reports whether a service stays too slow because of the tasks although all disturbing
// ones are throttled to the limit.
func (con *Controller) overloaded(now time.Time) bool {
	return con.disturbingLimitedFor(limitedDelay, now) && con.slowdownExplained()
}

// slowdownExplained reports whether a service is too slow because of the tasks: throttling the
// disturbing ones has helped, and the expected slowdown exceeds the budget.
func (con *Controller) slowdownExplained() bool {
	return slices.ContainsFunc(con.monitors, func(mon *monitor) bool {
		return mon.overBudget() && mon.relievedByDisturbing() && mon.expected() >= mon.budget()
	})
}

// overMemory returns the task that exceeds its memory reservation most, or nil while the memory of
// the instance is below memoryLimit.
func (con *Controller) overMemory() *running {
	var worst *running
	excess := int64(0)
	for _, run := range con.tasks {
		if over := run.used.MemoryMB() - run.task.size.MemoryMB(); over > excess {
			worst, excess = run, over
		}
	}
	if con.capacity.MemoryMB() == 0 || con.memoryUsed()*100 < con.capacity.MemoryMB()*memoryLimit {
		return nil
	}
	return worst
}

// memoryUsed returns the memory in use by the tasks.
func (con *Controller) memoryUsed() int64 {
	total := int64(0)
	for _, run := range con.tasks {
		total += run.used.MemoryMB()
	}
	return total
}

func (run *running) trackStarved(now time.Time) {
	switch {
	case run.percent < starvedPercent:
		run.starvedSince = time.Time{}
	case run.starvedSince.IsZero():
		run.starvedSince = now
	}
}

func (run *running) isStarved(now time.Time) bool {
	return !run.starvedSince.IsZero() && now.Sub(run.starvedSince) >= StarvedPeriod
}

// starved returns the starved task with the largest reservation, or nil when there is none.
func (con *Controller) starved(now time.Time) *running {
	var largest *running
	least := int64(float64(con.capacity.MilliCPU()) * starvedShare)
	for _, run := range con.tasks {
		if size := run.task.size.MilliCPU(); run.isStarved(now) && size > least {
			largest, least = run, size
		}
	}
	return largest
}

// mostHarmful returns the disturbing task that causes the most slowdown in relation to the work
// that its eviction loses.
func (con *Controller) mostHarmful(now time.Time) *running {
	var best *running
	highest := 0.0
	for _, run := range con.tasks {
		if run.quiet {
			continue
		}
		share := run.share(run.percent, con.capacity)
		lost := now.Sub(run.savedAt).Minutes()
		if score := con.relativeCost(run) * share / (1 + lost); best == nil || score > highest {
			best, highest = run, score
		}
	}
	return best
}
