// Package attempt decides what happens to requests with an idempotency key, which run at most once.
//
// Each key has one row in the platform's table. The row names the only attempt that may be in
// progress: its request ID, and the instance and incarnation of the agent that it was sent to. An
// entry writes the row before it dispatches the attempt and changes it only by compare-and-set, so
// two entries never dispatch for the same version of the row. An entry that later finds a started
// attempt asks the agent. It starts the next attempt only if the agent proves that this one has not
// run and cannot start.
//
// The package is pure: the caller reads and writes rows and asks agents. Its values are safe for
// concurrent use.
package attempt

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

// State is the state of the latest attempt, as stored in the row.
type State string

// States of an attempt.
const (
	StateStarted  State = "started"
	StateAnswered State = "answered"
	StateNotRun   State = "notRun"
)

// Answer is the endpoint's answer to an attempt.
type Answer struct {
	status int
	body   []byte
	object string
}

// NewAnswer returns an answer whose body is stored in the row.
func NewAnswer(status int, body []byte) Answer { return Answer{status: status, body: body} }

// NewStoredAnswer returns an answer whose body is stored under a key of the object store.
func NewStoredAnswer(status int, object string) Answer { return Answer{status: status, object: object} }

// Status returns the HTTP status that the endpoint answered.
func (ans Answer) Status() int { return ans.status }

// Body returns the body, nil if it is in the object store.
func (ans Answer) Body() []byte { return ans.body }

// Object returns the key of the body in the object store, empty if the body is in the row.
func (ans Answer) Object() string { return ans.object }

// Record is the content of the row of a key.
type Record struct {
	digest    string
	number    int
	requestID string
	target    fleet.Peer
	state     State
	answer    Answer
}

// Start returns the record of the first attempt for the request with the digest.
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

// Target returns the agent that the attempt was sent to.
func (rec Record) Target() fleet.Peer { return rec.target }

// State returns the state of the attempt.
func (rec Record) State() State { return rec.state }

// Answer returns the answer to an answered attempt.
func (rec Record) Answer() Answer { return rec.answer }

// Next returns the record of the next attempt. It panics unless the present attempt is proved not
// to have run, because the request could otherwise run twice.
func (rec Record) Next(requestID string, tgt fleet.Peer) Record {
	if rec.state != StateNotRun {
		panic("attempt: no next attempt before " + rec.requestID + " is proved not run: its state is " + string(rec.state))
	}
	rec.number++
	rec.requestID = requestID
	rec.target = tgt
	rec.state = StateStarted
	return rec
}

// NotRun returns the record for an attempt that is proved neither to have run nor to be able to
// start.
func (rec Record) NotRun() Record {
	rec.state = StateNotRun
	return rec
}

// Answered returns the record for an attempt with the answer.
func (rec Record) Answered(ans Answer) Record {
	rec.state = StateAnswered
	rec.answer = ans
	return rec
}

// Step is what an entry does next for a key whose row exists.
type Step int

// Steps for a key whose row exists.
const (
	StepConflict Step = iota // the key was used for another request
	StepReply                // reply with the recorded answer
	StepResolve              // ask the agent whether the attempt has run
	StepRetry                // start the next attempt
)

var steps = map[State]Step{
	StateAnswered: StepReply,
	StateStarted:  StepResolve,
	StateNotRun:   StepRetry,
}

// Decide returns the next step for a request with the digest whose key has the record.
func Decide(rec Record, digest string) Step {
	if rec.digest != digest {
		return StepConflict
	}
	return steps[rec.state]
}

// ApplyOutcome returns the record after the outcome of its attempt, and whether the row must be
// written. An unknown outcome leaves the row unchanged, so that a later caller can still ask the
// agent for the outcome.
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
