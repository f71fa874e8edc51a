package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"
)

// Times of the rule on tasks that last: "for 3 s", "from 6 s after its last run", "if the 3 s and the 4 s before them are calm".
const (
	idleTime  = 3 * time.Second
	afterRun  = 6 * time.Second
	calmTime  = 4 * time.Second
	finishFor = 14 * time.Second // finish_s
)

var errNotAccepted = errors.New("a job was not accepted")

// begin starts the fleet, configures it and waits for the lead time.
func (fle *fleet) begin(ctx context.Context, more string) error {
	fle.configure(more)
	if err := fle.start(); err != nil {
		return err
	}
	if !pause(ctx, leadTime) {
		return ctx.Err()
	}
	return nil
}

// tasksOf returns the names of the tasks of the first step of a job.
func tasksOf(id string, num int) []string {
	var out []string
	for idx := range num {
		out = append(out, fmt.Sprintf("%s.0.0.%d", id, idx))
	}
	return out
}

// awaitRuns waits until all tasks are at work, and reports whether they are.
func (fle *fleet) awaitRuns(ctx context.Context, tasks []string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		all := true
		for _, task := range tasks {
			all = all && atWork(fle.rec.spans(task), fle.rec.now())
		}
		if all {
			return true
		}
		if !pause(ctx, 50*time.Millisecond) {
			return false
		}
	}
	return false
}

// room is what a number of tasks need, each in thousandths of a core, and the workers that may run them.
type room struct {
	need, count int
	workers     []*worker
}

// twice reports whether the workers have room for the tasks twice over.
func (rom room) twice() bool {
	fit := 0
	for _, wrk := range rom.workers {
		fit += wrk.free() / rom.need
	}
	return fit >= 2*rom.count
}

// lostTask returns what breaks the rule on tasks that last, with no disruption from calm on.
func (fle *fleet) lostTask(tasks []string, calm time.Duration, rom room) string {
	for _, task := range tasks {
		at, found := idle(fle.rec.spans(task), calm+calmTime, afterRun, idleTime, fle.rec.now())
		if found && rom.twice() {
			return fmt.Sprintf("LOST: task %s lasts and had no run for %v from second %.1f on, over %v after its last run, calm since second %.1f, with room for it twice over",
				task, idleTime, at.Seconds(), afterRun, calm.Seconds())
		}
	}
	return ""
}

// neverRun returns what breaks the rule on accepted jobs, finish_s and idleTime after the end of the traffic.
func (fle *fleet) neverRun(id string, rom room) string {
	used, whole := 0, 0
	for _, wrk := range fle.workers {
		if wrk.up() {
			used += wrk.cpu - wrk.free()
			whole += wrk.cpu
		}
	}
	if len(fle.rec.spans(id+".0.0.0")) > 0 || !rom.twice() || 2*used >= whole {
		return ""
	}
	return fmt.Sprintf("LOST: job %s was accepted, and %v after the end of the traffic nothing of it had run for %v, with room for it twice over and %d%% of the service's capacity in use",
		id, finishFor, idleTime, 100*used/whole)
}

// spec encodes the spec of a job for the stand-in of a worker.
func spec(kvs ...string) string {
	val := make(url.Values)
	for num := 0; num+1 < len(kvs); num += 2 {
		val.Set(kvs[num], kvs[num+1])
	}
	return val.Encode()
}

// checks submits a small job each second until the context ends, as the usual traffic. Their tasks are far under half of the room.
func (fle *fleet) checks(ctx context.Context) {
	for num := 0; pause(ctx, time.Second); num++ {
		id := fmt.Sprintf("c0ffee00%08x", num)
		fle.submit(ctx, "check", id, `{"spec":"`+spec("work", "800", "cpu", "480")+`","steps":[{"count":3,"cpu":480,"memMb":960,"estimateMs":800}]}`)
	}
}
