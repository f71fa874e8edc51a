// Package job is the state machine of one partition of batch jobs.
//
// A job has 1 to MaxTasks tasks. The owner of the partition offers queued tasks
// to instances, grants claims of its offers as leases, renews the leases and
// records the end of each assignment. Each event yields records, which are
// durable facts, and effects, which are messages to other processes. An effect
// may be released only after the records up to its After number are durable. An
// offer changes no durable fact: only the claim of a valid offer does.
//
// Safety rests on three rules. A task has at most one open assignment, named by
// a token that grows strictly. A further assignment is recorded only after the
// instance has reported the end of the open one, or after the lease of the open
// one has ended by the granter's arithmetic. A claim is granted only while the
// partition lease of the owner is valid.
//
// After a takeover the new owner does not know the lease ends, so it counts a
// whole lease from the takeover for each open assignment. An agent that answers
// Adopt in the recorded incarnation and does not list an assignment proves that
// it has ended. This requires that an agent lists every assignment that it has
// claimed and whose end is not acknowledged, and that it drops a grant of an
// assignment that it has not listed.
//
// A task of a class that must not run again (RerunNever) is parked when its
// assignment is lost. That assignment stays open as well: the report of a
// completion completes the task, and a report that the run did not start or
// stopped before its end returns it to the queue.
//
// Limits: the state lives in memory, at most Limits.queued tasks wait, and
// ended jobs are removed after Limits.retention. A Partition is not safe for
// concurrent use: only the control goroutine of the owner may call it.
package job

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/fleet"
	"jacinthpost/core/token"
)

// Limits of a submitted job.
const (
	MaxTasks        = 1000
	MaxPayloadBytes = 256 << 10
	// MaxResultBytes is the largest result of one task. A task with a larger one has failed.
	MaxResultBytes = 64 << 10
	// DefaultLease is the task lease of classes that set none. Classes set a longer lease so that
	// their tasks survive an outage of the store.
	DefaultLease = 15 * time.Second
	// MaxLease is the longest task lease that operators may set for a class.
	MaxLease = 4 * time.Hour
)

// ID names a job. It is derived from the workspace and the key.
type ID string

// NewID returns the job ID of a workspace's key, so that a repeated submission
// reaches the same partition and job.
func NewID(wsp fleet.Workspace, key string) ID {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(wsp), wsp, key))
	return ID(fmt.Sprintf("j%x", sum[:16]))
}

// PartitionOf returns the partition of a job.
func PartitionOf(id ID, partitions int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(partitions))
}

// Kind is the kind of work of a job. It determines whether the tasks finish by themselves.
type Kind uint8

// Kinds of job.
const (
	KindBuild Kind = iota // finishes by itself
	KindPlan              // finishes by itself
	KindWatch             // runs until it is cancelled
)

// State is the state of a task or the summary of a job.
type State uint8

// States. Finished, Cancelled and Parked are final, with two exceptions: a parked task can be cancelled
// or retried, and one that was parked because its end is unknown still accepts a report of its end.
const (
	Queued State = iota
	Offered
	Assigned // the claim is recorded; the agent has not renewed yet
	Running
	Stopping // a stop is ordered, for a cancellation or to move the task
	Finished
	Cancelled
	Parked // not run again without a retry, after failures or because it may have run
	stateCount
)

var (
	kindNames  = [...]string{KindBuild: "build", KindPlan: "plan", KindWatch: "watch"}
	stateNames = [...]string{Queued: "queued", Offered: "offered", Assigned: "assigned", Running: "running",
		Stopping: "stopping", Finished: "finished", Cancelled: "cancelled", Parked: "parked"}
)

// String returns the name of the kind in stored records and messages.
func (knd Kind) String() string { return kindNames[knd] }

// String returns the name of the state in stored records and messages.
func (sta State) String() string { return stateNames[sta] }

// Final reports whether the task is not run again unless an operator retries it.
func (sta State) Final() bool { return sta >= Finished }

// ParseKind returns the kind with a name.
func ParseKind(name string) (Kind, bool) {
	for knd, nam := range kindNames {
		if nam == name {
			return Kind(knd), true
		}
	}
	return 0, false
}

// ParseState returns the state with a name.
func ParseState(name string) (State, bool) {
	for sta, nam := range stateNames {
		if nam == name {
			return State(sta), true
		}
	}
	return 0, false
}

// Ref names one assignment of a task.
type Ref struct {
	job   ID
	index int
	token token.Token
}

// NewRef returns the name of an assignment.
func NewRef(id ID, index int, tok token.Token) Ref { return Ref{job: id, index: index, token: tok} }

// Job returns the job of the task.
func (ref Ref) Job() ID { return ref.job }

// Index returns the number of the task within the job, from zero.
func (ref Ref) Index() int { return ref.index }

// Token returns the token of the assignment.
func (ref Ref) Token() token.Token { return ref.token }

// EndKind is how an assignment ended.
type EndKind int

// Ends of an assignment.
const (
	EndFinished EndKind = iota
	EndFailed
	EndCheckpointed // stopped after a checkpoint
	EndStopped
	EndNotStarted
	EndLost // the lease ended or the instance no longer has the task
)

var endNames = [...]string{EndFinished: "finished", EndFailed: "failed", EndCheckpointed: "checkpointed",
	EndStopped: "stopped", EndNotStarted: "notStarted", EndLost: "lost"}

// String returns the name of the end in stored records and messages.
func (knd EndKind) String() string { return endNames[knd] }

// ParseEnd returns the end with a name.
func ParseEnd(name string) (EndKind, bool) {
	for knd, nam := range endNames {
		if nam == name {
			return EndKind(knd), true
		}
	}
	return 0, false
}

// End is the reported end of an assignment.
type End struct {
	kind       EndKind
	checkpoint string
	result     []byte
	detail     string
	evicted    bool
}

// NewEnd returns an end with the checkpoint to resume from, if any.
func NewEnd(knd EndKind, checkpoint string) End { return End{kind: knd, checkpoint: checkpoint} }

// WithResult returns the end with a result and an explanation.
func (end End) WithResult(result []byte, detail string) End {
	end.result, end.detail = result, detail
	return end
}

// WithEviction returns the end with whether the instance or the owner forced it.
func (end End) WithEviction(evicted bool) End {
	end.evicted = evicted
	return end
}

// Kind returns how the assignment ended.
func (end End) Kind() EndKind { return end.kind }

// Checkpoint returns the reference to resume from, empty if there is no new one.
func (end End) Checkpoint() string { return end.checkpoint }

// Result returns the result of a finished task.
func (end End) Result() []byte { return end.result }

// Detail returns an explanation for operators.
func (end End) Detail() string { return end.detail }

// Evicted reports whether the end was forced.
func (end End) Evicted() bool { return end.evicted }
