package web

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/workload"
	"jacinthpost/io/clients"
)

// Headers of service requests.
const (
	headerTimeoutMillis   = "Jacinthpost-Timeout-Millis"
	headerIdempotent      = "Jacinthpost-Idempotent"
	headerWorkspace       = "Jacinthpost-Workspace"
	headerFormerWorkspace = "Jacinthpost-Customer" // the workspace, from callers of earlier versions
	headerPriority        = "Jacinthpost-Priority"
	headerPath            = "Jacinthpost-Path"
	headerKey             = "Idempotency-Key"
)

// keptCopies is how often the content of a body is in memory while its request is served: decoded, and in the message to
// another process.
const keptCopies = 2

var singleHeaders = []string{headerTimeoutMillis, headerIdempotent, headerWorkspace, headerFormerWorkspace, headerPriority, headerPath, headerKey, "Content-Length", "Content-Type"}

// countCalls counts calls by method and status class.
func countCalls(rw http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	rec := &statusRecorder{ResponseWriter: rw, status: http.StatusOK}
	next(rec, req)
	metrics.GetOrCreateCounter(fmt.Sprintf(`jacinthpost_http_calls_total{class="%dxx"}`, rec.status/100)).Inc()
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (rec *statusRecorder) WriteHeader(status int) {
	rec.status = status
	rec.ResponseWriter.WriteHeader(status)
}

// refuseRepeatedHeaders refuses requests that repeat a header, because a proxy and this server could
// use different values of it.
func refuseRepeatedHeaders(rw http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	for _, name := range singleHeaders {
		if len(req.Header.Values(name)) > 1 {
			refuse(rw, http.StatusBadRequest, "header "+name+" is given more than once")
			return
		}
	}
	next(rw, req)
}

// readBody reads a whole body of up to limit bytes. The request is then at work and holds cost bytes of memory for each byte
// of the body. If it fails, it answers that nothing was run and returns false.
func readBody(rw http.ResponseWriter, req *http.Request, limit, cost int64) ([]byte, bool) {
	data, err := clients.ReadBody(req, limit)
	if err == nil {
		err = clients.Work(req, cost*int64(len(data)))
	}
	switch {
	case err == nil:
		return data, true
	case errors.Is(err, clients.ErrTooLarge):
		refuse(rw, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
	case errors.Is(err, clients.ErrBusy):
		refuseCall(rw, http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, clients.ErrTimeout):
		refuse(rw, http.StatusRequestTimeout, err.Error())
	default:
		refuse(rw, http.StatusBadRequest, "the body is incomplete: "+err.Error())
	}
	return nil, false
}

// listLimit is the most elements of a list in the body of a job.
const listLimit = workload.MaxSteps

// decodeJSON decodes a JSON body with decodeStrict. If it fails, it answers with a 4xx status and
// returns false.
func decodeJSON(rw http.ResponseWriter, req *http.Request, value any) bool {
	data, ok := readBody(rw, req, JSONBodyLimit, clients.DecodeCost)
	if !ok {
		return false
	}
	err := clients.CheckJSON(req, data, listLimit)
	if err == nil {
		err = decodeStrict(data, value)
	}
	if err != nil {
		refuse(rw, http.StatusBadRequest, "the body is not valid: "+err.Error())
		return false
	}
	clients.Keep(req, keptCopies*int64(len(data)))
	return true
}

// decodeStrict decodes one JSON value without unknown fields or trailing data.
func decodeStrict(data []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return errors.New(strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// timeoutOf returns the timeout that the caller set, or the fallback if it set none.
func timeoutOf(req *http.Request, fallback time.Duration) (time.Duration, error) {
	txt := req.Header.Get(headerTimeoutMillis)
	if txt == "" {
		return fallback, nil
	}
	millis, err := strconv.ParseInt(txt, 10, 64)
	limit := MaxTimeout.Milliseconds()
	if err != nil || millis < 1 || millis > limit {
		return 0, fmt.Errorf("header %s is %q, expected 1 to %d", headerTimeoutMillis, txt, limit)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// enumHeader reads a header that has a fixed set of values. The first of them is the default.
func enumHeader(req *http.Request, name string, values ...string) (string, error) {
	txt := req.Header.Get(name)
	if txt == "" {
		return values[0], nil
	}
	for _, val := range values {
		if txt == val {
			return val, nil
		}
	}
	return "", fmt.Errorf("header %s is %q, expected one of %s", name, txt, strings.Join(values, ", "))
}

// validName reports whether the name of a service, workspace, job or key has 1 to NameLimit printable
// ASCII characters.
func validName(txt string) bool {
	if txt == "" || len(txt) > NameLimit {
		return false
	}
	return !strings.ContainsFunc(txt, func(rnn rune) bool { return rnn < ' ' || rnn > '~' })
}
