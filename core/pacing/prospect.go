package pacing

// Prospect is what a Model expects of the serving tasks on one worker. It answers questions about
// further best-effort tasks without another look at those that run already. It holds the loads of the
// time at which it was made.
type Prospect struct {
	tasks []expectation
}

// expectation is the expected load of one serving task.
type expectation struct {
	estimator *estimator // nil for an image that was never measured
	excess    float64    // load beyond the load at which the task reaches its target
}

// Prospect returns what is expected of serving tasks beside the uses of best-effort images.
func (mod *Model) Prospect(srvs []ServingTask, uss Uses) Prospect {
	prs := Prospect{tasks: make([]expectation, len(srvs))}
	for num, srv := range srvs {
		prs.tasks[num] = expectation{estimator: mod.estimators[srv.Image], excess: mod.excess(srv, uss)}
	}
	return prs
}

// AddedViolations returns how the expected number of serving tasks over their targets changes if a
// best-effort image uses the given fraction of the worker's processors more. The fraction may be
// negative.
func (prs Prospect) AddedViolations(image string, fraction float64) float64 {
	sum := 0.0
	for _, exp := range prs.tasks {
		effect := priorEffect
		if exp.estimator != nil {
			effect = exp.estimator.effect(image)
		}
		sum += violationFraction(exp.excess+effect*fraction) - violationFraction(exp.excess)
	}
	return sum
}
