// Package outcome states how a request or an operation ended.
//
// There are three ends. Answered: the endpoint ran the work and its answer is
// whole. NotRun: the work has not started and cannot start later. Unknown: it
// may or may not have run. The zero value is Unknown, so that a path that
// forgets to set an outcome never claims more than it knows.
package outcome

// Kind is one of the three ends of an operation.
type Kind int

// Kinds of outcome.
const (
	KindUnknown Kind = iota
	KindAnswered
	KindNotRun
)

var kindNames = [...]string{KindUnknown: "unknown", KindAnswered: "answered", KindNotRun: "notRun"}

// String returns the name of the kind as used in formats.
func (knd Kind) String() string { return kindNames[knd] }

// Reason is a machine-readable cause of an outcome other than answered.
type Reason string

// Reasons for not run.
const (
	ReasonNoEndpoint       Reason = "noEndpoint"       // no endpoint of the service is known
	ReasonQueueFull        Reason = "queueFull"        // the bounded queue has no room
	ReasonDeadline         Reason = "deadline"         // the deadline would pass before a start
	ReasonLeaving          Reason = "leaving"          // the endpoint or the process is stopping
	ReasonStaleConfig      Reason = "staleConfig"      // the configuration is not confirmed recently enough
	ReasonFenced           Reason = "fenced"           // the request was fenced before it started
	ReasonStoreUnavailable Reason = "storeUnavailable" // a durable promise cannot be made
	ReasonRetryBudget      Reason = "retryBudget"      // retries are exhausted
	ReasonCapacity         Reason = "capacity"         // the work fits nowhere at present
	ReasonTooLarge         Reason = "tooLarge"         // the work fits no instance at all
	ReasonDataCentreOut    Reason = "dataCentreOut"    // operators took the data centre out
	ReasonNotReady         Reason = "notReady"         // the ledger is not rebuilt yet
	ReasonEndpointRefused  Reason = "endpointRefused"  // the connection to the endpoint was refused
	ReasonAdmission        Reason = "admission"        // an admission setting forbids it
	ReasonUnknownService   Reason = "unknownService"   // no accepted ticket defines the service
)

// Reasons for unknown.
const (
	ReasonTimeout    Reason = "timeout"    // the deadline passed after the work may have started
	ReasonPeerLost   Reason = "peerLost"   // the agent is gone and cannot be asked
	ReasonBrokenBody Reason = "brokenBody" // the answer was truncated
)

// Outcome is the end of an operation.
type Outcome struct {
	kind   Kind
	reason Reason
	detail string
}

// Answered returns the outcome of an operation that ran and whose answer is whole.
func Answered() Outcome { return Outcome{kind: KindAnswered} }

// NotRun returns the outcome of an operation that has not started and cannot start later.
func NotRun(rsn Reason, detail string) Outcome {
	return Outcome{kind: KindNotRun, reason: rsn, detail: detail}
}

// Unknown returns the outcome of an operation that may or may not have run.
func Unknown(rsn Reason, detail string) Outcome {
	return Outcome{kind: KindUnknown, reason: rsn, detail: detail}
}

// Kind returns which of the three ends it is.
func (out Outcome) Kind() Kind { return out.kind }

// Reason returns the cause, empty when answered.
func (out Outcome) Reason() Reason { return out.reason }

// Detail returns an explanation for people.
func (out Outcome) Detail() string { return out.detail }

// Retryable reports whether another attempt is allowed. Only a proof that the
// work did not run allows a retry of work that is not idempotent.
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
