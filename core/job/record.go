package job

import (
	"jacinthpost/core/token"

	"jacinthpost/core/fleet"
)

// RecordKind is the kind of change that a record describes.
type RecordKind int

// Kinds of record.
const (
	JobSubmitted RecordKind = iota
	TaskAssigned
	TaskCheckpointed
	TaskEnded
	TaskParked
	JobCancelled
	JobRemoved
	JobRetried   // parked tasks return to the queue
	TaskRestored // the whole durable state of a task, in snapshots only
)

var recordNames = [...]string{JobSubmitted: "jobSubmitted", TaskAssigned: "taskAssigned",
	TaskCheckpointed: "taskCheckpointed", TaskEnded: "taskEnded", TaskParked: "taskParked",
	JobCancelled: "jobCancelled", JobRemoved: "jobRemoved", JobRetried: "jobRetried", TaskRestored: "taskRestored"}

// String returns the name of the kind in stored records and messages.
func (knd RecordKind) String() string { return recordNames[knd] }

// ParseRecordKind returns the kind with a name, and false if there is none.
func ParseRecordKind(name string) (RecordKind, bool) {
	for knd, nam := range recordNames {
		if nam == name {
			return RecordKind(knd), true
		}
	}
	return 0, false
}

// Counters count the assignments of a task and how they ended.
type Counters struct {
	attempts  int
	evictions int
	failures  int
}

// NewCounters returns the counters of a task.
func NewCounters(attempts, evictions, failures int) Counters {
	return Counters{attempts: attempts, evictions: evictions, failures: failures}
}

// Attempts returns the number of assignments.
func (cnt Counters) Attempts() int { return cnt.attempts }

// Evictions returns how many assignments were ended by force.
func (cnt Counters) Evictions() int { return cnt.evictions }

// Failures returns how many assignments failed.
func (cnt Counters) Failures() int { return cnt.failures }

// Record is one durable change of the state. Which fields are set depends on the kind.
type Record struct {
	kind     RecordKind
	at       int64
	ref      Ref
	spec     Spec
	digest   string
	holder   fleet.Process
	end      End
	state    State
	open     bool
	counters Counters
}

// NewRecord returns a record about a job or an assignment at a time in Unix milliseconds.
func NewRecord(knd RecordKind, ref Ref, unixMillis int64) Record {
	return Record{kind: knd, ref: ref, at: unixMillis}
}

// WithSpec returns the record with the content of a submitted job and its digest.
func (rec Record) WithSpec(spc Spec, digest string) Record {
	rec.spec, rec.digest = spc, digest
	return rec
}

// WithHolder returns the record with the holder of the assignment.
func (rec Record) WithHolder(hol fleet.Process) Record {
	rec.holder = hol
	return rec
}

// WithEnd returns the record with an end, a checkpoint or an explanation.
func (rec Record) WithEnd(end End) Record {
	rec.end = end
	return rec
}

// WithTask returns the record with the state of a task in a snapshot; open means that an end of its
// latest assignment is still accepted.
func (rec Record) WithTask(sta State, open bool, cnt Counters) Record {
	rec.state, rec.open, rec.counters = sta, open, cnt
	return rec
}

// Kind returns the kind of change.
func (rec Record) Kind() RecordKind { return rec.kind }

// At returns the time of the change in Unix milliseconds.
func (rec Record) At() int64 { return rec.at }

// Ref returns the job that changed and, in records of tasks, the task and the token.
func (rec Record) Ref() Ref { return rec.ref }

// Spec returns the content of a submitted job.
func (rec Record) Spec() Spec { return rec.spec }

// Digest returns the digest of the content as submitted.
func (rec Record) Digest() string { return rec.digest }

// Holder returns the holder of the assignment.
func (rec Record) Holder() fleet.Process { return rec.holder }

// End returns the end, checkpoint or explanation.
func (rec Record) End() End { return rec.end }

// State returns the state of the task in a snapshot.
func (rec Record) State() State { return rec.state }

// Open reports whether an end of the assignment in a snapshot is still accepted.
func (rec Record) Open() bool { return rec.open }

// Counters returns the counters of the task in a snapshot.
func (rec Record) Counters() Counters { return rec.counters }

// jobRef names a job without a task.
func jobRef(id ID) Ref { return NewRef(id, 0, token.Token{}) }
