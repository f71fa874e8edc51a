package batch

import (
	"slices"

	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// JobState is what callers see of a job.
type JobState string

// States of a job. The last three are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state never changes again.
func (sta JobState) Final() bool {
	return sta == JobCompleted || sta == JobFailed || sta == JobCancelled
}

// JobRecord is the durable state of a job, next to its unchanging workload.Job.
type JobRecord struct {
	ID          string             `json:"id"`
	Queue       string             `json:"queue"`
	State       JobState           `json:"state"`
	Occurrences []OccurrenceRecord `json:"occurrences,omitempty"`
	NextDue     int                `json:"nextDue,omitempty"` // occurrences before it were created
	Places      []PlaceRecord      `json:"places,omitempty"`
}

// PlaceRecord is a life of a worker that attempts refer to.
type PlaceRecord struct {
	Instance    fleet.InstanceID `json:"i"`
	Incarnation Incarnation      `json:"l"`
}

// OccurrenceRecord is the durable state of one occurrence.
type OccurrenceRecord struct {
	Number int            `json:"number,omitempty"`
	Steps  [][]TaskRecord `json:"steps"`
}

// TaskRecord is the durable state of a task.
type TaskRecord struct {
	Phase      TaskPhase       `json:"p,omitempty"`
	Run        int             `json:"r,omitempty"`
	Failures   int             `json:"f,omitempty"`
	Checkpoint string          `json:"c,omitempty"`
	Attempts   []AttemptRecord `json:"a,omitempty"`
}

// AttemptRecord is the durable state of an attempt: its run number and the index of its place.
type AttemptRecord [2]int

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

// place returns the index of a place, which it adds when it is new.
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
	rec := TaskRecord{Phase: tsk.phase, Run: tsk.run, Failures: tsk.failures, Checkpoint: tsk.checkpoint}
	for _, att := range tsk.attempts {
		place := job.place(PlaceRecord{Instance: att.instance, Incarnation: att.life})
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
		job.occurrences = append(job.occurrences, restoreOccurrence(spec, old, rec.Places))
	}
	return job
}

func restoreOccurrence(spec workload.Job, rec OccurrenceRecord, places []PlaceRecord) *occurrence {
	occ := newOccurrence(spec, rec.Number)
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
	}
	return occ
}

func (stp *stepState) restore(idx int, rec TaskRecord, places []PlaceRecord) {
	tsk := stp.tasks[idx]
	tsk.phase, tsk.run, tsk.failures, tsk.checkpoint = rec.Phase, rec.Run, rec.Failures, rec.Checkpoint
	if rec.Phase == Done {
		stp.done++
	}
	for _, att := range rec.Attempts {
		if place := att[1]; place >= 0 && place < len(places) {
			plc := places[place]
			tsk.attempts = append(tsk.attempts, &attempt{run: att[0], instance: plc.Instance, life: plc.Incarnation, released: true})
		}
	}
}
