package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"jacinthpost/io/control"
)

const (
	warmUp = 2 * time.Second // until the processes have found each other
	// settleLimit is the time after all faults in which every accepted job must end: the
	// lapse of inherited runs takes 15 s, the rest is work. It is longer than leaseLimit and
	// stopLimit, so that runs that go on are found.
	settleLimit  = 40 * time.Second
	settlePeriod = 300 * time.Millisecond
	// sparseStream is the random stream of injector.runSparse, after those of the first injector and the callers.
	sparseStream = 1 << 20
)

// soak plays one seed.
func soak(ctx context.Context, opt options) (result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mon := newMonitor()
	fle, err := newFleet(ctx, opt, mon)
	if err != nil {
		return result{}, err
	}
	defer fle.stop()
	go control.Every(ctx, checkPeriod, mon.checkAllStopped)
	if err := control.Pause(ctx, warmUp); err != nil {
		return result{}, err
	}
	led := &ledger{submissions: make(map[string]*submission)}
	inj := &injector{fleet: fle, rnd: rand.New(rand.NewPCG(opt.seed, 0)), mon: mon}
	sparse := &injector{fleet: fle, rnd: rand.New(rand.NewPCG(opt.seed, sparseStream)), mon: mon}
	broken, endFaults := context.WithTimeout(ctx, opt.length)
	defer endFaults()
	busy, endCalls := context.WithTimeout(ctx, opt.length+calmTime+longestHold)
	defer endCalls()
	var wait sync.WaitGroup
	for num := range clients {
		cal := newCaller(fle, led, mon, opt.seed, num)
		wait.Go(func() { cal.run(busy) })
	}
	wait.Go(func() { sparse.runSparse(broken) })
	inj.run(broken)
	inj.close(busy)
	wait.Wait()
	mon.faultBegins() // processes that did not run start now
	if err := fle.restore(); err != nil {
		return result{}, err
	}
	mon.faultEnds()
	settle(ctx, newCaller(fle, led, mon, opt.seed, clients))
	if err := ctx.Err(); err != nil {
		return result{}, err // jobs that were not waited for tell nothing
	}
	return conclude(fle, led, mon, inj.num+sparse.num), nil
}

func newCaller(fle *fleet, led *ledger, mon *monitor, seed uint64, num int) *caller {
	return &caller{
		fleet: fle, ledger: led, mon: mon, name: string(rune('a' + num)), rnd: rand.New(rand.NewPCG(seed, uint64(1+num))),
		http: &http.Client{Transport: &http.Transport{}},
	}
}

// settle cancels the jobs that are still to be cancelled, and waits until every accepted job is shown as
// ended and nothing of it runs.
func settle(ctx context.Context, cal *caller) {
	limit := time.Now().Add(settleLimit)
	for {
		open := 0
		cal.cancelDue(ctx, "", time.Now().Add(longestRun))
		for id, sub := range cal.ledger.all() {
			if sub.exists() && (!final(cal.look(ctx, id, sub)) || cal.mon.atWork(id) > 0) {
				open++
			}
		}
		if open == 0 {
			return
		}
		if time.Now().After(limit) || control.Pause(ctx, settlePeriod) != nil {
			return
		}
	}
}

// conclude compares the entries of the jobs with what the workers saw.
func conclude(fle *fleet, led *ledger, mon *monitor, injected int) result {
	res := result{seed: fle.options.seed, injected: injected, folder: fle.folder}
	for id, sub := range led.all() {
		switch {
		case sub.accepted:
			res.accepted++
		case sub.refused:
			res.refused++
		default:
			res.unknown++
		}
		if sub.cancelled {
			res.cancelled++
		}
		switch {
		case sub.refused && mon.hasBegun(id):
			mon.report("job %s: refused by every answer, and has run", id)
		case sub.exists() && sub.final == "":
			mon.report("job %s: accepted, and not ended %v after the last fault", id, settleLimit)
		case sub.final == "cancelled" && !sub.cancelled:
			mon.report("job %s: shown as cancelled, and nobody cancelled it", id)
		case sub.final == "failed":
			mon.report("job %s: shown as failed, and no task failed", id)
		}
	}
	mon.checkAllStopped()
	res.starts, res.faults = mon.result()
	if len(res.faults) == 0 {
		_ = os.RemoveAll(fle.folder) // only logs of failed seeds are wanted
	}
	return res
}
