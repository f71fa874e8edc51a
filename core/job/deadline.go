package job

import "time"

const (
	// Patience is how long a job without a deadline waits before it goes before
	// jobs submitted later whatever their deadlines are.
	DefaultStartWindow = time.Hour
	// latePeriod is the time between two looks for jobs behind their deadline.
	latePeriod = time.Second
)

// rankOf returns the time by which the tasks of a job are ordered within their
// lane: the latest start that meets the deadline, or Patience after the
// submission without one. It is not before the submission, so that jobs with
// deadlines that can't be met don't keep others waiting for ever.
func rankOf(spc Spec, submittedAt int64, runTime time.Duration) int64 {
	if spc.deadline == 0 {
		return submittedAt + DefaultStartWindow.Milliseconds()
	}
	return max(submittedAt, spc.deadline-runTime.Milliseconds())
}

// rerank orders a new job by the run time that the placement expects. The run
// time is not durable: after a takeover the deadline alone counts.
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

// findLate marks the jobs whose deadline has passed. They are not cancelled,
// because a late result is better than none.
func (par *Partition[P]) findLate(env Env) {
	if env.now.Sub(par.lateAt) < latePeriod {
		return
	}
	par.lateAt = env.now
	for _, ent := range par.order {
		if !ent.late && ent.endedAt == 0 && ent.spec.deadline != 0 && ent.spec.deadline < env.now.UnixMilli() {
			ent.late = true
			par.late++
		}
	}
}

// Late returns how many jobs have passed their deadline unfinished since the takeover.
func (par *Partition[P]) LateJobs() int { return par.late }

// Behind returns how far a job is behind its deadline, or was when it ended;
// zero if it is not.
func (sta Status) Tardiness(now time.Time) time.Duration {
	return behind(unixMillis(sta.spec.deadline), unixMillis(sta.endedAt), now)
}

// behind returns how far now, or the end if there was one, is past a deadline.
func behind(deadline, ended, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	if !ended.IsZero() {
		now = ended
	}
	return max(0, now.Sub(deadline))
}
