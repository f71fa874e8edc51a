// Package endpoint sends service requests to the co-located endpoint.
//
// Only a failure to obtain a connection proves that the endpoint did not run the
// request. After any later failure it is unknown whether the request ran. An incomplete
// answer is such a failure too, and is never passed on. Nothing is retried here. A Client
// is safe for use from any goroutine; the context bounds each call in time and BodyLimit
// bounds its answer.
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/outcome"
	"jacinthpost/io/httpcall"
)

const (
	// HeaderRequestID carries the identity of the request to the endpoint and back.
	HeaderRequestID = "Jacinthpost-Request-ID"
	// BodyLimit bounds the body of an answer in bytes.
	BodyLimit = 8 << 20
	// DefaultTimeout ends a call whose context has no earlier deadline.
	DefaultTimeout = time.Minute
)

// Request is one service request.
type Request struct {
	id     string
	method string
	path   string
	body   []byte
}

// NewRequest returns a request with the method POST and the path /serve.
func NewRequest(reqID string, body []byte) Request {
	return Request{id: reqID, method: http.MethodPost, path: "/serve", body: body}
}

// WithTarget returns the request with another method and path; an empty one changes nothing.
func (req Request) WithTarget(method, path string) Request {
	if method != "" {
		req.method = method
	}
	if path != "" {
		req.path = path
	}
	return req
}

// Answer is a complete answer of the endpoint.
type Answer struct {
	status int
	body   []byte
}

// Status returns the HTTP status, zero unless the request was answered.
func (ans Answer) Status() int { return ans.status }

// Body returns the whole body.
func (ans Answer) Body() []byte { return ans.body }

// Client calls one endpoint.
type Client struct {
	call *httpcall.Client
}

// New returns a client of the endpoint at host:port.
func New(addr string) *Client {
	return &Client{call: httpcall.New(addr, "endpoint", httpcall.WithTimeout(DefaultTimeout), httpcall.WithBodyLimit(BodyLimit))}
}

// Serve sends the request once and waits for the whole answer. The answer is
// set only if the outcome is answered, with whatever status the endpoint chose.
func (cli *Client) Serve(ctx context.Context, req Request) (Answer, outcome.Outcome) {
	msg := httpcall.NewRequest(req.method, req.path, req.body).
		WithHeader(HeaderRequestID, req.id).
		WithHeader("Content-Type", "application/json")
	ans, err := cli.call.Call(ctx, msg)
	if err != nil {
		return Answer{}, outcomeOf(err)
	}
	if echoed := ans.Header().Get(HeaderRequestID); echoed != "" && echoed != req.id {
		return Answer{}, outcome.Unknown(outcome.ReasonBrokenBody, "the answer belongs to request "+echoed)
	}
	return Answer{status: ans.Status(), body: ans.Body()}, outcome.Answered()
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.call.Close() }

func outcomeOf(err error) outcome.Outcome {
	var fai *httpcall.Failure
	if !errors.As(err, &fai) {
		return outcome.Unknown(outcome.ReasonBrokenBody, err.Error())
	}
	switch {
	case fai.Stage() == httpcall.NotSent && fai.TimedOut():
		return outcome.NotRun(outcome.ReasonDeadline, fai.Error())
	case fai.Stage() == httpcall.NotSent:
		return outcome.NotRun(outcome.ReasonEndpointRefused, fai.Error())
	case fai.TimedOut():
		return outcome.Unknown(outcome.ReasonTimeout, fai.Error())
	default:
		return outcome.Unknown(outcome.ReasonBrokenBody, fai.Error())
	}
}
