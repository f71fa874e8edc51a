package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

// Values of the small deployment in SYSTEM.md, and of PROTOCOL.md.
const (
	heartbeat      = 1100 * time.Millisecond
	holdMax        = 10 * time.Second
	checkpointTime = time.Second
	stopTime       = 50 * time.Millisecond // at most stopTimeoutMs, 900
	maxListedEnds  = 500                   // "The others are returned again (500 at a time)."
	advancePeriod  = 5 * time.Millisecond
	clockOffset    = 1000 // of a worker's clock at its start, in ms
)

// work is what the spec of a job tells the stand-in of a worker.
type work struct {
	WorkMS      int  `json:"workMs"`
	SpreadMS    int  `json:"spreadMs"` // a task takes up to this longer, by its name
	Checkpoints bool `json:"checkpoints"`
}

// Spec returns the spec of a job whose tasks take a time, and up to spread longer.
func Spec(tim, spread time.Duration, checkpoints bool) string {
	data, err := json.Marshal(work{int(tim.Milliseconds()), int(spread.Milliseconds()), checkpoints})
	if err != nil {
		panic(err)
	}
	return string(data)
}

type run struct {
	number   int
	started  time.Time
	takes    time.Duration
	saves    bool
	stopping time.Time // zero if it isn't being stopped
}

func (rn *run) checkpoint() string {
	num := int(time.Since(rn.started) / checkpointTime)
	if !rn.saves || num == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", num)
}

type ending struct {
	seq      int
	task     string
	run      int
	how      string
	saved    string
	lapses   int // of the lease before it
	recorded *RunRecord
}

// Worker is the stand-in of a worker. A new life begins with Start.
type Worker struct {
	Name      string
	Zone      string
	App       string        // its address
	Control   string        // address of its agent
	FirstBeat time.Duration // from its start to its first heartbeat

	record  *Record
	monitor *Monitor
	mu      sync.Mutex
	life    int
	id      string
	born    int64
	begun   time.Time
	token   uint64
	lease   int64
	lapses  int
	lapsed  bool
	runs    map[string]*run
	records map[string]*RunRecord
	highest map[string]int
	ends    []ending
	endSeq  int
	beats   int
	stop    context.CancelFunc
}

// Start begins a life of the worker under a new id.
func (wrk *Worker) Start() error { return wrk.start(false) }

// StartAgain begins a life of the worker under the id that it had.
func (wrk *Worker) StartAgain() error { return wrk.start(true) }

func (wrk *Worker) start(sameID bool) error {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	wrk.life++
	if !sameID {
		wrk.id = fmt.Sprintf("i-%s-%d", wrk.Name, wrk.life)
	}
	wrk.begun, wrk.born = time.Now(), time.Now().UnixMilli()
	wrk.token, wrk.lease, wrk.lapses, wrk.lapsed = 0, 0, 0, true
	wrk.runs, wrk.records, wrk.highest = make(map[string]*run), make(map[string]*RunRecord), make(map[string]int)
	wrk.ends, wrk.endSeq, wrk.beats = nil, 0, 0
	lsn, err := net.Listen("tcp", wrk.App)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	wrk.stop = stop
	srv := &http.Server{Handler: wrk, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lsn) }() // ends when the server is closed
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go wrk.every(ctx, advancePeriod, func() { wrk.locked(wrk.advance) })
	go func() {
		time.Sleep(wrk.FirstBeat)
		wrk.every(ctx, heartbeat, func() { wrk.beat(ctx) })
	}()
	wrk.record.Add("worker %s: up as %s", wrk.Name, wrk.id)
	return nil
}

// Crash ends the life: all runs are gone at once and nothing is sent.
func (wrk *Worker) Crash() {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	if wrk.stop == nil {
		return
	}
	wrk.stop()
	wrk.stop = nil
	for task := range wrk.runs {
		wrk.monitor.Ended(wrk.records[task], "gone")
	}
	wrk.record.Add("worker %s: crash with %d runs", wrk.Name, len(wrk.runs))
	wrk.runs = nil
}

// Running returns the number of runs.
func (wrk *Worker) Running() int {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	return len(wrk.runs)
}

// Ends returns the number of ends that are listed, which the agent has not let the worker forget.
func (wrk *Worker) Ends() int {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	return len(wrk.ends)
}

func (wrk *Worker) locked(fun func()) {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	fun()
}

func (wrk *Worker) every(ctx context.Context, period time.Duration, fun func()) {
	tkr := time.NewTicker(period)
	defer tkr.Stop()
	for {
		fun()
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}

func (wrk *Worker) clock() int64 { return clockOffset + time.Since(wrk.begun).Milliseconds() }

// advance ends the runs that are done or stopped, and all if the lease has expired.
func (wrk *Worker) advance() {
	if wrk.stop == nil {
		return
	}
	lapsed := wrk.clock() > wrk.lease
	if lapsed && !wrk.lapsed {
		wrk.lapses++
		wrk.record.Add("worker %s: lease lapsed with %d runs", wrk.Name, len(wrk.runs))
	}
	wrk.lapsed = lapsed
	for task, rn := range wrk.runs {
		switch {
		case lapsed:
			wrk.end(task, rn, "lapsed")
		case time.Since(rn.started) >= rn.takes:
			wrk.end(task, rn, "done")
		case !rn.stopping.IsZero() && time.Since(rn.stopping) >= stopTime:
			wrk.end(task, rn, "stopped")
		}
	}
}

func (wrk *Worker) end(task string, rn *run, how string) {
	delete(wrk.runs, task)
	wrk.highest[task] = max(wrk.highest[task], rn.number)
	wrk.endSeq++
	wrk.ends = append(wrk.ends, ending{wrk.endSeq, task, rn.number, how, rn.checkpoint(), wrk.lapses, wrk.records[task]})
	wrk.monitor.Ended(wrk.records[task], how)
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     int    `json:"lastSeen"`
	WaitMS       int    `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (wrk *Worker) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	var ord order
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	wrk.mu.Lock()
	other := req.Header.Get("X-Target-Instance") != wrk.id
	fenced := !other && ord.FencingToken < wrk.token
	if !other && !fenced {
		wrk.token = ord.FencingToken
	}
	wrk.mu.Unlock()
	switch {
	case other:
		wrk.answer(wrt, http.StatusMisdirectedRequest, nil)
	case fenced:
		wrk.answer(wrt, http.StatusConflict, map[string]any{"reason": "fence"})
	case req.URL.Path == "/-/run-start":
		wrk.mu.Lock()
		status, reason := wrk.startRun(ord)
		wrk.mu.Unlock()
		if reason != "" {
			wrk.answer(wrt, status, map[string]any{"reason": reason})
			return
		}
		wrk.answer(wrt, status, nil)
	case req.URL.Path == "/-/run-stop":
		wrk.mu.Lock()
		wrk.highest[ord.Task] = max(wrk.highest[ord.Task], ord.Run)
		if rn := wrk.runs[ord.Task]; rn != nil && rn.number <= ord.Run && rn.stopping.IsZero() {
			rn.stopping = time.Now()
		}
		wrk.mu.Unlock()
		wrk.answer(wrt, http.StatusOK, nil)
	case req.URL.Path == "/-/hold":
		wrk.hold(wrt, req, ord)
	case req.URL.Path == "/-/pace":
		wrk.answer(wrt, http.StatusOK, nil)
	default:
		wrt.WriteHeader(http.StatusNotFound)
	}
}

func (wrk *Worker) answer(wrt http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = make(map[string]any)
	}
	wrk.mu.Lock()
	body["clockMs"], body["born"] = wrk.clock(), wrk.born
	wrk.mu.Unlock()
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body) // the agent may have left
}

// renew applies a lease: it never shortens, and is at most holdMax long.
func (wrk *Worker) renew(until int64) {
	wrk.advance()
	wrk.lease = max(wrk.lease, min(until, wrk.clock()+holdMax.Milliseconds()))
	wrk.lapsed = wrk.clock() > wrk.lease
}

func (wrk *Worker) startRun(ord order) (status int, reason string) {
	late := ord.UntilMS < wrk.clock()
	wrk.renew(ord.UntilMS)
	old := wrk.runs[ord.Task]
	switch {
	case old != nil && old.number == ord.Run:
		return http.StatusOK, ""
	case old != nil || ord.Run <= wrk.highest[ord.Task]:
		return http.StatusConflict, "old"
	case late:
		return http.StatusConflict, "late"
	}
	var wor work
	if json.Unmarshal([]byte(ord.Spec), &wor) != nil {
		return http.StatusBadRequest, "spec"
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(ord.Task))
	takes := wor.WorkMS
	if wor.SpreadMS > 0 {
		takes += int(sum.Sum32() % uint32(wor.SpreadMS))
	}
	wrk.runs[ord.Task] = &run{number: ord.Run, started: time.Now(), takes: time.Duration(takes) * time.Millisecond, saves: wor.Checkpoints}
	wrk.records[ord.Task] = wrk.monitor.Started(wrk.Name, ord.Task, ord.Run)
	return http.StatusOK, ""
}

func (wrk *Worker) hold(wrt http.ResponseWriter, req *http.Request, ord order) {
	over := time.Now().Add(time.Duration(ord.WaitMS) * time.Millisecond)
	tkr := time.NewTicker(advancePeriod)
	defer tkr.Stop()
	wrk.locked(func() { wrk.applyHold(ord) })
	for {
		body, ended := wrk.listing()
		if ended || !time.Now().Before(over) {
			wrk.answer(wrt, http.StatusOK, body)
			return
		}
		select {
		case <-tkr.C:
		case <-req.Context().Done():
			return
		}
	}
}

// applyHold renews the lease and forgets the ends up to lastSeen, once, when the call arrives.
func (wrk *Worker) applyHold(ord order) {
	wrk.renew(ord.UntilMS)
	for len(wrk.ends) > 0 && wrk.ends[0].seq <= ord.LastSeen {
		if end := wrk.ends[0]; end.lapses == wrk.lapses {
			wrk.monitor.Noted(end.recorded)
		}
		wrk.ends = wrk.ends[1:]
	}
}

// listing returns all runs and the first ends that the agent has not let go, and whether there are ends.
func (wrk *Worker) listing() (map[string]any, bool) {
	wrk.mu.Lock()
	defer wrk.mu.Unlock()
	wrk.advance()
	running, ended := [][]any{}, [][]any{}
	for task, rn := range wrk.runs {
		running = append(running, []any{task, rn.number, rn.checkpoint(), int(100 * time.Since(rn.started) / rn.takes), 100})
	}
	for _, end := range wrk.ends[:min(maxListedEnds, len(wrk.ends))] {
		ended = append(ended, []any{end.seq, end.task, end.run, end.how, end.saved})
	}
	return map[string]any{"running": running, "ended": ended}, len(ended) > 0
}

func (wrk *Worker) beat(ctx context.Context) {
	wrk.mu.Lock()
	wrk.beats++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": wrk.App, "zone": wrk.Zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0}, "labels": []string{"a", "r-" + wrk.Zone},
		"clockMs": wrk.clock(), "sequence": wrk.beats, "born": wrk.born,
	})
	target := "http://" + wrk.Control + "/-/instances/" + wrk.id
	wrk.mu.Unlock()
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return // the agent may be away
	}
	_ = rsp.Body.Close()
}
