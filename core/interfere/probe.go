package interfere

import (
	"time"

	"jacinthpost/core/fleet"
)

// Constants of probes.
const (
	// probePeriod is how long a class is released for a measurement.
	probePeriod = 3 * time.Second
	// probeRelief is taken off the throttle of the class meanwhile.
	probeRelief = 40
	// probeFrom is the throttle from which a class is worth a probe.
	probeMinimumThrottle = 50
	// firstProbe and lastProbe bound the time between two probes of a class. It
	// doubles when a probe confirms the harm, so that probing costs little.
	minProbeInterval = 20 * time.Second
	maxProbeInterval = 20 * time.Minute
)

// probe is the schedule of one class.
type probeSchedule struct {
	class      fleet.JobClass
	interval   time.Duration
	next       time.Time
	costBefore float64 // before the running probe
}

// probes releases one throttled class for a moment at a time. Classes that
// started together are throttled together, and their costs can't be told
// apart unless their shares change separately.
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

// probe ends a probe that is over and starts the next one that is due: of the
// class that seems to hurt least, while every service has room.
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
