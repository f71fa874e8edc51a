package simulation

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
)

// lateFactor is the multiple of its objective after which a job counts as lost.
const lateFactor = 3

// Result is what became of the jobs.
type Result struct {
	classes []ClassResult
}

// Classes returns the results by class, in the order of the deployment.
func (res Result) Classes() []ClassResult { return res.classes }

// Class returns the result of a class, and whether there is one.
func (res Result) Class(name string) (ClassResult, bool) {
	pos := slices.IndexFunc(res.classes, func(cls ClassResult) bool { return cls.name == name })
	if pos < 0 {
		return ClassResult{}, false
	}
	return res.classes[pos], true
}

// ClassResult is what became of the jobs of a class.
type ClassResult struct {
	name      string
	jobs      int
	onTime    int
	late      int
	tooLate   int
	unserved  int // accepted and not complete at the end
	refused   int // never accepted
	waits     []time.Duration
	serving   float64
	useless   time.Duration // work of jobs that were complete too late
	responses []time.Duration
}

// Name returns the name of the class.
func (cls ClassResult) Name() string { return cls.name }

// Jobs returns the number of jobs that callers wanted.
func (cls ClassResult) Jobs() int { return cls.jobs }

// OnTime returns the number of jobs that were complete within their objective, counted from the first try.
func (cls ClassResult) OnTime() int { return cls.onTime }

// Late returns the number of jobs that were complete within three times their objective.
func (cls ClassResult) Late() int { return cls.late }

// TooLate returns the number of jobs that were complete later than that.
func (cls ClassResult) TooLate() int { return cls.tooLate }

// Unserved returns the number of accepted jobs that were not complete at the end.
func (cls ClassResult) Unfinished() int { return cls.unserved }

// Refused returns the number of jobs that were never accepted.
func (cls ClassResult) Refused() int { return cls.refused }

// Serving returns the part of the task time of lasting jobs in which they were at work and within their target.
func (cls ClassResult) ServingFraction() float64 { return cls.serving }

// Wait returns the time from the last try to the first start that a part of the jobs did not exceed.
func (cls ClassResult) Wait(part float64) time.Duration { return quantile(cls.waits, part) }

// Response returns the time from the first try to the end that a part of the jobs did not exceed.
func (cls ClassResult) Response(part float64) time.Duration { return quantile(cls.responses, part) }

// Useless returns the task time that was spent on jobs that were complete too late.
func (cls ClassResult) WastedWork() time.Duration { return cls.useless }

func quantile(vals []time.Duration, part float64) time.Duration {
	if len(vals) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(vals))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// note takes a decision of the scheduler.
func (rn *Run[O, P, A]) note(nte batch.Note) {
	jb := rn.jobs[nte.Job]
	switch {
	case jb == nil:
	case nte.Kind == decision.RunAssigned && !jb.everBegun:
		jb.begun, jb.everBegun = rn.now, true
	case nte.Kind == decision.JobFinished:
		jb.ended = rn.now
	}
}

// credit counts the time in which lasting tasks serve.
func (rn *Run[O, P, A]) credit() {
	for _, jb := range rn.order {
		if jb.handed && rn.deployment.Classes[jb.class].LongRunning {
			jb.owed += Step * time.Duration(jb.params.Steps[0].Count)
		}
	}
	for _, wrk := range rn.workers {
		for rid, run := range wrk.runs {
			within := run.order.Target == 0 || run.tail <= float64(run.order.Target)/float64(time.Millisecond)
			if run.order.LongRunning && run.percent >= 100 && within {
				rn.jobs[rid.Task.Job].served += Step
			}
		}
	}
}

func (rn *Run[O, P, A]) result() Result {
	res := Result{classes: make([]ClassResult, len(rn.deployment.Classes))}
	owed, served := make([]time.Duration, len(res.classes)), make([]time.Duration, len(res.classes))
	for _, jb := range rn.order {
		cls := &res.classes[jb.class]
		cls.jobs++
		if jb.everBegun {
			cls.waits = append(cls.waits, jb.begun-jb.at)
		}
		owed[jb.class] += jb.owed
		served[jb.class] += jb.served
		if rn.deployment.Classes[jb.class].LongRunning {
			if !jb.handed {
				cls.refused++
			}
			continue
		}
		cls.count(jb)
	}
	for num := range res.classes {
		res.classes[num].name = rn.deployment.Classes[num].Name
		if owed[num] > 0 {
			res.classes[num].serving = served[num].Seconds() / owed[num].Seconds()
		}
	}
	return res
}

func (cls *ClassResult) count(jb *job) {
	took := jb.ended - jb.first
	objective := time.Duration(jb.params.Stretch*float64(jb.chain())) + time.Duration(jb.params.TargetLatencyMillis)*time.Millisecond
	switch {
	case !jb.handed:
		cls.refused++
		return
	case jb.ended == 0:
		cls.unserved++
		return
	case took <= objective:
		cls.onTime++
	case took <= lateFactor*objective:
		cls.late++
	default:
		cls.tooLate++
		for num, stp := range jb.params.Steps {
			cls.useless += time.Duration(stp.Count) * jb.durations[num]
		}
	}
	cls.responses = append(cls.responses, took)
}

// Summary adds up the results of several seeds, by class.
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
	cls.unserved += oth.unserved
	cls.refused += oth.refused
	cls.useless += oth.useless
	cls.serving += oth.serving / runs
	cls.waits = append(cls.waits, oth.waits...)
	cls.responses = append(cls.responses, oth.responses...)
}
