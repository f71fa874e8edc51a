package batch

import (
	"fmt"
	"slices"

	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// JobState is the state of a job that callers see.
type JobState string

// States of a job. The last three are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state can't change any more.
func (sta JobState) Final() bool {
	return sta == JobCompleted || sta == JobFailed || sta == JobCancelled
}

// JobRecord is the stored state of a job. Its workload.Job, which never changes, is stored
// separately.
type JobRecord struct {
	ID          string             `json:"id"`
	Queue       string             `json:"queue"`
	State       JobState           `json:"state"`
	Occurrences []OccurrenceRecord `json:"occurrences,omitempty"`
	NextDue     int                `json:"nextDue,omitempty"` // number of the next occurrence to create
	Places      []PlaceRecord      `json:"places,omitempty"`
}

// PlaceRecord is an incarnation of a worker to which attempts refer by index.
type PlaceRecord struct {
	Instance    fleet.InstanceID `json:"i"`
	Incarnation Incarnation      `json:"l"`
}

// OccurrenceRecord is the stored state of one occurrence.
type OccurrenceRecord struct {
	Number int            `json:"number,omitempty"`
	Steps  [][]TaskRecord `json:"steps"`
}

// TaskRecord is the stored state of a task.
type TaskRecord struct {
	Phase      TaskPhase       `json:"p,omitempty"`
	Run        int             `json:"r,omitempty"`
	Failures   int             `json:"f,omitempty"`
	FailedRun  int             `json:"g,omitempty"` // of a gang's member; earlier versions store none
	Checkpoint string          `json:"c,omitempty"`
	Attempts   []AttemptRecord `json:"a,omitempty"`
}

// AttemptRecord is the stored state of an attempt: its run number and the index in
// JobRecord.Places.
type AttemptRecord [2]int

// Check returns an error if the record holds a value that no owner stores.
func (rec JobRecord) Check() error {
	known := []JobState{"", JobQueued, JobRunning, JobCompleted, JobFailed, JobCancelled}
	if !slices.Contains(known, rec.State) || rec.NextDue < 0 {
		return fmt.Errorf("state %q, next occurrence %d", rec.State, rec.NextDue)
	}
	for _, occ := range rec.Occurrences {
		for _, stp := range occ.Steps {
			for _, tsk := range stp {
				if err := tsk.check(len(rec.Places)); err != nil {
					return fmt.Errorf("occurrence %d: %w", occ.Number, err)
				}
			}
		}
	}
	return nil
}

func (rec TaskRecord) check(places int) error {
	if rec.Phase < Waiting || rec.Phase > TaskFailed || rec.Run < 0 || rec.Failures < 0 || rec.FailedRun < 0 {
		return fmt.Errorf("task in phase %d with run %d, %d failures and failed run %d", rec.Phase, rec.Run, rec.Failures, rec.FailedRun)
	}
	for _, att := range rec.Attempts {
		if att[0] < 0 || att[1] < 0 || att[1] >= places {
			return fmt.Errorf("run %d at place %d of %d", att[0], att[1], places)
		}
	}
	return nil
}

func (job *jobState) record() JobRecord {
	rec := JobRecord{ID: job.spec.ID(), Queue: job.spec.Queue(), State: job.state, NextDue: job.nextDue}
	if job.state.Final() && !job.hasAttempts() {
		return rec
	}
	for _, occ := range job.occurrences {
		rec.Occurrences = append(rec.Occurrences, occ.record(&rec))
	}
	return rec
}

// place returns the index of a place in Places. It adds the place if it is missing.
func (rec *JobRecord) place(plc PlaceRecord) int {
	if num := slices.Index(rec.Places, plc); num >= 0 {
		return num
	}
	rec.Places = append(rec.Places, plc)
	return len(rec.Places) - 1
}

func (occ *occurrence) record(job *JobRecord) OccurrenceRecord {
	rec := OccurrenceRecord{Number: occ.number, Steps: make([][]TaskRecord, len(occ.steps))}
	for num, stp := range occ.steps {
		rec.Steps[num] = make([]TaskRecord, len(stp.tasks))
		for idx, tsk := range stp.tasks {
			rec.Steps[num][idx] = tsk.record(job)
		}
	}
	return rec
}

func (tsk *task) record(job *JobRecord) TaskRecord {
	rec := TaskRecord{Phase: tsk.phase, Run: tsk.run, Failures: tsk.failures, FailedRun: tsk.failedRun, Checkpoint: tsk.checkpoint}
	for _, att := range tsk.attempts {
		place := job.place(PlaceRecord{Instance: att.instance, Incarnation: att.incarnation})
		rec.Attempts = append(rec.Attempts, AttemptRecord{att.run, place})
	}
	return rec
}

// restore rebuilds the state of a job from its record. Attempts are unconfirmed
// until the agents of their instances report.
func restore(spec workload.Job, rec JobRecord) *jobState {
	job := &jobState{spec: spec, state: rec.State, nextDue: rec.NextDue}
	if rec.State == "" {
		job.state = JobQueued
	}
	for _, old := range rec.Occurrences {
		job.occurrences = append(job.occurrences, restoreOccurrence(job, old, rec.Places))
	}
	job.begun = job.hasResults()
	job.countCheckpoints()
	return job
}

func restoreOccurrence(job *jobState, rec OccurrenceRecord, places []PlaceRecord) *occurrence {
	occ := newOccurrence(job, rec.Number)
	for num, tsks := range rec.Steps {
		if num >= len(occ.steps) {
			break
		}
		stp := occ.steps[num]
		for idx, old := range tsks {
			if idx < len(stp.tasks) {
				stp.restore(idx, old, places)
			}
		}
		if stp.spec.Gang() {
			stp.mergeUndatedFailures()
		}
	}
	return occ
}

// mergeUndatedFailures corrects the failures of a gang that an earlier version has stored. It counted a failed run at
// each member that had failed, without the number of the run. The gang has failed at least as often as one of them.
func (stp *stepState) mergeUndatedFailures() {
	var most *task
	for _, tsk := range stp.tasks {
		if tsk.failures == 0 || tsk.failedRun != 0 {
			continue
		}
		if most == nil {
			most = tsk
			continue
		}
		most.failures, tsk.failures = max(most.failures, tsk.failures), 0
	}
}

func (stp *stepState) restore(idx int, rec TaskRecord, places []PlaceRecord) {
	tsk := stp.tasks[idx]
	tsk.phase, tsk.run, tsk.failures, tsk.failedRun, tsk.checkpoint = rec.Phase, rec.Run, rec.Failures, rec.FailedRun, rec.Checkpoint
	if rec.Phase == Done {
		stp.done++
	}
	for _, att := range rec.Attempts {
		if place := att[1]; place >= 0 && place < len(places) {
			plc := places[place]
			tsk.attempts = append(tsk.attempts, &attempt{
				job: stp.occurrence.job, step: stp, task: tsk, taskID: stp.taskID(idx),
				run: att[0], instance: plc.Instance, incarnation: plc.Incarnation, released: true,
			})
		}
	}
}
