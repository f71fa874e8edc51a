package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of the deployment, from the site file senvang-catalog.
const (
	holdMax     = 10 * time.Second
	stopTimeout = 300 * time.Millisecond // at most stopTimeoutMs, 900
	gangTimeout = 3 * time.Second
	firstClock  = 100 * time.Second // reading of a worker's clock when it starts
	listedEnds  = 500
	beatPeriod  = 500 * time.Millisecond
	saveEvery   = 400 * time.Millisecond // of work, between two checkpoints
)

// taskName is the parsed name of a task.
type taskName struct {
	job             string
	occ, step, item int
}

func parseTask(name string) (taskName, bool) {
	els := strings.Split(name, ".")
	if len(els) != 4 {
		return taskName{}, false
	}
	var nums [3]int
	for pos, elm := range els[1:] {
		num, err := strconv.Atoi(elm)
		if err != nil {
			return taskName{}, false
		}
		nums[pos] = num
	}
	return taskName{els[0], nums[0], nums[1], nums[2]}, true
}

// taskRun is a run on a worker.
type taskRun struct {
	name       string
	id         taskName
	run        int
	step       stepDef
	began      time.Time // of the work; zero while a gang is incomplete
	arrived    time.Time
	base       time.Duration // work that the checkpoint carried
	saved      string
	stopAt     time.Time
	willFail   bool
	checkpoint string // of the start
}

type taskEnd struct {
	seq    uint64
	name   string
	run    int
	how    string
	saved  string
	lapses int
}

// worker is a stand-in of a worker, with one incarnation at a time. The world's lock guards it.
type worker struct {
	wld     *world
	machine string
	control string   // address of its agent for heartbeats
	process *process // its agent
	zone    string
	cpu     int
	memMB   int

	id        string
	up        bool
	begun     time.Time
	born      int64
	sequence  uint64
	token     uint64
	leaseEnd  time.Duration
	lapses    int
	lapsed    bool
	runs      map[string]*taskRun
	highest   map[string]int
	ends      []taskEnd
	endSeq    uint64
	draining  bool
	drainAck  time.Time
	leaving   bool
	lateShare float64 // of the orders, which get no answer and are carried out later
	conns     []net.Conn
	changed   chan struct{}
	beatAt    time.Time
}

type bornKey struct{}

func (wrk *worker) serve(ctx context.Context, addr string) error {
	lsn, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: wrk, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, con net.Conn) context.Context {
		wrk.wld.mu.Lock()
		defer wrk.wld.mu.Unlock()
		if !wrk.up {
			_ = con.Close()
		}
		wrk.conns = append(wrk.conns, con)
		return context.WithValue(ctx, bornKey{}, wrk.born)
	}}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(lsn) }() // ends when the server is closed
	return nil
}

// begin starts an incarnation. The world's lock is held.
func (wrk *worker) begin(id string) {
	wrk.id, wrk.up, wrk.begun = id, true, time.Now()
	wrk.born = max(wrk.born+1, wrk.begun.UnixMilli())
	wrk.sequence, wrk.token, wrk.leaseEnd, wrk.lapses, wrk.lapsed = 0, 0, 0, 0, true
	wrk.runs, wrk.highest, wrk.ends, wrk.endSeq = make(map[string]*taskRun), make(map[string]int), nil, 0
	wrk.draining, wrk.drainAck, wrk.leaving = false, time.Time{}, false
	wrk.beatAt = time.Now().Add(100 * time.Millisecond)
	wrk.wld.note("worker %s begins as %s@%d", wrk.machine, wrk.id, wrk.born)
}

// crash ends the incarnation and all that runs on it. The world's lock is held.
func (wrk *worker) crash() {
	wrk.wld.note("worker %s (%s@%d) ends with %d runs", wrk.machine, wrk.id, wrk.born, len(wrk.runs))
	for _, name := range sortedKeys(wrk.runs) {
		rn := wrk.runs[name]
		if rn == nil {
			continue // ended with its gang
		}
		delete(wrk.runs, name)
		wrk.wld.gone(wrk, rn)
		if rn.step.Gang && !rn.began.IsZero() {
			wrk.endOthers(rn, "broken")
		}
	}
	wrk.up = false
	for _, con := range wrk.conns {
		_ = con.Close()
	}
	wrk.conns = nil
	wrk.wake()
}

func (wrk *worker) clock() time.Duration { return firstClock + time.Since(wrk.begun) }

func (wrk *worker) wake() {
	if wrk.changed != nil {
		close(wrk.changed)
		wrk.changed = nil
	}
}

func (wrk *worker) renew(until time.Duration) {
	wrk.leaseEnd = max(wrk.leaseEnd, min(until, wrk.clock()+holdMax))
	if wrk.leaseEnd > wrk.clock() {
		wrk.lapsed = false
	}
}

// work returns the work that a run has done.
func (rn *taskRun) work() time.Duration {
	if rn.began.IsZero() {
		return rn.base
	}
	return rn.base + time.Since(rn.began)
}

// advance ends what is over. The world's lock is held.
func (wrk *worker) advance() {
	if !wrk.up {
		return
	}
	if wrk.clock() > wrk.leaseEnd && !wrk.lapsed {
		wrk.lapsed = true
		wrk.lapses++
		wrk.wld.note("lease of %s lapses with %d runs", wrk.id, len(wrk.runs))
	}
	for _, name := range sortedKeys(wrk.runs) {
		rn := wrk.runs[name]
		if rn == nil {
			continue // ended with its gang
		}
		if rn.step.Gang && rn.began.IsZero() {
			wrk.wld.gather(rn)
		}
		if rn.step.saves && !rn.began.IsZero() {
			if num := int(rn.work() / saveEvery); num > 0 {
				rn.saved = wrk.wld.save(rn, time.Duration(num)*saveEvery)
			}
		}
		switch {
		case !rn.stopAt.IsZero() && !time.Now().Before(rn.stopAt):
			if rn.step.saves && !rn.began.IsZero() {
				rn.saved = wrk.wld.save(rn, rn.work())
			}
			wrk.finish(rn, "stopped")
		case wrk.lapsed:
			wrk.finish(rn, "lapsed")
		case rn.step.Gang && rn.began.IsZero():
			if time.Since(rn.arrived) > gangTimeout {
				wrk.finish(rn, "alone")
			}
		case !rn.step.LongRunning && rn.work() >= rn.step.length && rn.willFail:
			wrk.finish(rn, "failed")
		case !rn.step.LongRunning && rn.work() >= rn.step.length:
			wrk.finish(rn, "done")
		}
	}
}

// finish ends a run, and the other members of its gang. The world's lock is held.
func (wrk *worker) finish(rn *taskRun, how string) {
	wrk.list(rn, how)
	if !rn.step.Gang {
		return
	}
	rest := "broken"
	if how == "done" {
		rest = "done"
	}
	wrk.endOthers(rn, rest)
}

// endOthers ends the other members of a gang that works.
func (wrk *worker) endOthers(rn *taskRun, rest string) {
	for _, oth := range wrk.wld.workers {
		for _, name := range sortedKeys(oth.runs) {
			mem := oth.runs[name]
			if mem.id.job == rn.id.job && mem.id.occ == rn.id.occ && mem.id.step == rn.id.step && mem.run == rn.run && !mem.began.IsZero() {
				oth.list(mem, rest)
			}
		}
	}
}

func (wrk *worker) list(rn *taskRun, how string) {
	delete(wrk.runs, rn.name)
	wrk.endSeq++
	wrk.ends = append(wrk.ends, taskEnd{wrk.endSeq, rn.name, rn.run, how, rn.saved, wrk.lapses})
	wrk.highest[rn.name] = max(wrk.highest[rn.name], rn.run)
	wrk.wld.ended(wrk, rn, how)
	wrk.wake()
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (wrk *worker) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	var ord order
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	mu := &wrk.wld.mu
	mu.Lock()
	receiver, _ := req.Context().Value(bornKey{}).(int64)
	if !wrk.up || receiver != wrk.born {
		mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	target := req.Header.Get("X-Target-Instance")
	if wrk.wld.staysUnanswered(wrk, req.URL.Path, ord.Task) {
		wrk.postpone(req.URL.Path, target, ord)
		mu.Unlock()
		<-req.Context().Done()
		return
	}
	wrk.advance()
	status, body := wrk.apply(req.URL.Path, target, ord)
	if req.URL.Path == "/-/hold" && status == http.StatusOK {
		body = wrk.awaitEnd(req.Context(), body, time.Duration(ord.WaitMs)*time.Millisecond)
		if body == nil || !wrk.up || receiver != wrk.born {
			mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	if body == nil {
		body = make(map[string]any)
	}
	body["clockMs"] = wrk.clock().Milliseconds()
	mu.Unlock()
	respond(wrt, status, body)
}

// staysUnanswered reports whether an order gets no answer. The lock is held.
func (wld *world) staysUnanswered(wrk *worker, path, task string) bool {
	if path == "/-/hold" {
		return false
	}
	wld.orders++
	if path == "/-/run-start" && wld.unlucky[task] > 0 {
		wld.unlucky[task]--
		wld.unanswered++
		wld.unluckyAt[task] = wrk
		return true
	}
	return rand.Float64() < wrk.lateShare
}

// setUnlucky makes the first starts of a task get no answer. The lock is held.
func (wld *world) setUnlucky(task string) {
	if wld.unlucky == nil {
		wld.unlucky, wld.unluckyAt = make(map[string]int), make(map[string]*worker)
	}
	wld.unlucky[task] = unluckyTries
	wld.note("the first %d starts of %s get no answer", unluckyTries, task)
}

// postpone carries an order out later, as applied_late does. The world's lock is held.
func (wrk *worker) postpone(path, target string, ord order) {
	born, wait := wrk.born, 2*time.Second+rand.N(10*time.Second)
	wrk.wld.note("worker %s leaves %s %s run %d unanswered for %s", wrk.id, path, ord.Task, ord.Run, wait.Round(time.Millisecond))
	time.AfterFunc(wait, func() {
		wrk.wld.mu.Lock()
		defer wrk.wld.mu.Unlock()
		if !wrk.up || wrk.born != born {
			return
		}
		wrk.wld.late = true
		status, body := wrk.apply(path, target, ord)
		wrk.wld.late = false
		wrk.wld.note("worker %s carries out late %s %s run %d: %d %v", wrk.id, path, ord.Task, ord.Run, status, body["reason"])
	})
}

// awaitEnd waits until the worker lists an end, and returns its lists, nil if the caller is gone. It gives the world's
// lock away meanwhile.
func (wrk *worker) awaitEnd(ctx context.Context, body map[string]any, wait time.Duration) map[string]any {
	born, deadline := wrk.born, time.Now().Add(wait)
	for len(body["ended"].([][]any)) == 0 && time.Now().Before(deadline) && wrk.born == born && wrk.up {
		if wrk.changed == nil {
			wrk.changed = make(chan struct{})
		}
		chn := wrk.changed
		wrk.wld.mu.Unlock()
		select {
		case <-chn:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
		}
		wrk.wld.mu.Lock()
		if ctx.Err() != nil {
			return nil
		}
		wrk.advance()
		body = wrk.lists()
	}
	return body
}

// apply carries out an order. The world's lock is held.
func (wrk *worker) apply(path, target string, ord order) (int, map[string]any) {
	if target != wrk.id {
		return http.StatusMisdirectedRequest, nil
	}
	if ord.FencingToken < wrk.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	wrk.token = ord.FencingToken
	switch path {
	case "/-/run-start":
		return wrk.start(ord)
	case "/-/run-stop":
		wrk.highest[ord.Task] = max(wrk.highest[ord.Task], ord.Run)
		if rn := wrk.runs[ord.Task]; rn != nil && rn.run <= ord.Run && rn.stopAt.IsZero() {
			rn.stopAt = time.Now().Add(rand.N(stopTimeout))
		}
		return http.StatusOK, nil
	case "/-/hold":
		wrk.renew(time.Duration(ord.UntilMs) * time.Millisecond)
		wrk.advance()
		for len(wrk.ends) > 0 && wrk.ends[0].seq <= ord.LastSeen {
			if end := wrk.ends[0]; end.lapses == wrk.lapses {
				wrk.wld.noted(wrk, end)
			} else {
				wrk.wld.note("%s run %d: end %s on %s is read after a lapse", end.name, end.run, end.how, wrk.id)
			}
			wrk.ends = wrk.ends[1:]
		}
		return http.StatusOK, wrk.lists()
	case "/-/pace":
		return http.StatusOK, nil
	default:
		return http.StatusNotFound, nil
	}
}

func (wrk *worker) lists() map[string]any {
	runs, ends := [][]any{}, [][]any{}
	for _, name := range sortedKeys(wrk.runs) {
		rn := wrk.runs[name]
		pct := 0
		if length := max(time.Millisecond, rn.step.length); !rn.began.IsZero() {
			pct = int(min(100, 100*rn.work()/length))
		}
		fig := float64(rn.step.CPU)
		if rn.step.TargetMs > 0 {
			fig = 2
		}
		runs = append(runs, []any{name, rn.run, rn.saved, pct, fig})
	}
	for _, end := range wrk.ends[:min(listedEnds, len(wrk.ends))] {
		ends = append(ends, []any{end.seq, end.name, end.run, end.how, end.saved})
	}
	return map[string]any{"born": wrk.born, "running": runs, "ended": ends}
}

func (wrk *worker) start(ord order) (int, map[string]any) {
	wrk.renew(time.Duration(ord.UntilMs) * time.Millisecond)
	wrk.advance()
	if rn := wrk.runs[ord.Task]; rn != nil && rn.run == ord.Run {
		return http.StatusOK, nil
	}
	if ord.Run <= wrk.highest[ord.Task] || wrk.runs[ord.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if time.Duration(ord.UntilMs)*time.Millisecond <= wrk.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	rn := &taskRun{name: ord.Task, run: ord.Run, arrived: time.Now(), checkpoint: ord.Checkpoint, saved: ord.Checkpoint}
	if !wrk.wld.started(wrk, rn, ord) {
		return http.StatusBadRequest, nil
	}
	wrk.runs[ord.Task] = rn
	if !rn.step.Gang {
		rn.began = time.Now()
	}
	return http.StatusOK, nil
}

// beat sends heartbeats until the context ends.
func (wrk *worker) beat(ctx context.Context) {
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tkr := time.NewTicker(20 * time.Millisecond)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
		wrk.wld.mu.Lock()
		if !wrk.up || time.Now().Before(wrk.beatAt) {
			wrk.wld.mu.Unlock()
			continue
		}
		wrk.beatAt = time.Now().Add(beatPeriod)
		wrk.sequence++
		state, born, id := "ready", wrk.born, wrk.id
		body := map[string]any{
			"service": serviceName, "address": "127.0.0.1:80", "zone": wrk.zone, "version": "v1", "slots": 8, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": wrk.cpu, "memMb": wrk.memMB, "gpu": 0}, "labels": []string{"a", "r-" + wrk.zone},
			"clockMs": wrk.clock().Milliseconds(), "sequence": wrk.sequence, "born": born,
		}
		leaving := wrk.leaving
		if wrk.draining {
			state = "draining"
			body["remainingMs"] = 2500
		}
		body["state"] = state
		wrk.wld.mu.Unlock()
		data, _ := json.Marshal(body) // strings and numbers only
		method := http.MethodPut
		if leaving {
			method, data = http.MethodDelete, nil
		}
		req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/-/instances/%s", wrk.control, id), bytes.NewReader(data))
		if err != nil {
			continue
		}
		rsp, err := cli.Do(req)
		good := err == nil && rsp.StatusCode/100 == 2
		if err == nil {
			_ = rsp.Body.Close()
		}
		wrk.wld.mu.Lock()
		if wrk.born == born && wrk.up {
			if good && state == "draining" && wrk.drainAck.IsZero() {
				wrk.drainAck = time.Now()
				wrk.wld.note("worker %s: draining is acknowledged", wrk.id)
			}
			if leaving {
				wrk.crash()
			}
		}
		wrk.wld.mu.Unlock()
	}
}

func respond(wrt http.ResponseWriter, status int, body map[string]any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	if body == nil {
		body = make(map[string]any)
	}
	_ = json.NewEncoder(wrt).Encode(body) // the caller may be gone
}

func sortedKeys[V any](mp map[string]V) []string {
	keys := make([]string, 0, len(mp))
	for key := range mp {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
