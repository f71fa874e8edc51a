package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
)

const (
	latencyBound = 3.0 // times the direct call's median
	// latencyPorts keeps the processes apart from those of scripts/demo.
	latencyPorts = 6000
	// serviceTime is short, so that the overhead of the path isn't hidden by the work.
	serviceTime = "1ms"
	latencyRuns = 3
	warmUp      = 200
)

// measureLatency compares requests through entry and agent with direct calls to
// the same endpoint, alternating in one run, with real processes on loopback.
func measureLatency(rep *report, opt options) error {
	return inScratch("latency", 3*time.Minute, false, func(ctx context.Context, scr scratch) error {
		return compareLatencies(ctx, rep, scr, opt)
	})
}

func compareLatencies(ctx context.Context, rep *report, scr scratch, opt options) error {
	fle, err := scr.start(ctx, "latency", harness.Options{
		Deployment: "sen-vang", PortOffset: latencyPorts, EndpointArgs: []string{"--service-time", serviceTime},
	})
	if err != nil {
		return err
	}
	defer fle.Stop()
	calls := 3000
	if opt.quick {
		calls = 300
	}
	for _, callers := range []int{1, 8, 64} {
		if err := compareLatency(ctx, rep, fle, callers, calls); err != nil {
			return err
		}
	}
	return nil
}

// compareLatency reports the median of several alternating runs.
func compareLatency(ctx context.Context, rep *report, fle *harness.Fleet, callers, calls int) error {
	var direct, routed []time.Duration
	for range latencyRuns {
		one, err := timeCalls(callers, calls, func(num int) error { return fle.Direct(ctx, fle.Instances()[0], num) })
		if err != nil {
			return errors.Wrap(err, "direct call")
		}
		two, err := timeCalls(callers, calls, func(num int) error {
			env, err := fle.Request(ctx, 0, fmt.Sprintf("bench %d", num), "", true, 10*time.Second)
			if err == nil && env.Outcome != "answered" {
				err = errors.Errorf("%s %s %s", env.Outcome, env.Reason, env.Detail)
			}
			return err
		})
		if err != nil {
			return errors.Wrap(err, "routed call")
		}
		direct = append(direct, one...)
		routed = append(routed, two...)
	}
	slices.Sort(direct)
	slices.Sort(routed)
	name := fmt.Sprintf("latency.%d-callers", callers)
	rep.value(name+".direct.median", millisOf(direct, 50), "ms")
	rep.value(name+".direct.p99", millisOf(direct, 99), "ms")
	rep.value(name+".routed.median", millisOf(routed, 50), "ms")
	rep.value(name+".routed.p99", millisOf(routed, 99), "ms")
	rep.atMost(name+".median-ratio", millisOf(routed, 50)/millisOf(direct, 50), latencyBound, "times")
	return nil
}

func millisOf(sorted []time.Duration, percent int) float64 {
	return float64(sorted[(len(sorted)-1)*percent/100].Microseconds()) / 1000
}

// timeCalls makes the calls from a number of callers and returns their times without the warm-up.
func timeCalls(callers, calls int, call func(num int) error) ([]time.Duration, error) {
	var mu sync.Mutex
	var times []time.Duration
	var failed error
	var wgr sync.WaitGroup
	for caller := range callers {
		wgr.Go(func() {
			for num := caller; num < calls+warmUp; num += callers {
				begun := time.Now()
				err := call(num)
				took := time.Since(begun)
				mu.Lock()
				if err != nil {
					failed = err
				}
				if num >= warmUp {
					times = append(times, took)
				}
				mu.Unlock()
			}
		})
	}
	wgr.Wait()
	return times, failed
}
