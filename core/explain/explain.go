// Package explain keeps bounded, typed reasons for decisions and formats them
// in plain English, including what would have to change.
//
// A Log keeps the newest reasons of each subject in a ring and the newest
// subjects up to a global bound, so its memory does not grow with time. The
// zero Log works. A Log must be used from one goroutine at a time; a Reason is a value.
package explain

import (
	"fmt"
	"time"

	"jacinthpost/core/resource"
	"jacinthpost/core/ring"
)

// Code is the type of a reason.
type Code int

// Codes of reasons.
const (
	Queued Code = iota
	QueueFull
	Placed
	NoFit
	TooLarge
	NoInstances
	TrialLimit
	InterferenceLimit
	Refused
	TeamOverShare
	Reclaimed
	Failed
	JobParked
	JobParkedUndetermined
	WorkerSuspended
	WorkerProbation
	WorkerRestored
	Throttled
	Released
	Checkpointed
	Evicted
	TasksNotCause
	Drained
	Ended
	Excluded
	Preempted
	Late
	MemoryCheckpointed
	MemoryEvicted
	ThrottledCheckpointed
	ThrottledEvicted
	MayHaveRun
)

// Reason is one decision with the facts that led to it. Which facts are set
// depends on the code.
type Reason struct {
	code    Code
	at      time.Time
	subject string
	other   string
	need    resource.Vector
	limit   resource.Vector
	count   int
	bound   int
	period  time.Duration
	detail  string
}

// New returns a reason of a code for a subject.
func New(cod Code, at time.Time, subject string) Reason {
	return Reason{code: cod, at: at, subject: subject}
}

// Code returns the type of the reason.
func (rsn Reason) Code() Code { return rsn.code }

// At returns the time of the decision.
func (rsn Reason) At() time.Time { return rsn.at }

// Subject returns the task, job, instance or team that the reason is about.
func (rsn Reason) Subject() string { return rsn.subject }

// Other returns the second party of the decision.
func (rsn Reason) Other() string { return rsn.other }

// Count returns the number of occurrences that led to the decision.
func (rsn Reason) Count() int { return rsn.count }

// With returns the reason with a second party: an instance, a job, a team or a class.
func (rsn Reason) WithOther(other string) Reason {
	rsn.other = other
	return rsn
}

// Amounts returns the reason with what was needed and the largest amount available.
func (rsn Reason) WithAmounts(need, limit resource.Vector) Reason {
	rsn.need, rsn.limit = need, limit
	return rsn
}

// Counts returns the reason with a number and the bound it is compared with.
func (rsn Reason) WithCounts(count, bound int) Reason {
	rsn.count, rsn.bound = count, bound
	return rsn
}

// For returns the reason with a period.
func (rsn Reason) WithPeriod(period time.Duration) Reason {
	rsn.period = period
	return rsn
}

// Detail returns the reason with a detail reported by another part.
func (rsn Reason) WithDetail(detail string) Reason {
	rsn.detail = detail
	return rsn
}

// formats holds one sentence per code; each says what happened and, for a
// refusal, what would have to change.
var formats = [...]func(rsn Reason) string{
	Queued: func(rsn Reason) string {
		return fmt.Sprintf("%s waits in the queue of team %s with %d others; it is tried when it is first among them", rsn.subject, rsn.other, rsn.count)
	},
	QueueFull: func(rsn Reason) string {
		return fmt.Sprintf("%s was refused: the queue of team %s holds its limit of %d tasks; it is accepted once one of them starts or is cancelled", rsn.subject, rsn.other, rsn.bound)
	},
	Placed: func(rsn Reason) string {
		return fmt.Sprintf("%s was offered to %s with %v", rsn.subject, rsn.other, rsn.need)
	},
	NoFit: func(rsn Reason) string {
		return fmt.Sprintf("%s waits: no instance fits %v; the largest free amounts are %v; it starts once one instance has %s", rsn.subject, rsn.need, rsn.limit, missing(rsn.need, rsn.limit))
	},
	TooLarge: func(rsn Reason) string {
		return fmt.Sprintf("%s cannot start: it needs %v and the largest instance has %v; a smaller size or a larger instance is required", rsn.subject, rsn.need, rsn.limit)
	},
	NoInstances: func(rsn Reason) string {
		return fmt.Sprintf("%s waits: none of %d instances may take tasks now; it starts once a data centre returns or an instance joins or is restored", rsn.subject, rsn.count)
	},
	TrialLimit: func(rsn Reason) string {
		return fmt.Sprintf("%s waits: the effect of class %s on the service is not known yet and %d of at most %d trial tasks run; it starts once a trial ends or is found harmless", rsn.subject, rsn.other, rsn.count, rsn.bound)
	},
	InterferenceLimit: func(rsn Reason) string {
		return fmt.Sprintf("%s waits: class %s slows down the services and every instance tried already runs as much of such work as they bear; it starts once one of these tasks ends", rsn.subject, rsn.other)
	},
	Refused: func(rsn Reason) string {
		return fmt.Sprintf("%s was refused by %s (%s), which has %v free; another instance is tried", rsn.subject, rsn.other, rsn.detail, rsn.limit)
	},
	TeamOverShare: func(rsn Reason) string {
		return fmt.Sprintf("%s waits for the share of team %s: it uses %d thousandths of the fleet and its share is %d; it starts when tasks of the team end or, if the team may borrow, when teams below their share have nothing waiting", rsn.subject, rsn.other, rsn.count, rsn.bound)
	},
	Reclaimed: func(rsn Reason) string {
		return fmt.Sprintf("%s is checkpointed and stopped: it runs on a share that team %s now needs after waiting %v", rsn.subject, rsn.other, rsn.period)
	},
	Preempted: func(rsn Reason) string {
		return fmt.Sprintf("%s is checkpointed and evicted to make room for urgent work of team %s, which found none for %v; it resumes from the checkpoint", rsn.subject, rsn.other, rsn.period)
	},
	Late: func(rsn Reason) string {
		return fmt.Sprintf("%s is behind its deadline by %v: %s; it runs to its end all the same", rsn.subject, rsn.period, rsn.detail)
	},
	Failed: func(rsn Reason) string {
		return fmt.Sprintf("%s failed on %s (%s); it is tried again in %v", rsn.subject, rsn.other, rsn.detail, rsn.period)
	},
	JobParked: func(rsn Reason) string {
		return fmt.Sprintf("job %s is parked: it failed on %d instances (%s) that run other jobs successfully; it starts again when its owner changes or releases it", rsn.subject, rsn.count, rsn.detail)
	},
	JobParkedUndetermined: func(rsn Reason) string {
		return fmt.Sprintf("job %s is parked after failing on %d instances (%s); neither the job nor the instances are proven at fault; it starts again when its owner releases it", rsn.subject, rsn.count, rsn.detail)
	},
	WorkerSuspended: func(rsn Reason) string {
		return fmt.Sprintf("instance %s takes no tasks for %v: %d jobs failed there (%s); after that it is tried with one task", rsn.subject, rsn.period, rsn.count, rsn.detail)
	},
	WorkerProbation: func(rsn Reason) string {
		return fmt.Sprintf("instance %s is on probation with one task at a time; %d of %d tasks have succeeded", rsn.subject, rsn.count, rsn.bound)
	},
	WorkerRestored: func(rsn Reason) string {
		return fmt.Sprintf("instance %s takes tasks again after %d successes on probation", rsn.subject, rsn.count)
	},
	Throttled: func(rsn Reason) string {
		return fmt.Sprintf("%s is throttled by %d%%: requests of %s are slower than their target; it is released after %v of normal latency", rsn.subject, rsn.count, rsn.other, rsn.period)
	},
	Released: func(rsn Reason) string {
		return fmt.Sprintf("%s is throttled by %d%% only: requests of %s have met their target for %v", rsn.subject, rsn.count, rsn.other, rsn.period)
	},
	Checkpointed: func(rsn Reason) string {
		return fmt.Sprintf("%s takes a checkpoint: throttling has not brought requests of %s to their target for %v", rsn.subject, rsn.other, rsn.period)
	},
	Evicted: func(rsn Reason) string {
		return fmt.Sprintf("%s is evicted after its checkpoint: requests of %s have missed their target for %v and throttling did not help", rsn.subject, rsn.other, rsn.period)
	},
	MemoryCheckpointed: func(rsn Reason) string {
		return fmt.Sprintf("%s takes a checkpoint: the tasks use %d of %d MB of memory and it uses %v of the %v reserved for it", rsn.subject, rsn.count, rsn.bound, rsn.need, rsn.limit)
	},
	MemoryEvicted: func(rsn Reason) string {
		return fmt.Sprintf("%s is evicted after its checkpoint: the tasks use %d of %d MB of memory and it uses %v of the %v reserved for it; it starts again with a larger reservation", rsn.subject, rsn.count, rsn.bound, rsn.need, rsn.limit)
	},
	ThrottledCheckpointed: func(rsn Reason) string {
		return fmt.Sprintf("%s takes a checkpoint: it has been throttled for the sake of %s for %v and hardly uses the %v reserved for it", rsn.subject, rsn.other, rsn.period, rsn.need)
	},
	ThrottledEvicted: func(rsn Reason) string {
		return fmt.Sprintf("%s is evicted after its checkpoint: it has been throttled for the sake of %s for %v and hardly uses the %v reserved for it; it starts again beside another service or when this one has room", rsn.subject, rsn.other, rsn.period, rsn.need)
	},
	MayHaveRun: func(rsn Reason) string {
		return fmt.Sprintf("task %d of %s may have run on %s: %s; its class must not run again then, so it is parked until the instance reports its end or an operator retries the job", rsn.count, rsn.subject, rsn.other, rsn.detail)
	},
	TasksNotCause: func(rsn Reason) string {
		return fmt.Sprintf("tasks next to %s are not stopped: its latency stays high with all of them throttled, so they are not the cause; its present latency becomes the target", rsn.subject)
	},
	Drained: func(rsn Reason) string {
		return fmt.Sprintf("nothing is offered to %s: %s", rsn.subject, rsn.detail)
	},
	Excluded: func(rsn Reason) string {
		return fmt.Sprintf("%s waits: the instances with %v free either do not serve what it asks for or have evicted a task of class %s in the last minute; it starts once another instance has room or that minute is over", rsn.subject, rsn.need, rsn.other)
	},
	Ended: func(rsn Reason) string {
		return fmt.Sprintf("%s ended on %s: %s", rsn.subject, rsn.other, rsn.detail)
	},
}

// String formats the reason in one sentence.
func (rsn Reason) String() string { return formats[rsn.code](rsn) }

// missing names the amounts that no instance has free.
func missing(need, limit resource.Vector) string {
	gap := need.Minus(limit).Max(resource.Vector{})
	if gap == (resource.Vector{}) {
		return "all of them free at the same time"
	}
	return fmt.Sprintf("%v more free", gap)
}

// Bounds of the zero Log.
const (
	DefaultMaxSubjects = 4096
	DefaultMaxReasons  = 8
)

// Log keeps the newest reasons of the newest subjects.
type Log struct {
	subjects   int
	perSubject int
	rings      map[string]*ring.Ring[Reason]
	order      ring.Ring[string]
}

// NewLog returns a log with the given bounds.
func NewLog(subjects, perSubject int) *Log {
	return &Log{subjects: max(1, subjects), perSubject: max(1, perSubject)}
}

// Add records a reason under its subject. A new subject beyond the bound
// replaces the subject that was added first.
func (log *Log) Add(rsn Reason) {
	if log.rings == nil {
		log.init()
	}
	rng, found := log.rings[rsn.subject]
	if !found {
		rng = log.admit(rsn.subject)
	}
	rng.Push(rsn)
}

// Update is Add, but replaces the newest reason of the subject if it has the
// same code and second party, so that repeated attempts don't push out what happened before.
func (log *Log) Update(rsn Reason) {
	if rng, found := log.rings[rsn.subject]; found && rng.Len() > 0 {
		if last := rng.At(rng.Len() - 1); last.code == rsn.code && last.other == rsn.other {
			rng.Replace(rsn)
			return
		}
	}
	log.Add(rsn)
}

func (log *Log) init() {
	if log.subjects == 0 {
		log.subjects, log.perSubject = DefaultMaxSubjects, DefaultMaxReasons
	}
	log.rings = make(map[string]*ring.Ring[Reason])
	log.order = ring.New[string](log.subjects)
}

func (log *Log) admit(subject string) *ring.Ring[Reason] {
	rng := new(ring.Ring[Reason])
	*rng = ring.New[Reason](log.perSubject)
	if oldest, full := log.order.Push(subject); full {
		rng = log.rings[oldest]
		rng.Clear()
		delete(log.rings, oldest)
	}
	log.rings[subject] = rng
	return rng
}

// Subjects returns the number of subjects with reasons.
func (log *Log) Subjects() int { return len(log.rings) }

// Reasons returns the reasons of a subject from oldest to newest.
func (log *Log) Reasons(subject string) []Reason {
	rng, found := log.rings[subject]
	if !found {
		return nil
	}
	rsns := make([]Reason, 0, rng.Len())
	for rsn := range rng.All() {
		rsns = append(rsns, rsn)
	}
	return rsns
}
