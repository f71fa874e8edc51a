package rig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// From rule LOST: a task that lasts has nothing running for idleLimit, later than idleGrace after its last run, in a time
// that is calm with the calmBefore before it.
const (
	idleLimit  = 3 * time.Second
	idleGrace  = 6 * time.Second
	calmBefore = 4 * time.Second
)

// Lasting observes the runs of tasks that last. It implements taskworker.Observer.
type Lasting struct {
	rig *Rig
	job string

	mu      sync.Mutex
	running map[string]int       // runs of each task of the job that has any
	idle    map[string]time.Time // since when a task of the job has no run
	others  int                  // runs of other jobs
	ignored string               // tasks that ended on this worker are not judged
}

// NewLasting returns an observer of the tasks of a job.
func (rig *Rig) NewLasting(job string) *Lasting {
	return &Lasting{rig: rig, job: job, running: make(map[string]int), idle: make(map[string]time.Time)}
}

// Started records a run.
func (lst *Lasting) Started(worker, task string, run int) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	if !strings.HasPrefix(task, lst.job+".") {
		lst.others++
		return
	}
	lst.rig.Log("worker %s: start of %s run %d", worker, task, run)
	lst.running[task]++
	delete(lst.idle, task)
}

// Ended records the end of a run.
func (lst *Lasting) Ended(worker, task string, run int, how string) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	if !strings.HasPrefix(task, lst.job+".") {
		lst.others--
		return
	}
	lst.rig.Log("worker %s: end of %s run %d: %s", worker, task, run, how)
	if lst.running[task]--; lst.running[task] > 0 {
		return
	}
	delete(lst.running, task)
	if worker != lst.ignored {
		lst.idle[task] = time.Now()
	}
}

// Noted does nothing.
func (lst *Lasting) Noted(string, string, int, string) {}

// Ignore leaves out the tasks that end on a worker.
func (lst *Lasting) Ignore(worker string) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	lst.ignored = worker
}

// Counts returns the number of tasks of the job that run, and that of the runs of other jobs.
func (lst *Lasting) Counts() (tasks, others int) {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	return len(lst.running), lst.others
}

// broken returns how the idle times of the tasks break rule LOST, with the last disruption at a time.
func (lst *Lasting) broken(disrupted time.Time) string {
	lst.mu.Lock()
	defer lst.mu.Unlock()
	for task, since := range lst.idle {
		from := since.Add(idleGrace)
		if calm := disrupted.Add(calmBefore); calm.After(from) {
			from = calm
		}
		if over := time.Since(from); over > idleLimit {
			return fmt.Sprintf("%s has nothing running for %.1f s, the last %.1f s of them more than %v after its last run and %v after the disruption",
				task, time.Since(since).Seconds(), over.Seconds(), idleGrace, calmBefore)
		}
	}
	return ""
}

// Watch checks rule LOST for a time, with the last disruption at a time. It returns ErrBroken if the rule was broken.
func (lst *Lasting) Watch(ctx context.Context, length time.Duration, disrupted time.Time) error {
	first := ""
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if how := lst.broken(disrupted); how != "" && first == "" {
			first = how
			lst.rig.Log("rule LOST is broken: %s", how)
		}
	}
	if first != "" {
		return ErrBroken
	}
	lst.rig.Log("rule LOST held")
	return ctx.Err()
}
