package simulation

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
)

// tooLateFactor is the multiple of its objective after which the result of a job is useless.
const tooLateFactor = 3

// Result holds the results of a run by class.
type Result struct {
	classes     []ClassResult
	lapsed      int
	longestWait time.Duration
}

// Lapsed returns the number of runs whose lease expired because the owner did not answer in time.
func (res Result) Lapsed() int { return res.lapsed }

// LongestWait returns the longest time for which a report waited for the owner.
func (res Result) LongestWait() time.Duration { return res.longestWait }

// Classes returns the results by class, in the order of the deployment.
func (res Result) Classes() []ClassResult { return res.classes }

// Class returns the result of a class, and false if there is none.
func (res Result) Class(name string) (ClassResult, bool) {
	pos := slices.IndexFunc(res.classes, func(cls ClassResult) bool { return cls.name == name })
	if pos < 0 {
		return ClassResult{}, false
	}
	return res.classes[pos], true
}

// ClassResult counts the jobs of a class by their result.
type ClassResult struct {
	name            string
	jobs            int
	onTime          int
	late            int
	tooLate         int
	unfinished      int // accepted, but not complete at the end
	refused         int // never accepted
	cancelled       int // before they were complete
	unstopped       int // runs that went on after the end of their jobs
	waits           []time.Duration
	servingFraction float64
	wastedWork      time.Duration // of jobs that were complete too late
	responses       []time.Duration
	credits         []jobCredit
}

// Name returns the name of the class.
func (cls ClassResult) Name() string { return cls.name }

// Jobs returns the number of jobs that callers submitted, refused or not.
func (cls ClassResult) Jobs() int { return cls.jobs }

// OnTime returns the number of jobs that were complete within their objective after the first
// attempt to submit them.
func (cls ClassResult) OnTime() int { return cls.onTime }

// Late returns the number of jobs that missed their objective and were complete within three times
// it.
func (cls ClassResult) Late() int { return cls.late }

// TooLate returns the number of jobs that were complete later than that.
func (cls ClassResult) TooLate() int { return cls.tooLate }

// Unfinished returns the number of accepted jobs that were not complete at the end.
func (cls ClassResult) Unfinished() int { return cls.unfinished }

// Refused returns the number of jobs that were never accepted.
func (cls ClassResult) Refused() int { return cls.refused }

// Cancelled returns the number of jobs that their callers cancelled before they were complete.
func (cls ClassResult) Cancelled() int { return cls.cancelled }

// Unstopped returns the number of runs that still worked stopLimit after their jobs had become final.
func (cls ClassResult) Unstopped() int { return cls.unstopped }

// ServingFraction returns the fraction of the task time of long-running jobs in which their tasks
// ran within their latency target.
func (cls ClassResult) ServingFraction() float64 { return cls.servingFraction }

// Credit returns the fraction of their credit that the long-running jobs earned. See credit.
func (cls ClassResult) Credit() float64 { return earnedFraction(cls.credits) }

// LargestCredit returns the lower one of the fractions of their credit that the largest tenth of the
// long-running jobs and the next fifth earned.
func (cls ClassResult) LargestCredit() float64 { return largestEarnedFraction(cls.credits) }

// Wait returns a quantile of the times from the last attempt to submit a job to its first start.
func (cls ClassResult) Wait(fraction float64) time.Duration { return quantile(cls.waits, fraction) }

// Response returns a quantile of the times from the first attempt to submit a job to its end.
func (cls ClassResult) Response(fraction float64) time.Duration {
	return quantile(cls.responses, fraction)
}

// WastedWork returns the task time of jobs that were complete too late.
func (cls ClassResult) WastedWork() time.Duration { return cls.wastedWork }

func quantile(vals []time.Duration, fraction float64) time.Duration {
	if len(vals) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(vals))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// applyNote records the start or the end of a job that the scheduler reports.
func (rn *Run[O, P, A]) applyNote(nte batch.Note) {
	jb := rn.jobs[nte.Job]
	switch {
	case jb == nil:
	case nte.Kind == decision.RunAssigned && !jb.started:
		jb.startedAt, jb.started = rn.now, true
	case nte.Kind == decision.JobFinished:
		jb.endedAt = rn.now
	}
}

// countServingTime adds a step to the task times of the long-running jobs.
func (rn *Run[O, P, A]) countServingTime() {
	for _, wrk := range rn.workers {
		for rid, run := range wrk.runs {
			if run.order.LongRunning && run.percent >= 100 && !rn.jobs[rid.Task.Job].final {
				rn.jobs[rid.Task.Job].addServingTime(run)
			}
		}
	}
	for _, jb := range rn.arrivals {
		if !jb.accepted || jb.final || !rn.deployment.Classes[jb.class].LongRunning {
			continue
		}
		tasks := jb.params.Steps[0].Count
		jb.expectedTime += Step * time.Duration(tasks)
		if rn.now%creditPeriod < Step {
			jb.credit.endPeriod(tasks)
		}
	}
}

// addServingTime adds a step of a run that is at work.
func (jb *job) addServingTime(run *run) {
	if run.order.Target > 0 && run.tailMillis > float64(run.order.Target)/float64(time.Millisecond) {
		jb.credit.over += Step
		return
	}
	jb.servedTime += Step
	jb.credit.within += Step
}

func (rn *Run[O, P, A]) results() Result {
	res := Result{classes: make([]ClassResult, len(rn.deployment.Classes)), longestWait: rn.longestWait}
	for _, wrk := range rn.workers {
		res.lapsed += wrk.lapsed
	}
	owed, served := make([]time.Duration, len(res.classes)), make([]time.Duration, len(res.classes))
	for _, jb := range rn.arrivals {
		cls := &res.classes[jb.class]
		cls.jobs++
		cls.unstopped += jb.unstopped
		if jb.cancelled {
			cls.cancelled++
		}
		if jb.started {
			cls.waits = append(cls.waits, jb.startedAt-jb.at)
		}
		owed[jb.class] += jb.expectedTime
		served[jb.class] += jb.servedTime
		if rn.deployment.Classes[jb.class].LongRunning {
			if !jb.accepted {
				cls.refused++
			}
			cls.credits = append(cls.credits, jb.weighedCredit())
			continue
		}
		cls.addJob(jb)
	}
	for num := range res.classes {
		res.classes[num].name = rn.deployment.Classes[num].Name
		if owed[num] > 0 {
			res.classes[num].servingFraction = served[num].Seconds() / owed[num].Seconds()
		}
	}
	return res
}

func (cls *ClassResult) addJob(jb *job) {
	took := jb.endedAt - jb.firstAttempt
	objective := time.Duration(jb.params.Stretch*float64(jb.minDuration())) + time.Duration(jb.params.TargetLatencyMillis)*time.Millisecond
	switch {
	case !jb.accepted:
		cls.refused++
		return
	case jb.cancelled:
		return
	case jb.endedAt == 0:
		cls.unfinished++
		return
	case took <= objective:
		cls.onTime++
	case took <= tooLateFactor*objective:
		cls.late++
	default:
		cls.tooLate++
		for num, stp := range jb.params.Steps {
			cls.wastedWork += time.Duration(stp.Count) * jb.durations[num]
		}
	}
	cls.responses = append(cls.responses, took)
}

// Aggregate adds up the results of several runs by class. Serving fractions are averaged.
func Aggregate(results []Result) []ClassResult {
	var out []ClassResult
	for _, res := range results {
		for _, cls := range res.classes {
			pos := slices.IndexFunc(out, func(old ClassResult) bool { return old.name == cls.name })
			if pos < 0 {
				out = append(out, ClassResult{name: cls.name})
				pos = len(out) - 1
			}
			out[pos].add(cls, float64(len(results)))
		}
	}
	slices.SortStableFunc(out, func(one, two ClassResult) int { return cmp.Compare(one.name, two.name) })
	return out
}

func (cls *ClassResult) add(oth ClassResult, runs float64) {
	cls.jobs += oth.jobs
	cls.onTime += oth.onTime
	cls.late += oth.late
	cls.tooLate += oth.tooLate
	cls.unfinished += oth.unfinished
	cls.refused += oth.refused
	cls.cancelled += oth.cancelled
	cls.unstopped += oth.unstopped
	cls.wastedWork += oth.wastedWork
	cls.servingFraction += oth.servingFraction / runs
	cls.waits = append(cls.waits, oth.waits...)
	cls.responses = append(cls.responses, oth.responses...)
	cls.credits = append(cls.credits, oth.credits...)
}
