package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
)

const (
	// shunPeriod is how long a class is not placed on an instance that evicted a
	// task of it for the sake of its service. It is the time between two
	// evictions there, so a class that has to go does not return at once.
	shunPeriod = time.Minute
	// shunLimit bounds the pairs kept. Beyond it further evictions have no such effect.
	shunLimit = 4096
)

// pairing is a job class on an instance.
type pairing struct {
	class    fleet.JobClass
	instance fleet.InstanceID
}

// shun notes an eviction. A task that had to leave with its data centre or its
// instance says nothing about its class.
func (dsp *Dispatcher[P]) shun(cls fleet.JobClass, id fleet.InstanceID) {
	sea := dsp.seats[id]
	if sea == nil || sea.hint.Health() != job.Alive || sea.centre.out || !sea.centre.allowed {
		return
	}
	for pai, until := range dsp.shunned {
		if !dsp.now.Before(until) {
			delete(dsp.shunned, pai)
		}
	}
	if len(dsp.shunned) < shunLimit {
		dsp.shunned[pairing{class: cls, instance: id}] = dsp.now.Add(shunPeriod)
	}
}

// accepts returns the restriction of a task to the instances of a service and to
// those that do not shun its class, nil for none.
func (dsp *Dispatcher[P]) accepts(cls fleet.JobClass, svc fleet.Service) func(fleet.InstanceID) bool {
	if svc == "" && len(dsp.shunned) == 0 {
		return nil
	}
	return func(id fleet.InstanceID) bool {
		until, shunned := dsp.shunned[pairing{class: cls, instance: id}]
		return (!shunned || !dsp.now.Before(until)) && (svc == "" || dsp.seats[id].hint.Service() == svc)
	}
}
