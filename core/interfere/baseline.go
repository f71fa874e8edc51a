package interfere

import (
	"slices"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Unguarded is the baseline that never interferes with tasks.
type Unguarded struct{}

var _ Guard = Unguarded{}

// Started implements Guard.
func (Unguarded) Started(Task, time.Time) {}

// Ended implements Guard.
func (Unguarded) Ended(string) {}

// Resized implements Guard.
func (Unguarded) Resized(string, resource.Vector) {}

// Request implements Guard.
func (Unguarded) ObserveLatency(fleet.Service, time.Duration) {}

// Usage implements Guard.
func (Unguarded) ObserveUsage(string, resource.Vector, time.Time) {}

// Checkpointed implements Guard.
func (Unguarded) Checkpointed(string, time.Time) {}

// Decide implements Guard.
func (Unguarded) Decide(time.Time) []Action { return nil }

// Report implements Guard.
func (Unguarded) TakeObservations() []Observation { return nil }

// Prime implements Guard.
func (Unguarded) SetPrior(fleet.Service, fleet.JobClass, Estimate) {}

// newestPause is the time that EvictNewest gives an eviction to show its effect.
const newestPause = 5 * time.Second

// EvictNewest is the baseline that evicts the newest task, after a checkpoint
// is asked for, whenever a service is too slow. It uses the same latency signal as Controller.
type EvictNewest struct {
	Controller
	acted time.Time
}

// NewEvictNewest returns the baseline for an instance.
func NewEvictNewest(capacity resource.Vector, svcs ...Service) *EvictNewest {
	return &EvictNewest{Controller: *NewController(capacity, svcs...)}
}

// Decide implements Guard.
func (evn *EvictNewest) Decide(now time.Time) []Action {
	length := now.Sub(evn.last)
	evn.last = now
	for _, mon := range evn.monitors {
		evn.measure(mon, length, now)
	}
	slow := slices.ContainsFunc(evn.monitors, (*monitor).alarmed)
	if !slow || len(evn.tasks) == 0 || now.Sub(evn.acted) < newestPause {
		return nil
	}
	evn.acted = now
	id := evn.tasks[len(evn.tasks)-1].task.id
	return []Action{{kind: Evict, task: id, reason: explain.New(explain.Evicted, now, id).With(evn.serviceNames())}}
}

// ThrottleAll is the baseline that throttles every task alike: up quickly
// while a service is too slow, down slowly otherwise.
type ThrottleAll struct {
	Controller
	percent int
	acted   time.Time
}

// NewThrottleAll returns the baseline for an instance, with the part of the
// slack of the services above which it throttles.
func NewThrottleAll(capacity resource.Vector, aim float64, svcs ...Service) *ThrottleAll {
	tha := &ThrottleAll{Controller: *NewController(capacity, svcs...)}
	for _, mon := range tha.monitors {
		mon.aim = aim
	}
	return tha
}

// Decide implements Guard.
func (tha *ThrottleAll) Decide(now time.Time) []Action {
	length := now.Sub(tha.last)
	tha.last = now
	for _, mon := range tha.monitors {
		tha.measure(mon, length, now)
	}
	slow := slices.ContainsFunc(tha.monitors, (*monitor).alarmed)
	switch {
	case slow && now.Sub(tha.acted) >= alarmPeriod:
		tha.percent, tha.acted = min(throttleLimit, tha.percent+2*throttleStep), now
	case !slow && now.Sub(tha.acted) >= releaseHold:
		tha.percent, tha.acted = max(0, tha.percent-throttleStep), now
	}
	var acts []Action
	for _, run := range tha.tasks {
		if run.percent != tha.percent {
			run.percent, run.changed = tha.percent, now
			rsn := explain.New(explain.Throttled, now, run.task.id).With(tha.serviceNames()).Counts(tha.percent, 0)
			acts = append(acts, Action{kind: Throttle, task: run.task.id, percent: tha.percent, reason: rsn})
		}
	}
	return acts
}
