package job

import (
	"iter"
	"time"

	"jacinthpost/core/fleet"
)

// Summary describes a job without its tasks.
type Summary struct {
	id        ID
	workspace fleet.Workspace
	team      fleet.Team
	class     fleet.JobClass
	kind      Kind
	urgent    bool
	state     State
	tasks     [stateCount]int
	evictions int
	submitted time.Time
	ended     time.Time
	deadline  time.Time
	detail    string
	recorded  uint64
}

// ID returns the job.
func (sum Summary) ID() ID { return sum.id }

// Workspace returns the workspace.
func (sum Summary) Workspace() fleet.Workspace { return sum.workspace }

// Team returns the team that pays for the job.
func (sum Summary) Team() fleet.Team { return sum.team }

// Class returns the job class.
func (sum Summary) Class() fleet.JobClass { return sum.class }

// Kind returns the kind.
func (sum Summary) Kind() Kind { return sum.kind }

// Urgent reports whether the job goes before others.
func (sum Summary) Urgent() bool { return sum.urgent }

// State returns the summary of the states of the tasks.
func (sum Summary) State() State { return sum.state }

// Tasks returns the number of tasks in a state.
func (sum Summary) Tasks(sta State) int { return sum.tasks[sta] }

// Evictions returns how often tasks of the job were stopped by force.
func (sum Summary) Evictions() int { return sum.evictions }

// Submitted returns when the job was submitted.
func (sum Summary) Submitted() time.Time { return sum.submitted }

// Ended returns when the job ended, the zero time before.
func (sum Summary) Ended() time.Time { return sum.ended }

// Deadline returns the time by which the job should end, the zero time for none.
func (sum Summary) Deadline() time.Time { return sum.deadline }

// Detail returns why a task is parked, or else why one waits.
func (sum Summary) Detail() string { return sum.detail }

// After returns the number of the last record that must be durable before the
// summary may be told.
func (sum Summary) After() uint64 { return sum.recorded }

// Behind returns how far the job is behind its deadline, or was when it ended;
// zero if it is not.
func (sum Summary) Tardiness(now time.Time) time.Duration {
	return behind(sum.deadline, sum.ended, now)
}

// Summaries yields the jobs of the partition, the latest one first.
func (par *Partition[P]) Summaries() iter.Seq[Summary] {
	return func(yield func(Summary) bool) {
		for pos := len(par.order) - 1; pos >= 0; pos-- {
			if !yield(par.order[pos].summarize()) {
				return
			}
		}
	}
}

func (ent *entry) summarize() Summary {
	spc := &ent.spec
	sum := Summary{
		id: ent.id, workspace: spc.workspace, team: spc.Team(), class: spc.class, kind: spc.kind, urgent: spc.urgent,
		state: ent.state(), tasks: ent.counts, recorded: ent.recorded,
		submitted: time.UnixMilli(ent.submittedAt), ended: unixMillis(ent.endedAt), deadline: unixMillis(spc.deadline),
	}
	if ent.counts[Queued]+ent.counts[Offered] > 0 {
		sum.detail = ent.waiting
	}
	for idx := range ent.tasks {
		tsk := &ent.tasks[idx]
		sum.evictions += tsk.counters.evictions
		if tsk.state == Parked {
			sum.detail = tsk.detail
		}
	}
	return sum
}

// unixMillis returns the time, the zero one for zero.
func unixMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}
