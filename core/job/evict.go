package job

// Evicted returns how many tasks were evicted for others since the takeover.
func (par *Partition[P]) Evicted() int { return par.evicted }

// evict orders the tasks that the placement selects to checkpoint and stop. As in a drain, their
// assignments stay open until their end is reported or their lease has expired, so each resumes once.
func (par *Partition[P]) evict(env Env, out *Output) {
	for _, evi := range par.placement.Evictions(env.now) {
		tsk := par.find(evi.ref)
		if tsk == nil || tsk.act == nil || tsk.act.token != evi.ref.token {
			continue
		}
		switch tsk.state {
		case Offered:
			// No task runs before its claim, and a claim of a withdrawn offer is refused.
			par.withdraw(tsk)
		case Assigned, Running:
			par.evicted++
			tsk.act.evictReason = evi.reason
			par.setState(tsk, Stopping)
			out.emit(Stop{releaseCondition: releaseCondition{after: tsk.entry.recorded}, to: tsk.act.holder.Instance(), orders: []StopOrder{tsk.stopOrder()}})
		default:
		}
	}
}
