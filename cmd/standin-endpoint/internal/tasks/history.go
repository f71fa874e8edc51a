package tasks

import "jacinthpost/core/worker"

// Entry records one start of an assignment.
type Entry struct {
	ref     worker.Ref
	started worker.Instant
	stopped worker.Instant
	state   worker.State
}

// Ref returns the assignment.
func (ent Entry) Ref() worker.Ref { return ent.ref }

// Started returns when the assignment started.
func (ent Entry) Started() worker.Instant { return ent.started }

// Stopped returns when the assignment ended, zero while it runs.
func (ent Entry) Stopped() worker.Instant { return ent.stopped }

// State returns the state of the assignment.
func (ent Entry) State() worker.State { return ent.state }

// historyLimit bounds the entries kept; a test run starts far fewer tasks on one worker.
const historyLimit = 100_000

// history lists the newest entries. Positions count from the first entry ever.
type history struct {
	entries []Entry
	dropped int
}

func (his *history) start(ref worker.Ref, now worker.Instant) int {
	if len(his.entries) == historyLimit {
		his.entries = append([]Entry(nil), his.entries[historyLimit/2:]...)
		his.dropped += historyLimit / 2
	}
	his.entries = append(his.entries, Entry{ref: ref, started: now, state: worker.Running})
	return his.dropped + len(his.entries) - 1
}

func (his *history) stop(pos int, now worker.Instant, sta worker.State) {
	if pos -= his.dropped; pos >= 0 {
		his.entries[pos].stopped, his.entries[pos].state = now, sta
	}
}

func (his *history) list() []Entry { return append([]Entry(nil), his.entries...) }
