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

// Limits of the attempts of one task without proof against the job or an instance.
const (
	// attemptLimit is the number of failures after which a task is set aside if
	// its job has failed on distinctLimit instances or on all. With doubling
	// delays that is half a minute.
	attemptLimit  = 6
	distinctLimit = 3
	// lastAttempt sets a task aside that was tried on the same few instances again and again.
	lastAttempt = 16
)

var endKinds = map[job.EndKind]place.End{
	job.EndFinished: place.Finished, job.EndFailed: place.Failed, job.EndCheckpointed: place.Interrupted,
	job.EndStopped: place.Interrupted, job.EndNotStarted: place.Interrupted, job.EndLost: place.Interrupted,
}

// ended takes in how an assignment ended and decides about a failed one.
func (dsp *Dispatcher[P]) ended(tsk job.Task, ins fleet.InstanceID, end job.End, now time.Time) job.Verdict {
	dsp.now = now
	id, req := taskID(tsk.Ref()), dsp.request(tsk)
	if peak := dsp.sched.Peak(id); end.Kind() == job.EndFinished {
		dsp.floors.drop(id)
	} else {
		dsp.floors.raise(id, peak.MemoryMB())
	}
	ver, parked := dsp.sched.Conclude(id, endKinds[end.Kind()], describe(end), now)
	hol := dsp.holds[id]
	if hol != nil {
		dsp.release(id, hol)
		if end.Kind() == job.EndFinished && hol.whole {
			dsp.ran(req.Class(), now.Sub(hol.since))
		}
	}
	if end.Evicted() && (hol == nil || !hol.evicted) {
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
	text, exhausted := dsp.parking(id, tsk.Ref().Job()), parked
	if !parked {
		text, exhausted = dsp.exhaustedTask(req, failures)
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

// unpark forgets the failures of a job when a task of it that was set aside is
// queued again, which only an operator does.
func (dsp *Dispatcher[P]) unpark(req place.Task) {
	if dsp.parked.remove(req.ID()) {
		dsp.sched.Knowledge().Blame().Release(req.Job())
		dsp.sched.Knowledge().Blame().Release(string(req.ID()))
	}
}

// describe returns what an end says to people.
func describe(end job.End) string {
	if end.Detail() == "" {
		return end.Kind().String()
	}
	return end.Kind().String() + ", " + end.Detail()
}

// parking returns why the job or the task is set aside.
func (dsp *Dispatcher[P]) parking(id place.TaskID, name job.ID) string {
	for _, subject := range []string{string(id), string(name)} {
		rsns := dsp.sched.Explain(subject)
		for pos := len(rsns) - 1; pos >= 0; pos-- {
			if cod := rsns[pos].Code(); cod == explain.JobParked || cod == explain.JobUndetermined {
				return rsns[pos].String()
			}
		}
	}
	return "the job failed on several instances and is set aside"
}

// exhaustedTask reports whether a task has failed too often to be tried again without proof.
func (dsp *Dispatcher[P]) exhaustedTask(req place.Task, failures int) (string, bool) {
	if failures < attemptLimit {
		return "", false
	}
	distinct := dsp.sched.FailedOn(req)
	if failures < lastAttempt && distinct < min(distinctLimit, len(dsp.list)) {
		return "", false
	}
	text := fmt.Sprintf("%s failed %d times, its job on %d instances; neither the job nor the instances are proven at fault; "+
		"it starts again when an operator retries the job after removing the cause", req.ID(), failures, distinct)
	dsp.sched.Record(explain.New(explain.JobUndetermined, dsp.now, req.Job()).Counts(distinct, 0).Detail(fmt.Sprintf("%d failures of task %s", failures, req.ID())))
	return text, true
}
