package web

import (
	"context"
	"net/http"

	"jacinthpost/core/job"
	"jacinthpost/core/outcome"
	"jacinthpost/io/message"
)

// Jobs submits, cancels, queries and retries jobs. A watch is a job of kind watch.
type Jobs interface {
	Submit(ctx context.Context, spec message.JobSpec) message.JobReply
	Cancel(ctx context.Context, jobID string) message.JobReply
	Status(ctx context.Context, jobID string) message.JobReply
	// Retry queues the parked tasks of a job again.
	Retry(ctx context.Context, jobID string) message.JobReply
}

func registerJobs(mux *http.ServeMux, jbs Jobs) {
	submit := func(fixedKind string) http.HandlerFunc {
		return func(rw http.ResponseWriter, req *http.Request) {
			var spec message.JobSpec
			if !decodeJSON(rw, req, &spec) {
				return
			}
			if fixedKind != "" {
				spec.Kind = fixedKind
			}
			writeJob(rw, jbs.Submit(req.Context(), spec))
		}
	}
	onJob := func(act func(context.Context, string) message.JobReply) http.HandlerFunc {
		return func(rw http.ResponseWriter, req *http.Request) {
			id := req.PathValue("job")
			if !validName(id) {
				refuse(rw, http.StatusBadRequest, "job ID is not valid")
				return
			}
			writeJob(rw, act(req.Context(), id))
		}
	}
	mux.HandleFunc("POST /v1/jobs", submit(""))
	mux.HandleFunc("POST /v1/watches", submit("watch"))
	mux.HandleFunc("GET /v1/jobs/{job}", onJob(jbs.Status))
	mux.HandleFunc("DELETE /v1/jobs/{job}", onJob(jbs.Cancel))
	mux.HandleFunc("POST /v1/jobs/{job}/retry", onJob(jbs.Retry))
	mux.HandleFunc("GET /v1/watches/{job}", onJob(jbs.Status))
	mux.HandleFunc("DELETE /v1/watches/{job}", onJob(jbs.Cancel))
}

// jobFaultStatus maps the reasons of refusals that the caller caused to HTTP status codes.
var jobFaultStatus = map[string]int{
	string(job.ReasonInvalid):      http.StatusBadRequest,
	string(job.ReasonNoJob):        http.StatusNotFound,
	string(job.ReasonConflict):     http.StatusConflict,
	string(outcome.ReasonTooLarge): http.StatusUnprocessableEntity,
}

func writeJob(rw http.ResponseWriter, rep message.JobReply) {
	if _, known := jobOutcomeStatus[rep.Outcome]; !known {
		// Without an outcome it is not known whether the operation took effect.
		rep = message.JobReply{Outcome: outcome.KindUnknown.String(), Detail: "the owner replied without an outcome"}
	}
	status, known := jobFaultStatus[rep.Reason]
	if !known {
		status = jobOutcomeStatus[rep.Outcome]
	}
	env := struct {
		Outcome string             `json:"outcome"`
		Reason  string             `json:"reason,omitempty"`
		Detail  string             `json:"detail,omitempty"`
		Job     *message.JobStatus `json:"job,omitempty"`
		Explain []string           `json:"explain,omitempty"`
	}{Outcome: rep.Outcome, Reason: rep.Reason, Detail: rep.Detail, Explain: rep.Explain}
	if rep.Status.JobID != "" {
		env.Job = &rep.Status
	}
	writeJSON(rw, status, env)
}

var jobOutcomeStatus = map[string]int{
	outcome.KindAnswered.String(): http.StatusOK,
	outcome.KindNotRun.String():   http.StatusServiceUnavailable,
	outcome.KindUnknown.String():  http.StatusGatewayTimeout,
}
