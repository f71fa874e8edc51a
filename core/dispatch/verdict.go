package dispatch

import (
	"fmt"
	"time"

	"jacinthpost/core/blame"
	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
)

// Limits of the attempts for a task while neither its job nor an instance is proven
// to be at fault.
const (
	// attemptLimit is the number of failures after which a task is parked if its job
	// has failed on distinctLimit instances or on all. With delays that double it is
	// reached after half a minute.
	attemptLimit  = 6
	distinctLimit = 3
	// repeatedAttemptLimit is the number of failures after which a task is parked even
	// if it has failed on fewer than distinctLimit instances.
	repeatedAttemptLimit = 16
)

var endKinds = map[job.EndKind]place.End{
	job.EndFinished: place.Finished, job.EndFailed: place.Failed, job.EndCheckpointed: place.Interrupted,
	job.EndStopped: place.Interrupted, job.EndNotStarted: place.Interrupted, job.EndLost: place.Interrupted,
}

// ended records how an assignment ended. For a failed one it returns whether the task
// is retried or parked.
func (dsp *Dispatcher[P]) ended(tsk job.Task, ins fleet.InstanceID, end job.End, now time.Time) job.Verdict {
	dsp.now = now
	id, req := taskID(tsk.Ref()), dsp.request(tsk)
	if peak := dsp.sched.Peak(id); end.Kind() == job.EndFinished {
		dsp.floors.drop(id)
	} else {
		dsp.floors.raise(id, peak.MemoryMB())
	}
	ver, parked := dsp.sched.Conclude(id, endKinds[end.Kind()], describe(end), now)
	com := dsp.commitments[id]
	if com != nil {
		dsp.release(id, com)
		if end.Kind() == job.EndFinished && com.fromStart {
			dsp.recordRunTime(req.Class(), now.Sub(com.since))
		}
	}
	if end.Evicted() && (com == nil || !com.evicted) {
		dsp.exclude(req.Class(), ins)
	}
	if end.Kind() == job.EndNotStarted {
		dsp.sched.BackOff(ins)
	}
	if end.Kind() != job.EndFailed {
		return job.Verdict{}
	}
	dsp.track(string(id))
	failures := tsk.Counters().Failures() + 1
	text, exhausted := dsp.parkReason(id, tsk.Ref().Job()), parked
	if !parked {
		text, exhausted = dsp.attemptsExhausted(req, failures)
	}
	if exhausted {
		dsp.parked.add(id, trackedLimit, func(place.TaskID) bool { return true })
		return job.Park(text + "; the last failure on " + string(ins) + ": " + end.Detail())
	}
	delay := blame.MinRetry << min(failures-1, 10)
	if ver.Retry() > 0 {
		delay = min(delay, ver.Retry())
	}
	return job.Retry(min(delay, blame.MaxRetry))
}

// unpark forgets the failures of a parked task and of its job. The task is queued
// again only if an operator has retried it.
func (dsp *Dispatcher[P]) unpark(req place.Task) {
	if dsp.parked.remove(req.ID()) {
		dsp.sched.Knowledge().Blame().Release(req.Job())
		dsp.sched.Knowledge().Blame().Release(string(req.ID()))
	}
}

// describe returns the kind of an end and its detail, if any, for explanations.
func describe(end job.End) string {
	if end.Detail() == "" {
		return end.Kind().String()
	}
	return end.Kind().String() + ", " + end.Detail()
}

// parkReason returns the latest recorded reason for which the task or its job is parked.
func (dsp *Dispatcher[P]) parkReason(id place.TaskID, name job.ID) string {
	for _, subject := range []string{string(id), string(name)} {
		rsns := dsp.sched.Explain(subject)
		for pos := len(rsns) - 1; pos >= 0; pos-- {
			if cod := rsns[pos].Code(); cod == explain.JobParked || cod == explain.JobParkedUndetermined {
				return rsns[pos].String()
			}
		}
	}
	return "the job failed on several instances and is parked"
}

// attemptsExhausted reports whether a task has failed too often to be tried again
// although no fault is proven, and returns the explanation for its owner.
func (dsp *Dispatcher[P]) attemptsExhausted(req place.Task, failures int) (string, bool) {
	if failures < attemptLimit {
		return "", false
	}
	distinct := dsp.sched.FailedOn(req)
	if failures < repeatedAttemptLimit && distinct < min(distinctLimit, len(dsp.known)) {
		return "", false
	}
	text := fmt.Sprintf("%s failed %d times, its job on %d instances; neither the job nor the instances are proven at fault; "+
		"it starts again when an operator retries the job after removing the cause", req.ID(), failures, distinct)
	dsp.sched.Record(explain.New(explain.JobParkedUndetermined, dsp.now, req.Job()).WithCounts(distinct, 0).WithDetail(fmt.Sprintf("%d failures of task %s", failures, req.ID())))
	return text, true
}
