// Package outcome defines the result of a request or another operation, as far as its caller knows
// it.
//
// There are three kinds of outcomes:
//
//   - Answered: the work ran and the complete answer was received.
//   - NotRun: the work has not started and cannot start later.
//   - Unknown: the work may or may not have run.
//
// The zero value is Unknown, so that a code path that forgets to set an outcome doesn't allow a
// retry of work that may have run.
package outcome

// Kind is the kind of an outcome.
type Kind int

// The kinds of outcomes.
const (
	KindUnknown Kind = iota
	KindAnswered
	KindNotRun
)

var kindNames = [...]string{KindUnknown: "unknown", KindAnswered: "answered", KindNotRun: "notRun"}

// String returns the name of the kind, as used in messages, metrics and logs.
func (knd Kind) String() string { return kindNames[knd] }

// Reason is the machine-readable cause of an outcome other than Answered.
type Reason string

// Reasons of NotRun. ReasonStoreUnavailable is also a reason of Unknown, for work that ran and whose
// recorded answer can't be read.
const (
	ReasonNoEndpoint       Reason = "noEndpoint"       // no (further) endpoint of the service is known
	ReasonQueueFull        Reason = "queueFull"        // the queue has reached its capacity
	ReasonDeadline         Reason = "deadline"         // the work would start after its deadline
	ReasonLeaving          Reason = "leaving"          // the endpoint is drained or the process stops
	ReasonStaleConfig      Reason = "staleConfig"      // the configuration was not confirmed recently
	ReasonFenced           Reason = "fenced"           // the work was fenced off before it started
	ReasonStoreUnavailable Reason = "storeUnavailable" // the request can't be recorded durably
	ReasonRetryBudget      Reason = "retryBudget"      // no retries are left
	ReasonCapacity         Reason = "capacity"         // the free resources don't suffice at present
	ReasonTooLarge         Reason = "tooLarge"         // the work exceeds the capacity of every instance, or its description that of a row in the store
	ReasonDataCentreOut    Reason = "dataCentreOut"    // operators took the data centre out of service
	ReasonNotReady         Reason = "notReady"         // the agent doesn't know yet what its worker runs
	ReasonEndpointRefused  Reason = "endpointRefused"  // the endpoint refused the connection
	ReasonAdmission        Reason = "admission"        // an admission limit or rule forbids the work
	ReasonUnknownService   Reason = "unknownService"   // no accepted ticket defines the service
)

// Reasons of Unknown. ReasonPeerLost is also a reason of NotRun, for a request that was not sent.
const (
	ReasonTimeout    Reason = "timeout"    // no answer before the deadline, or none was kept
	ReasonPeerLost   Reason = "peerLost"   // the agent can't be asked or no longer knows the request
	ReasonBrokenBody Reason = "brokenBody" // the answer is incomplete or belongs to another request
)

// Outcome is the result of an operation.
type Outcome struct {
	kind   Kind
	reason Reason
	detail string
}

// Answered returns the outcome of an operation that ran and whose complete answer was received.
func Answered() Outcome { return Outcome{kind: KindAnswered} }

// NotRun returns the outcome of an operation that has not started and cannot start later.
func NotRun(rsn Reason, detail string) Outcome {
	return Outcome{kind: KindNotRun, reason: rsn, detail: detail}
}

// Unknown returns the outcome of an operation that may or may not have run.
func Unknown(rsn Reason, detail string) Outcome {
	return Outcome{kind: KindUnknown, reason: rsn, detail: detail}
}

// Kind returns the kind of the outcome.
func (out Outcome) Kind() Kind { return out.kind }

// Reason returns the cause, empty if the operation was answered.
func (out Outcome) Reason() Reason { return out.reason }

// Detail returns an explanation for logs and error messages.
func (out Outcome) Detail() string { return out.detail }

// Retryable reports whether another attempt is allowed. Work that is not idempotent may be retried
// only if it certainly did not run.
func (out Outcome) Retryable(idempotent bool) bool {
	switch out.kind {
	case KindNotRun:
		return true
	case KindUnknown:
		return idempotent
	default:
		return false
	}
}
