package interfere

import (
	"slices"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Unguarded is the baseline that neither throttles nor evicts tasks.
type Unguarded struct{}

var _ Guard = Unguarded{}

// Started implements Guard.
func (Unguarded) Started(Task, time.Time) {}

// Ended implements Guard.
func (Unguarded) Ended(string) {}

// Resized implements Guard.
func (Unguarded) Resized(string, resource.Vector) {}

// ObserveLatency implements Guard.
func (Unguarded) ObserveLatency(fleet.Service, time.Duration) {}

// ObserveUsage implements Guard.
func (Unguarded) ObserveUsage(string, resource.Vector, time.Time) {}

// Checkpointed implements Guard.
func (Unguarded) Checkpointed(string, time.Time) {}

// Decide implements Guard.
func (Unguarded) Decide(time.Time) []Action { return nil }

// TakeObservations implements Guard.
func (Unguarded) TakeObservations() []Observation { return nil }

// SetPrior implements Guard.
func (Unguarded) SetPrior(fleet.Service, fleet.JobClass, Estimate) {}

// evictNewestInterval is the shortest time between two evictions by EvictNewest, in which the first
// one takes effect.
const evictNewestInterval = 5 * time.Second

// EvictNewest is the baseline that evicts the newest task whenever a service is too slow. Unlike
// Controller it doesn't ask for a checkpoint first. It uses the same latency signal.
type EvictNewest struct {
	Controller
	evictedAt time.Time
}

// NewEvictNewest returns the baseline for an instance with the given capacity and services.
func NewEvictNewest(capacity resource.Vector, svcs ...Service) *EvictNewest {
	return &EvictNewest{Controller: *NewController(capacity, svcs...)}
}

// Decide implements Guard.
func (evn *EvictNewest) Decide(now time.Time) []Action {
	length := now.Sub(evn.lastDecision)
	evn.lastDecision = now
	for _, mon := range evn.monitors {
		evn.measure(mon, length, now)
	}
	slow := slices.ContainsFunc(evn.monitors, (*monitor).overBudget)
	if !slow || len(evn.tasks) == 0 || now.Sub(evn.evictedAt) < evictNewestInterval {
		return nil
	}
	evn.evictedAt = now
	id := evn.tasks[len(evn.tasks)-1].task.id
	return []Action{{kind: Evict, task: id, reason: explain.New(explain.Evicted, now, id).WithOther(evn.serviceNames())}}
}

// ThrottleAll is the baseline that throttles all tasks by the same percentage. It raises the
// percentage quickly while a service is too slow and lowers it slowly otherwise.
type ThrottleAll struct {
	Controller
	percent     int
	throttledAt time.Time
}

// NewThrottleAll returns the baseline for an instance. It throttles while the slowdown of a service
// is above the given share of its slack.
func NewThrottleAll(capacity resource.Vector, slackShare float64, svcs ...Service) *ThrottleAll {
	tha := &ThrottleAll{Controller: *NewController(capacity, svcs...)}
	for _, mon := range tha.monitors {
		mon.slackShare = slackShare
	}
	return tha
}

// Decide implements Guard.
func (tha *ThrottleAll) Decide(now time.Time) []Action {
	length := now.Sub(tha.lastDecision)
	tha.lastDecision = now
	for _, mon := range tha.monitors {
		tha.measure(mon, length, now)
	}
	slow := slices.ContainsFunc(tha.monitors, (*monitor).overBudget)
	switch {
	case slow && now.Sub(tha.throttledAt) >= gainCorrectionPeriod:
		tha.percent, tha.throttledAt = min(throttleLimit, tha.percent+2*throttleStep), now
	case !slow && now.Sub(tha.throttledAt) >= releaseHold:
		tha.percent, tha.throttledAt = max(0, tha.percent-throttleStep), now
	}
	var acts []Action
	for _, run := range tha.tasks {
		if run.percent != tha.percent {
			run.percent, run.changedAt = tha.percent, now
			rsn := explain.New(explain.Throttled, now, run.task.id).WithOther(tha.serviceNames()).WithCounts(tha.percent, 0)
			acts = append(acts, Action{kind: Throttle, task: run.task.id, percent: tha.percent, reason: rsn})
		}
	}
	return acts
}
