package endpoint

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jacinthpost/io/worker/workerapi"
)

// Headers of a service request.
const (
	HeaderRequestID = "Jacinthpost-Request-ID"
	// HeaderFail makes one request fail: "close" and "truncate" break the
	// connection after the execution, "hang" never answers, and a number is the
	// HTTP status of the answer.
	HeaderFail = "Jacinthpost-Fail"
)

// ServiceTimePath takes the new time of a request without interference; requests that run keep theirs.
const ServiceTimePath = "/service-time"

// Echo is the answer to a service request. Body holds the text of the request.
type Echo struct {
	RequestID string `json:"requestID"`
	Body      string `json:"body"`
	Instance  string `json:"instance"`
	// ServiceMicros is the time of the request by the model of the stand-in, which
	// the load of the machine does not change.
	ServiceMicros int64 `json:"serviceMicros"`
}

// Executions counts how often requests were executed.
type Executions struct {
	RequestID  string `json:"requestID,omitempty"`
	Executions int    `json:"executions"` // of the request named, or of all
	Repeated   int    `json:"repeated"`   // executions beyond the first of the same request, of all
}

// Peak is the highest commitment ever, with what happened after the endpoint began to leave.
type Peak struct {
	workerapi.Resources
	ConcurrentRequests     int   `json:"concurrentRequests"`
	LastRequestUnixMillis  int64 `json:"lastRequestUnixMillis"`
	LeavingSinceUnixMillis int64 `json:"leavingSinceUnixMillis"` // 0 unless leaving
}

const (
	// callLogLimit bounds the request IDs remembered; the oldest are dropped first.
	callLogLimit = 1 << 18
	// bodyLimit bounds the length in bytes of bodies whose executions are counted.
	bodyLimit = 256
)

// callLog counts executions. Its lock is held for a few instructions only and
// no control code takes it.
type callLog struct {
	mu           sync.Mutex
	counts       map[string]int
	bodies       map[string]int // executions by short body, whatever the request ID
	order        []string
	total        int
	repeated     int
	current      int
	highest      int
	last         time.Time
	leavingSince time.Time
}

func (log *callLog) begin(reqID, body string, now time.Time) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.countBody(body)
	log.total++
	log.current++
	log.highest = max(log.highest, log.current)
	log.last = now
	if log.counts == nil {
		log.counts = make(map[string]int)
	}
	log.counts[reqID]++
	if log.counts[reqID] > 1 {
		log.repeated++
		return
	}
	log.order = append(log.order, reqID)
	if len(log.order) > callLogLimit {
		delete(log.counts, log.order[0])
		log.order = log.order[1:]
	}
}

// countBody counts executions of the same work under any request ID.
func (log *callLog) countBody(body string) {
	if log.bodies == nil {
		log.bodies = make(map[string]int)
	}
	if len(body) <= bodyLimit && len(log.bodies) < callLogLimit {
		log.bodies[body]++
	}
}

func (log *callLog) executionsOf(body string) Executions {
	log.mu.Lock()
	defer log.mu.Unlock()
	return Executions{Executions: log.bodies[body], Repeated: log.repeated}
}

func (log *callLog) end() {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.current--
}

func (log *callLog) leave(now time.Time) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.leavingSince = now
}

func (log *callLog) executions(reqID string) Executions {
	log.mu.Lock()
	defer log.mu.Unlock()
	if reqID == "" {
		return Executions{Executions: log.total, Repeated: log.repeated}
	}
	return Executions{RequestID: reqID, Executions: log.counts[reqID], Repeated: log.repeated}
}

func (log *callLog) peak(res workerapi.Resources) Peak {
	log.mu.Lock()
	defer log.mu.Unlock()
	msg := Peak{Resources: res, ConcurrentRequests: log.highest}
	if !log.last.IsZero() {
		msg.LastRequestUnixMillis = log.last.UnixMilli()
	}
	if !log.leavingSince.IsZero() {
		msg.LeavingSinceUnixMillis = log.leavingSince.UnixMilli()
	}
	return msg
}

func (log *callLog) concurrent() int {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.current
}

// serveRequest executes one service request and echoes it.
func (srv *Server) serveRequest(rsp http.ResponseWriter, req *http.Request) {
	reqID := req.Header.Get(HeaderRequestID)
	if reqID == "" {
		http.Error(rsp, "header "+HeaderRequestID+" is missing", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rsp, req.Body, maxRequestBytes))
	if err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	srv.calls.begin(reqID, string(body), time.Now())
	defer srv.calls.end()
	took := srv.serviceTime()
	if !sleep(req.Context(), took) || !srv.thaw(req.Context()) {
		return
	}
	echo, _ := json.Marshal(Echo{RequestID: reqID, Body: string(body), Instance: srv.config.id, ServiceMicros: took.Microseconds()})
	rsp.Header().Set("Content-Type", "application/json")
	rsp.Header().Set(HeaderRequestID, reqID)
	if mode := req.Header.Get(HeaderFail); mode != "" {
		failRequest(rsp, req, mode, echo)
		return
	}
	_, _ = rsp.Write(echo)
}

func (srv *Server) setServiceTime(rsp http.ResponseWriter, req *http.Request) {
	var msg struct {
		Micros *int64 `json:"micros"`
	}
	if !decode(rsp, req, &msg) {
		return
	}
	if msg.Micros == nil || *msg.Micros < 0 {
		http.Error(rsp, "micros is missing or negative", http.StatusBadRequest)
		return
	}
	srv.baseTime.Store(int64(time.Duration(*msg.Micros) * time.Microsecond))
	reply(rsp, msg, nil)
}

// serviceTime grows with the interference of running tasks and with requests
// beyond the slots, which share the processors of the slots.
func (srv *Server) serviceTime() time.Duration {
	now := srv.view.Load()
	factor := 1 + now.interference
	if over := srv.calls.concurrent(); srv.config.slots > 0 && over > srv.config.slots {
		factor *= float64(over) / float64(srv.config.slots)
	}
	factor /= float64(100-min(max(now.faults.SlowPercent, 0), 99)) / 100
	return time.Duration(float64(srv.baseTime.Load()) * factor)
}

func failRequest(rsp http.ResponseWriter, req *http.Request, mode string, echo []byte) {
	switch mode {
	case "close":
		hangUp(rsp)
	case "hang":
		<-req.Context().Done()
	case "truncate":
		rsp.Header().Set("Content-Length", strconv.Itoa(len(echo)))
		_, _ = rsp.Write(echo[:len(echo)/2])
		_ = http.NewResponseController(rsp).Flush()
		hangUp(rsp)
	default:
		status, err := strconv.Atoi(mode)
		if err != nil || status < 200 || status > 599 {
			http.Error(rsp, fmt.Sprintf("%s is %q, expected close, hang, truncate or a status", HeaderFail, mode), http.StatusBadRequest)
			return
		}
		rsp.WriteHeader(status)
		_, _ = rsp.Write(echo)
	}
}

func (srv *Server) getExecutions(rsp http.ResponseWriter, req *http.Request) {
	if query := req.URL.Query(); query.Has("body") {
		reply(rsp, srv.calls.executionsOf(query.Get("body")), nil)
		return
	}
	reply(rsp, srv.calls.executions(req.URL.Query().Get("requestID")), nil)
}

func (srv *Server) getPeak(rsp http.ResponseWriter, _ *http.Request) { reply(rsp, srv.Peak(), nil) }

// Peak returns the highest commitment ever.
func (srv *Server) Peak() Peak {
	return srv.calls.peak(workerapi.NewResources(srv.view.Load().peak))
}
