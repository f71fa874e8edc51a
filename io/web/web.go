// Package web implements the HTTP interface for callers and operators.
//
// Every answer is JSON with a typed outcome. Input is decoded strictly: unknown
// fields, trailing data, oversized bodies and repeated headers are refused with
// a 4xx status before anything runs or changes. The package only translates between
// HTTP and the ports, which make the decisions, so that another front end can use them.
package web

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/io/clients"
)

// Limits of input.
const (
	RequestBodyLimit = 1 << 20 // bytes of a service request
	JSONBodyLimit    = 1 << 20 // bytes of a job or ticket
	HeaderLimit      = 16 << 10
	NameLimit        = 128
	DefaultTimeout   = 5 * time.Second
	MaxTimeout       = 10 * time.Minute
	// HeaderTimeout is the time in which a header must arrive, IdleTimeout how long a connection stays open without a request.
	HeaderTimeout = 5 * time.Second
	IdleTimeout   = 2 * time.Minute
)

// Ports are the parts of the process that the handlers call.
type Ports struct {
	// Requests serves service requests.
	Requests Requests
	// Jobs submits and follows jobs and watches.
	Jobs Jobs
	// Overview lists and counts the jobs of all partitions.
	Overview Overview
	// Configuration files and reads tickets.
	Configuration Configuration
	// Fleet lists the members.
	Fleet Fleet
	// Audit lists the audit trail.
	Audit Audit
	// Explain describes the decisions about jobs, instances and tickets.
	Explain Explain
	// Timeout returns the time limit of a request to a service if the caller sets none.
	// DefaultTimeout applies if the function is nil.
	Timeout func(svc fleet.Service) time.Duration
}

// timeout returns the time limit of a request to a service if the caller sets none.
func (prt Ports) timeout(svc fleet.Service) time.Duration {
	if prt.Timeout == nil {
		return DefaultTimeout
	}
	return prt.Timeout(svc)
}

// NewHandler returns the handler of the whole interface.
func NewHandler(prt Ports) http.Handler {
	mux := http.NewServeMux()
	registerRequests(mux, prt.Requests, prt.timeout)
	registerJobs(mux, prt.Jobs)
	registerOverview(mux, prt.Overview)
	registerConfiguration(mux, prt.Configuration)
	registerFleet(mux, prt.Fleet)
	registerAudit(mux, prt.Audit)
	registerExplain(mux, prt.Explain)
	return wrap(mux)
}

// wrap counts calls and refuses ambiguous headers.
func wrap(handler http.Handler) http.Handler {
	ngr := negroni.New(negroni.HandlerFunc(countCalls), negroni.HandlerFunc(refuseRepeatedHeaders))
	ngr.UseHandler(handler)
	return ngr
}

// Wire returns the limits of single requests of this interface.
func Wire() clients.Wire { return clients.NewWire(HeaderLimit, HeaderTimeout, IdleTimeout) }

// NewServer returns a server for connections of clients.
func NewServer(cls *clients.Clients, handler http.Handler) *http.Server {
	return cls.Server(handler, refuseCall)
}

// refuseCall answers a call that was refused before its handler got it.
func refuseCall(rw http.ResponseWriter, status int, detail string) {
	if status == http.StatusServiceUnavailable {
		writeOutcome(rw, outcome.NotRun(outcome.ReasonQueueFull, detail), clients.RetryAfter)
		return
	}
	refuse(rw, status, detail)
}

// writeJSON sends a value. An encoding error is a programming error of this package.
func writeJSON(rw http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("web: encode answer: " + err.Error())
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(append(data, '\n'))
}

// refuse sends a 4xx answer for bad input. Nothing was run or changed.
func refuse(rw http.ResponseWriter, status int, detail string) {
	writeJSON(rw, status, struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
		Detail  string `json:"detail"`
	}{Outcome: outcome.KindNotRun.String(), Reason: "badInput", Detail: detail})
}

// statusOf maps outcomes to HTTP status codes.
var statusOf = map[outcome.Kind]int{
	outcome.KindAnswered: http.StatusOK,
	outcome.KindNotRun:   http.StatusServiceUnavailable,
	outcome.KindUnknown:  http.StatusGatewayTimeout,
}
