package owner

import (
	"time"

	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/io/message"
)

// Explainer is an optional part of a placement: it tells which decisions were
// made about a job, when, why, and what would have to change.
type Explainer interface {
	Explain(sta job.Status) []string
}

// UsageObserver is an optional part of a placement: it learns what running tasks use.
type UsageObserver interface {
	Used(ref job.Ref, used resource.Vector, now time.Time)
}

// Closer is an optional part of a placement: it ends with the tenure of its partition.
type Closer interface {
	Close()
}

func explain(plc job.Placement, sta job.Status) []string {
	if exp, ok := plc.(Explainer); ok {
		return exp.Explain(sta)
	}
	return nil
}

func observeUsage(plc job.Placement, tasks []message.TaskStatus, now time.Time) {
	if obs, ok := plc.(UsageObserver); ok {
		for _, tsk := range tasks {
			obs.Used(decodeRef(tsk.Ref), decodeVector(tsk.Usage), now)
		}
	}
}

func closePlacement(plc job.Placement) {
	if cls, ok := plc.(Closer); ok {
		cls.Close()
	}
}
