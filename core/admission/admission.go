// Package admission decides which queues refuse jobs while work waits.
//
// The load pattern it answers is a backlog that outlives its cause: a burst, or the loss
// of a data centre, leaves so much work that a job handed in now would be complete when
// its result is worth nothing any more. Its caller is better off with a refusal at once
// and a time to come back than with an acceptance that can't be kept. A queue refuses
// nothing while its own tasks find places, whatever is predicted.
//
// The package knows no jobs and no clock; what the owner of the jobs predicts comes in
// as values. All functions are safe for use from any goroutine.
package admission

import (
	"hash/fnv"
	"slices"
	"time"

	"jacinthpost/core/resource"
)

// lateFactor is the multiple of its objective after which a job is worth nothing.
const lateFactor = 3

// Forecast is what is predicted for a job that is handed in to a queue now.
type Forecast struct {
	Wait        time.Duration // until the work that goes before has been carried out
	JobDuration time.Duration // from the first start to the end of a usual job of the queue
	Objective   time.Duration // within which a usual job is on time, counted from its acceptance
	Blocked     time.Duration // for how long a task of the queue has found no place; zero when all have
}

// Policy decides for one queue.
type Policy interface {
	// Refuse reports whether the queue refuses jobs, and after what time a caller should come back.
	Refuse(fct Forecast) (after time.Duration, refuse bool)
}

// AcceptAll refuses nothing.
type AcceptAll struct{}

// Refuse implements Policy.
func (AcceptAll) Refuse(Forecast) (time.Duration, bool) { return 0, false }

// Limits of the refusals.
const (
	// blockedFor is how long a task must have been without a place: shorter gaps are those
	// between the end of one task and the start of the next.
	blockedFor = time.Second
	// earliestReturn and latestReturn bound the time to come back. Callers give up after a few
	// tries, so a wait that is predicted to be long must not keep them away from a recovery.
	earliestReturn = time.Second
	latestReturn   = 10 * time.Second
)

// Useful refuses jobs that would be complete too late to be worth anything. Callers are
// sent back when a job would be on time again, not only when it would be worth something.
type RefuseLate struct{}

// Refuse implements Policy.
func (RefuseLate) Refuse(fct Forecast) (time.Duration, bool) {
	if fct.Blocked < blockedFor || fct.Wait+fct.JobDuration <= lateFactor*fct.Objective {
		return 0, false
	}
	after := fct.Wait + fct.JobDuration - fct.Objective
	return min(latestReturn, max(earliestReturn, after)), true
}

// Refusals returns the queues that refuse jobs with the time to come back.
func Refusals[P Policy](pol P, fcts map[string]Forecast) map[string]time.Duration {
	var out map[string]time.Duration
	for queue, fct := range fcts {
		after, refuse := pol.Refuse(fct)
		if !refuse {
			continue
		}
		if out == nil {
			out = make(map[string]time.Duration)
		}
		out[queue] = after
	}
	return out
}

// TooLarge returns the first of the needs that fits none of the sizes, and whether there is
// one. Without any size nothing is known, and nothing too large.
func TooLarge(needs, sizes []resource.Vector) (resource.Vector, bool) {
	if len(sizes) == 0 {
		return resource.Vector{}, false
	}
	for _, ned := range needs {
		if !slices.ContainsFunc(sizes, ned.FitsIn) {
			return ned, true
		}
	}
	return resource.Vector{}, false
}

// Largest returns the sizes that do not fit in another one.
func Maximal(sizes []resource.Vector) []resource.Vector {
	var out []resource.Vector
	for num, siz := range sizes {
		within := func(oth resource.Vector) bool { return siz.FitsIn(oth) && (oth != siz) }
		if !slices.ContainsFunc(sizes, within) && !slices.Contains(sizes[:num], siz) {
			out = append(out, siz)
		}
	}
	return out
}

// spreadPart is the part by which times to come back differ, so that the callers who were
// refused during a burst do not return as another one.
const spreadPart = 0.5

// Spread lengthens the time to come back by a part that depends on the job.
func Jitter(after time.Duration, job string) time.Duration {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(job)) // never fails
	part := float64(sum.Sum32()%1000) / 1000
	return after + time.Duration(spreadPart*part*float64(after))
}
