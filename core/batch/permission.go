package batch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the requests to the policy service of advised queues. The service
// takes time for each instance that it is asked about, and handles one call at a time.
const (
	maxRequestInstances = 30
	requestInterval     = 300 * time.Millisecond // for one step
	permissionMargin    = 500 * time.Millisecond // of a permission, for the way of the start
	reasonTicket        = "ticket"               // of a start whose permission was not accepted
)

// permission is the answer of the policy service for one life of a worker.
type permission struct {
	ticket     string // empty when the worker may not run the step
	validUntil time.Time
}

// AdviceRequest asks which workers may run a step.
type PermissionRequest struct {
	Step         TaskID // the index is not used
	Incarnations []Incarnation
}

// permitted returns the ticket for a step on an instance. Unknown and outdated ones are asked for.
func (stp *stepState) permitted(ins *instance, now time.Time) (string, bool) {
	perm, found := stp.permissions[ins.incarnation]
	return perm.ticket, found && perm.ticket != "" && now.Before(perm.validUntil)
}

// Advice returns the requests that waiting tasks of advised queues need now.
func (sch *Scheduler[O, P]) PermissionRequests(now time.Time) []PermissionRequest {
	var reqs []PermissionRequest
	sch.eachOccurrence(func(job *jobState, occ *occurrence) {
		if !job.spec.NeedsPermission() {
			return
		}
		for num, stp := range occ.steps {
			if !occ.dependenciesDone(num) || !stp.startable(now) || now.Sub(stp.requestedAt) < requestInterval {
				continue
			}
			if incs := sch.unknownPermissions(job, stp, now); len(incs) > 0 {
				stp.requestedAt = now
				reqs = append(reqs, PermissionRequest{Step: TaskID{Job: job.spec.ID(), Occurrence: occ.number, Step: num}, Incarnations: incs})
			}
		}
	})
	return reqs
}

// unadvised returns the workers with room for a step whose permission is not known, those with most room first.
func (sch *Scheduler[O, P]) unknownPermissions(job *jobState, stp *stepState, now time.Time) []Incarnation {
	var inss []*instance
	for _, ins := range sch.instances {
		perm, found := stp.permissions[ins.incarnation]
		open := !found || perm.ticket != "" && !now.Before(perm.validUntil)
		if open && string(ins.service) == job.spec.Service() && ins.usable(sch.excluded) && stp.spec.Need().FitsIn(ins.free()) {
			inss = append(inss, ins)
		}
	}
	slices.SortFunc(inss, func(fst, snd *instance) int {
		return cmp.Or(cmp.Compare(snd.free().MilliCPU(), fst.free().MilliCPU()), cmp.Compare(fst.id, snd.id))
	})
	incs := make([]Incarnation, 0, maxRequestInstances)
	for _, ins := range inss[:min(maxRequestInstances, len(inss))] {
		incs = append(incs, ins.incarnation)
	}
	return incs
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
	for _, inc := range req.Incarnations {
		stp.permissions[inc] = permission{ticket: tickets[inc], validUntil: until.Add(-permissionMargin)}
	}
	sch.planned = false
}
