package job

// apply updates the durable state with one record. It consults neither the placement nor a clock,
// so replaying the records restores the state that the owner had.
func (par *Partition[P]) apply(rec Record) {
	par.recorded++
	ent := par.jobs[rec.ref.job]
	switch {
	case rec.kind == JobSubmitted:
		ent = par.applySubmitted(rec)
	case ent == nil:
		panic("job: " + rec.kind.String() + " of unknown job " + string(rec.ref.job))
	case rec.kind == JobCancelled:
		par.applyCancelled(ent)
	case rec.kind == JobRetried:
		par.applyRetried(ent)
	case rec.kind == JobRemoved:
		par.applyRemoved(ent)
		return
	default:
		par.applyTask(&ent.tasks[rec.ref.index], rec)
	}
	ent.recorded = par.recorded
	par.markEnded(ent, rec.at)
}

func (par *Partition[P]) applySubmitted(rec Record) *entry {
	par.submitted++
	ent := &entry{id: rec.ref.job, spec: rec.spec, digest: rec.digest, order: par.submitted, submittedAt: rec.at}
	ent.rank = rankOf(ent.spec, ent.submittedAt, 0)
	ent.tasks = make([]task, rec.spec.tasks)
	ent.counts[Queued] = len(ent.tasks)
	par.jobs[ent.id] = ent
	par.order = append(par.order, ent)
	par.payloadBytes += len(rec.spec.payload)
	for idx := range ent.tasks {
		tsk := &ent.tasks[idx]
		tsk.entry, tsk.index = ent, int32(idx)
		par.setState(tsk, Queued)
	}
	return ent
}

// applyCancelled cancels the tasks without an assignment and marks the others as stopping.
func (par *Partition[P]) applyCancelled(ent *entry) {
	ent.cancelled = true
	for idx := range ent.tasks {
		tsk := &ent.tasks[idx]
		switch tsk.state {
		case Queued, Offered, Parked:
			tsk.open = false
			par.setState(tsk, Cancelled)
		case Assigned, Running:
			par.setState(tsk, Stopping)
		default:
		}
	}
}

// applyRetried returns parked tasks to the queue and resets their failure count.
func (par *Partition[P]) applyRetried(ent *entry) {
	for idx := range ent.tasks {
		if tsk := &ent.tasks[idx]; tsk.state == Parked {
			tsk.counters.failures = 0
			par.setState(tsk, Queued)
		}
	}
}

func (par *Partition[P]) applyRemoved(ent *entry) {
	delete(par.jobs, ent.id)
	for pos, oth := range par.order {
		if oth == ent {
			par.order = append(par.order[:pos], par.order[pos+1:]...)
			return
		}
	}
}

func (par *Partition[P]) applyTask(tsk *task, rec Record) {
	switch rec.kind {
	case TaskAssigned:
		tsk.assigned, tsk.holder, tsk.open = rec.ref.token, rec.holder, true
		tsk.counters.attempts++
		if tsk.act == nil || tsk.act.token != rec.ref.token {
			par.activate(tsk, activity{token: rec.ref.token, holder: rec.holder})
		}
		par.setState(tsk, Assigned)
	case TaskCheckpointed:
		tsk.checkpoint = rec.end.checkpoint
	case TaskEnded:
		par.applyEnded(tsk, rec.end)
	case TaskParked:
		tsk.detail, tsk.open = rec.end.detail, false
		par.setState(tsk, Parked)
	case TaskRestored:
		par.applyRestored(tsk, rec)
	default:
		panic("job: unknown kind of record " + rec.kind.String())
	}
}

// applyEnded ends the open assignment of a task. A lost assignment stays open until the next one is
// recorded: its agent may still report a result or a checkpoint, which no other run can have
// produced. A lost task that must not run again is parked by the same record, so that a crash cannot
// leave it ended but not parked.
func (par *Partition[P]) applyEnded(tsk *task, end End) {
	tsk.open = end.kind == EndLost && !tsk.entry.cancelled
	held := tsk.state == Assigned || tsk.state == Running || tsk.state == Stopping
	if end.checkpoint != "" {
		tsk.checkpoint = end.checkpoint
	}
	if end.evicted {
		tsk.counters.evictions++
	}
	if end.kind == EndFailed {
		tsk.counters.failures++
	}
	if end.detail != "" {
		tsk.detail = end.detail
	}
	switch {
	case end.kind == EndFinished:
		tsk.result = end.result
		par.setState(tsk, Finished)
	case tsk.entry.cancelled:
		par.setState(tsk, Cancelled)
	case held && tsk.mustPark(end):
		par.setState(tsk, Parked)
	default:
		par.setState(tsk, Queued)
	}
}

func (par *Partition[P]) applyRestored(tsk *task, rec Record) {
	tsk.assigned, tsk.holder, tsk.open, tsk.counters = rec.ref.token, rec.holder, rec.open, rec.counters
	tsk.checkpoint, tsk.result, tsk.detail = rec.end.checkpoint, rec.end.result, rec.end.detail
	if rec.state == Assigned {
		par.activate(tsk, activity{token: rec.ref.token, holder: rec.holder})
	}
	par.setState(tsk, rec.state)
}

// markEnded sets the end time of a job whose last task has ended and frees its payload.
func (par *Partition[P]) markEnded(ent *entry, at int64) {
	if ent.endedAt != 0 || ent.counts[Finished]+ent.counts[Cancelled] < len(ent.tasks) {
		return
	}
	ent.endedAt = max(at, 1)
	par.payloadBytes -= len(ent.spec.payload)
	ent.spec.payload = nil
}

// Snapshot returns the shortest list of records that rebuilds the durable
// state. Equal states give equal lists.
func (par *Partition[P]) Snapshot() []Record {
	recs := make([]Record, 0, len(par.order)*2)
	for _, ent := range par.order {
		recs = append(recs, NewRecord(JobSubmitted, jobRef(ent.id), ent.submittedAt).WithSpec(ent.spec, ent.digest))
		for idx := range ent.tasks {
			if rec, changed := ent.tasks[idx].snapshot(ent.endedAt); changed {
				recs = append(recs, rec)
			}
		}
		if ent.cancelled {
			recs = append(recs, NewRecord(JobCancelled, jobRef(ent.id), ent.endedAt))
		}
	}
	return recs
}

// snapshot returns the durable state of a task, and false if the task is as it was submitted.
func (tsk *task) snapshot(at int64) (Record, bool) {
	sta := tsk.state
	switch sta {
	case Offered:
		sta = Queued
	case Running, Stopping:
		sta = Assigned
	default:
	}
	rec := NewRecord(TaskRestored, tsk.ref(tsk.assigned), at).WithHolder(tsk.holder).
		WithEnd(NewEnd(EndFinished, tsk.checkpoint).WithResult(tsk.result, tsk.detail)).
		WithTask(sta, tsk.open, tsk.counters)
	changed := sta != Queued || !tsk.assigned.IsZero() || tsk.checkpoint != ""
	return rec, changed
}
