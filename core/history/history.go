// Package history reconstructs the history of jobs from the decision logs of all processes, for one
// job as a Trace and for all jobs as a Summary.
//
// The clocks of the processes differ. New corrects them by causality: the request for a job begins
// before the owner records the job, and a run is assigned before it starts and starts before the
// owner records its end. The clock of a node is moved only if its lines contradict this order.
//
// Log lines may be missing, because they are sampled under load. Results cover only the lines that
// are present. New changes the lines that it is given; everything else may be used from any
// goroutine.
package history

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/decision"
)

// Line is one log line about a decision of a process.
type Line struct {
	At       time.Time // by the clock of the node before New, corrected after it
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
	Took     time.Duration // duration of the request, zero for other lines
	Image    string
	Placed   Placed // of assignments of best-effort runs
}

// isAbout reports whether the line is about a job or one of its tasks.
func (lin Line) isAbout(job string) bool {
	return lin.Job == job || strings.HasPrefix(lin.Task, job+".")
}

// runID identifies one run of a task.
type runID struct {
	task   string
	number int
}

func (lin Line) runID() runID { return runID{task: lin.Task, number: lin.Run} }

// Timeline holds the lines of all processes, ordered by corrected time.
type Timeline struct {
	lines          []Line
	offsets        map[string]time.Duration
	contradictions int
}

// New corrects the times of the lines and sorts them in place.
func New(lines []Line) Timeline {
	off, contradictions := clockOffsets(lines)
	for num := range lines {
		lines[num].At = lines[num].At.Add(off[lines[num].Node])
	}
	slices.SortStableFunc(lines, func(fst, snd Line) int { return fst.At.Compare(snd.At) })
	return Timeline{lines: lines, offsets: off, contradictions: contradictions}
}

// Lines returns the lines, ordered by corrected time.
func (tml Timeline) Lines() []Line { return tml.lines }

// Offsets returns by how much the clock of each node was moved forward. Nodes whose clocks were not
// moved are absent.
func (tml Timeline) Offsets() map[string]time.Duration { return tml.offsets }

// Contradictions returns the number of pairs of nodes whose lines no constant offset of the clocks
// puts in causal order, for example because a clock was set while the logs were written.
func (tml Timeline) Contradictions() int { return tml.contradictions }

// pair names two nodes with events at the first that must come before events at the second.
type pair struct{ before, after string }

// clockOffsets returns the least offsets that put all pairs in causal order, and the number of pairs
// that stay out of order. As in the Bellman-Ford algorithm, offsets that still grow after as many
// rounds as there are pairs have no solution.
func clockOffsets(lines []Line) (offsets map[string]time.Duration, contradictions int) {
	need := clockLeads(lines)
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

// clockLeads returns for each pair by how much the clock of the first node is ahead of that of the
// second at least, or a negative duration if their lines are in order.
func clockLeads(lines []Line) map[pair]time.Duration {
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
	idx := indexFirstLines(lines)
	for _, lin := range lines {
		switch lin.Kind {
		case decision.JobSubmitted:
			if fst, found := idx.handedIn[lin.Job]; found {
				add(fst, fst.At.Add(-fst.Took), lin)
			}
		case decision.JobCancelled:
			if fst, found := idx.cancelled[lin.Job]; found {
				add(fst, fst.At.Add(-fst.Took), lin)
			}
		case decision.RunStarted:
			if fst, found := idx.assigned[lin.runID()]; found {
				add(fst, fst.At, lin)
			}
		case decision.RunEnded:
			if fst, found := idx.started[lin.runID()]; found {
				add(fst, fst.At, lin)
			}
		}
	}
	return need
}

// firstLines holds the first line of a kind for each job or run.
type firstLines struct {
	handedIn, cancelled map[string]Line
	assigned, started   map[runID]Line
}

func indexFirstLines(lines []Line) firstLines {
	idx := firstLines{
		handedIn: make(map[string]Line), cancelled: make(map[string]Line),
		assigned: make(map[runID]Line), started: make(map[runID]Line),
	}
	for _, lin := range lines {
		switch lin.Kind {
		case decision.JobHandedIn:
			keepFirst(idx.handedIn, lin.Job, lin)
		case decision.CancelHandedIn:
			keepFirst(idx.cancelled, lin.Job, lin)
		case decision.RunAssigned:
			keepFirst(idx.assigned, lin.runID(), lin)
		case decision.RunStarted:
			keepFirst(idx.started, lin.runID(), lin)
		}
	}
	return idx
}

func keepFirst[K comparable](firsts map[K]Line, key K, lin Line) {
	if _, found := firsts[key]; !found {
		firsts[key] = lin
	}
}
