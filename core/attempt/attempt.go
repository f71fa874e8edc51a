// Package attempt decides the fate of keyed requests, which run at most once.
//
// Each key has one row in the platform's table. The row names the single
// attempt that may be under way: its request ID, the instance and incarnation
// of the agent it was sent to. An entry writes the row before it dispatches, and
// changes it only by compare-and-set, so two entries never dispatch for the
// same version of the row. A later entry that finds a started attempt asks the
// agent; only its proof that the attempt has not run and cannot start allows the
// next attempt. The package is pure: reading, writing and asking are done by the
// caller. Its values may be used from any goroutine.
package attempt

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

// State is the state of the latest attempt.
type State string

// States of an attempt.
const (
	StateStarted  State = "started"
	StateAnswered State = "answered"
	StateNotRun   State = "notRun"
)

// Answer is the answer of the endpoint to an attempt.
type Answer struct {
	status int
	body   []byte
	object string
}

// NewAnswer returns an answer that is kept in the row.
func NewAnswer(status int, body []byte) Answer { return Answer{status: status, body: body} }

// NewStoredAnswer returns an answer whose body is kept in the object store.
func NewStoredAnswer(status int, object string) Answer { return Answer{status: status, object: object} }

// Status returns the HTTP status of the endpoint.
func (ans Answer) Status() int { return ans.status }

// Body returns the body, nil when it is in the object store.
func (ans Answer) Body() []byte { return ans.body }

// Object returns the key of the body in the object store, empty when it is in the row.
func (ans Answer) Object() string { return ans.object }

// Record is the content of a key's row.
type Record struct {
	digest    string
	number    int
	requestID string
	target    fleet.Peer
	state     State
	answer    Answer
}

// Start returns the record of the first attempt for a request with the digest.
func Start(digest, requestID string, tgt fleet.Peer) Record {
	return Record{digest: digest, number: 1, requestID: requestID, target: tgt, state: StateStarted}
}

// Restore returns a record read from the table.
func Restore(digest string, number int, requestID string, tgt fleet.Peer, sta State, ans Answer) Record {
	return Record{digest: digest, number: number, requestID: requestID, target: tgt, state: sta, answer: ans}
}

// Digest returns the digest of the request.
func (rec Record) Digest() string { return rec.digest }

// Number returns the number of the attempt, starting at one.
func (rec Record) Number() int { return rec.number }

// RequestID returns the identity of the attempt.
func (rec Record) RequestID() string { return rec.requestID }

// Target returns the agent the attempt was sent to.
func (rec Record) Target() fleet.Peer { return rec.target }

// State returns the state of the attempt.
func (rec Record) State() State { return rec.state }

// Answer returns the answer of an answered attempt.
func (rec Record) Answer() Answer { return rec.answer }

// Next returns the record of the following attempt. Calling it before the
// present attempt is proved not run is a broken invariant.
func (rec Record) Next(requestID string, tgt fleet.Peer) Record {
	if rec.state != StateNotRun {
		panic("attempt: next attempt of " + rec.requestID + " while it is " + string(rec.state))
	}
	rec.number++
	rec.requestID = requestID
	rec.target = tgt
	rec.state = StateStarted
	return rec
}

// NotRun returns the record after the proof that the attempt has not run and cannot start.
func (rec Record) NotRun() Record {
	rec.state = StateNotRun
	return rec
}

// Answered returns the record with the answer.
func (rec Record) Answered(ans Answer) Record {
	rec.state = StateAnswered
	rec.answer = ans
	return rec
}

// Step is what an entry does next for a key whose row exists.
type Step int

// Steps.
const (
	StepConflict Step = iota // the key was used for another request
	StepReply                // the recorded answer is the answer
	StepResolve              // ask the agent of the attempt
	StepRetry                // start the next attempt
)

var steps = map[State]Step{
	StateAnswered: StepReply,
	StateStarted:  StepResolve,
	StateNotRun:   StepRetry,
}

// Decide returns the next step for a request with the digest that finds the record.
func Decide(rec Record, digest string) Step {
	if rec.digest != digest {
		return StepConflict
	}
	return steps[rec.state]
}

// After returns the record after the outcome of its attempt, and whether the
// row must be written. An unknown outcome leaves the row as it is, so that a
// later caller can still learn the truth from the agent.
func ApplyOutcome(rec Record, out outcome.Outcome, ans Answer) (Record, bool) {
	switch out.Kind() {
	case outcome.KindAnswered:
		return rec.Answered(ans), true
	case outcome.KindNotRun:
		return rec.NotRun(), true
	default:
		return rec, false
	}
}
