package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	drainBound = 2500 * time.Millisecond // drainMs
	// drainRounds is how many workers leave, one after another, in one run.
	drainRounds = 4
)

// checkDrain checks a start against the leave of its worker. The lock is held.
func (wld *world) checkDrain(wrk *worker, rn *taskRun) {
	since := time.Since(wrk.drainAck)
	if wrk.drainAck.IsZero() || since <= drainBound || wld.late {
		return
	}
	if pro := wrk.process; pro.disturbed || time.Since(pro.disturbedAt) < touch {
		wld.note("start %s run %d on a worker that leaves, by a machine that is not in touch", rn.name, rn.run)
		return
	}
	wld.violate("DRAIN", "%s run %d starts on %s, by %s in touch, %s after it acknowledged that the worker is draining", rn.name, rn.run, wrk.id, wrk.process.name, since.Round(time.Millisecond))
}

// drain lets a worker leave just after it was told to start tasks, some of which without an answer.
func drain(ctx context.Context, wld *world, trouble bool) error {
	if err := wld.startFleet(ctx, 7, nil); err != nil {
		return err
	}
	warm := &jobDef{Spec: "warm", Steps: []stepDef{{Count: 6, CPU: 100, MemMB: 50, length: 200 * time.Millisecond}}}
	wld.submit(ctx, warm)
	if err := wld.await(warm, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(touch)
	var jobs []*jobDef
	for round := range drainRounds {
		jobs = append(jobs, wld.drainOnce(ctx, wld.workers[round], trouble)...)
	}
	for _, job := range jobs {
		if err := wld.await(job, 20*time.Second); err != nil {
			return err
		}
	}
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, name := range sortedKeys(wld.tasks) {
		dones := 0
		for _, end := range wld.tasks[name].ends {
			if end.how == "done" {
				dones++
			}
		}
		if dones > 1 {
			wld.note("%s was carried out to its end %d times", name, dones)
		}
	}
	return nil
}

// drainOnce plays the leave of one worker and returns the jobs that were submitted.
func (wld *world) drainOnce(ctx context.Context, wrk *worker, trouble bool) []*jobDef {
	var grp sync.WaitGroup
	var jobs []*jobDef
	for num := range 24 {
		job := &jobDef{Spec: fmt.Sprintf("build %d", num), Steps: []stepDef{{Count: 10, CPU: 80, MemMB: 15, length: 900 * time.Millisecond}}, unlucky: trouble && num%12 == 0}
		jobs = append(jobs, job)
		grp.Go(func() { wld.submit(ctx, job) })
	}
	grp.Wait()
	time.Sleep(100 * time.Millisecond) // the owner has ordered the starts
	wld.mu.Lock()
	for _, job := range jobs {
		if at := wld.unluckyAt[job.id+".0.0.0"]; at != nil && at.up {
			wrk = at
		}
	}
	wld.note("worker %s drains", wrk.id)
	wrk.draining, wrk.beatAt = true, time.Now()
	born := wrk.born
	wld.mu.Unlock()
	time.Sleep(4500 * time.Millisecond)
	wld.replace(wrk, born)
	time.Sleep(5 * time.Second)
	return jobs
}
