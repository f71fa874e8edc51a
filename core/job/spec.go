package job

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Spec is a submitted job. It is built by the With methods, each of which
// returns a changed copy.
type Spec struct {
	key       string
	workspace fleet.Workspace
	team      fleet.Team
	class     fleet.JobClass
	service   fleet.Service
	kind      Kind
	urgent    bool
	tasks     int
	resources resource.Vector
	payload   []byte
	deadline  int64
	lease     time.Duration
	rerun     Rerun
	restarts  bool            // the tasks start from the beginning after each stop
	charged   fleet.Team      // team of the workspace, empty for none
	classSize resource.Vector // size of a task in the settings of the class, zero for none
}

// NewSpec returns a job of a kind with a number of tasks of equal size.
func NewSpec(knd Kind, tasks int, vec resource.Vector) Spec {
	return Spec{kind: knd, tasks: tasks, resources: vec}
}

// WithKey returns the job under a workspace's key.
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

// WithRerun returns the job with what happens when it is not known whether a task has run.
func (spc Spec) WithRerun(rer Rerun) Spec {
	spc.rerun = rer
	return spc
}

// WithCheckpoints returns the job with whether its tasks can resume from a checkpoint.
func (spc Spec) WithCheckpoints(checkpointable bool) Spec {
	spc.restarts = !checkpointable
	return spc
}

// WithClassSize returns the job with the size that operators have set for the
// tasks of its class. It counts for a submission that names no size.
func (spc Spec) WithClassSize(vec resource.Vector) Spec {
	spc.classSize = vec
	return spc
}

// WithWorkspaceTeam returns the job with the team that operators have set for its
// workspace. It counts for a submission without a team, and one that names
// another team is refused: it would use a share that is not the workspace's.
func (spc Spec) WithWorkspaceTeam(tea fleet.Team) Spec {
	spc.charged = tea
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
func (spc Spec) Team() fleet.Team { return cmp.Or(spc.team, spc.charged) }

// Class returns the job class.
func (spc Spec) Class() fleet.JobClass { return spc.class }

// Service returns the service whose endpoints run the job.
func (spc Spec) Service() fleet.Service { return spc.service }

// Kind returns the kind.
func (spc Spec) Kind() Kind { return spc.kind }

// Urgent reports whether the job goes before others.
func (spc Spec) Urgent() bool { return spc.urgent }

// Tasks returns the number of tasks.
func (spc Spec) Tasks() int { return spc.tasks }

// Resources returns the size of one task.
func (spc Spec) Resources() resource.Vector { return cmp.Or(spc.resources, spc.classSize) }

// Payload returns the input of the tasks, which the caller must not change. It
// is dropped when the job has ended.
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

// Rerun returns what happens when it is not known whether a task has run.
func (spc Spec) Rerun() Rerun { return spc.rerun }

// Checkpointable reports whether the tasks can resume from a checkpoint. They
// can unless their class says otherwise.
func (spc Spec) Checkpointable() bool { return !spc.restarts }

// Digest identifies the content, so that a repeated submission can be compared
// after the payload has been dropped. The settings of the class and the workspace
// are left out, because operators may change them between two submissions.
func (spc Spec) Digest() string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q %q %q %q %d %t %d %v %d %d ", spc.key, spc.workspace, spc.team, spc.class, spc.service,
		spc.kind, spc.urgent, spc.tasks, spc.resources, spc.deadline, len(spc.payload))
	sum.Write(spc.payload)
	return fmt.Sprintf("%x", sum.Sum(nil)[:16])
}

// invalid returns why the job cannot be accepted, empty if it can.
func (spc Spec) invalid() string {
	switch {
	case spc.key == "" || spc.workspace == "":
		return "key and workspace must be set"
	case spc.tasks < 1 || spc.tasks > MaxTasks:
		return fmt.Sprintf("%d tasks: must be 1 to %d", spc.tasks, MaxTasks)
	case len(spc.payload) > MaxPayloadBytes:
		return fmt.Sprintf("payload of %d bytes: at most %d", len(spc.payload), MaxPayloadBytes)
	case spc.team != "" && spc.charged != "" && spc.team != spc.charged:
		return fmt.Sprintf("workspace %s belongs to team %s, not to %s", spc.workspace, spc.charged, spc.team)
	case spc.Resources() == resource.Vector{}:
		return fmt.Sprintf("resources must be set: no size is set for class %q", spc.class)
	case !spc.Resources().Valid():
		return "resources must be positive"
	case spc.lease < 0 || spc.lease > MaxLease:
		return fmt.Sprintf("task lease %v: at most %v", spc.lease, MaxLease)
	case spc.kind > KindWatch:
		return "unknown kind"
	case spc.rerun >= rerunCount:
		return "unknown setting of rerun"
	}
	return ""
}
