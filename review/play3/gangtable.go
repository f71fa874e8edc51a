package main

import (
	"strings"
	"sync"
	"time"
)

const gangTimeout = 3 * time.Second // gangTimeoutMs

// gangTable holds the runs of gangs on all workers: their tasks work from the moment when all of one run are present, and end together.
type gangTable struct {
	mu    sync.Mutex
	gangs map[gangKey]*gangRun
}

type gangKey struct {
	step string
	run  int
}

type gangRun struct {
	present int
	workAt  time.Time // when all were present
	broken  bool      // a member has ended otherwise than done
}

var gangs = gangTable{gangs: make(map[gangKey]*gangRun)}

func keyOf(rn *run) gangKey {
	return gangKey{step: rn.task[:strings.LastIndex(rn.task, ".")], run: rn.number}
}

// join records that a member is present.
func (tab *gangTable) join(rn *run) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	gng := tab.gangs[keyOf(rn)]
	if gng == nil {
		gng = &gangRun{}
		tab.gangs[keyOf(rn)] = gng
	}
	if gng.present++; gng.present == number(rn.spec, "gang") {
		gng.workAt = time.Now()
	}
}

// leave records how a member has ended.
func (tab *gangTable) leave(rn *run, how string) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	gng := tab.gangs[keyOf(rn)]
	gng.broken = gng.broken || how != "done"
}

// end returns how a member ends now, empty if it goes on.
func (tab *gangTable) end(rn *run, now time.Time) string {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	gng := tab.gangs[keyOf(rn)]
	work := time.Duration(number(rn.spec, "work")) * time.Millisecond
	switch {
	case gng.broken:
		return "broken"
	case gng.workAt.IsZero() && now.Sub(rn.begun) > gangTimeout:
		return "alone"
	case !gng.workAt.IsZero() && now.Sub(gng.workAt) >= work:
		return "done"
	}
	return ""
}
