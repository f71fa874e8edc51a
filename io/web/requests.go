package web

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/io/entry"
)

// Requests serves service requests.
type Requests interface {
	Serve(ctx context.Context, req entry.Request) entry.Answer
}

func registerRequests(mux *http.ServeMux, rqs Requests, fallback func(svc fleet.Service) time.Duration) {
	mux.HandleFunc("POST /v1/services/{service}/requests", func(rw http.ResponseWriter, req *http.Request) {
		body, ok := readBody(rw, req, RequestBodyLimit, keptCopies)
		if !ok {
			return
		}
		svcReq, err := serviceRequest(req, body, fallback)
		if err != nil {
			refuse(rw, http.StatusBadRequest, err.Error())
			return
		}
		writeAnswer(rw, rqs.Serve(req.Context(), svcReq))
	})
}

// serviceRequest converts an HTTP request to a service request. The error says which input is not
// valid.
func serviceRequest(req *http.Request, body []byte, fallback func(svc fleet.Service) time.Duration) (entry.Request, error) {
	none := entry.Request{}
	service := req.PathValue("service")
	if !validName(service) {
		return none, fmt.Errorf("service name of 1 to %d printable characters expected", NameLimit)
	}
	timeout, err := timeoutOf(req, fallback(fleet.Service(service)))
	if err != nil {
		return none, err
	}
	idempotent, err := enumHeader(req, headerIdempotent, "false", "true")
	if err != nil {
		return none, err
	}
	priority, err := enumHeader(req, headerPriority, "latencyCritical", "batch")
	if err != nil {
		return none, err
	}
	for _, name := range [...]string{headerKey, headerWorkspace, headerFormerWorkspace, headerPath} {
		if txt := req.Header.Get(name); txt != "" && !validName(txt) {
			return none, fmt.Errorf("header %s: 1 to %d printable characters expected", name, NameLimit)
		}
	}
	wsp, err := workspaceOf(req)
	if err != nil {
		return none, err
	}
	res := entry.NewRequest(fleet.Service(service), wsp,
		req.Header.Get(headerPath), body, time.Now().Add(timeout))
	if key := req.Header.Get(headerKey); key != "" {
		res = res.WithKey(key)
	}
	if idempotent == "true" {
		res = res.Idempotent()
	}
	if priority == "batch" {
		res = res.Batch()
	}
	return res, nil
}

// workspaceOf returns the workspace of a request from its header or from the former name of the
// header.
func workspaceOf(req *http.Request) (fleet.Workspace, error) {
	name, former := req.Header.Get(headerWorkspace), req.Header.Get(headerFormerWorkspace)
	if name != "" && former != "" && name != former {
		return "", fmt.Errorf("headers %s and %s, its former name, differ", headerWorkspace, headerFormerWorkspace)
	}
	return fleet.Workspace(cmp.Or(name, former)), nil
}

// writeAnswer sends the outcome of a service request with the answer of the endpoint, if there is one.
func writeAnswer(rw http.ResponseWriter, ans entry.Answer) {
	status := statusOf[ans.Outcome().Kind()]
	if ans.Conflict() {
		status = http.StatusConflict
	}
	env := struct {
		Outcome   string          `json:"outcome"`
		Reason    outcome.Reason  `json:"reason,omitempty"`
		Detail    string          `json:"detail,omitempty"`
		RequestID string          `json:"requestID,omitempty"`
		Instance  string          `json:"instance,omitempty"`
		Attempts  int             `json:"attempts,omitempty"`
		Replayed  bool            `json:"replayed,omitempty"`
		Status    int             `json:"status,omitempty"`
		Body      json.RawMessage `json:"body,omitempty"`
		BodyBytes []byte          `json:"bodyBase64,omitempty"`
	}{
		Outcome:   ans.Outcome().Kind().String(),
		Reason:    ans.Outcome().Reason(),
		Detail:    ans.Outcome().Detail(),
		RequestID: ans.RequestID(),
		Instance:  string(ans.Instance()),
		Attempts:  ans.Attempts(),
		Replayed:  ans.Replayed(),
		Status:    ans.Status(),
	}
	if json.Valid(ans.Body()) {
		env.Body = ans.Body()
	} else {
		env.BodyBytes = ans.Body()
	}
	writeJSON(rw, status, env)
}
