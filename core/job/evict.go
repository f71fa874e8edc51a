package job

// Evicted returns how many tasks were stopped to make room for others since the takeover.
func (par *Partition[P]) Evicted() int { return par.evicted }

// evict orders the tasks that the placement names to checkpoint and stop. Their
// assignments stay open until their end is reported or their lease has ended,
// as in a drain, so that they resume exactly once.
func (par *Partition[P]) evict(env Env, out *Output) {
	for _, evi := range par.placement.Evictions(env.now) {
		tsk := par.find(evi.ref)
		if tsk == nil || tsk.act == nil || tsk.act.token != evi.ref.token {
			continue
		}
		switch tsk.state {
		case Offered:
			// Nothing runs before the claim, which is refused from now on.
			par.withdraw(tsk)
		case Assigned, Running:
			par.evicted++
			tsk.act.stopping = evi.reason
			par.setState(tsk, Stopping)
			out.emit(Stop{durable: durable{after: tsk.entry.recorded}, to: tsk.act.holder.Instance(), orders: []StopOrder{tsk.stopOrder()}})
		default:
		}
	}
}
