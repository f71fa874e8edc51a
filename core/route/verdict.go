package route

import (
	"time"

	"jacinthpost/core/outcome"
)

// verdict is what the end of an attempt says about the endpoint.
type verdict struct {
	mark  func(loa *Load, now time.Time)
	costs bool // another attempt adds load where load may be the cause
}

// verdicts lists the reasons for "not run". Overload makes retries cost budget,
// because they would multiply the load. An endpoint that leaves, or an agent
// that cannot be reached, proves nothing about the load of the others, so
// trying another one is free; the number of attempts is bounded anyway.
var verdicts = map[outcome.Reason]verdict{
	outcome.ReasonQueueFull:       {mark: (*Load).RecordFull, costs: true},
	outcome.ReasonDeadline:        {mark: (*Load).RecordFull, costs: true},
	outcome.ReasonCapacity:        {mark: (*Load).RecordFull, costs: true},
	outcome.ReasonAdmission:       {mark: (*Load).RecordFull, costs: true},
	outcome.ReasonLeaving:         {mark: (*Load).RecordUnavailable},
	outcome.ReasonDataCentreOut:   {mark: (*Load).RecordUnavailable},
	outcome.ReasonNotReady:        {mark: (*Load).RecordUnavailable},
	outcome.ReasonNoEndpoint:      {mark: (*Load).RecordUnavailable},
	outcome.ReasonStaleConfig:     {mark: (*Load).RecordUnavailable},
	outcome.ReasonPeerLost:        {mark: (*Load).RecordFailure},
	outcome.ReasonEndpointRefused: {mark: (*Load).RecordFailure},
}

var unlisted = verdict{mark: (*Load).RecordFailure, costs: true}

func verdictOf(out outcome.Outcome) verdict {
	vrd, listed := verdicts[out.Reason()]
	if out.Kind() != outcome.KindNotRun || !listed {
		return unlisted
	}
	return vrd
}

// Record takes in the end of an attempt that took the given time.
func (loa *Load) Record(out outcome.Outcome, took time.Duration, now time.Time) {
	if out.Kind() == outcome.KindAnswered {
		loa.RecordSuccess(took)
		return
	}
	verdictOf(out).mark(loa, now)
}

// RetryCosts reports whether another attempt after the outcome takes from the retry budget.
func RetryCostsBudget(out outcome.Outcome) bool { return verdictOf(out).costs }
