package interfere

import (
	"slices"
	"time"

	"jacinthpost/core/explain"
)

// checkpointTimeout ends the wait for a checkpoint that a task can't take, so
// that another task is chosen.
const checkpointTimeout = 30 * time.Second

const (
	// StarvedPeriod is how long a task may hold its reservation near the throttle limit.
	StarvedPeriod = 10 * time.Minute
	// starvedPercent is the throttle from which a task hardly uses its reservation.
	starvedPercent = 80
	// starvedShare is the part of the processors below which a reservation is not worth an eviction.
	starvedShare = 0.1
)

// relieve asks for a checkpoint, and for an eviction once it is confirmed. At
// most one task is on its way out at a time.
func (con *Controller) relieve(now time.Time) []Action {
	for _, run := range con.tasks {
		if !run.asked.IsZero() {
			return con.follow(run, now)
		}
	}
	if !con.evicted.IsZero() && now.Sub(con.evicted) < MinEvictionInterval {
		return nil
	}
	run, why := con.leaver(now)
	if run == nil {
		return nil
	}
	run.asked, run.checkpoint = now, false
	return []Action{{kind: Checkpoint, task: run.task.id, reason: con.leaveReason(run, why, checkpointCodes, settleTime, now)}}
}

// cause is why a task has to leave.
type cause int

const (
	causeNone cause = iota
	causeMemory
	causeLatency
	causeStarved
)

var (
	checkpointCodes = [...]explain.Code{
		causeMemory: explain.MemoryCheckpointed, causeLatency: explain.Checkpointed, causeStarved: explain.StarvedCheckpointed,
	}
	evictCodes = [...]explain.Code{
		causeMemory: explain.MemoryEvicted, causeLatency: explain.Evicted, causeStarved: explain.StarvedEvicted,
	}
)

// leaver returns the task that has to leave next and why.
func (con *Controller) leaver(now time.Time) (*running, cause) {
	if run := con.outgrown(); run != nil {
		return run, causeMemory
	}
	if con.overloaded(now) {
		if run := con.cheapest(now); run != nil {
			return run, causeLatency
		}
	}
	if run := con.starved(now); run != nil {
		return run, causeStarved
	}
	return nil, causeNone
}

// standing returns why a task that was asked for a checkpoint still has to leave.
func (con *Controller) standing(run *running, now time.Time) cause {
	switch {
	case con.outgrown() != nil:
		return causeMemory
	case con.overloaded(now):
		return causeLatency
	case run.isStarved(now):
		return causeStarved
	default:
		return causeNone
	}
}

// leaveReason explains a checkpoint or an eviction by its cause.
func (con *Controller) leaveReason(run *running, why cause, codes [4]explain.Code, period time.Duration, now time.Time) explain.Reason {
	rsn := explain.New(codes[why], now, run.task.id)
	switch why {
	case causeMemory:
		return rsn.Amounts(run.used, run.task.size).Counts(int(con.memoryUsed()), int(con.capacity.MemoryMB()))
	case causeStarved:
		return rsn.With(con.serviceNames()).Amounts(run.task.size, run.task.size).For(StarvedPeriod)
	default:
		return rsn.With(con.serviceNames()).For(period)
	}
}

// follow evicts the task after its checkpoint, or keeps it when the cause has gone.
func (con *Controller) follow(run *running, now time.Time) []Action {
	waited := now.Sub(run.asked)
	if !run.checkpoint && waited < checkpointTimeout {
		return nil
	}
	confirmed := run.checkpoint
	run.asked, run.checkpoint = time.Time{}, false
	why := con.standing(run, now)
	if !confirmed || why == causeNone {
		return nil
	}
	con.evicted = now
	return []Action{{kind: Evict, task: run.task.id, reason: con.leaveReason(run, why, evictCodes, settleTime+waited, now)}}
}

// overloaded reports whether a service stays too slow with all disturbing tasks
// at the throttle limit and the tasks explain it.
func (con *Controller) overloaded(now time.Time) bool {
	return con.corneredFor(settleTime, now) && con.explained()
}

// explained reports whether a service is too slow and the tasks explain it.
func (con *Controller) explained() bool {
	return slices.ContainsFunc(con.monitors, func(mon *monitor) bool {
		return mon.alarmed() && mon.relieved() && mon.expected() >= mon.budget()
	})
}

// outgrown returns the task that exceeds its memory reservation most, if the
// memory of the instance is nearly used up.
func (con *Controller) outgrown() *running {
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

func (run *running) noteStarved(now time.Time) {
	switch {
	case run.percent < starvedPercent:
		run.starved = time.Time{}
	case run.starved.IsZero():
		run.starved = now
	}
}

func (run *running) isStarved(now time.Time) bool {
	return !run.starved.IsZero() && now.Sub(run.starved) >= StarvedPeriod
}

// starved returns the task with the largest reservation that has hardly used it for StarvedPeriod.
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

// cheapest returns the disturbing task with the most harm for the work that its eviction loses.
func (con *Controller) cheapest(now time.Time) *running {
	var best *running
	highest := 0.0
	for _, run := range con.tasks {
		if run.quiet {
			continue
		}
		share := run.share(run.percent, con.capacity)
		lost := now.Sub(run.saved).Minutes()
		if score := con.harm(run) * share / (1 + lost); best == nil || score > highest {
			best, highest = run, score
		}
	}
	return best
}
