package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1100 * time.Millisecond
	holdMax         = 10 * time.Second
	stopTime        = 100 * time.Millisecond // the pages allow stopTimeoutMs
	lastingStart    = 400 * time.Millisecond
	failTime        = 20 * time.Millisecond // until a run on a worker that fails everything has failed
	tickTime        = 10 * time.Millisecond
	unloadedTail    = 4.0 // milliseconds
	listedEnds      = 500
)

// run is a task at work. The spec of its job tells what it is, as a query: lasts, work (milliseconds), serves (own load), fills
// (added load), cpu.
type run struct {
	task     string
	number   int
	spec     url.Values
	begun    time.Time
	progress time.Duration
	pace     int
	stopAt   time.Time
	failAt   time.Time
}

type endRow struct {
	number int
	task   string
	run    int
	how    string
}

// worker is the stand-in of a worker of the platform.
type worker struct {
	rec     *recorder
	service string
	zone    string
	rack    string
	addr    string // where it serves
	agent   string // the control address of its machine
	cpu     int
	tickets func(task, worker, ticket string) bool // nil if no queue has advice

	mu       sync.Mutex
	id       string
	begun    time.Time
	server   *http.Server
	stop     context.CancelFunc
	token    uint64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int
	ends     []endRow
	lastEnd  int
	failing  bool
	disturbs bool // fills disturb what serves
	changed  chan struct{}
}

// start begins a life of the worker.
func (wrk *worker) start() error {
	lsn, err := net.Listen("tcp", wrk.addr)
	if err != nil {
		return err
	}
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	wrk.id, wrk.begun, wrk.stop = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now(), cancel
	wrk.token, wrk.leaseEnd, wrk.lastEnd, wrk.ends = 0, 0, 0, nil
	wrk.runs, wrk.highest, wrk.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	wrk.server = &http.Server{Handler: wrk.handler(wrk.id), ReadHeaderTimeout: time.Minute}
	go func(srv *http.Server) { _ = srv.Serve(lsn) }(wrk.server) // ends when the server is closed
	go wrk.beat(ctx, wrk.id)
	go wrk.tick(ctx, wrk.id)
	wrk.rec.notef("worker %s begins, rack %s zone %s", wrk.id, wrk.rack, wrk.zone)
	return nil
}

// crash ends the life of the worker with all that it runs.
func (wrk *worker) crash() {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	wrk.rec.notef("worker %s crashes", wrk.id)
	wrk.stop()
	_ = wrk.server.Close() // nothing is to be saved
	for _, rn := range wrk.runs {
		wrk.rec.ended(wrk.id, rn.task, rn.number, "crash")
		if rn.spec.Has("gang") {
			gangs.leave(rn, "crash")
		}
	}
	wrk.runs, wrk.id = nil, ""
}

// setFailing makes the worker fail all that it runs and starts, with its health answers good.
func (wrk *worker) setFailing(failing bool) {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	wrk.failing = failing
	for _, rn := range wrk.runs {
		rn.failAt = time.Time{}
		if failing {
			rn.failAt = time.Now().Add(failTime)
		}
	}
	wrk.rec.notef("worker %s fails everything: %t", wrk.id, failing)
}

func (wrk *worker) clock() int64 { return 60000 + time.Since(wrk.begun).Milliseconds() }

// free returns the processors that no task reserves, in thousandths.
func (wrk *worker) free() int {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	if wrk.id == "" {
		return 0
	}
	left := wrk.cpu
	for _, rn := range wrk.runs {
		if !rn.spec.Has("fills") {
			left -= number(rn.spec, "cpu")
		}
	}
	return left
}

// up reports whether the worker is alive.
func (wrk *worker) up() bool {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	return wrk.id != ""
}

func number(spec url.Values, key string) int {
	num, _ := strconv.Atoi(spec.Get(key)) // a missing number is zero
	return num
}

// beat sends heartbeats until the life ends.
func (wrk *worker) beat(ctx context.Context, id string) {
	for seq := 1; ctx.Err() == nil; seq++ {
		wrk.mu.Lock()
		body, err := json.Marshal(map[string]any{
			"service": wrk.service, "address": wrk.addr, "zone": wrk.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": wrk.cpu, "memMb": 128000, "gpu": 0}, "labels": []string{"a", wrk.rack},
			"clockMs": wrk.clock(), "sequence": seq, "born": wrk.begun.UnixMilli(),
		})
		wrk.mu.Unlock()
		if err != nil {
			panic(err)
		}
		call(ctx, http.MethodPut, "http://"+wrk.agent+"/-/instances/"+id, "", body)
		pause(ctx, heartbeatPeriod)
	}
}

// tick advances the runs until the life ends.
func (wrk *worker) tick(ctx context.Context, id string) {
	for pause(ctx, tickTime) {
		wrk.mu.Lock()
		if wrk.id == id {
			wrk.advance()
		}
		wrk.mu.Unlock()
	}
}

func (wrk *worker) advance() {
	now := time.Now()
	for _, rn := range wrk.runs {
		rn.progress += tickTime * time.Duration(rn.pace) / 100
		work := time.Duration(number(rn.spec, "work")) * time.Millisecond
		switch {
		case wrk.clock() > wrk.leaseEnd:
			wrk.finish(rn, "lapsed")
		case !rn.stopAt.IsZero() && now.After(rn.stopAt):
			wrk.finish(rn, "stopped")
		case !rn.failAt.IsZero() && now.After(rn.failAt):
			wrk.finish(rn, "failed")
		case rn.spec.Has("gang"):
			if how := gangs.end(rn, now); how != "" {
				wrk.finish(rn, how)
			}
		case !rn.spec.Has("lasts") && rn.progress >= work:
			wrk.finish(rn, "done")
		}
	}
}

func (wrk *worker) finish(rn *run, how string) {
	delete(wrk.runs, rn.task)
	if rn.spec.Has("gang") {
		gangs.leave(rn, how)
	}
	wrk.highest[rn.task] = max(wrk.highest[rn.task], rn.number)
	wrk.lastEnd++
	wrk.ends = append(wrk.ends, endRow{wrk.lastEnd, rn.task, rn.number, how})
	wrk.rec.ended(wrk.id, rn.task, rn.number, how)
	close(wrk.changed)
	wrk.changed = make(chan struct{})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	Ticket       string
	UntilMs      int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int
	Percent      int
}

// handler serves one life of the worker.
func (wrk *worker) handler(id string) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/healthz" {
			return
		}
		var ord order
		if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		meant := req.Header.Get("X-Target-Instance") == id
		if meant && req.URL.Path == "/-/hold" {
			wrk.await(req.Context(), id, ord)
		}
		wrk.mu.Lock()
		defer wrk.mu.Unlock()
		if wrk.id != id {
			panic(http.ErrAbortHandler) // the life has ended
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if meant {
			status, body = wrk.obey(req.URL.Path, ord)
		}
		body["clockMs"], body["born"] = wrk.clock(), wrk.begun.UnixMilli()
		wrt.Header().Set("Content-Type", "application/json")
		wrt.WriteHeader(status)
		_ = json.NewEncoder(wrt).Encode(body) // the caller may have gone
	})
}

// await waits as a hold request asks: until there is an end to list, or for its time.
func (wrk *worker) await(ctx context.Context, id string, ord order) {
	tmr := time.NewTimer(time.Duration(min(ord.WaitMs, 2000)) * time.Millisecond)
	defer tmr.Stop()
	for {
		wrk.mu.Lock()
		if wrk.id != id {
			wrk.mu.Unlock()
			return
		}
		if ord.FencingToken >= wrk.token {
			wrk.token = ord.FencingToken
			wrk.renew(ord.UntilMs)
		}
		chn := wrk.changed
		listed := len(wrk.ends) > 0 && wrk.ends[len(wrk.ends)-1].number > ord.LastSeen
		wrk.mu.Unlock()
		if listed {
			return
		}
		select {
		case <-chn:
		case <-tmr.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (wrk *worker) renew(until int64) {
	wrk.leaseEnd = max(wrk.leaseEnd, min(until, wrk.clock()+holdMax.Milliseconds()))
}

// obey carries an order out. The lock is held.
func (wrk *worker) obey(path string, ord order) (int, map[string]any) {
	if ord.FencingToken < wrk.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	wrk.token = ord.FencingToken
	rn := wrk.runs[ord.Task]
	switch path {
	case "/-/run-start":
		return wrk.begin(ord)
	case "/-/run-stop":
		wrk.highest[ord.Task] = max(wrk.highest[ord.Task], ord.Run)
		if rn != nil && rn.number == ord.Run && rn.stopAt.IsZero() {
			rn.stopAt = time.Now().Add(stopTime)
			wrk.rec.notef("worker %s is told to stop %s run %d", wrk.id, ord.Task, ord.Run)
		}
		return http.StatusOK, map[string]any{}
	case "/-/pace":
		if rn != nil && rn.number == ord.Run {
			rn.pace = ord.Percent
		}
		return http.StatusOK, map[string]any{}
	case "/-/hold":
		return http.StatusOK, wrk.lists(ord)
	}
	return http.StatusNotFound, map[string]any{}
}

func (wrk *worker) begin(ord order) (int, map[string]any) {
	if rn := wrk.runs[ord.Task]; rn != nil && rn.number == ord.Run {
		return http.StatusOK, map[string]any{}
	}
	wrk.renew(ord.UntilMs)
	switch {
	case ord.Run <= wrk.highest[ord.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case ord.UntilMs < wrk.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case wrk.tickets != nil && !wrk.tickets(ord.Task, wrk.id, ord.Ticket):
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	spec, err := url.ParseQuery(ord.Spec)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	rn := &run{task: ord.Task, number: ord.Run, spec: spec, begun: time.Now(), pace: 100}
	if wrk.failing {
		rn.failAt = time.Now().Add(failTime)
	}
	wrk.runs[ord.Task] = rn
	if rn.spec.Has("gang") {
		gangs.join(rn)
	}
	wrk.rec.started(wrk.id, ord.Task, ord.Run)
	return http.StatusOK, map[string]any{}
}

// lists forgets the ends that were seen, and returns both lists.
func (wrk *worker) lists(ord order) map[string]any {
	for len(wrk.ends) > 0 && wrk.ends[0].number <= ord.LastSeen {
		wrk.ends = wrk.ends[1:]
	}
	running, ended := [][]any{}, [][]any{}
	for _, rn := range wrk.runs {
		running = append(running, []any{rn.task, rn.number, "", rn.percent(), wrk.figure(rn)})
	}
	for _, end := range wrk.ends[:min(listedEnds, len(wrk.ends))] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}

func (rn *run) percent() int {
	whole := time.Duration(number(rn.spec, "work")) * time.Millisecond
	if rn.spec.Has("lasts") {
		return int(min(100, 100*time.Since(rn.begun)/lastingStart))
	}
	return int(min(100, 100*rn.progress/max(1, whole)))
}

// figure returns the tail latency of a task that serves, and the processors in use of another.
func (wrk *worker) figure(rn *run) int {
	if !rn.spec.Has("serves") {
		return number(rn.spec, "cpu") * rn.pace / 100
	}
	load := float64(number(rn.spec, "serves")) / 100
	for _, oth := range wrk.runs {
		if wrk.disturbs && oth.spec.Has("fills") {
			load += float64(number(oth.spec, "fills")) / 100 * float64(oth.pace) / 100
		}
	}
	return int(unloadedTail / (1 - min(load, 0.98)))
}
