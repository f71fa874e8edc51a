// Package entry serves the service requests that callers send to an entry instance.
//
// An entry keeps no persistent state of its own. It routes service requests to the agents on the
// instances of the endpoints, retries attempts that are proved not run, and records keyed requests in
// the platform's table before it dispatches them. Requests run on traffic goroutines that read
// immutable snapshots; the control goroutine rebuilds the snapshots when membership or configuration
// changes.
package entry

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

// Request is a service request of a caller.
type Request struct {
	service    fleet.Service
	workspace  fleet.Workspace
	key        string
	idempotent bool
	batch      bool
	path       string
	body       []byte
	deadline   time.Time
}

// NewRequest returns a latency-critical request that is not idempotent and has no key.
func NewRequest(svc fleet.Service, wsp fleet.Workspace, path string, body []byte, deadline time.Time) Request {
	return Request{service: svc, workspace: wsp, path: path, body: body, deadline: deadline}
}

// WithKey returns the request with an idempotency key. Requests with the same key run at most once,
// however often and to whichever entry they are sent.
func (req Request) WithKey(key string) Request {
	req.key = key
	return req
}

// Idempotent returns the request marked as safe to run more than once.
func (req Request) Idempotent() Request {
	req.idempotent = true
	return req
}

// Batch returns the request marked as not latency-critical.
func (req Request) Batch() Request {
	req.batch = true
	return req
}

// Service returns the service that the request is for.
func (req Request) Service() fleet.Service { return req.service }

// Workspace returns the workspace that sent the request.
func (req Request) Workspace() fleet.Workspace { return req.workspace }

// Path returns the path at the endpoint.
func (req Request) Path() string { return req.path }

// Refused returns the answer to a request that the entry refuses with an outcome.
func Refused(out outcome.Outcome) Answer { return Answer{outcome: out} }

// Answer is the result of a service request.
type Answer struct {
	outcome   outcome.Outcome
	conflict  bool
	requestID string
	instance  fleet.InstanceID
	status    int
	body      []byte
	attempts  int
	replayed  bool
}

// Outcome returns how the request ended.
func (ans Answer) Outcome() outcome.Outcome { return ans.outcome }

// Conflict reports that the idempotency key was used for another request.
func (ans Answer) Conflict() bool { return ans.conflict }

// RequestID returns the request ID of the last attempt.
func (ans Answer) RequestID() string { return ans.requestID }

// Instance returns the instance of the last attempt.
func (ans Answer) Instance() fleet.InstanceID { return ans.instance }

// Status returns the HTTP status of the endpoint.
func (ans Answer) Status() int { return ans.status }

// Body returns the complete body of the endpoint's answer.
func (ans Answer) Body() []byte { return ans.body }

// Attempts returns how many agents the request was sent to.
func (ans Answer) Attempts() int { return ans.attempts }

// Replayed reports that the answer was recorded by an earlier request with the same key.
func (ans Answer) Replayed() bool { return ans.replayed }
