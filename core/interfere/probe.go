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
	probeFrom = 50
	// firstProbe and lastProbe bound the time between two probes of a class. It
	// doubles when a probe confirms the harm, so that probing costs little.
	firstProbe = 20 * time.Second
	lastProbe  = 20 * time.Minute
)

// probe is the schedule of one class.
type probe struct {
	class    fleet.JobClass
	interval time.Duration
	next     time.Time
	cost     float64 // before the running probe
}

// probes releases one throttled class for a moment at a time. Classes that
// started together are throttled together, and their costs can't be told
// apart unless their shares change separately.
type probes struct {
	known   []*probe // in the order of first use
	current *probe
	ends    time.Time
}

func (pro *probes) of(cls fleet.JobClass, now time.Time) *probe {
	for _, prb := range pro.known {
		if prb.class == cls {
			return prb
		}
	}
	prb := &probe{class: cls, interval: firstProbe, next: now.Add(firstProbe)}
	pro.known = append(pro.known, prb)
	return prb
}

// active reports whether a class is being probed.
func (pro *probes) active(cls fleet.JobClass) bool {
	return pro.current != nil && pro.current.class == cls
}

// probe ends a probe that is over and starts the next one that is due: of the
// class that seems to hurt least, while every service has room.
func (con *Controller) probe(dems []demand, now time.Time) {
	pro := &con.probes
	calm := con.allCalm(1)
	if pro.current != nil {
		if calm && now.Before(pro.ends) {
			return
		}
		con.endProbe(now)
	}
	for pos := len(dems) - 1; pos >= 0 && calm; pos-- {
		run := dems[pos].run
		prb := pro.of(run.task.class, now)
		if run.percent < probeFrom || now.Before(prb.next) {
			continue
		}
		pro.current, pro.ends, prb.cost = prb, now.Add(probePeriod), dems[pos].harm
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
	if worst > prb.cost/2 {
		prb.interval = min(lastProbe, 2*prb.interval)
	}
	prb.next = now.Add(prb.interval)
}
