package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/io/control"
	"jacinthpost/io/table/tableapi"
)

// queueLength bounds the requests that wait for the control loop.
const queueLength = 1024

// state is owned by the control loop.
type state struct {
	rows    rowTable
	objects objectTable
	faults  faultState
}

// Server is the stand-in.
type Server struct {
	loop *control.Loop[state]
	mux  *http.ServeMux
}

// New returns a stand-in without rows, objects and faults. Run must be called for it to answer.
func New() *Server {
	sta := &state{}
	sta.faults.set(tableapi.Faults{})
	srv := &Server{loop: control.NewLoop(sta, queueLength, nil), mux: http.NewServeMux()}
	srv.mux.HandleFunc("POST "+tableapi.TransactionPath, srv.transaction)
	srv.mux.HandleFunc("POST "+tableapi.ReadPath, srv.read)
	srv.mux.HandleFunc("POST "+tableapi.ListPath, srv.list)
	srv.mux.HandleFunc("PUT "+tableapi.ObjectsPath+"{key...}", srv.putObject)
	srv.mux.HandleFunc("GET "+tableapi.ObjectsPath+"{key...}", srv.getObject)
	srv.mux.HandleFunc("DELETE "+tableapi.ObjectsPath+"{key...}", srv.deleteObject)
	srv.mux.HandleFunc("POST "+tableapi.FaultsPath, srv.setFaults)
	srv.mux.HandleFunc("GET "+tableapi.FaultsPath, srv.getFaults)
	srv.mux.HandleFunc("GET "+tableapi.CountersPath, srv.getCounters)
	return srv
}

// Run owns the state until the context ends.
func (srv *Server) Run(ctx context.Context) { srv.loop.Run(ctx) }

// ServeHTTP implements http.Handler.
func (srv *Server) ServeHTTP(rsp http.ResponseWriter, req *http.Request) { srv.mux.ServeHTTP(rsp, req) }

// answer writes the complete answer of one operation.
type answer func(rsp http.ResponseWriter)

// handle runs one operation under the present faults. The effect runs on the
// control loop. Half of the latency passes before it and half after it. The
// verdict of a loop that does not answer is the zero value, hangUp.
func (srv *Server) handle(rsp http.ResponseWriter, req *http.Request, opn operation, effect func(*state) answer) {
	ctx := context.WithoutCancel(req.Context())
	var latency time.Duration
	vdt, _ := control.Query(ctx, srv.loop, func(sta *state, now time.Time) verdict {
		latency = sta.faults.latency()
		return sta.faults.admit(opn, now)
	})
	if vdt != serve {
		fail(rsp, vdt)
		return
	}
	wait(latency / 2)
	var ans answer
	vdt, _ = control.Query(ctx, srv.loop, func(sta *state, _ time.Time) verdict {
		return sta.faults.apply(opn, func() { ans = effect(sta) })
	})
	wait(latency / 2)
	if vdt != serve {
		fail(rsp, vdt)
		return
	}
	ans(rsp)
}

func wait(dur time.Duration) {
	if dur > 0 {
		<-time.After(dur)
	}
}

func fail(rsp http.ResponseWriter, vdt verdict) {
	switch vdt {
	case throttled:
		http.Error(rsp, "rate limit exceeded", http.StatusTooManyRequests)
	case refuse:
		http.Error(rsp, "service unavailable", http.StatusServiceUnavailable)
	default:
		hangUpOn(rsp)
	}
}

// hangUpOn closes the connection without an answer.
func hangUpOn(rsp http.ResponseWriter) {
	con, _, err := http.NewResponseController(rsp).Hijack()
	if err != nil {
		http.Error(rsp, "connection cannot be closed", http.StatusInternalServerError)
		return
	}
	_ = con.Close()
}

func (srv *Server) transaction(rsp http.ResponseWriter, req *http.Request) {
	var msg tableapi.TransactionRequest
	if !decode(rsp, req, &msg) || !withinLimit(rsp, len(msg.Conditions), len(msg.Writes)) {
		return
	}
	srv.handle(rsp, req, writing, func(sta *state) answer { return encode(sta.rows.commit(msg)) })
}

func (srv *Server) read(rsp http.ResponseWriter, req *http.Request) {
	var msg tableapi.ReadRequest
	if !decode(rsp, req, &msg) || !withinLimit(rsp, len(msg.Keys)) {
		return
	}
	srv.handle(rsp, req, reading, func(sta *state) answer { return encode(sta.rows.read(msg)) })
}

func (srv *Server) list(rsp http.ResponseWriter, req *http.Request) {
	var msg tableapi.ListRequest
	if !decode(rsp, req, &msg) || !withinLimit(rsp, msg.Limit) {
		return
	}
	srv.handle(rsp, req, reading, func(sta *state) answer { return encode(sta.rows.list(msg)) })
}

func (srv *Server) putObject(rsp http.ResponseWriter, req *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(rsp, req.Body, tableapi.MaxObjectBytes))
	if err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	srv.handle(rsp, req, writing, func(sta *state) answer {
		sta.objects.put(req.PathValue("key"), value)
		return noContent
	})
}

func (srv *Server) getObject(rsp http.ResponseWriter, req *http.Request) {
	srv.handle(rsp, req, reading, func(sta *state) answer {
		value, found := sta.objects.objects[req.PathValue("key")]
		if !found {
			return func(rsp http.ResponseWriter) { http.Error(rsp, "no such object", http.StatusNotFound) }
		}
		return func(rsp http.ResponseWriter) { _, _ = rsp.Write(value) }
	})
}

func (srv *Server) deleteObject(rsp http.ResponseWriter, req *http.Request) {
	srv.handle(rsp, req, writing, func(sta *state) answer {
		delete(sta.objects.objects, req.PathValue("key"))
		return noContent
	})
}

func (srv *Server) setFaults(rsp http.ResponseWriter, req *http.Request) {
	var msg tableapi.Faults
	if !decode(rsp, req, &msg) {
		return
	}
	if err := validFaults(msg); err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	srv.inspect(rsp, req, func(sta *state) any {
		sta.faults.set(msg)
		return sta.faults.faults
	})
}

func (srv *Server) getFaults(rsp http.ResponseWriter, req *http.Request) {
	srv.inspect(rsp, req, func(sta *state) any { return sta.faults.faults })
}

func (srv *Server) getCounters(rsp http.ResponseWriter, req *http.Request) {
	srv.inspect(rsp, req, func(sta *state) any { return sta.faults.counters })
}

// inspect answers a control request, which no fault affects.
func (srv *Server) inspect(rsp http.ResponseWriter, req *http.Request, ask func(*state) any) {
	msg, err := control.Query(req.Context(), srv.loop, func(sta *state, _ time.Time) any { return ask(sta) })
	if err != nil {
		http.Error(rsp, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encode(msg)(rsp)
}

func decode(rsp http.ResponseWriter, req *http.Request, msg any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(rsp, req.Body, tableapi.MaxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(msg); err != nil {
		http.Error(rsp, errors.Wrap(err, "decode request").Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func withinLimit(rsp http.ResponseWriter, counts ...int) bool {
	for _, cnt := range counts {
		if cnt > tableapi.MaxKeys {
			http.Error(rsp, "too many rows", http.StatusBadRequest)
			return false
		}
	}
	return true
}

func encode(msg any) answer {
	return func(rsp http.ResponseWriter) {
		rsp.Header().Set("Content-Type", "application/json")
		// A client that has gone away needs no answer.
		_ = json.NewEncoder(rsp).Encode(msg)
	}
}

func noContent(rsp http.ResponseWriter) { rsp.WriteHeader(http.StatusNoContent) }
