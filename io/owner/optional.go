package owner

import (
	"time"

	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/io/message"
)

// Explainer is an optional interface of a placement. It explains which decisions were
// made about a job, when and why, and what would change them.
type Explainer interface {
	Explain(sta job.Status) []string
}

// UsageObserver is an optional interface of a placement. It receives the measured use
// of running tasks.
type UsageObserver interface {
	Used(ref job.Ref, used resource.Vector, now time.Time)
}

// Closer is an optional interface of a placement. Close is called when this process
// stops owning the placement's partition.
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
