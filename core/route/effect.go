package route

import (
	"time"

	"jacinthpost/core/outcome"
)

// effect is how the end of an attempt affects the endpoint's load and the retry budget.
type effect struct {
	record      func(loa *Load, now time.Time)
	costsBudget bool // overload may be the cause, which another attempt adds to
}

// notRunEffects lists the effects of the reasons for an attempt that was not run. After overload,
// retries are taken from the budget, because they would multiply the load. An endpoint that leaves,
// or an agent that cannot be reached, says nothing about the load of other endpoints, so trying
// another one is free; the number of attempts per request is limited anyway.
var notRunEffects = map[outcome.Reason]effect{
	outcome.ReasonQueueFull:       {record: (*Load).RecordFull, costsBudget: true},
	outcome.ReasonDeadline:        {record: (*Load).RecordFull, costsBudget: true},
	outcome.ReasonCapacity:        {record: (*Load).RecordFull, costsBudget: true},
	outcome.ReasonAdmission:       {record: (*Load).RecordFull, costsBudget: true},
	outcome.ReasonLeaving:         {record: (*Load).RecordUnavailable},
	outcome.ReasonDataCentreOut:   {record: (*Load).RecordUnavailable},
	outcome.ReasonNotReady:        {record: (*Load).RecordUnavailable},
	outcome.ReasonNoEndpoint:      {record: (*Load).RecordUnavailable},
	outcome.ReasonStaleConfig:     {record: (*Load).RecordUnavailable},
	outcome.ReasonPeerLost:        {record: (*Load).RecordFailure},
	outcome.ReasonEndpointRefused: {record: (*Load).RecordFailure},
}

var defaultEffect = effect{record: (*Load).RecordFailure, costsBudget: true}

func effectOf(out outcome.Outcome) effect {
	eff, listed := notRunEffects[out.Reason()]
	if out.Kind() != outcome.KindNotRun || !listed {
		return defaultEffect
	}
	return eff
}

// Record records the end of an attempt and how long it took.
func (loa *Load) Record(out outcome.Outcome, took time.Duration, now time.Time) {
	if out.Kind() == outcome.KindAnswered {
		loa.RecordSuccess(took)
		return
	}
	effectOf(out).record(loa, now)
}

// RetryCostsBudget reports whether another attempt after the outcome must be taken from the retry
// budget.
func RetryCostsBudget(out outcome.Outcome) bool { return effectOf(out).costsBudget }
