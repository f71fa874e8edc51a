package main

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"jacinthpost/io/control"
	"jacinthpost/platform/standin/rowstore"
)

const (
	shortestPause = 200 * time.Millisecond // between two faults
	longestPause  = 1200 * time.Millisecond
	longestFault  = 5 * time.Second
)

// breaker injects faults that overlap.
type breaker struct {
	fleet *fleet
	rnd   *rand.Rand
	mon   *monitor
	wait  sync.WaitGroup
	num   int
}

// span draws a time.
func (brk *breaker) span(least, most time.Duration) time.Duration {
	return least + time.Duration(brk.rnd.Int64N(int64(most-least)))
}

func (brk *breaker) process() *process {
	return brk.fleet.processes[brk.rnd.IntN(len(brk.fleet.processes))]
}

// run injects faults until the context ends, and waits until they are over.
func (brk *breaker) run(ctx context.Context) {
	kinds := []func(ctx context.Context){
		brk.kill, brk.kill, brk.freeze, brk.freeze, brk.terminate, brk.reload, brk.cut, brk.cut,
		brk.storeFault, brk.compact, brk.rebirth, brk.killMany, brk.evacuate,
	}
	for control.Pause(ctx, brk.span(shortestPause, longestPause)) == nil {
		brk.num++
		kinds[brk.rnd.IntN(len(kinds))](ctx)
	}
	brk.wait.Wait()
}

// later runs the end of a fault after a time, or when the context ends.
func (brk *breaker) later(ctx context.Context, dur time.Duration, end func()) {
	brk.wait.Go(func() {
		_ = control.Pause(ctx, dur) // at the end of the context every fault ends
		end()
	})
}

func (brk *breaker) restart(pro *process) {
	if err := pro.start(); err != nil {
		brk.mon.report("restart: %v", err)
	}
}

func (brk *breaker) kill(ctx context.Context) {
	pro := brk.process()
	pro.signal(syscall.SIGKILL)
	brk.later(ctx, brk.span(50*time.Millisecond, longestFault), func() { brk.restart(pro) })
}

// killMany kills all processes at once, as a loss of power does.
func (brk *breaker) killMany(ctx context.Context) {
	for _, pro := range brk.fleet.processes {
		pro.signal(syscall.SIGKILL)
	}
	brk.later(ctx, brk.span(50*time.Millisecond, time.Second), func() {
		for _, pro := range brk.fleet.processes {
			brk.restart(pro)
		}
	})
}

func (brk *breaker) freeze(ctx context.Context) {
	pro := brk.process()
	pro.signal(syscall.SIGSTOP)
	// Longer than a lease at times, so that runs must be given up and not come back.
	brk.later(ctx, brk.span(100*time.Millisecond, 2*longestFault), func() { pro.signal(syscall.SIGCONT) })
}

func (brk *breaker) terminate(ctx context.Context) {
	pro := brk.process()
	pro.signal(syscall.SIGTERM)
	brk.later(ctx, brk.span(time.Second, longestFault), func() {
		pro.ended(time.Second)
		brk.restart(pro)
	})
}

func (brk *breaker) reload(context.Context) { brk.process().signal(syscall.SIGHUP) }

func (brk *breaker) cut(ctx context.Context) {
	pro := brk.process()
	pro.gate.mode.Store([...]int32{gateHangs, gateResets}[brk.rnd.IntN(2)])
	brk.later(ctx, brk.span(200*time.Millisecond, 2*longestFault), func() { pro.gate.mode.Store(gateOpen) })
}

func (brk *breaker) storeFault(ctx context.Context) {
	brk.fleet.rows.SetFault([...]rowstore.Fault{rowstore.Busy, rowstore.LoseAnswer, rowstore.Hang}[brk.rnd.IntN(3)])
	brk.later(ctx, brk.span(200*time.Millisecond, longestFault), func() { brk.fleet.rows.SetFault(rowstore.None) })
}

func (brk *breaker) compact(context.Context) { brk.fleet.rows.Compact() }

func (brk *breaker) rebirth(context.Context) {
	brk.fleet.workers[brk.rnd.IntN(len(brk.fleet.workers))].Reborn()
}

func (brk *breaker) evacuate(ctx context.Context) {
	name := "evacuate/" + zoneOf(brk.rnd.IntN(2))
	brk.fleet.rows.Put("op", "", name, base64.StdEncoding.EncodeToString([]byte("{}")))
	brk.later(ctx, brk.span(time.Second, longestFault), func() { brk.fleet.rows.Put("op", "", name, "") })
}
