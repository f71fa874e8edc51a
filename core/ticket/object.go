package ticket

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

// Object is the complete state of one configured object. Only this package implements it; the
// values are immutable.
type Object interface {
	Kind() Kind
	check(chk *checker)
	digest(dgr *digester)
}

// Service configures a latency-critical service. Its limits apply to each instance that serves it.
type Service struct {
	slots           int
	connections     int
	timeout         time.Duration
	idempotentPaths []string
}

// NewService returns a service with its limits per instance, its default
// timeout and the path prefixes whose requests may be repeated.
func NewService(slots, connections int, timeout time.Duration, idempotentPaths ...string) Service {
	return Service{slots: slots, connections: connections, timeout: timeout, idempotentPaths: slices.Clone(idempotentPaths)}
}

// Kind returns KindService.
func (Service) Kind() Kind { return KindService }

// Slots returns the number of requests that one instance runs at a time.
func (svc Service) Slots() int { return svc.slots }

// Connections returns the number of connections that one instance accepts.
func (svc Service) Connections() int { return svc.connections }

// Timeout returns the timeout of requests that specify none.
func (svc Service) Timeout() time.Duration { return svc.timeout }

// IdempotentPaths returns a copy of the path prefixes whose requests may be repeated.
func (svc Service) IdempotentPaths() []string { return slices.Clone(svc.idempotentPaths) }

// Idempotent reports whether requests for the path may be repeated.
func (svc Service) Idempotent(path string) bool {
	return slices.ContainsFunc(svc.idempotentPaths, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

func (svc Service) digest(dgr *digester) {
	dgr.number(uint64(svc.slots))
	dgr.number(uint64(svc.connections))
	dgr.number(uint64(svc.timeout))
	dgr.texts(svc.idempotentPaths)
}

// JobClass configures the jobs of one class.
type JobClass struct {
	resources       resource.Vector
	lease           time.Duration
	toleratedOutage time.Duration
	checkpointable  bool
	rerun           job.Rerun
}

// NewJobClass returns a class with the declared resources of a task, the duration of its lease, and
// the duration of a store outage that its tasks survive. With a zero outage, tasks survive an
// outage only until their lease expires.
func NewJobClass(vec resource.Vector, lease, outage time.Duration, checkpointable bool) JobClass {
	return JobClass{resources: vec, lease: lease, toleratedOutage: outage, checkpointable: checkpointable}
}

// WithRerun returns the class with the rule that applies when it is unknown whether a task has run.
func (cls JobClass) WithRerun(rer job.Rerun) JobClass {
	cls.rerun = rer
	return cls
}

// Kind returns KindJobClass.
func (JobClass) Kind() Kind { return KindJobClass }

// Resources returns the declared resources of one task.
func (cls JobClass) Resources() resource.Vector { return cls.resources }

// Lease returns the duration of a task's lease.
func (cls JobClass) Lease() time.Duration { return cls.lease }

// ToleratedOutage returns the duration of a store outage that tasks survive, zero if they survive
// no outage longer than their lease.
func (cls JobClass) ToleratedOutage() time.Duration { return cls.toleratedOutage }

// Checkpointable reports whether a task can resume from a checkpoint.
func (cls JobClass) Checkpointable() bool { return cls.checkpointable }

// Rerun returns the rule that applies when it is unknown whether a task has run.
func (cls JobClass) Rerun() job.Rerun { return cls.rerun }

func (cls JobClass) digest(dgr *digester) {
	dgr.number(uint64(cls.resources.MilliCPU()))
	dgr.number(uint64(cls.resources.MemoryMB()))
	dgr.number(uint64(cls.resources.Accelerators()))
	dgr.number(uint64(cls.lease))
	dgr.number(uint64(cls.toleratedOutage))
	dgr.flag(cls.checkpointable)
	dgr.number(uint64(cls.rerun))
}

// DataCentre configures whether a data centre is in service. Operators take it out of service as a
// whole.
type DataCentre struct {
	out    bool
	reason string
}

// NewDataCentre returns the state of a data centre. If out is true, the reason must not be empty.
func NewDataCentre(out bool, reason string) DataCentre {
	return DataCentre{out: out, reason: reason}
}

// Kind returns KindDataCentre.
func (DataCentre) Kind() Kind { return KindDataCentre }

// Out reports whether the data centre is out of service.
func (dc DataCentre) Out() bool { return dc.out }

// Reason returns why the data centre is out of service.
func (dc DataCentre) Reason() string { return dc.reason }

func (dc DataCentre) digest(dgr *digester) {
	dgr.flag(dc.out)
	dgr.text(dc.reason)
}

// Admission limits the requests of the service that has the same name as the object.
type Admission struct {
	maxQueue      int
	workspaceRate float64
	batchShare    float64
}

// NewAdmission returns the limits: the number of queued requests per instance, the requests per
// second of one workspace (zero: no limit), and the share of slots that batch requests may use,
// 0 to 1.
func NewAdmission(maxQueue int, workspaceRate, batchShare float64) Admission {
	return Admission{maxQueue: maxQueue, workspaceRate: workspaceRate, batchShare: batchShare}
}

// Kind returns KindAdmission.
func (Admission) Kind() Kind { return KindAdmission }

// MaxQueue returns the maximum number of queued requests at one instance.
func (adm Admission) MaxQueue() int { return adm.maxQueue }

// WorkspaceRate returns the requests per second that one workspace may send, zero for no limit.
func (adm Admission) WorkspaceRate() float64 { return adm.workspaceRate }

// BatchShare returns the share of slots that batch requests may use, 0 to 1.
func (adm Admission) BatchShare() float64 { return adm.batchShare }

func (adm Admission) digest(dgr *digester) {
	dgr.number(uint64(adm.maxQueue))
	dgr.number(math.Float64bits(adm.workspaceRate))
	dgr.number(math.Float64bits(adm.batchShare))
}

// Workspace configures a customer on whose behalf requests and jobs are accepted. A cancelled
// workspace is kept, inactive, with its settings.
type Workspace struct {
	active   bool
	team     fleet.Team
	settings map[string]string
}

// NewWorkspace returns a workspace with a copy of the settings.
func NewWorkspace(active bool, tea fleet.Team, settings map[string]string) Workspace {
	return Workspace{active: active, team: tea, settings: maps.Clone(settings)}
}

// Kind returns KindWorkspace.
func (Workspace) Kind() Kind { return KindWorkspace }

// Active reports whether requests and jobs of the workspace are accepted.
func (wsp Workspace) Active() bool { return wsp.active }

// Team returns the team whose quota the workspace uses.
func (wsp Workspace) Team() fleet.Team { return wsp.team }

// Settings returns a copy of the workspace's settings.
func (wsp Workspace) Settings() map[string]string { return maps.Clone(wsp.settings) }

// Setting returns the value of a setting, empty if it is not set.
func (wsp Workspace) Setting(key string) string { return wsp.settings[key] }

func (wsp Workspace) digest(dgr *digester) {
	dgr.flag(wsp.active)
	dgr.text(string(wsp.team))
	dgr.mapping(wsp.settings)
}

// Endpoint configures whether an endpoint is drained.
type Endpoint struct{ draining bool }

// NewEndpoint returns the state of an endpoint.
func NewEndpoint(draining bool) Endpoint { return Endpoint{draining: draining} }

// Kind returns KindEndpoint.
func (Endpoint) Kind() Kind { return KindEndpoint }

// Draining reports whether the endpoint must receive no new work.
func (end Endpoint) Draining() bool { return end.draining }

func (end Endpoint) digest(dgr *digester) { dgr.flag(end.draining) }

// Team is the quota of a team, as shares of the fleet's resources.
type Team struct {
	cpuShare         float64
	memoryShare      float64
	acceleratorShare float64
	mayBorrow        bool
}

// NewTeam returns a quota. Each share is from 0 to 1.
func NewTeam(cpuShare, memoryShare, acceleratorShare float64, mayBorrow bool) Team {
	return Team{cpuShare: cpuShare, memoryShare: memoryShare, acceleratorShare: acceleratorShare, mayBorrow: mayBorrow}
}

// Kind returns KindTeam.
func (Team) Kind() Kind { return KindTeam }

// CPUShare returns the team's share of the processors of the fleet, 0 to 1.
func (tea Team) CPUShare() float64 { return tea.cpuShare }

// MemoryShare returns the team's share of the memory of the fleet, 0 to 1.
func (tea Team) MemoryShare() float64 { return tea.memoryShare }

// AcceleratorShare returns the team's share of the accelerators of the fleet, 0 to 1.
func (tea Team) AcceleratorShare() float64 { return tea.acceleratorShare }

// MayBorrow reports whether the team may use resources that other teams leave unused.
func (tea Team) MayBorrow() bool { return tea.mayBorrow }

func (tea Team) digest(dgr *digester) {
	dgr.number(math.Float64bits(tea.cpuShare))
	dgr.number(math.Float64bits(tea.memoryShare))
	dgr.number(math.Float64bits(tea.acceleratorShare))
	dgr.flag(tea.mayBorrow)
}
