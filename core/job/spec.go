package job

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Spec is the specification of a submitted job. Each With method returns a changed copy.
type Spec struct {
	key           string
	workspace     fleet.Workspace
	team          fleet.Team
	class         fleet.JobClass
	service       fleet.Service
	kind          Kind
	urgent        bool
	tasks         int
	resources     resource.Vector
	payload       []byte
	deadline      int64
	lease         time.Duration
	rerun         Rerun
	noCheckpoints bool            // the tasks cannot resume from a checkpoint
	workspaceTeam fleet.Team      // set by operators, empty for none
	classSize     resource.Vector // task size set by operators for the class, zero for none
}

// NewSpec returns a job of a kind with a number of tasks, each of the given size.
func NewSpec(knd Kind, tasks int, vec resource.Vector) Spec {
	return Spec{kind: knd, tasks: tasks, resources: vec}
}

// WithKey returns the job with its workspace and the idempotency key within that workspace.
func (spc Spec) WithKey(wsp fleet.Workspace, key string) Spec {
	spc.workspace, spc.key = wsp, key
	return spc
}

// WithTeam returns the job with the team that pays for it.
func (spc Spec) WithTeam(tea fleet.Team) Spec {
	spc.team = tea
	return spc
}

// WithClass returns the job with its class and the task lease of that class; zero means DefaultLease.
func (spc Spec) WithClass(cls fleet.JobClass, leased time.Duration) Spec {
	spc.class, spc.lease = cls, leased
	return spc
}

// WithRerun returns the job with the setting for tasks whose end is unknown.
func (spc Spec) WithRerun(rer Rerun) Spec {
	spc.rerun = rer
	return spc
}

// WithCheckpoints returns the job with whether its tasks can resume from a checkpoint.
func (spc Spec) WithCheckpoints(checkpointable bool) Spec {
	spc.noCheckpoints = !checkpointable
	return spc
}

// WithClassSize returns the job with the size that operators have set for the tasks of its class. It
// applies to a submission that names no size.
func (spc Spec) WithClassSize(vec resource.Vector) Spec {
	spc.classSize = vec
	return spc
}

// WithWorkspaceTeam returns the job with the team that operators have set for its workspace. It applies
// to a submission that names no team. A submission that names another team is refused, because it
// would use the quota of that team.
func (spc Spec) WithWorkspaceTeam(tea fleet.Team) Spec {
	spc.workspaceTeam = tea
	return spc
}

// WithService returns the job with the service whose endpoints run it.
func (spc Spec) WithService(srv fleet.Service) Spec {
	spc.service = srv
	return spc
}

// WithUrgency returns the job marked as urgent or not.
func (spc Spec) WithUrgency(urgent bool) Spec {
	spc.urgent = urgent
	return spc
}

// WithPayload returns the job with the input of its tasks.
func (spc Spec) WithPayload(payload []byte) Spec {
	spc.payload = payload
	return spc
}

// WithDeadline returns the job with the time by which it should end, in Unix milliseconds.
func (spc Spec) WithDeadline(unixMillis int64) Spec {
	spc.deadline = unixMillis
	return spc
}

// Key returns the idempotency key.
func (spc Spec) Key() string { return spc.key }

// Workspace returns the workspace.
func (spc Spec) Workspace() fleet.Workspace { return spc.workspace }

// Team returns the team that pays for the job.
func (spc Spec) Team() fleet.Team { return cmp.Or(spc.team, spc.workspaceTeam) }

// Class returns the job class.
func (spc Spec) Class() fleet.JobClass { return spc.class }

// Service returns the service whose endpoints run the job.
func (spc Spec) Service() fleet.Service { return spc.service }

// Kind returns the kind.
func (spc Spec) Kind() Kind { return spc.kind }

// Urgent reports whether the job precedes jobs that are not urgent.
func (spc Spec) Urgent() bool { return spc.urgent }

// Tasks returns the number of tasks.
func (spc Spec) Tasks() int { return spc.tasks }

// Resources returns the size of one task.
func (spc Spec) Resources() resource.Vector { return cmp.Or(spc.resources, spc.classSize) }

// Payload returns the input of the tasks, which the caller must not modify. It is nil once the job has
// ended.
func (spc Spec) Payload() []byte { return spc.payload }

// Deadline returns the time by which the job should end in Unix milliseconds, zero for none.
func (spc Spec) Deadline() int64 { return spc.deadline }

// Lease returns the task lease.
func (spc Spec) Lease() time.Duration {
	if spc.lease == 0 {
		return DefaultLease
	}
	return spc.lease
}

// Rerun returns the setting for tasks whose end is unknown.
func (spc Spec) Rerun() Rerun { return spc.rerun }

// Checkpointable reports whether the tasks can resume from a checkpoint. The default is true.
func (spc Spec) Checkpointable() bool { return !spc.noCheckpoints }

// Digest returns a hash of the content, to compare a repeated submission after the payload has been
// freed. The settings of the class and the workspace are left out, because operators may change them
// between two submissions.
func (spc Spec) Digest() string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q %q %q %q %d %t %d %v %d %d ", spc.key, spc.workspace, spc.team, spc.class, spc.service,
		spc.kind, spc.urgent, spc.tasks, spc.resources, spc.deadline, len(spc.payload))
	sum.Write(spc.payload)
	return fmt.Sprintf("%x", sum.Sum(nil)[:16])
}

// invalidReason returns why the specification is invalid, empty if it is valid.
func (spc Spec) invalidReason() string {
	switch {
	case spc.key == "" || spc.workspace == "":
		return "key and workspace must be set"
	case spc.tasks < 1 || spc.tasks > MaxTasks:
		return fmt.Sprintf("job has %d tasks, expected 1 to %d", spc.tasks, MaxTasks)
	case len(spc.payload) > MaxPayloadBytes:
		return fmt.Sprintf("payload is %d bytes, expected at most %d", len(spc.payload), MaxPayloadBytes)
	case spc.team != "" && spc.workspaceTeam != "" && spc.team != spc.workspaceTeam:
		return fmt.Sprintf("workspace %s belongs to team %s, not to %s", spc.workspace, spc.workspaceTeam, spc.team)
	case spc.Resources() == resource.Vector{}:
		return fmt.Sprintf("resources must be set: no size is set for class %q", spc.class)
	case !spc.Resources().Valid():
		return "resources must be positive"
	case spc.lease < 0 || spc.lease > MaxLease:
		return fmt.Sprintf("task lease is %v, expected 0 to %v", spc.lease, MaxLease)
	case spc.kind > KindWatch:
		return "unknown kind of job, expected build, plan or watch"
	case spc.rerun >= rerunCount:
		return "unknown setting of rerun, expected fromCheckpoint or never"
	}
	return ""
}
