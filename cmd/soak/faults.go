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
	// sparsePause is the mean time between two faults of connections, calls and several processes.
	sparsePause  = 3 * time.Second
	longestFault = 5 * time.Second
	// longestHold is shorter than a lease, so that the runs beside a frozen agent are still at work when it
	// goes on.
	longestHold = leaseLimit - 1500*time.Millisecond
	// calmTime is before the last fault. A takeover takes 1.2 s without a renewal, and the rest is for
	// tasks to start again.
	calmTime = 5 * time.Second
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
	inj.repeat(ctx, longestPause, []func(ctx context.Context){
		inj.kill, inj.kill, inj.freeze, inj.freeze, inj.terminate, inj.reload, inj.cut, inj.cut,
		inj.storeFault, inj.compact, inj.rebirth, inj.killMany, inj.killBehindFrozen, inj.evacuate,
	})
}

// runSparse is like run, with other faults that come less often. Another injector draws them, so that the seeds that once
// failed inject what they did then.
func (inj *injector) runSparse(ctx context.Context) {
	inj.repeat(ctx, 2*sparsePause, []func(ctx context.Context){inj.silence, inj.silence, inj.carryOutLate, inj.carryOutLate, inj.killTogether})
}

func (inj *injector) repeat(ctx context.Context, longest time.Duration, kinds []func(ctx context.Context)) {
	for control.Pause(ctx, inj.span(shortestPause, longest)) == nil {
		inj.num++
		inj.mon.faultBegins()
		kinds[inj.rnd.IntN(len(kinds))](ctx)
		inj.mon.faultEnds()
	}
	inj.wait.Wait()
}

// close injects the last fault after a time without faults. Runs that the next owner fails to stop are
// not ended by a later fault.
func (inj *injector) close(ctx context.Context) {
	if control.Pause(ctx, calmTime) != nil {
		return
	}
	inj.num++
	inj.killBehindFrozen(ctx)
	inj.wait.Wait()
}

// later runs the end of a fault after a time, or when the context ends.
func (inj *injector) later(ctx context.Context, dur time.Duration, end func()) {
	inj.mon.faultBegins()
	inj.wait.Go(func() {
		defer inj.mon.faultEnds()
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

// killBehindFrozen freezes an agent with long-running jobs and kills all other processes before it goes on.
// The stops that the owner has ordered meanwhile are lost with it.
func (inj *injector) killBehindFrozen(ctx context.Context) {
	frozen := inj.fleet.longRunning[inj.rnd.IntN(len(inj.fleet.longRunning))]
	frozen.signal(syscall.SIGSTOP)
	inj.later(ctx, inj.span(time.Second, longestHold/2), func() {
		for _, pro := range inj.fleet.processes {
			if pro != frozen {
				pro.signal(syscall.SIGKILL)
			}
		}
		for _, pro := range inj.fleet.processes {
			if pro != frozen {
				pro.ended(time.Second)
				inj.restart(pro)
			}
		}
	})
	inj.later(ctx, inj.span(longestHold/2, longestHold), func() { frozen.signal(syscall.SIGCONT) })
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

// silence makes all open connections to the store and to the workers silent. New ones work.
func (inj *injector) silence(context.Context) {
	for _, pro := range inj.fleet.processes {
		pro.storeLink.silence()
	}
	for _, wrk := range inj.fleet.workers {
		wrk.Silence()
	}
}

// mostLateStarts exceeds the tries of one start.
const mostLateStarts = 12

// carryOutLate lets a worker leave starts without an answer and carry them out late.
func (inj *injector) carryOutLate(ctx context.Context) {
	wrk := inj.fleet.workers[inj.rnd.IntN(len(inj.fleet.workers))]
	late := inj.span(time.Second, 2*longestFault)
	wrk.CarryOutLate(1+inj.rnd.IntN(mostLateStarts), late)
	inj.later(ctx, late, func() { wrk.CarryOutLate(0, 0) })
}

// killTogether kills two processes for longer than their workers' leases last, one of which may own the jobs.
func (inj *injector) killTogether(ctx context.Context) {
	fst, snd := inj.process(), inj.process()
	fst.signal(syscall.SIGKILL)
	snd.signal(syscall.SIGKILL)
	inj.later(ctx, inj.span(longestFault, 2*longestFault), func() {
		inj.restart(fst)
		inj.restart(snd)
	})
}

func (inj *injector) evacuate(ctx context.Context) {
	zone := zoneOf(inj.rnd.IntN(2))
	deployment.SetOut(&inj.fleet.rows, zone, true)
	inj.later(ctx, inj.span(time.Second, longestFault), func() { deployment.SetOut(&inj.fleet.rows, zone, false) })
}
