package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
)

const (
	// excludePeriod is how long a class is not placed on an instance that evicted a
	// task of it for the sake of its service. It is the time between two
	// evictions there, so a class that has to go does not return at once.
	excludePeriod = time.Minute
	// excludeLimit bounds the pairs kept. Beyond it further evictions have no such effect.
	excludeLimit = 4096
)

// pairing is a job class on an instance.
type exclusion struct {
	class    fleet.JobClass
	instance fleet.InstanceID
}

// exclude notes an eviction. A task that had to leave with its data centre or its
// instance says nothing about its class.
func (dsp *Dispatcher[P]) exclude(cls fleet.JobClass, id fleet.InstanceID) {
	viw := dsp.instances[id]
	if viw == nil || viw.hint.Health() != job.Alive || viw.centre.outOfService || !viw.centre.startsAllowed {
		return
	}
	for exc, until := range dsp.excluded {
		if !dsp.now.Before(until) {
			delete(dsp.excluded, exc)
		}
	}
	if len(dsp.excluded) < excludeLimit {
		dsp.excluded[exclusion{class: cls, instance: id}] = dsp.now.Add(excludePeriod)
	}
}

// accepts returns the restriction of a task to the instances of a service and to
// those that its class is not excluded from, nil for none.
func (dsp *Dispatcher[P]) instanceFilter(cls fleet.JobClass, svc fleet.Service) func(fleet.InstanceID) bool {
	if svc == "" && len(dsp.excluded) == 0 {
		return nil
	}
	return func(id fleet.InstanceID) bool {
		until, excluded := dsp.excluded[exclusion{class: cls, instance: id}]
		return (!excluded || !dsp.now.Before(until)) && (svc == "" || dsp.instances[id].hint.Service() == svc)
	}
}
