package job

import (
	"time"

	"jacinthpost/core/explain"
)

// Rerun says what happens to a task when it is not known whether it has run.
type Rerun uint8

// Settings for a task whose assignment is lost.
const (
	RerunFromCheckpoint Rerun = iota // it starts again, from its latest checkpoint if there is one
	RerunNever                       // it is parked until its end is reported or an operator retries the job
	rerunCount
)

var rerunNames = [...]string{RerunFromCheckpoint: "fromCheckpoint", RerunNever: "never"}

// String returns the name of the setting as used in formats.
func (rer Rerun) String() string { return rerunNames[rer] }

// ParseRerun returns the setting with a name. The empty name, which records of
// earlier versions have, means the default.
func ParseRerun(name string) (Rerun, bool) {
	if name == "" {
		return RerunFromCheckpoint, true
	}
	for rer, nam := range rerunNames {
		if nam == name {
			return Rerun(rer), true
		}
	}
	return 0, false
}

// parksLost reports whether an end leaves open if the task has run, in a class
// that must not run again then. A failure is a known end: the task has told that
// it did not do its work, so it is tried again like one that was stopped.
func (tsk *task) parksLost(end End) bool {
	return end.kind == EndLost && tsk.entry.spec.rerun == RerunNever && !tsk.entry.cancelled
}

// mayHaveRun returns the explanation of a task that is parked because its end is not known.
func (tsk *task) mayHaveRun(end End, now time.Time) string {
	why := end.detail
	if why == "" {
		why = "its lease ended or the instance has no record of it"
	}
	return explain.New(explain.MayHaveRun, now, string(tsk.entry.id)).With(string(tsk.holder.Instance())).
		Counts(int(tsk.index), 0).Detail(why).String()
}
