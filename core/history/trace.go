package history

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthpost/core/decision"
)

// Cause is the reason for a gap.
type Cause string

// Causes of gaps, by what the job waited for or how its last run ended.
const (
	CauseNoOwner    Cause = "noOwner"     // the owner has not recorded the job yet
	CauseNoPlace    Cause = "noPlace"     // the tasks wait for a free instance
	CauseRunFailed  Cause = "runFailed"   // the last run failed
	CauseRunStopped Cause = "runStopped"  // the last run was stopped
	CauseRunLost    Cause = "runLost"     // the last run ended with its worker, its lease or its gang
	CauseRunRefused Cause = "runRefused"  // the agent refused the last run
	CauseNotInLog   Cause = "notInTheLog" // the end of the last run has no known cause
)

// minGap is the length from which a pause between runs counts as a gap. Orders take tens of
// milliseconds, so shorter pauses are normal.
const minGap = 200 * time.Millisecond

// Gap is a period before the end of a job in which the job has no active run.
type Gap struct {
	From  time.Time
	To    time.Time
	Cause Cause
	Line  Line // the last line about the job before the end of the gap
}

// Length returns the duration of the gap, which is at least minGap.
func (gap Gap) Length() time.Duration { return gap.To.Sub(gap.From) }

// Trace is the history of one job.
type Trace struct {
	job     string
	lines   []Line
	context []Line
	gaps    []Gap
	runs    int
	stopped map[string]int
	state   string
	begun   time.Time
	started time.Time
	ended   time.Time
	unended []Line
}

// Trace returns the history of a job, and false if no line is about it.
func (tml Timeline) Trace(job string) (Trace, bool) {
	var lines []Line
	for _, lin := range tml.lines {
		if lin.isAbout(job) {
			lines = append(lines, lin)
		}
	}
	if len(lines) == 0 {
		return Trace{}, false
	}
	trc := buildTrace(job, lines)
	to := lines[len(lines)-1].At
	if len(trc.unended) > 0 {
		to = tml.lines[len(tml.lines)-1].At
	}
	trc.context = tml.contextOf(lines, to)
	return trc, true
}

// Job returns the identifier of the job.
func (trc Trace) Job() string { return trc.job }

// Lines returns the lines about the job.
func (trc Trace) Lines() []Line { return trc.lines }

// Context returns the lines that may explain delays of the job though they are about other things:
// changes of the owner, and events at the instances and entries that the job used.
func (trc Trace) Context() []Line { return trc.context }

// Gaps returns the periods before the end of the job in which it has no active run.
func (trc Trace) Gaps() []Gap { return trc.gaps }

// State returns the last known state of the job.
func (trc Trace) State() string { return trc.state }

// Runs returns the number of assigned runs.
func (trc Trace) Runs() int { return trc.runs }

// Unended returns the assignments of the runs without an end in the logs, in the order of time.
func (trc Trace) Unended() []Line { return trc.unended }

// Stops returns the number of stopped runs by reason.
func (trc Trace) Stops() map[string]int { return trc.stopped }

// Waited returns the time from the request to the first assignment, and false if there was none.
func (trc Trace) Waited() (time.Duration, bool) {
	return trc.started.Sub(trc.begun), !trc.started.IsZero()
}

// Took returns the time from the request to the end of the job, and false if no line reports the end.
func (trc Trace) Took() (time.Duration, bool) {
	return trc.ended.Sub(trc.begun), !trc.ended.IsZero()
}

// Begun returns when the request for the job began, or the time of its first line if that is missing.
func (trc Trace) Begun() time.Time { return trc.begun }

// Ended returns when the job ended, or zero if no line reports the end.
func (trc Trace) Ended() time.Time { return trc.ended }

// States of jobs that have no JobFinished line. The others are in the details of these lines.
const (
	stateHandedIn  = "handedIn"
	stateSubmitted = "queued"
	stateRunning   = "running"
	stateCancelled = "cancelled"
)

// traceBuilder builds a trace from the lines of a job in the order of time.
type traceBuilder struct {
	Trace
	active   map[runID]Line // assignments of the runs that have not ended
	gapStart time.Time      // zero outside of gaps
	cause    Cause
	last     Line
}

func buildTrace(job string, lines []Line) Trace {
	bld := traceBuilder{Trace: Trace{job: job, lines: lines, stopped: make(map[string]int)}, active: make(map[runID]Line)}
	bld.begun = lines[0].At.Add(-lines[0].Took)
	bld.gapStart, bld.cause, bld.last = bld.begun, CauseNoOwner, lines[0]
	for _, lin := range lines {
		bld.apply(lin)
		bld.last = lin
	}
	bld.unended = slices.SortedFunc(maps.Values(bld.active), func(fst, snd Line) int {
		return cmp.Or(fst.At.Compare(snd.At), cmp.Compare(fst.Task, snd.Task))
	})
	return bld.Trace
}

func (bld *traceBuilder) apply(lin Line) {
	switch lin.Kind {
	case decision.JobHandedIn:
		if bld.state == "" {
			bld.state = stateHandedIn
		}
	case decision.JobRefused:
		bld.state, bld.ended = string(lin.Kind), lin.At
	case decision.JobSubmitted:
		bld.state = stateSubmitted
		bld.endGap(lin.At)
		bld.startGap(lin.At, CauseNoPlace)
	case decision.RunAssigned:
		bld.assign(lin)
	case decision.RunStopped:
		bld.stopped[lin.Detail]++
	case decision.RunEnded:
		bld.end(lin)
	case decision.JobFinished, decision.JobCancelled:
		bld.finish(lin)
	}
}

func (bld *traceBuilder) assign(lin Line) {
	bld.endGap(lin.At)
	if bld.started.IsZero() {
		bld.started = lin.At
	}
	if bld.ended.IsZero() {
		bld.state = stateRunning
	}
	bld.runs++
	bld.active[lin.runID()] = lin
}

func (bld *traceBuilder) end(lin Line) {
	delete(bld.active, lin.runID())
	if len(bld.active) == 0 && bld.ended.IsZero() {
		bld.startGap(lin.At, causeOf(lin))
	}
}

func (bld *traceBuilder) finish(lin Line) {
	if !bld.ended.IsZero() {
		return
	}
	bld.endGap(lin.At)
	bld.state, bld.ended = stateCancelled, lin.At
	if lin.Kind == decision.JobFinished {
		bld.state = lin.Detail
	}
}

func (bld *traceBuilder) startGap(now time.Time, cause Cause) { bld.gapStart, bld.cause = now, cause }

func (bld *traceBuilder) endGap(now time.Time) {
	if !bld.gapStart.IsZero() && now.Sub(bld.gapStart) >= minGap {
		bld.gaps = append(bld.gaps, Gap{From: bld.gapStart, To: now, Cause: bld.cause, Line: bld.last})
	}
	bld.gapStart = time.Time{}
}

// causeOf returns the cause of a gap that begins with the end of a run.
func causeOf(lin Line) Cause {
	switch word := firstWord(lin.Detail); word {
	case "done":
		return CauseNoPlace
	case "failed":
		return CauseRunFailed
	case "stopped":
		return CauseRunStopped
	case "lost", "lapsed", "broken", "alone":
		return CauseRunLost
	case "refused":
		return CauseRunRefused
	default:
		return CauseNotInLog
	}
}

func firstWord(txt string) string {
	for num, chr := range txt {
		if chr == ' ' {
			return txt[:num]
		}
	}
	return txt
}

// contextKinds are the kinds of lines that may explain delays of jobs that they do not name.
var contextKinds = map[decision.Kind]bool{
	decision.OwnerElected: true, decision.JobsRestored: true, decision.OwnershipEnded: true, decision.InstanceLost: true, decision.InstanceSuspended: true,
	decision.WorkerAnswersChanged: true, decision.FeedLost: true, decision.FeedRegained: true, decision.FillingPaused: true,
	decision.FillingResumed: true, decision.ProcessStarted: true, decision.ProcessLeaves: true,
}

// contextOf returns the lines of contextKinds from the first line of a job up to a time that concern
// its nodes and instances, or the owner.
func (tml Timeline) contextOf(lines []Line, to time.Time) []Line {
	from := lines[0].At.Add(-lines[0].Took)
	known := make(map[string]bool)
	for _, lin := range lines {
		known[lin.Node], known[lin.Instance] = true, true
	}
	var out []Line
	for _, lin := range tml.lines {
		if lin.At.Before(from) || lin.At.After(to) || !contextKinds[lin.Kind] || lin.isAbout(lines[0].Job) {
			continue
		}
		everywhere := lin.Kind == decision.OwnerElected || lin.Kind == decision.JobsRestored || lin.Kind == decision.OwnershipEnded
		if everywhere || known[lin.Node] || known[lin.Instance] && lin.Instance != "" {
			out = append(out, lin)
		}
	}
	return out
}
