// Package history reconstructs from the log lines of all processes what became of a
// job, and sums up the jobs of a day.
//
// Lines carry the clocks of their processes, which differ. Clocks are corrected by
// causality alone: a job is submitted at the owner after it was handed in, a run
// starts after it was assigned and before its end is heard of. A clock is moved only
// when its lines contradict such an order.
//
// Log lines may be missing, because they are sampled under load: all results say only
// what the lines tell. The functions are pure and safe for use from any goroutine.
package history

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/decision"
)

// Line is one decision of one process.
type Line struct {
	At       time.Time // in the clock of the node, or corrected
	Node     string
	Kind     decision.Kind
	Job      string
	Task     string
	Run      int
	Instance string
	Queue    string
	Outcome  string
	Reason   string
	Detail   string
	Took     time.Duration // of what the line reports
}

// of reports whether the line is about a job.
func (lin Line) of(job string) bool {
	return lin.Job == job || strings.HasPrefix(lin.Task, job+".")
}

// run identifies one start of a task.
type run struct {
	task string
	num  int
}

func (lin Line) run() run { return run{task: lin.Task, num: lin.Run} }

// Day is the lines of all processes with corrected clocks, in the order of time.
type Timeline struct {
	lines          []Line
	offsets        map[string]time.Duration
	contradictions int
}

// New corrects the clocks of the lines and sorts them. The lines are changed.
func New(lines []Line) Timeline {
	off, contradictions := correct(lines)
	for num := range lines {
		lines[num].At = lines[num].At.Add(off[lines[num].Node])
	}
	slices.SortStableFunc(lines, func(fst, snd Line) int { return fst.At.Compare(snd.At) })
	return Timeline{lines: lines, offsets: off, contradictions: contradictions}
}

// Lines returns the lines in the order of time.
func (day Timeline) Lines() []Line { return day.lines }

// Offsets returns by how much the clock of each node was moved; nodes that were left alone are absent.
func (day Timeline) Offsets() map[string]time.Duration { return day.offsets }

// Contradictions returns the number of pairs of nodes whose clocks no move puts in order,
// as when a clock was set during the day.
func (day Timeline) Contradictions() int { return day.contradictions }

// pair is an order of two nodes: what happened at the first one came before.
type pair struct{ before, after string }

// correct returns the moves of the clocks and the number of pairs that contradict each other.
func correct(lines []Line) (offsets map[string]time.Duration, contradictions int) {
	need := excesses(lines)
	pairs := make([]pair, 0, len(need))
	for par := range need {
		pairs = append(pairs, par)
	}
	slices.SortFunc(pairs, func(fst, snd pair) int {
		return cmp.Or(cmp.Compare(fst.before, snd.before), cmp.Compare(fst.after, snd.after))
	})
	offsets = make(map[string]time.Duration)
	for range pairs {
		moved := false
		for _, par := range pairs {
			if least := offsets[par.before] + need[par]; least > offsets[par.after] {
				offsets[par.after], moved = least, true
			}
		}
		if !moved {
			return offsets, 0
		}
	}
	for _, par := range pairs {
		if offsets[par.before]+need[par] > offsets[par.after] {
			contradictions++
		}
	}
	return offsets, contradictions
}

// excesses returns by how much the clock of the first node is ahead of that of the
// second one at most, judged by what must have come before. Negative amounts mean that
// the clocks need no move.
func excesses(lines []Line) map[pair]time.Duration {
	need := make(map[pair]time.Duration)
	add := func(fst Line, begun time.Time, snd Line) {
		if fst.Node == "" || fst.Node == snd.Node {
			return
		}
		par := pair{before: fst.Node, after: snd.Node}
		if old, found := need[par]; !found || begun.Sub(snd.At) > old {
			need[par] = begun.Sub(snd.At)
		}
	}
	idx := index(lines)
	for _, lin := range lines {
		switch lin.Kind {
		case decision.JobSubmitted:
			if fst, found := idx.handed[lin.Job]; found {
				add(fst, fst.At.Add(-fst.Took), lin)
			}
		case decision.JobCancelled:
			if fst, found := idx.cancelled[lin.Job]; found {
				add(fst, fst.At.Add(-fst.Took), lin)
			}
		case decision.RunStarted:
			if fst, found := idx.assigned[lin.run()]; found {
				add(fst, fst.At, lin)
			}
		case decision.RunEnded:
			if fst, found := idx.started[lin.run()]; found {
				add(fst, fst.At, lin)
			}
		}
	}
	return need
}

// firsts holds the first line of each kind for each job or run.
type firsts struct {
	handed, cancelled map[string]Line
	assigned, started map[run]Line
}

func index(lines []Line) firsts {
	idx := firsts{
		handed: make(map[string]Line), cancelled: make(map[string]Line),
		assigned: make(map[run]Line), started: make(map[run]Line),
	}
	for _, lin := range lines {
		switch lin.Kind {
		case decision.JobHandedIn:
			keepFirst(idx.handed, lin.Job, lin)
		case decision.CancelHandedIn:
			keepFirst(idx.cancelled, lin.Job, lin)
		case decision.RunAssigned:
			keepFirst(idx.assigned, lin.run(), lin)
		case decision.RunStarted:
			keepFirst(idx.started, lin.run(), lin)
		}
	}
	return idx
}

func keepFirst[K comparable](firsts map[K]Line, key K, lin Line) {
	if _, found := firsts[key]; !found {
		firsts[key] = lin
	}
}
