package batch

import (
	"math"
	"slices"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/workload"
)

// Weights of the learned run times.
const (
	learnWeight    = 0.05 // of one run in the mean of its queue
	estimateWeight = 0.25 // of a declared estimate against the queue's mean: estimates are off by up to ten times
	unknownRun     = time.Second
)

// durations learns the run times of the tasks of each queue as means of logarithms,
// because run times differ by factors.
type durations struct{ means map[string]float64 }

func durationKey(queue string, stp workload.Step) string {
	if stp.BestEffort() {
		return queue + "/fills"
	}
	return queue
}

func (dur *durations) learn(queue string, stp workload.Step, took time.Duration) {
	if dur.means == nil {
		dur.means = make(map[string]float64)
	}
	key, val := durationKey(queue, stp), math.Log(max(0.001, took.Seconds()))
	if old, found := dur.means[key]; found {
		val = old + learnWeight*(val-old)
	}
	dur.means[key] = val
}

// predict returns the expected run time of a task of a step: that of its siblings
// when some are done, otherwise the queue's mean corrected a little by the estimate.
func (dur *durations) predict(queue string, stp *stepState) time.Duration {
	if len(stp.took) > 0 {
		took := slices.Clone(stp.took)
		slices.Sort(took)
		return took[len(took)/2]
	}
	est := stp.spec.Estimate().Seconds()
	mean, found := dur.means[durationKey(queue, stp.spec)]
	switch {
	case found && est > 0:
		return seconds(math.Exp((1-estimateWeight)*mean + estimateWeight*math.Log(est)))
	case found:
		return seconds(math.Exp(mean))
	case est > 0:
		return seconds(est)
	default:
		return unknownRun
	}
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

// Limits after which a run counts as overdue: it hangs or its worker is slow.
const (
	overdueFactor       = 4 // on the run time of siblings
	overdueUnsureFactor = 8 // on a predicted run time
	overdueSlack        = time.Second
)

// judgeOverdue moves runs that take far longer than they should.
func (sch *Scheduler[O, P]) judgeOverdue(now time.Time) {
	sch.eachAttempt(func(job *jobState, tid TaskID, tsk *task, att *attempt) {
		stp, _ := job.task(tid)
		if sch.overdue(job, stp, att, now) {
			sch.moveOverdue(job, stp, tid, tsk, att, now)
		}
	})
}

func (sch *Scheduler[O, P]) overdue(job *jobState, stp *stepState, att *attempt, now time.Time) bool {
	if att.overdue || att.stopping || att.working.IsZero() || stp.spec.LongRunning() || stp.spec.BestEffort() || stp.spec.Gang() {
		return false
	}
	factor := overdueUnsureFactor
	if len(stp.took) > 1 {
		factor = overdueFactor
	}
	limit := time.Duration(factor)*sch.learned.predict(job.spec.Queue(), stp) + overdueSlack
	return now.Sub(att.working) > limit
}

// moveOverdue starts a copy elsewhere where copies are allowed and otherwise stops
// the run, once. A task that was moved already is left alone.
func (sch *Scheduler[O, P]) moveOverdue(job *jobState, stp *stepState, tid TaskID, tsk *task, att *attempt, now time.Time) {
	att.overdue = true
	ins := sch.instance(att.instance)
	if tsk.failedAt(ins.id) || len(tsk.failedOn) > 0 {
		return
	}
	sch.judge(ins, job, now)
	tsk.failedOn = appendRecent(tsk.failedOn, ins.id)
	if stp.spec.Speculative() {
		return
	}
	sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, ins.id, "overdue")
	sch.stop(job, tid, tsk, att)
}
