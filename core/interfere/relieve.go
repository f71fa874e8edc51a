package interfere

import (
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
	if !con.evicted.IsZero() && now.Sub(con.evicted) < EvictionSpacing {
		return nil
	}
	run := con.outgrown()
	if run == nil && con.overloaded(now) {
		run = con.cheapest(now)
	}
	if run == nil {
		run = con.starved(now)
	}
	if run == nil {
		return nil
	}
	run.asked, run.checkpoint = now, false
	rsn := explain.New(explain.Checkpointed, now, run.task.id).With(con.serviceNames()).For(settleTime)
	return []Action{{kind: Checkpoint, task: run.task.id, reason: rsn}}
}

// follow evicts the task after its checkpoint, or keeps it when the cause has gone.
func (con *Controller) follow(run *running, now time.Time) []Action {
	waited := now.Sub(run.asked)
	if !run.checkpoint && waited < checkpointTimeout {
		return nil
	}
	confirmed := run.checkpoint
	run.asked, run.checkpoint = time.Time{}, false
	if !confirmed || (con.outgrown() == nil && !con.overloaded(now) && !run.isStarved(now)) {
		return nil
	}
	con.evicted = now
	rsn := explain.New(explain.Evicted, now, run.task.id).With(con.serviceNames()).For(settleTime + waited)
	return []Action{{kind: Evict, task: run.task.id, reason: rsn}}
}

// overloaded reports whether a service stays too slow with all tasks at the
// throttle limit and the tasks explain it.
func (con *Controller) overloaded(now time.Time) bool {
	if !con.settled(settleTime, now) {
		return false
	}
	for _, mon := range con.monitors {
		if mon.alarmed() && mon.eased() && mon.expected() >= mon.budget() {
			return true
		}
	}
	return false
}

// outgrown returns the task that exceeds its memory reservation most, if the
// memory of the instance is nearly used up.
func (con *Controller) outgrown() *running {
	total := int64(0)
	var worst *running
	excess := int64(0)
	for _, run := range con.tasks {
		total += run.used.MemoryMB()
		if over := run.used.MemoryMB() - run.task.size.MemoryMB(); over > excess {
			worst, excess = run, over
		}
	}
	if con.capacity.MemoryMB() == 0 || total*100 < con.capacity.MemoryMB()*memoryLimit {
		return nil
	}
	return worst
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

// cheapest returns the task with the most harm for the work that its eviction loses.
func (con *Controller) cheapest(now time.Time) *running {
	var best *running
	highest := 0.0
	for _, run := range con.tasks {
		share := run.share(run.percent, con.capacity)
		lost := now.Sub(run.saved).Minutes()
		if score := con.harm(run) * share / (1 + lost); best == nil || score > highest {
			best, highest = run, score
		}
	}
	return best
}
