package job

import "time"

const (
	// DefaultStartWindow is the time from submission to the latest start that is assumed for a job
	// without a deadline. Jobs submitted after it are ordered behind the job, whatever their
	// deadlines are.
	DefaultStartWindow = time.Hour
	// lateCheckPeriod is the time between two searches for jobs past their deadline.
	lateCheckPeriod = time.Second
)

// rankOf returns the sort key of the tasks of a job within their lane, in Unix milliseconds: the latest
// start that meets the deadline, or DefaultStartWindow after the submission if there is none. The key
// is never before the submission, so jobs whose deadlines cannot be met do not starve the others.
func rankOf(spc Spec, submittedAt int64, runTime time.Duration) int64 {
	if spc.deadline == 0 {
		return submittedAt + DefaultStartWindow.Milliseconds()
	}
	return max(submittedAt, spc.deadline-runTime.Milliseconds())
}

// rerank recomputes the rank of a new job from the run time that the placement expects. The run time
// is not durable: after a takeover the rank depends on the deadline alone.
func (par *Partition[P]) rerank(ent *entry) {
	rank := rankOf(ent.spec, ent.submittedAt, par.placement.RunTime(ent.spec))
	if rank == ent.rank {
		return
	}
	lan := par.placement.Lane(ent.spec)
	for idx := range ent.tasks {
		if tsk := &ent.tasks[idx]; tsk.queued {
			par.queue.remove(lan, tsk)
		}
	}
	ent.rank = rank
	for idx := range ent.tasks {
		if tsk := &ent.tasks[idx]; tsk.queued {
			par.queue.push(lan, tsk)
		}
	}
}

// markLateJobs marks the jobs whose deadline has passed. They are not cancelled, because a late result
// is better than none.
func (par *Partition[P]) markLateJobs(env Env) {
	if env.now.Sub(par.lateCheckedAt) < lateCheckPeriod {
		return
	}
	par.lateCheckedAt = env.now
	for _, ent := range par.order {
		if !ent.late && ent.endedAt == 0 && ent.spec.deadline != 0 && ent.spec.deadline < env.now.UnixMilli() {
			ent.late = true
			par.lateJobs++
		}
	}
}

// LateJobs returns how many jobs have missed their deadline since the takeover.
func (par *Partition[P]) LateJobs() int { return par.lateJobs }

// Tardiness returns how long the deadline of a job has passed, up to its end if it has ended; zero if
// it has not passed or there is none.
func (sta Status) Tardiness(now time.Time) time.Duration {
	return tardiness(unixMillis(sta.spec.deadline), unixMillis(sta.endedAt), now)
}

// tardiness returns the time from the deadline to the end, or to now while the end is zero. It is zero
// without a deadline and never negative.
func tardiness(deadline, ended, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	if !ended.IsZero() {
		now = ended
	}
	return max(0, now.Sub(deadline))
}
