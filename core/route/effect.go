package route

import (
	"time"

	"jacinthpost/core/outcome"
)

// verdict is what the end of an attempt says about the endpoint.
type effect struct {
	record      func(loa *Load, now time.Time)
	costsBudget bool // another attempt adds load where load may be the cause
}

// verdicts lists the reasons for "not run". Overload makes retries cost budget,
// because they would multiply the load. An endpoint that leaves, or an agent
// that cannot be reached, proves nothing about the load of the others, so
// trying another one is free; the number of attempts is bounded anyway.
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

// Record takes in the end of an attempt that took the given time.
func (loa *Load) Record(out outcome.Outcome, took time.Duration, now time.Time) {
	if out.Kind() == outcome.KindAnswered {
		loa.RecordSuccess(took)
		return
	}
	effectOf(out).record(loa, now)
}

// RetryCosts reports whether another attempt after the outcome takes from the retry budget.
func RetryCostsBudget(out outcome.Outcome) bool { return effectOf(out).costsBudget }
