package batch

import (
	"slices"
	"time"

	"jacinthpost/core/workload"
)

// jobState is a job with the state of its tasks.
type jobState struct {
	spec        workload.Job
	state       JobState
	occurrences []*occurrence
	nextDue     int  // number of the next occurrence to create
	begun       bool // a task has started
	acceptedAt  time.Time
	finalAt     time.Time
	dirty       bool           // contained in Scheduler.dirty
	unstored    bool           // part of the state is not stored yet
	orders      []pendingOrder // released when the state that contains them is stored
	acks        []ack          // events that agents may discard when the state is stored

	suspect       bool      // the store has not accepted the record, see SetAside
	setAsideUntil time.Time // time of the next try to store a job that was set aside, zero for others

	checkpointBytes   int  // size of the checkpoints in a record
	checkpointLeftOut bool // a checkpoint was left out, see setCheckpoint
}

// occurrence is one execution of all steps of a job. A timed job has one for each time at which it is
// due.
type occurrence struct {
	job    *jobState
	number int
	steps  []*stepState
}

// stepState is a step of one occurrence.
type stepState struct {
	spec        workload.Step
	occurrence  *occurrence
	number      int
	tasks       []*task
	done        int
	doneTimes   []time.Duration            // run times of the tasks that are done, sorted
	permissions map[Incarnation]permission // of a job that needs permission
	requestedAt time.Time                  // when permissions were last requested
	// blockedSince is the time since when a startable task has found no instance. It is zero when all
	// have found one.
	blockedSince time.Time
	rejections   rejections
}

func newOccurrence(job *jobState, num int) *occurrence {
	occ := &occurrence{job: job, number: num, steps: make([]*stepState, len(job.spec.Steps()))}
	for idx, stp := range job.spec.Steps() {
		sta := &stepState{spec: stp, occurrence: occ, number: idx, tasks: make([]*task, stp.Count())}
		for tnm := range sta.tasks {
			sta.tasks[tnm] = &task{}
		}
		occ.steps[idx] = sta
	}
	return occ
}

// dependenciesDone reports whether all steps on which the step depends are done.
func (occ *occurrence) dependenciesDone(num int) bool {
	for _, prv := range occ.steps[num].spec.Dependencies() {
		if occ.steps[prv].done < len(occ.steps[prv].tasks) {
			return false
		}
	}
	return true
}

func (occ *occurrence) done() bool {
	for _, stp := range occ.steps {
		if stp.done < len(stp.tasks) {
			return false
		}
	}
	return true
}

func (job *jobState) occurrence(num int) *occurrence {
	for _, occ := range job.occurrences {
		if occ.number == num {
			return occ
		}
	}
	return nil
}

// task returns the task with an ID and its step, or nil when there is none.
func (job *jobState) task(tid TaskID) (*stepState, *task) {
	occ := job.occurrence(tid.Occurrence)
	if occ == nil || tid.Step < 0 || tid.Step >= len(occ.steps) {
		return nil, nil
	}
	stp := occ.steps[tid.Step]
	if tid.Index < 0 || tid.Index >= len(stp.tasks) {
		return nil, nil
	}
	return stp, stp.tasks[tid.Index]
}

// hasResults reports whether a task of the created occurrences has ended or saved a checkpoint.
func (job *jobState) hasResults() bool {
	for _, occ := range job.occurrences {
		for _, stp := range occ.steps {
			if slices.ContainsFunc(stp.tasks, func(tsk *task) bool { return tsk.phase == Done || tsk.failures > 0 || tsk.checkpoint != "" }) {
				return true
			}
		}
	}
	return false
}

func (job *jobState) hasAttempts() bool {
	return slices.ContainsFunc(job.occurrences, (*occurrence).hasAttempts)
}

// tasks returns the number of tasks of the created occurrences.
func (job *jobState) tasks() int {
	num := 0
	for _, occ := range job.occurrences {
		for _, stp := range occ.steps {
			num += len(stp.tasks)
		}
	}
	return num
}

// compact drops what is not needed of a final job whose state is stored. Final jobs are kept for minutes.
func (job *jobState) compact() {
	if job.state.Final() && !job.unstored && !job.hasAttempts() {
		job.occurrences, job.spec = nil, job.spec.Outline()
	}
}

// eachAttempt visits all attempts. The visitor may remove the attempt it is given.
func (job *jobState) eachAttempt(visit func(att *attempt)) {
	for _, occ := range job.occurrences {
		for _, stp := range occ.steps {
			for _, tsk := range stp.tasks {
				for _, att := range slices.Backward(tsk.attempts) {
					visit(att)
				}
			}
		}
	}
}

// eachOccurrence visits the occurrences of the jobs that are not final.
func (sch *Scheduler[O, P]) eachOccurrence(visit func(job *jobState, occ *occurrence)) {
	for _, job := range sch.active {
		for _, occ := range job.occurrences {
			visit(job, occ)
		}
	}
}

// eachAttempt visits the attempts of the jobs that are not final. The visitor may remove the attempt it
// is given.
func (sch *Scheduler[O, P]) eachAttempt(visit func(att *attempt)) {
	for _, ins := range sch.instanceList {
		ins.eachAttempt(func(att *attempt) {
			if !att.job.state.Final() {
				visit(att)
			}
		})
	}
}

// createDue creates the occurrences that are due and returns their number. One that would make the state too large
// waits until others are done, as after an outage during which many became due.
func (job *jobState) createDue(wall time.Time) int {
	num := 0
	for job.nextDue < job.spec.Occurrences() && !wall.Before(job.spec.Due(job.nextDue)) {
		if len(job.occurrences) > 0 && job.size()+job.occurrenceSize() > maxDueBytes {
			break
		}
		job.occurrences = append(job.occurrences, newOccurrence(job, job.nextDue))
		job.nextDue++
		num++
	}
	return num
}

// dropFinished drops the occurrences of a timed job that are done, and reports whether the whole
// job is done.
func (job *jobState) dropFinished() bool {
	open := job.occurrences[:0]
	for _, occ := range job.occurrences {
		if !occ.done() || occ.hasAttempts() {
			open = append(open, occ)
		}
	}
	unfinished := false
	for _, occ := range open {
		unfinished = unfinished || !occ.done()
	}
	if !job.spec.Timed() {
		open = job.occurrences
	}
	if len(open) < len(job.occurrences) {
		clear(job.occurrences[len(open):])
		job.occurrences = open
		job.countCheckpoints()
	}
	return !unfinished && job.nextDue >= job.spec.Occurrences()
}

func (occ *occurrence) hasAttempts() bool {
	for _, stp := range occ.steps {
		for _, tsk := range stp.tasks {
			if len(tsk.attempts) > 0 {
				return true
			}
		}
	}
	return false
}
