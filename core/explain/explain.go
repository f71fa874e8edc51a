// Package explain records the reasons for scheduling decisions and formats them as sentences for
// operators, which say what has to change for a refused or waiting task to start.
//
// A Log keeps a limited number of reasons for each subject, and a limited number of subjects, and
// drops the oldest ones, so that its memory does not grow with time. The zero Log uses the default
// limits. A Log must be used from one goroutine at a time; a Reason is a value.
package explain

import (
	"fmt"
	"time"

	"jacinthpost/core/resource"
	"jacinthpost/core/ring"
)

// Code tells what was decided and selects the sentence of a reason.
type Code int

// Codes of decisions. The variable sentences holds the sentence of each.
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

// Reason is one decision with the values that its sentence mentions. The code determines which of
// them are set.
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

// New returns a reason for a decision on a task, a job, an instance or a team.
func New(cod Code, at time.Time, subject string) Reason {
	return Reason{code: cod, at: at, subject: subject}
}

// Code returns what was decided.
func (rsn Reason) Code() Code { return rsn.code }

// At returns the time of the decision.
func (rsn Reason) At() time.Time { return rsn.at }

// Subject returns the task, job, instance or team that the reason is about.
func (rsn Reason) Subject() string { return rsn.subject }

// Other returns the other instance, job, team, service or class that the decision involves.
func (rsn Reason) Other() string { return rsn.other }

// Count returns the number that was set by WithCounts.
func (rsn Reason) Count() int { return rsn.count }

// WithOther returns the reason with the other instance, job, team, service or class that the
// decision involves.
func (rsn Reason) WithOther(other string) Reason {
	rsn.other = other
	return rsn
}

// WithAmounts returns the reason with the resources that are needed and those that are available.
func (rsn Reason) WithAmounts(need, limit resource.Vector) Reason {
	rsn.need, rsn.limit = need, limit
	return rsn
}

// WithCounts returns the reason with a number and the bound that it is compared with.
func (rsn Reason) WithCounts(count, bound int) Reason {
	rsn.count, rsn.bound = count, bound
	return rsn
}

// WithPeriod returns the reason with how long a condition has lasted or a measure will last.
func (rsn Reason) WithPeriod(period time.Duration) Reason {
	rsn.period = period
	return rsn
}

// WithDetail returns the reason with a text of its caller, such as the error of a worker.
func (rsn Reason) WithDetail(detail string) Reason {
	rsn.detail = detail
	return rsn
}

// sentences holds the sentence of each code. It says what happened and, for a task that is refused
// or waits, what has to change.
var sentences = [...]func(rsn Reason) string{
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
		return fmt.Sprintf("%s waits: no instance fits %v; the largest free amounts are %v; it starts once one instance has %s", rsn.subject, rsn.need, rsn.limit, missingAmounts(rsn.need, rsn.limit))
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
		return fmt.Sprintf("%s waits: class %s slows down the services and every instance tried already runs as much of such work as its services tolerate; it starts once one of these tasks ends", rsn.subject, rsn.other)
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
		return fmt.Sprintf("%s takes a checkpoint: it has been throttled to protect %s for %v and hardly uses the %v reserved for it", rsn.subject, rsn.other, rsn.period, rsn.need)
	},
	ThrottledEvicted: func(rsn Reason) string {
		return fmt.Sprintf("%s is evicted after its checkpoint: it has been throttled to protect %s for %v and hardly uses the %v reserved for it; it starts again beside another service or when this one has room", rsn.subject, rsn.other, rsn.period, rsn.need)
	},
	MayHaveRun: func(rsn Reason) string {
		return fmt.Sprintf("task %d of %s may have run on %s: %s; its class does not allow a second run, so it is parked until the instance reports its end or an operator retries the job", rsn.count, rsn.subject, rsn.other, rsn.detail)
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
func (rsn Reason) String() string { return sentences[rsn.code](rsn) }

// missingAmounts formats what the largest free amounts lack. If they lack nothing, each amount is
// free on some instance, but not all of them on the same one.
func missingAmounts(need, limit resource.Vector) string {
	gap := need.Minus(limit).Max(resource.Vector{})
	if gap == (resource.Vector{}) {
		return "all of them free at the same time"
	}
	return fmt.Sprintf("%v more free", gap)
}

// Limits of the zero Log.
const (
	DefaultMaxSubjects = 4096
	DefaultMaxReasons  = 8
)

// Log keeps the newest reasons of the most recently added subjects.
type Log struct {
	maxSubjects int
	maxReasons  int
	reasons     map[string]*ring.Ring[Reason]
	order       ring.Ring[string]
}

// NewLog returns a log that keeps up to maxReasons reasons of each of up to maxSubjects subjects.
func NewLog(maxSubjects, maxReasons int) *Log {
	return &Log{maxSubjects: max(1, maxSubjects), maxReasons: max(1, maxReasons)}
}

// Add records a reason under its subject. A new subject beyond the limit replaces the one that was
// added first.
func (log *Log) Add(rsn Reason) {
	if log.reasons == nil {
		log.init()
	}
	rng, found := log.reasons[rsn.subject]
	if !found {
		rng = log.addSubject(rsn.subject)
	}
	rng.Push(rsn)
}

// Update records a reason like Add, but replaces the newest reason of the subject if that has the
// same code and other party. Repeated attempts then don't evict the earlier reasons.
func (log *Log) Update(rsn Reason) {
	if rng, found := log.reasons[rsn.subject]; found && rng.Len() > 0 {
		if last := rng.At(rng.Len() - 1); last.code == rsn.code && last.other == rsn.other {
			rng.ReplaceNewest(rsn)
			return
		}
	}
	log.Add(rsn)
}

func (log *Log) init() {
	if log.maxSubjects == 0 {
		log.maxSubjects, log.maxReasons = DefaultMaxSubjects, DefaultMaxReasons
	}
	log.reasons = make(map[string]*ring.Ring[Reason])
	log.order = ring.New[string](log.maxSubjects)
}

func (log *Log) addSubject(subject string) *ring.Ring[Reason] {
	rng := new(ring.Ring[Reason])
	*rng = ring.New[Reason](log.maxReasons)
	if oldest, full := log.order.Push(subject); full {
		rng = log.reasons[oldest]
		rng.Clear()
		delete(log.reasons, oldest)
	}
	log.reasons[subject] = rng
	return rng
}

// Subjects returns the number of subjects in the log.
func (log *Log) Subjects() int { return len(log.reasons) }

// Reasons returns the reasons of a subject, the oldest first.
func (log *Log) Reasons(subject string) []Reason {
	rng, found := log.reasons[subject]
	if !found {
		return nil
	}
	rsns := make([]Reason, 0, rng.Len())
	for rsn := range rng.All() {
		rsns = append(rsns, rsn)
	}
	return rsns
}
