package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
)

const (
	fleetDeadline = 1500 * time.Millisecond
	// callPauses keeps a caller whose calls fail at once from calling without end.
	callPauses = 5 * time.Millisecond
	// callMost bounds the calls of one load.
	callMost = 60_000
)

// call is one request and what became of it.
type call struct {
	body    string
	begun   time.Time
	took    time.Duration
	outcome string
	reason  string
	served  time.Duration // at the endpoint, as it says
}

func (cal call) inAll() time.Duration { return cal.took }

func (cal call) atEndpoint() time.Duration { return cal.served }

// requestLoad sends requests from several callers, in turn through both entries.
// Each caller waits for its answer.
type requestLoad struct {
	fleet      *harness.Fleet
	idempotent bool
	mu         sync.Mutex
	calls      []call
	next       int
	group      sync.WaitGroup
	cancel     context.CancelFunc
}

// startLoad starts the callers.
func startLoad(ctx context.Context, fle *harness.Fleet, callers int, idempotent bool) *requestLoad {
	lod := &requestLoad{fleet: fle, idempotent: idempotent}
	ctx, lod.cancel = context.WithCancel(ctx)
	for caller := range callers {
		lod.group.Go(func() {
			for num, left := lod.number(); left; num, left = lod.number() {
				lod.send(ctx, caller%len(fle.Entries()), num)
				if control.Pause(ctx, callPauses) != nil {
					return
				}
			}
		})
	}
	return lod
}

func (lod *requestLoad) number() (int, bool) {
	lod.mu.Lock()
	defer lod.mu.Unlock()
	lod.next++
	return lod.next, lod.next <= callMost
}

func (lod *requestLoad) send(ctx context.Context, ent, num int) {
	cal := call{body: fmt.Sprint("request ", num), begun: time.Now()}
	// A call in progress is not cut off when the load stops.
	env, err := lod.fleet.Request(context.WithoutCancel(ctx), ent, cal.body, "", lod.idempotent, fleetDeadline)
	cal.took, cal.outcome, cal.reason = time.Since(cal.begun), env.Outcome, env.Reason
	cal.served = time.Duration(env.Body.ServiceMicros) * time.Microsecond
	if err != nil {
		cal.outcome = "error"
	}
	if cal.outcome == "answered" && env.Body.Body != cal.body {
		cal.outcome = "wrong answer"
	}
	lod.mu.Lock()
	defer lod.mu.Unlock()
	lod.calls = append(lod.calls, cal)
}

// stop waits for the calls in progress.
func (lod *requestLoad) stop() {
	lod.cancel()
	lod.group.Wait()
}

// during returns the calls that began in a window.
func (lod *requestLoad) during(win window) []call {
	lod.mu.Lock()
	defer lod.mu.Unlock()
	var part []call
	for _, cal := range lod.calls {
		if !cal.begun.Before(win.from) && cal.begun.Before(win.until) {
			part = append(part, cal)
		}
	}
	return part
}

// timesOf returns times of answered calls in order.
func timesOf(calls []call, read func(call) time.Duration) []time.Duration {
	var times []time.Duration
	for _, cal := range calls {
		if cal.outcome == "answered" {
			times = append(times, read(cal))
		}
	}
	slices.Sort(times)
	return times
}

// tails are 99th percentiles in milliseconds.
type tails struct{ whole, served float64 }

// reportCalls prints the latencies and the calls that were not answered.
func reportCalls(rep *report, name string, calls []call) tails {
	whole, served := timesOf(calls, call.inAll), timesOf(calls, call.atEndpoint)
	rep.value(name+".requests", float64(len(whole)), "answered")
	rep.value(name+".requests-not-answered", float64(len(calls)-len(whole)), "requests")
	if len(whole) == 0 {
		return tails{}
	}
	rep.value(name+".p50", millisOf(whole, 50), "ms")
	rep.value(name+".p99", millisOf(whole, 99), "ms")
	rep.value(name+".service-time.p50", millisOf(served, 50), "ms")
	rep.value(name+".service-time.p99", millisOf(served, 99), "ms")
	return tails{whole: millisOf(whole, 99), served: millisOf(served, 99)}
}
