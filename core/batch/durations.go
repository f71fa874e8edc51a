package batch

import (
	"math"
	"slices"
	"time"

	"jacinthpost/core/workload"
)

// Parameters of the predicted run times.
const (
	// runWeight is the weight of one run in the moving average of its queue.
	runWeight = 0.05
	// estimateWeight is the weight of a declared estimate against the queue's average. It is small
	// because estimates are off by a factor of up to 10.
	estimateWeight = 0.25
	// defaultRunTime is the prediction for a queue without completed runs and estimates.
	defaultRunTime = time.Second
)

// durations learns the run times of the tasks of each queue. It averages their logarithms, because
// run times differ by factors.
type durations struct{ means map[string]float64 }

// maxKnownRunSeconds bounds restored run times. Longer ones are not learned from batch tasks.
const maxKnownRunSeconds = 86400

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
		val = old + runWeight*(val-old)
	}
	dur.means[key] = val
}

// predict returns the expected run time of a task of a step: the median of the tasks of the step
// that are done, or if there are none, the queue's average weighted with the declared estimate.
func (dur *durations) predict(queue string, stp *stepState) time.Duration {
	if len(stp.doneTimes) > 0 {
		return stp.doneTimes[len(stp.doneTimes)/2]
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
		return defaultRunTime
	}
}

// addDoneTime adds the run time of a task that is done.
func (stp *stepState) addDoneTime(took time.Duration) {
	pos, _ := slices.BinarySearch(stp.doneTimes, took)
	stp.doneTimes = slices.Insert(stp.doneTimes, pos, took)
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

// Limits after which a run counts as overdue, because the run hangs or its worker is slow.
const (
	overdueFactor          = 4 // times the predicted run time, if several tasks of the step are done
	overdueUncertainFactor = 8 // times the predicted run time otherwise, because the prediction is less certain
	overdueSlack           = time.Second
)

// handleOverdue finds runs that take far longer than predicted and runs their tasks elsewhere.
func (sch *Scheduler[O, P]) handleOverdue(now time.Time) {
	sch.eachAttempt(func(att *attempt) {
		if sch.overdue(att, now) {
			sch.moveOverdue(att, now)
		}
	})
}

func (sch *Scheduler[O, P]) overdue(att *attempt, now time.Time) bool {
	stp := att.step
	if att.overdue || att.stopping || att.workingSince.IsZero() || stp.spec.LongRunning() || stp.spec.BestEffort() || stp.spec.Gang() {
		return false
	}
	factor := overdueUncertainFactor
	if len(stp.doneTimes) > 1 {
		factor = overdueFactor
	}
	limit := time.Duration(factor)*sch.runTimes.predict(att.job.spec.Queue(), stp) + overdueSlack
	return now.Sub(att.workingSince) > limit
}

// moveOverdue marks an overdue run, so that a speculative task gets a second copy on another
// instance. It stops the run of other tasks. A task that has failed or was moved before is not
// moved again.
func (sch *Scheduler[O, P]) moveOverdue(att *attempt, now time.Time) {
	att.overdue = true
	ins, tsk := sch.instance(att.instance), att.task
	sch.open(att.step)
	if tsk.failedOnInstance(ins.id) || len(tsk.failedOn) > 0 {
		return
	}
	sch.countFailure(ins, att.job, now)
	tsk.failedOn = appendRecent(tsk.failedOn, ins.id)
	if att.step.spec.Speculative() {
		return
	}
	sch.stop(att, stopOverdue, now)
}
