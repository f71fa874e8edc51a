// Package main plays the cases of the third review that are scripts. Each case starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins for clients, workers and the platform that are written from the
// users' pages, and checks one rule by what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// span is one run of a task as its worker saw it.
type span struct {
	worker     string
	run        int
	begun, end time.Duration
	how        string // empty while the run goes on
}

// recorder writes what was sent, answered and run, and keeps the runs of each task.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	runs map[string][]span
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, runs: make(map[string][]span)}, nil
}

// now returns the time since the recording began.
func (rec *recorder) now() time.Duration { return time.Since(rec.began) }

// notef writes a line with its time in seconds.
func (rec *recorder) notef(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(fmt.Sprintf(format, args...))
}

func (rec *recorder) write(line string) {
	fmt.Fprintf(rec.file, "%8.3f %s\n", rec.now().Seconds(), line)
}

func (rec *recorder) started(worker, task string, run int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[task] = append(rec.runs[task], span{worker: worker, run: run, begun: rec.now()})
	rec.write(fmt.Sprintf("worker %s: %s run %d begins", worker, task, run))
}

func (rec *recorder) ended(worker, task string, run int, how string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for num := range rec.runs[task] {
		spn := &rec.runs[task][num]
		if spn.worker == worker && spn.run == run && spn.how == "" {
			spn.end, spn.how = rec.now(), how
		}
	}
	rec.write(fmt.Sprintf("worker %s: %s run %d ends %s", worker, task, run, how))
}

// spans returns the runs of a task so far.
func (rec *recorder) spans(task string) []span {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]span(nil), rec.runs[task]...)
}

// atWork reports whether a task had a run at a time.
func atWork(spans []span, at time.Duration) bool {
	for _, spn := range spans {
		if spn.begun <= at && (spn.how == "" || spn.end > at) {
			return true
		}
	}
	return false
}

// idle returns the first time from which a task had no run for a duration, in a window that begins no earlier than a time and
// no earlier than a duration after its last run. Found is false if there is none.
func idle(spans []span, from, after, dur, until time.Duration) (at time.Duration, found bool) {
	const step = 10 * time.Millisecond
	since := time.Duration(-1)
	for now := from; now <= until; now += step {
		if atWork(spans, now) || !endedBefore(spans, now-after) {
			since = -1
			continue
		}
		if since < 0 {
			since = now
		}
		if now-since >= dur {
			return since, true
		}
	}
	return 0, false
}

// endedBefore reports whether a run has ended by a time and none since. A task that never ran has had its turn from the beginning.
func endedBefore(spans []span, at time.Duration) bool {
	for _, spn := range spans {
		if spn.how == "" || spn.end > at {
			return spn.begun > at // it begins later
		}
	}
	return true
}
