package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stopLimit is the time after the end of a job within which its runs must have stopped: the users
	// allow 3 s for a cancellation (cancel_ms) and 0.9 s for a worker to stop a run (stopTimeoutMs).
	stopLimit = 3900 * time.Millisecond
	// leaseLimit is the longest lease of a worker (holdMaxMs of deployment.Process). A run that works for
	// longer after the last fault had its lease renewed by a process that works again.
	leaseLimit  = 6 * time.Second
	checkPeriod = 100 * time.Millisecond // of the search for runs that go on
)

// place is a run at work.
type place struct {
	worker string
	run    int
}

// monitor checks what the workers see.
type monitor struct {
	mu     sync.Mutex
	clock  func() time.Time
	work   map[string]place     // by task
	done   map[string]bool      // tasks whose end was noted
	begun  map[string]bool      // jobs of which a task has started
	ended  map[string]time.Time // jobs whose callers know the end, or whose cancellation was acknowledged
	late   map[string]place     // the last run of each task that was reported to go on
	starts int
	faults []string

	inEffect   int       // injected faults
	lastEffect time.Time // of a fault
}

func newMonitor() *monitor {
	return &monitor{
		clock: time.Now, work: make(map[string]place), done: make(map[string]bool), begun: make(map[string]bool),
		ended: make(map[string]time.Time), late: make(map[string]place),
	}
}

// Started implements taskworker.Observer.
func (mon *monitor) Started(worker, task string, run int) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.starts++
	mon.begun[jobOf(task)] = true
	if old, found := mon.work[task]; found {
		mon.fault("task %s: run %d began on %s while run %d was at work on %s", task, run, worker, old.run, old.worker)
	}
	if mon.done[task] {
		mon.fault("task %s: run %d began on %s after the end of the task was noted", task, run, worker)
	}
	mon.work[task] = place{worker: worker, run: run}
}

// Ended implements taskworker.Observer.
func (mon *monitor) Ended(worker, task string, run int, _ string) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	if mon.work[task] == (place{worker: worker, run: run}) {
		mon.checkStopped(task)
		delete(mon.work, task)
	}
}

// Noted implements taskworker.Observer.
func (mon *monitor) Noted(_, task string, _ int, how string) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.done[task] = mon.done[task] || how == "done"
}

// jobEnded records that a caller knows that a job is final.
func (mon *monitor) jobEnded(job string) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	if _, found := mon.ended[job]; !found {
		mon.ended[job] = mon.clock()
	}
}

// faultBegins records that an injected fault takes effect.
func (mon *monitor) faultBegins() {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.inEffect++
}

// faultEnds records that the effect of an injected fault is over.
func (mon *monitor) faultEnds() {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.inEffect--
	mon.lastEffect = mon.clock()
}

// checkAllStopped reports the runs that go on after the end of their jobs.
func (mon *monitor) checkAllStopped() {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	for task := range mon.work {
		mon.checkStopped(task)
	}
}

// checkStopped reports the run of a task that is at work although its job ended longer than stopLimit ago.
// While a fault is in effect and for leaseLimit after it, an order to stop may fail to arrive.
func (mon *monitor) checkStopped(task string) {
	end, found := mon.ended[jobOf(task)]
	if !found || mon.inEffect > 0 {
		return
	}
	if settled := mon.lastEffect.Add(leaseLimit); settled.After(end) {
		end = settled
	}
	plc := mon.work[task]
	if mon.clock().Sub(end) <= stopLimit || mon.late[task] == plc {
		return
	}
	mon.late[task] = plc
	mon.fault("task %s: run %d is at work on %s longer than %v after the end of its job and %v after the last fault", task, plc.run, plc.worker, stopLimit, leaseLimit)
}

// report adds a fault that others saw.
func (mon *monitor) report(format string, args ...any) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.fault(format, args...)
}

func (mon *monitor) fault(format string, args ...any) {
	mon.faults = append(mon.faults, fmt.Sprintf(format, args...))
}

// hasBegun reports whether a task of a job has ever started.
func (mon *monitor) hasBegun(job string) bool {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	return mon.begun[job]
}

// atWork returns the number of tasks of a job at work.
func (mon *monitor) atWork(job string) int {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	num := 0
	for task := range mon.work {
		if jobOf(task) == job {
			num++
		}
	}
	return num
}

// result returns the number of starts and the faults.
func (mon *monitor) result() (int, []string) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	return mon.starts, append([]string(nil), mon.faults...)
}

// jobOf returns the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
