package batch

// Work counts what a scheduler has done, in units whose cost hardly depends on the size of the fleet.
type Work struct {
	Evaluated int // instances that were looked at for a step
	Waiting   int // steps that were ordered in plans
	Listed    int // runs that reports listed
	Events    int // ends of runs
	Recorded  int // tasks in the records of jobs
}

// Work returns what was done since the last call.
func (sch *Scheduler[O, P]) Work() Work {
	out := sch.work
	sch.work = Work{}
	return out
}
