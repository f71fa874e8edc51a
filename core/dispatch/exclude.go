package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
)

const (
	// excludePeriod is how long a class is not placed on an instance that evicted one
	// of its tasks to protect its service. It equals the time between two evictions on
	// an instance, so that an evicted class does not return at once.
	excludePeriod = time.Minute
	// excludeLimit bounds the exclusions. Further evictions exclude nothing.
	excludeLimit = 4096
)

// exclusion is a job class that is not placed on an instance.
type exclusion struct {
	class    fleet.JobClass
	instance fleet.InstanceID
}

// exclude keeps a class off an instance after an eviction. It ignores evictions by an
// instance that is failing or leaving or whose data centre takes no tasks, because
// their cause is not the class.
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

// instanceFilter returns a function that reports whether an instance has the service,
// if one is given, and does not exclude the class. It is nil if every instance passes.
func (dsp *Dispatcher[P]) instanceFilter(cls fleet.JobClass, svc fleet.Service) func(fleet.InstanceID) bool {
	if svc == "" && len(dsp.excluded) == 0 {
		return nil
	}
	return func(id fleet.InstanceID) bool {
		until, excluded := dsp.excluded[exclusion{class: cls, instance: id}]
		return (!excluded || !dsp.now.Before(until)) && (svc == "" || dsp.instances[id].hint.Service() == svc)
	}
}
