package batch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the requests to the policy service. The time that the service takes grows with the
// number of instances in a request, and it handles one request at a time.
const (
	maxRequestInstances = 30
	// requestInterval is the time between requests for the same step.
	requestInterval = 300 * time.Millisecond
	// permissionMargin is the time before the end of a permission at which its use ends, so that
	// starts reach the worker in time.
	permissionMargin = 500 * time.Millisecond
	// reasonAuthorization is the Event.Reason of a start that the worker refused because of its
	// authorization.
	reasonAuthorization = "ticket"
)

// permission is the answer of the policy service for one step and one incarnation of a worker.
type permission struct {
	authorization string // empty when the worker may not run the step
	validUntil    time.Time
}

// PermissionRequest asks which workers may run a step.
type PermissionRequest struct {
	Step         TaskID // Index is not used
	Incarnations []Incarnation
}

// permitted returns the authorization for a step on an instance, and whether the worker may run the
// step.
func (stp *stepState) permitted(ins *instance, now time.Time) (string, bool) {
	perm, found := stp.permissions[ins.incarnation]
	return perm.authorization, found && perm.authorization != "" && now.Before(perm.validUntil)
}

// PermissionRequests returns the requests that must be sent now for the waiting tasks of jobs that
// need permission.
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

// unknownPermissions returns the workers that have room for a step and whose permission is unknown
// or expired, in the order of decreasing free CPU.
func (sch *Scheduler[O, P]) unknownPermissions(job *jobState, stp *stepState, now time.Time) []Incarnation {
	var inss []*instance
	for _, ins := range sch.instanceList {
		perm, found := stp.permissions[ins.incarnation]
		open := !found || perm.authorization != "" && !now.Before(perm.validUntil)
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

// SetPermissions applies an answer of the policy service. Authorizations contains the workers that
// may run the step; the other workers of the request may not. They are valid until the given time.
func (sch *Scheduler[O, P]) SetPermissions(req PermissionRequest, authorizations map[Incarnation]string, until time.Time) {
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
		stp.permissions[inc] = permission{authorization: authorizations[inc], validUntil: until.Add(-permissionMargin)}
	}
	stp.rejections = rejections{}
	sch.planned = false
}
