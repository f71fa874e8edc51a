// Package endpoint is the stand-in for one instance: an endpoint that answers
// service requests and the worker beside it, in one process.
//
// One control loop owns the worker's tasks; a timer wakes it at the next event.
// Service requests run on their own goroutines and read an immutable view of
// the tasks. A freeze holds every answer back, as if the process were paused.
package endpoint

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthpost/cmd/standin-endpoint/internal/tasks"
	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
	"jacinthpost/io/control"
	"jacinthpost/io/worker/workerapi"
)

// queueLength bounds the calls that wait for the control loop.
const queueLength = 1024

// Server is the stand-in for one instance.
type Server struct {
	config   Config
	mux      *http.ServeMux
	loop     *control.Loop[tasks.Machine]
	view     control.Snapshot[view]
	started  time.Time
	wake     *time.Timer
	calls    callLog
	baseTime atomic.Int64 // time of a request without interference, a time.Duration
}

// view is what traffic goroutines need to know of the tasks and faults.
type view struct {
	interference float64
	faults       tasks.Faults
	frozenUntil  time.Time
	peak         resource.Vector
}

// New returns an instance without tasks. Run must be called for it to answer.
func New(cfg Config) *Server {
	srv := &Server{config: cfg, mux: http.NewServeMux(), started: time.Now()}
	srv.view.Publish(&view{})
	srv.baseTime.Store(int64(cfg.serviceTime))
	srv.loop = control.NewLoop(tasks.New(cfg.worker), queueLength, srv.publish)
	srv.wake = time.AfterFunc(time.Hour, func() {
		srv.loop.TryPost(control.Func[tasks.Machine](func(mac *tasks.Machine, now time.Time) { mac.Report(srv.instant(now)) }))
	})
	srv.mux.HandleFunc("POST /serve", srv.serveRequest)
	srv.mux.HandleFunc("GET /executions", srv.getExecutions)
	srv.mux.HandleFunc("GET /peak", srv.getPeak)
	srv.mux.HandleFunc("POST /faults", srv.setFaults)
	srv.mux.HandleFunc("PUT "+ServiceTimePath, srv.setServiceTime)
	srv.mux.HandleFunc("GET "+workerapi.StatePath, srv.getState)
	srv.mux.HandleFunc("GET "+HistoryPath, srv.getHistory)
	srv.mux.HandleFunc("POST "+workerapi.StartPath, change(srv, startTask))
	srv.mux.HandleFunc("POST "+workerapi.RenewPath, change(srv, renewTasks))
	srv.mux.HandleFunc("POST "+workerapi.StopPath, change(srv, stopTask))
	srv.mux.HandleFunc("POST "+workerapi.ThrottlePath, change(srv, throttleTask))
	srv.mux.HandleFunc("POST "+workerapi.ForgetPath, change(srv, forgetTask))
	return srv
}

// Run owns the tasks until the context ends.
func (srv *Server) Run(ctx context.Context) {
	defer srv.wake.Stop()
	srv.loop.Run(ctx)
}

// ServeHTTP implements http.Handler.
func (srv *Server) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	if !srv.thaw(req.Context()) {
		return
	}
	srv.mux.ServeHTTP(rsp, req)
}

// instant returns the reading of the worker's clock.
func (srv *Server) instant(now time.Time) worker.Instant { return worker.Instant(now.Sub(srv.started)) }

// unixMillis returns the time of day of a reading of the worker's clock.
func (srv *Server) unixMillis(ins worker.Instant) int64 {
	return srv.started.Add(time.Duration(ins)).UnixMilli()
}

// publish runs on the control loop after each event. It arms the timer for the
// next event of the tasks.
func (srv *Server) publish(mac *tasks.Machine, now time.Time) {
	srv.view.Publish(&view{
		interference: mac.Interference(),
		faults:       mac.Faults(),
		frozenUntil:  srv.started.Add(time.Duration(mac.Frozen())),
		peak:         mac.Peak(),
	})
	srv.wake.Reset(mac.Next().Sub(srv.instant(now)))
}

// thaw waits while the instance is frozen and reports whether the context still lasts.
func (srv *Server) thaw(ctx context.Context) bool {
	return sleep(ctx, time.Until(srv.view.Load().frozenUntil))
}

// sleep waits and reports whether the context still lasts.
func sleep(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}
