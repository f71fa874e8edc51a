package main

import (
	"fmt"
	"strings"
	"sync"
)

// place is a run at work.
type place struct {
	worker string
	run    int
}

// monitor checks what the workers see.
type monitor struct {
	mu     sync.Mutex
	work   map[string]place // by task
	done   map[string]bool  // tasks whose end was noted
	begun  map[string]bool  // jobs of which a task has started
	starts int
	faults []string
}

func newMonitor() *monitor {
	return &monitor{work: make(map[string]place), done: make(map[string]bool), begun: make(map[string]bool)}
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
		delete(mon.work, task)
	}
}

// Noted implements taskworker.Observer.
func (mon *monitor) Noted(_, task string, _ int, how string) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	mon.done[task] = mon.done[task] || how == "done"
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
