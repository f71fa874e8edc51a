package batchowner

import (
	"cmp"
	"time"
)

// StartLimits are the times within which the starts of runs must end after something has forbidden them. A zero
// field selects the default, the limit of all known deployments.
type StartLimits struct {
	Cancelled time.Duration // after the acknowledgement of a job's cancellation
	Excluded  time.Duration // after the acknowledgement that a data centre takes no new work
}

// Default limits and margins of starts.
const (
	defaultCancelled = 3 * time.Second
	defaultExcluded  = 5 * time.Second
	// startCallMargin is the time for a call on its way to an agent's worker, on the same machine, to begin a run.
	startCallMargin = 200 * time.Millisecond
	// startOrderMargin is the time for a planned run to be stored and its order to reach the agent.
	startOrderMargin = 300 * time.Millisecond
)

// orderedUntil returns the time until which runs may be started by views that are current as of the given times. It
// returns zero if one of the views does not exist yet.
func (lim StartLimits) orderedUntil(jobsAsOf, directivesAsOf time.Time) time.Time {
	if jobsAsOf.IsZero() || directivesAsOf.IsZero() {
		return time.Time{}
	}
	byJobs := jobsAsOf.Add(cmp.Or(lim.Cancelled, defaultCancelled) - startCallMargin)
	byDirectives := directivesAsOf.Add(cmp.Or(lim.Excluded, defaultExcluded) - startCallMargin)
	if byDirectives.Before(byJobs) {
		return byDirectives
	}
	return byJobs
}

// plannedUntil returns the time until which runs may be planned by the same views.
func (lim StartLimits) plannedUntil(jobsAsOf, directivesAsOf time.Time) time.Time {
	until := lim.orderedUntil(jobsAsOf, directivesAsOf)
	if until.IsZero() {
		return until
	}
	until = until.Add(-startOrderMargin)
	if byDirectives := directivesAsOf.Add(maxDirectivesAge); byDirectives.Before(until) {
		return byDirectives
	}
	return until
}
