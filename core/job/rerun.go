package job

import (
	"time"

	"jacinthpost/core/explain"
)

// Rerun is the setting of a job class that determines whether a task whose end is unknown runs again.
type Rerun uint8

// Settings for a task whose assignment is lost.
const (
	RerunFromCheckpoint Rerun = iota // the task runs again, from its latest checkpoint if there is one
	RerunNever                       // the task is parked until its end is reported or an operator retries the job
	rerunCount
)

var rerunNames = [...]string{RerunFromCheckpoint: "fromCheckpoint", RerunNever: "never"}

// String returns the name of the setting in stored records and messages.
func (rer Rerun) String() string { return rerunNames[rer] }

// ParseRerun returns the setting with a name. The empty name, which records of earlier versions contain,
// is RerunFromCheckpoint.
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

// mustPark reports whether a task of class RerunNever has to be parked because the end does not show
// whether it has run. A failed or stopped task is known not to have completed, so it is retried.
func (tsk *task) mustPark(end End) bool {
	return end.kind == EndLost && tsk.entry.spec.rerun == RerunNever && !tsk.entry.cancelled
}

// unknownEndDetail returns the explanation of a task that is parked because its end is unknown.
func (tsk *task) unknownEndDetail(end End, now time.Time) string {
	why := end.detail
	if why == "" {
		why = "its lease ended or the instance has no record of it"
	}
	return explain.New(explain.MayHaveRun, now, string(tsk.entry.id)).WithOther(string(tsk.holder.Instance())).
		WithCounts(int(tsk.index), 0).WithDetail(why).String()
}
