package batch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the requests to the policy service of advised queues. The service
// takes time for each instance that it is asked about, and handles one call at a time.
const (
	adviceInstances = 30
	adviceRepeat    = 300 * time.Millisecond // for one step
	adviceMargin    = 500 * time.Millisecond // of a permission, for the way of the start
	reasonTicket    = "ticket"               // of a start whose permission was not accepted
)

// permission is the answer of the policy service for one life of a worker.
type permission struct {
	ticket string // empty when the worker may not run the step
	until  time.Time
}

// AdviceRequest asks which workers may run a step.
type PermissionRequest struct {
	Step         TaskID // the index is not used
	Incarnations []Incarnation
}

// permitted returns the ticket for a step on an instance. Unknown and outdated ones are asked for.
func (stp *stepState) permitted(ins *instance, now time.Time) (string, bool) {
	perm, found := stp.permissions[ins.life]
	return perm.ticket, found && perm.ticket != "" && now.Before(perm.until)
}

// Advice returns the requests that waiting tasks of advised queues need now.
func (sch *Scheduler[O, P]) PermissionRequests(now time.Time) []PermissionRequest {
	var reqs []PermissionRequest
	sch.eachOccurrence(func(job *jobState, occ *occurrence) {
		if !job.spec.NeedsPermission() {
			return
		}
		for num, stp := range occ.steps {
			if !occ.turn(num) || !stp.wants(now) || now.Sub(stp.advised) < adviceRepeat {
				continue
			}
			if lives := sch.unadvised(job, stp, now); len(lives) > 0 {
				stp.advised = now
				reqs = append(reqs, PermissionRequest{Step: TaskID{Job: job.spec.ID(), Occurrence: occ.number, Step: num}, Incarnations: lives})
			}
		}
	})
	return reqs
}

// unadvised returns the workers with room for a step whose permission is not known, those with most room first.
func (sch *Scheduler[O, P]) unadvised(job *jobState, stp *stepState, now time.Time) []Incarnation {
	var inss []*instance
	for _, ins := range sch.instances {
		perm, found := stp.permissions[ins.life]
		open := !found || perm.ticket != "" && !now.Before(perm.until)
		if open && string(ins.service) == job.spec.Service() && ins.usable(sch.out) && stp.spec.Need().FitsIn(ins.free()) {
			inss = append(inss, ins)
		}
	}
	slices.SortFunc(inss, func(fst, snd *instance) int {
		return cmp.Or(cmp.Compare(snd.free().MilliCPU(), fst.free().MilliCPU()), cmp.Compare(fst.id, snd.id))
	})
	lives := make([]Incarnation, 0, adviceInstances)
	for _, ins := range inss[:min(adviceInstances, len(inss))] {
		lives = append(lives, ins.life)
	}
	return lives
}

// Advise applies an answer of the policy service: the tickets of the workers that may
// run the step, valid for a time from the moment of the request.
func (sch *Scheduler[O, P]) SetPermissions(req PermissionRequest, tickets map[Incarnation]string, until time.Time) {
	job := sch.jobs[req.Step.Job]
	if job == nil {
		return
	}
	req.Step.Index = 0
	stp, _ := job.task(req.Step)
	if stp == nil {
		return
	}
	if stp.permissions == nil {
		stp.permissions = make(map[Incarnation]permission)
	}
	for _, life := range req.Incarnations {
		stp.permissions[life] = permission{ticket: tickets[life], until: until.Add(-adviceMargin)}
	}
	sch.planned = false
}
