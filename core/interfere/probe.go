package interfere

import (
	"time"

	"jacinthpost/core/fleet"
)

// Constants of probes.
const (
	// probePeriod is how long the throttle of a class is lowered to measure its cost.
	probePeriod = 3 * time.Second
	// probeRelief is the amount in percent by which the throttle is lowered.
	probeRelief = 40
	// probeMinimumThrottle is the throttle in percent from which a class is probed.
	probeMinimumThrottle = 50
	// minProbeInterval and maxProbeInterval bound the time between two probes of a class. It is
	// doubled when a probe confirms the cost, so that probes cause little slowdown.
	minProbeInterval = 20 * time.Second
	maxProbeInterval = 20 * time.Minute
)

// probeSchedule is the schedule of the probes of one class.
type probeSchedule struct {
	class      fleet.JobClass
	interval   time.Duration
	next       time.Time
	costBefore float64 // before the running probe
}

// probes lowers the throttle of one class at a time for a short while. Classes that started at the
// same time are throttled at the same time, and their costs can be separated only if their shares
// change separately.
type probes struct {
	schedules   []*probeSchedule // in the order of first use
	current     *probeSchedule
	currentEnds time.Time
}

func (pro *probes) scheduleOf(cls fleet.JobClass, now time.Time) *probeSchedule {
	for _, prb := range pro.schedules {
		if prb.class == cls {
			return prb
		}
	}
	prb := &probeSchedule{class: cls, interval: minProbeInterval, next: now.Add(minProbeInterval)}
	pro.schedules = append(pro.schedules, prb)
	return prb
}

// active reports whether a class is being probed.
func (pro *probes) active(cls fleet.JobClass) bool {
	return pro.current != nil && pro.current.class == cls
}

// updateProbe ends a probe that is over or that makes a service too slow. While every service is
// below its budget, it starts the next one that is due, for the class with the lowest cost first.
func (con *Controller) updateProbe(dems []demand, now time.Time) {
	pro := &con.probes
	below := con.allBelow(1)
	if pro.current != nil {
		if below && now.Before(pro.currentEnds) {
			return
		}
		con.endProbe(now)
	}
	for pos := len(dems) - 1; pos >= 0 && below; pos-- {
		run := dems[pos].run
		prb := pro.scheduleOf(run.task.class, now)
		if run.percent < probeMinimumThrottle || now.Before(prb.next) {
			continue
		}
		pro.current, pro.currentEnds, prb.costBefore = prb, now.Add(probePeriod), dems[pos].relativeCost
		for _, mon := range con.monitors {
			mon.costs.find(prb.class).variance = priorVariance
		}
		return
	}
}

func (con *Controller) endProbe(now time.Time) {
	prb := con.probes.current
	con.probes.current = nil
	worst := 0.0
	for _, mon := range con.monitors {
		worst = max(worst, mon.costs.cost(prb.class)/mon.budget())
	}
	if worst > prb.costBefore/2 {
		prb.interval = min(maxProbeInterval, 2*prb.interval)
	}
	prb.next = now.Add(prb.interval)
}
