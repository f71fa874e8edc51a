package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"jacinthpost/io/control"
	"jacinthpost/platform/standin/deployment"
	"jacinthpost/platform/standin/rowstore"
)

const (
	shortestPause = 200 * time.Millisecond // between two faults
	longestPause  = 1200 * time.Millisecond
	longestFault  = 5 * time.Second
)

// injector injects faults that overlap.
type injector struct {
	fleet *fleet
	rnd   *rand.Rand
	mon   *monitor
	wait  sync.WaitGroup
	num   int
}

// span draws a time.
func (inj *injector) span(least, most time.Duration) time.Duration {
	return least + time.Duration(inj.rnd.Int64N(int64(most-least)))
}

func (inj *injector) process() *process {
	return inj.fleet.processes[inj.rnd.IntN(len(inj.fleet.processes))]
}

// run injects faults until the context ends, and waits until they are over.
func (inj *injector) run(ctx context.Context) {
	kinds := []func(ctx context.Context){
		inj.kill, inj.kill, inj.freeze, inj.freeze, inj.terminate, inj.reload, inj.cut, inj.cut,
		inj.storeFault, inj.compact, inj.rebirth, inj.killMany, inj.evacuate,
	}
	for control.Pause(ctx, inj.span(shortestPause, longestPause)) == nil {
		inj.num++
		kinds[inj.rnd.IntN(len(kinds))](ctx)
	}
	inj.wait.Wait()
}

// later runs the end of a fault after a time, or when the context ends.
func (inj *injector) later(ctx context.Context, dur time.Duration, end func()) {
	inj.wait.Go(func() {
		_ = control.Pause(ctx, dur) // at the end of the context every fault ends
		end()
	})
}

func (inj *injector) restart(pro *process) {
	if err := pro.start(); err != nil {
		inj.mon.report("restart: %v", err)
	}
}

func (inj *injector) kill(ctx context.Context) {
	pro := inj.process()
	pro.signal(syscall.SIGKILL)
	inj.later(ctx, inj.span(50*time.Millisecond, longestFault), func() { inj.restart(pro) })
}

// killMany kills all processes at once, as a loss of power does.
func (inj *injector) killMany(ctx context.Context) {
	for _, pro := range inj.fleet.processes {
		pro.signal(syscall.SIGKILL)
	}
	inj.later(ctx, inj.span(50*time.Millisecond, time.Second), func() {
		for _, pro := range inj.fleet.processes {
			inj.restart(pro)
		}
	})
}

func (inj *injector) freeze(ctx context.Context) {
	pro := inj.process()
	pro.signal(syscall.SIGSTOP)
	// Longer than a lease at times, so that runs must be given up and not come back.
	inj.later(ctx, inj.span(100*time.Millisecond, 2*longestFault), func() { pro.signal(syscall.SIGCONT) })
}

func (inj *injector) terminate(ctx context.Context) {
	pro := inj.process()
	pro.signal(syscall.SIGTERM)
	inj.later(ctx, inj.span(time.Second, longestFault), func() {
		pro.ended(time.Second)
		inj.restart(pro)
	})
}

func (inj *injector) reload(context.Context) { inj.process().signal(syscall.SIGHUP) }

func (inj *injector) cut(ctx context.Context) {
	pro := inj.process()
	pro.storeLink.mode.Store([...]int32{linkHangs, linkResets}[inj.rnd.IntN(2)])
	inj.later(ctx, inj.span(200*time.Millisecond, 2*longestFault), func() { pro.storeLink.mode.Store(linkOpen) })
}

func (inj *injector) storeFault(ctx context.Context) {
	inj.fleet.rows.SetFault([...]rowstore.Fault{rowstore.Busy, rowstore.LoseAnswer, rowstore.Hang}[inj.rnd.IntN(3)])
	inj.later(ctx, inj.span(200*time.Millisecond, longestFault), func() { inj.fleet.rows.SetFault(rowstore.None) })
}

func (inj *injector) compact(context.Context) { inj.fleet.rows.Compact() }

func (inj *injector) rebirth(context.Context) {
	inj.fleet.workers[inj.rnd.IntN(len(inj.fleet.workers))].Reborn()
}

func (inj *injector) evacuate(ctx context.Context) {
	zone := zoneOf(inj.rnd.IntN(2))
	deployment.SetOut(&inj.fleet.rows, zone, true)
	inj.later(ctx, inj.span(time.Second, longestFault), func() { deployment.SetOut(&inj.fleet.rows, zone, false) })
}
