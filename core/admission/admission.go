// Package admission decides which queues refuse new jobs because of their backlog.
//
// After a burst of jobs or the loss of a data centre, the backlog may be so long that a new job would
// complete when its result is no longer of use. An immediate refusal with a time to retry serves its
// caller better than an acceptance that cannot be honoured. A queue refuses nothing while all its
// tasks are placed, whatever the forecast.
//
// The functions depend only on their arguments: the owner of the jobs supplies the forecasts. They
// are safe for concurrent use.
package admission

import (
	"hash/fnv"
	"slices"
	"time"

	"jacinthpost/core/resource"
)

// lateFactor is the multiple of its objective after which the result of a job is useless.
const lateFactor = 3

// Forecast is the prediction for a job that is submitted to a queue now.
type Forecast struct {
	Wait        time.Duration // until the work that precedes the job is done
	JobDuration time.Duration // from the first start to the end of a typical job of the queue
	Objective   time.Duration // time from acceptance within which a typical job is on time
	Blocked     time.Duration // how long a task of the queue has waited for placement, zero if none does
}

// Policy decides whether a queue refuses jobs.
type Policy interface {
	// Refuse reports whether the queue refuses jobs and, if so, after what time callers should retry.
	Refuse(fct Forecast) (after time.Duration, refuse bool)
}

// AcceptAll is a policy that refuses nothing.
type AcceptAll struct{}

// Refuse implements Policy.
func (AcceptAll) Refuse(Forecast) (time.Duration, bool) { return 0, false }

// Limits of refusals.
const (
	// minBlocked is how long a task must have waited for placement. Shorter waits occur between the
	// end of a task and the start of the next.
	minBlocked = time.Second
	// minRetryAfter and maxRetryAfter bound the time to retry. Callers stop after a few retries, so
	// after a long predicted wait they could miss an earlier recovery.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// RefuseLate refuses jobs that would complete too late to be of any use. Callers should retry when a
// job would be on time again, not just when its result would be of some use.
type RefuseLate struct{}

// Refuse implements Policy.
func (RefuseLate) Refuse(fct Forecast) (time.Duration, bool) {
	if fct.Blocked < minBlocked || fct.Wait+fct.JobDuration <= lateFactor*fct.Objective {
		return 0, false
	}
	after := fct.Wait + fct.JobDuration - fct.Objective
	return min(maxRetryAfter, max(minRetryAfter, after)), true
}

// Refusals returns the queues that refuse jobs, with the time after which callers should retry.
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

// TooLarge returns the first of the needs that fits none of the sizes, and whether there is one.
// Without sizes, which means that none is known, nothing is too large.
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

// Maximal returns the sizes that fit in no other size, each of them once.
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

// maxJitterFraction bounds the extension of times to retry. Without jitter, the callers that
// are refused during a burst would return as another burst.
const maxJitterFraction = 0.5

// Jitter extends the time to retry by up to half, by a hash of the job's identifier.
func Jitter(after time.Duration, job string) time.Duration {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(job)) // never fails
	part := float64(sum.Sum32()%1000) / 1000
	return after + time.Duration(maxJitterFraction*part*float64(after))
}
