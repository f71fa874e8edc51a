package web

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/catalog"
	"jacinthpost/core/outcome"
	"jacinthpost/core/workload"
	"jacinthpost/io/jobaccess"
)

// Desk submits, cancels and queries jobs of steps.
type Desk interface {
	Submit(ctx context.Context, job workload.Job) jobaccess.Answer
	Cancel(ctx context.Context, id string) (ans jobaccess.Answer, found bool)
	State(ctx context.Context, id string) (sta batch.JobState, found bool, err error)
	Pending(ctx context.Context, queue string) (int, error)
}

// queueServer serves the interface for jobs of steps.
type queueServer struct {
	desk    Desk
	catalog func() *catalog.Catalog
	now     func() time.Time
}

// NewQueueHandler returns the handler of the interface for jobs of steps, which are submitted to
// queues. The function cat may return nil until the process has its first configuration.
func NewQueueHandler(dsk Desk, cat func() *catalog.Catalog, wall func() time.Time) http.Handler {
	srv := &queueServer{desk: dsk, catalog: cat, now: wall}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/queues", srv.list)
	mux.HandleFunc("GET /v1/queues/{queue}", srv.onQueue(srv.pending))
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{job}", srv.onQueue(srv.submit))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{job}", srv.onQueue(srv.state))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{job}", srv.onQueue(srv.cancel))
	return wrap(mux)
}

func (srv *queueServer) queues() []catalog.Queue {
	if cat := srv.catalog(); cat != nil {
		return cat.Queues()
	}
	return nil
}

func (srv *queueServer) list(rw http.ResponseWriter, _ *http.Request) {
	type queueBody struct {
		Name     string `json:"name"`
		Service  string `json:"service"`
		Priority int    `json:"priority"`
	}
	list := []queueBody{}
	for _, que := range srv.queues() {
		list = append(list, queueBody{Name: que.Name, Service: string(que.Service), Priority: que.Priority})
	}
	writeJSON(rw, http.StatusOK, struct {
		Queues []queueBody `json:"queues"`
	}{list})
}

// queueCall handles a call about a queue that exists.
type queueCall func(ctx context.Context, rw http.ResponseWriter, req *http.Request, que catalog.Queue)

// onQueue returns a handler that looks up the queue, validates the job ID and sets the deadline of
// a call.
func (srv *queueServer) onQueue(call queueCall) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		cat := srv.catalog()
		if cat == nil || cat.Version() == 0 {
			writeOutcome(rw, outcome.NotRun(outcome.ReasonStaleConfig, "no configuration yet"), jobaccess.OutageRetryAfter)
			return
		}
		que, found := cat.Queue(req.PathValue("queue"))
		if !found {
			refuse(rw, http.StatusNotFound, "no such queue")
			return
		}
		if id := req.PathValue("job"); id != "" && !validName(id) {
			refuse(rw, http.StatusBadRequest, "job ID is not valid")
			return
		}
		fallback := que.Timeout
		if fallback <= 0 {
			fallback = DefaultTimeout
		}
		timeout, err := timeoutOf(req, fallback)
		if err != nil {
			refuse(rw, http.StatusBadRequest, err.Error())
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), timeout)
		defer cancel()
		call(ctx, rw, req, que)
	}
}

func (srv *queueServer) submit(ctx context.Context, rw http.ResponseWriter, req *http.Request, que catalog.Queue) {
	var bdy struct {
		Payload        string                `json:"payload"`
		Steps          []workload.StepParams `json:"steps"`
		Occurrences    int                   `json:"occurrences"`
		FirstRunMillis int64                 `json:"firstRunUnixMillis"`
		IntervalMillis int64                 `json:"intervalMillis"`
	}
	if !decodeJSON(rw, req, &bdy) {
		return
	}
	job, err := workload.New(que.Apply(workload.JobParams{
		ID: req.PathValue("job"), Payload: bdy.Payload, Steps: bdy.Steps, Occurrences: bdy.Occurrences,
		FirstRunMillis: bdy.FirstRunMillis, IntervalMillis: bdy.IntervalMillis, AcceptedMillis: srv.now().UnixMilli(),
	}))
	if err != nil {
		refuse(rw, http.StatusBadRequest, err.Error())
		return
	}
	ans := srv.desk.Submit(ctx, job)
	writeOutcome(rw, ans.Outcome(), ans.RetryAfter())
}

func (srv *queueServer) state(ctx context.Context, rw http.ResponseWriter, req *http.Request, _ catalog.Queue) {
	sta, found, err := srv.desk.State(ctx, req.PathValue("job"))
	switch {
	case err != nil:
		writeOutcome(rw, outcome.NotRun(outcome.ReasonStoreUnavailable, err.Error()), jobaccess.OutageRetryAfter)
	case !found:
		refuse(rw, http.StatusNotFound, "no such job")
	default:
		writeJSON(rw, http.StatusOK, struct {
			JobID string `json:"jobID"`
			State string `json:"state"`
		}{req.PathValue("job"), string(sta)})
	}
}

func (srv *queueServer) cancel(ctx context.Context, rw http.ResponseWriter, req *http.Request, _ catalog.Queue) {
	ans, found := srv.desk.Cancel(ctx, req.PathValue("job"))
	if !found {
		refuse(rw, http.StatusNotFound, "no such job")
		return
	}
	writeOutcome(rw, ans.Outcome(), ans.RetryAfter())
}

func (srv *queueServer) pending(ctx context.Context, rw http.ResponseWriter, _ *http.Request, que catalog.Queue) {
	num, err := srv.desk.Pending(ctx, que.Name)
	if err != nil {
		writeOutcome(rw, outcome.NotRun(outcome.ReasonStoreUnavailable, err.Error()), jobaccess.OutageRetryAfter)
		return
	}
	writeJSON(rw, http.StatusOK, struct {
		Queue   string `json:"queue"`
		Pending int    `json:"pending"`
	}{que.Name, num})
}

// writeOutcome answers a call with its outcome. For a call that did not run, Retry-After is set if
// after is positive.
func writeOutcome(rw http.ResponseWriter, out outcome.Outcome, after time.Duration) {
	status := statusOf[out.Kind()]
	switch out.Reason() {
	case outcome.ReasonCapacity:
		status = http.StatusTooManyRequests
	case outcome.ReasonTooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	if out.Kind() == outcome.KindNotRun && after > 0 {
		rw.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	writeJSON(rw, status, struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
		Detail  string `json:"detail,omitempty"`
	}{Outcome: out.Kind().String(), Reason: string(out.Reason()), Detail: out.Detail()})
}
