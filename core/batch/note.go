package batch

import (
	"time"

	"jacinthpost/core/fleet"
)

// NoteKind names a decision in logs.
type NoteKind string

// Kinds of notes.
const (
	NoteSubmitted NoteKind = "jobSubmitted"
	NoteCancelled NoteKind = "jobCancelled"
	NoteFinished  NoteKind = "jobFinished"
	NoteAssigned  NoteKind = "runAssigned"
	NoteEnded     NoteKind = "runEnded"
	NoteStopped   NoteKind = "runStopped"
	NoteSuspended NoteKind = "instanceSuspended"
	NoteLost      NoteKind = "instanceLost"
	NoteHeard     NoteKind = "instanceHeard"
)

// Note is one decision with the facts behind it, for the decision log.
type Note struct {
	At       time.Time
	Kind     NoteKind
	Job      string
	ID       RunID
	Instance fleet.InstanceID
	Detail   string
}

// maxNotes bounds what is kept between two calls of Notes.
const maxNotes = 1024

func (sch *Scheduler[O, P]) note(now time.Time, knd NoteKind, job string, rid RunID, ins fleet.InstanceID, detail string) {
	if len(sch.notes) < maxNotes {
		sch.notes = append(sch.notes, Note{At: now, Kind: knd, Job: job, ID: rid, Instance: ins, Detail: detail})
	}
}

// Notes returns the decisions since the last call.
func (sch *Scheduler[O, P]) Notes() []Note {
	out := sch.notes
	sch.notes = nil
	return out
}
