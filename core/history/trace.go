package history

import (
	"time"

	"jacinthpost/core/decision"
)

// Cause is why nothing of a job was at work for a while.
type Cause string

// Causes of gaps.
const (
	CauseNoOwner    Cause = "noOwner"     // the job waits for the owner of the jobs to notice it
	CauseNoPlace    Cause = "noPlace"     // its tasks wait for room
	CauseRunFailed  Cause = "runFailed"   // a run failed, and the next one has not begun
	CauseRunStopped Cause = "runStopped"  // a run was stopped, and the next one has not begun
	CauseRunLost    Cause = "runLost"     // an instance was lost, and the next run has not begun
	CauseRunRefused Cause = "runRefused"  // the agent refused the run
	CauseNotInLog   Cause = "notInTheLog" // the lines don't tell
)

// leastGap is the shortest time without work that is named: orders take tens of milliseconds.
const leastGap = 200 * time.Millisecond

// Gap is a time in which nothing of a job was at work.
type Gap struct {
	From  time.Time
	To    time.Time
	Cause Cause
	Line  Line // the last one about the job before the gap
}

// Length returns how long the gap lasted.
func (gap Gap) Length() time.Duration { return gap.To.Sub(gap.From) }

// Trace is the life of one job.
type Trace struct {
	job     string
	lines   []Line
	around  []Line
	gaps    []Gap
	runs    int
	stopped map[string]int
	state   string
	begun   time.Time
	started time.Time
	ended   time.Time
}

// Trace returns the life of a job. The second result is false when no line is about it.
func (day Timeline) Trace(job string) (Trace, bool) {
	var lines []Line
	for _, lin := range day.lines {
		if lin.of(job) {
			lines = append(lines, lin)
		}
	}
	if len(lines) == 0 {
		return Trace{}, false
	}
	trc := follow(job, lines)
	trc.around = day.context(lines)
	return trc, true
}

// Job returns the job.
func (trc Trace) Job() string { return trc.job }

// Lines returns the lines about the job.
func (trc Trace) Lines() []Line { return trc.lines }

// Context returns the lines of that time that are not about the job but about the owner
// of the jobs, and about the instances and entries that the job used.
func (trc Trace) Context() []Line { return trc.around }

// Gaps returns the times in which nothing of the job was at work.
func (trc Trace) Gaps() []Gap { return trc.gaps }

// State returns the last state that the lines tell.
func (trc Trace) State() string { return trc.state }

// Runs returns the number of runs that were assigned.
func (trc Trace) Runs() int { return trc.runs }

// Stops returns the number of runs that were stopped, by the reason.
func (trc Trace) Stops() map[string]int { return trc.stopped }

// Waited returns the time from the first line to the first run, false when there was none.
func (trc Trace) Waited() (time.Duration, bool) {
	return trc.started.Sub(trc.begun), !trc.started.IsZero()
}

// Took returns the time from the first line to the end, false when the lines tell none.
func (trc Trace) Took() (time.Duration, bool) {
	return trc.ended.Sub(trc.begun), !trc.ended.IsZero()
}

// Begun returns when the job was handed in.
func (trc Trace) Begun() time.Time { return trc.begun }

// Ended returns when the job ended, zero when the lines tell no end.
func (trc Trace) Ended() time.Time { return trc.ended }

// state names that no owner wrote.
const (
	stateHandedIn  = "handedIn"
	stateSubmitted = "queued"
	stateRunning   = "running"
	stateCancelled = "cancelled"
)

// follower walks through the lines of a job.
type follower struct {
	Trace
	work  map[run]bool
	since time.Time // since when nothing is at work, zero when something is
	cause Cause
	last  Line
}

func follow(job string, lines []Line) Trace {
	fol := follower{Trace: Trace{job: job, lines: lines, stopped: make(map[string]int)}, work: make(map[run]bool)}
	fol.begun = lines[0].At.Add(-lines[0].Took)
	fol.since, fol.cause, fol.last = fol.begun, CauseNoOwner, lines[0]
	for _, lin := range lines {
		fol.apply(lin)
		fol.last = lin
	}
	return fol.Trace
}

func (fol *follower) apply(lin Line) {
	switch lin.Kind {
	case decision.JobHandedIn:
		if fol.state == "" {
			fol.state = stateHandedIn
		}
	case decision.JobRefused:
		fol.state, fol.ended = string(lin.Kind), lin.At
	case decision.JobSubmitted:
		fol.state = stateSubmitted
		fol.close(lin.At)
		fol.open(lin.At, CauseNoPlace)
	case decision.RunAssigned:
		fol.assign(lin)
	case decision.RunStopped:
		fol.stopped[lin.Detail]++
	case decision.RunEnded:
		fol.end(lin)
	case decision.JobFinished, decision.JobCancelled:
		fol.finish(lin)
	}
}

func (fol *follower) assign(lin Line) {
	fol.close(lin.At)
	if fol.started.IsZero() {
		fol.started = lin.At
	}
	if fol.ended.IsZero() {
		fol.state = stateRunning
	}
	fol.runs++
	fol.work[lin.run()] = true
}

func (fol *follower) end(lin Line) {
	delete(fol.work, lin.run())
	if len(fol.work) == 0 && fol.ended.IsZero() {
		fol.open(lin.At, causeOf(lin))
	}
}

func (fol *follower) finish(lin Line) {
	if !fol.ended.IsZero() {
		return
	}
	fol.close(lin.At)
	fol.state, fol.ended = stateCancelled, lin.At
	if lin.Kind == decision.JobFinished {
		fol.state = lin.Detail
	}
}

func (fol *follower) open(now time.Time, cause Cause) { fol.since, fol.cause = now, cause }

func (fol *follower) close(now time.Time) {
	if !fol.since.IsZero() && now.Sub(fol.since) >= leastGap {
		fol.gaps = append(fol.gaps, Gap{From: fol.since, To: now, Cause: fol.cause, Line: fol.last})
	}
	fol.since = time.Time{}
}

// causeOf returns why nothing works after the end of a run.
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

// aroundKinds are the lines that explain delays of jobs that they don't name.
var aroundKinds = map[decision.Kind]bool{
	decision.OwnerElected: true, decision.OwnershipEnded: true, decision.InstanceLost: true, decision.InstanceSuspended: true,
	decision.WorkerAnswersChanged: true, decision.FeedLost: true, decision.FeedRegained: true, decision.FillingPaused: true,
	decision.FillingResumed: true, decision.ProcessStarted: true, decision.ProcessLeaves: true,
}

// context returns the lines around those of a job that concern the nodes and instances in them.
func (day Timeline) context(lines []Line) []Line {
	from, to := lines[0].At.Add(-lines[0].Took), lines[len(lines)-1].At
	known := make(map[string]bool)
	for _, lin := range lines {
		known[lin.Node], known[lin.Instance] = true, true
	}
	var out []Line
	for _, lin := range day.lines {
		if lin.At.Before(from) || lin.At.After(to) || !aroundKinds[lin.Kind] || lin.of(lines[0].Job) {
			continue
		}
		everywhere := lin.Kind == decision.OwnerElected || lin.Kind == decision.OwnershipEnded
		if everywhere || known[lin.Node] || known[lin.Instance] && lin.Instance != "" {
			out = append(out, lin)
		}
	}
	return out
}
