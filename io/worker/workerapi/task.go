package workerapi

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/worker"
)

// StateReply is the message for a worker.Report, the state of a worker at one instant.
type StateReply struct {
	Incarnation uint64       `json:"incarnation"`
	ClockMillis int64        `json:"clockMillis"`
	Capacity    Resources    `json:"capacity"`
	Tasks       []TaskReport `json:"tasks"`
}

// NewStateReply returns the message for a report.
func NewStateReply(rep worker.Report) StateReply {
	msg := StateReply{
		Incarnation: uint64(rep.Incarnation()),
		ClockMillis: Millis(rep.Clock()),
		Capacity:    NewResources(rep.Capacity()),
		Tasks:       make([]TaskReport, 0, len(rep.Tasks())),
	}
	for _, tsk := range rep.Tasks() {
		msg.Tasks = append(msg.Tasks, NewTaskReport(tsk))
	}
	return msg
}

// Core converts the message to a worker.Report.
func (msg StateReply) Core() worker.Report {
	tasks := make([]worker.TaskReport, 0, len(msg.Tasks))
	for _, tsk := range msg.Tasks {
		tasks = append(tasks, tsk.Core())
	}
	rep := worker.NewReport(fleet.Incarnation(msg.Incarnation), Instant(msg.ClockMillis), msg.Capacity.Vector())
	return rep.WithTasks(tasks)
}

// TaskReport is the message for a worker.TaskReport, the state of an assignment.
type TaskReport struct {
	Ref
	State           string    `json:"state"`
	Class           string    `json:"class,omitempty"`
	Resources       Resources `json:"resources"`
	Usage           Resources `json:"usage"`
	DeadlineMillis  int64     `json:"deadlineMillis"`
	ProgressPercent int       `json:"progressPercent"`
	Checkpoint      string    `json:"checkpoint,omitempty"`
	Result          []byte    `json:"result,omitempty"`
	Detail          string    `json:"detail,omitempty"`
}

// NewTaskReport returns the message for a task report.
func NewTaskReport(rep worker.TaskReport) TaskReport {
	return TaskReport{
		Ref:             NewRef(rep.Ref()),
		State:           string(rep.State()),
		Class:           string(rep.Class()),
		Resources:       NewResources(rep.Resources()),
		Usage:           NewResources(rep.Usage()),
		DeadlineMillis:  Millis(rep.Deadline()),
		ProgressPercent: rep.Progress(),
		Checkpoint:      rep.Checkpoint(),
		Result:          rep.Result(),
		Detail:          rep.Detail(),
	}
}

// Core converts the message to a worker.TaskReport.
func (msg TaskReport) Core() worker.TaskReport {
	return worker.NewTaskReport(msg.Ref.Core(), worker.State(msg.State)).
		WithClass(fleet.JobClass(msg.Class)).
		WithResources(msg.Resources.Vector(), msg.Usage.Vector()).
		WithDeadline(Instant(msg.DeadlineMillis)).
		WithProgress(msg.ProgressPercent, msg.Checkpoint).
		WithResult(msg.Result, msg.Detail)
}

// StartRequest starts an assignment that ends at the deadline unless it is renewed. The deadline is a
// time of the clock of the given incarnation of the worker.
type StartRequest struct {
	Ref
	Incarnation    uint64    `json:"incarnation"`
	DeadlineMillis int64     `json:"deadlineMillis"`
	Kind           string    `json:"kind"`
	Class          string    `json:"class,omitempty"`
	Resources      Resources `json:"resources"`
	Payload        []byte    `json:"payload,omitempty"`
	Checkpoint     string    `json:"checkpoint,omitempty"`
}

// NewStartRequest returns the message for a start order.
func NewStartRequest(ord worker.StartOrder) StartRequest {
	return StartRequest{
		Ref:            NewRef(ord.Ref()),
		Incarnation:    uint64(ord.Incarnation()),
		DeadlineMillis: Millis(ord.Deadline()),
		Kind:           ord.Kind(),
		Class:          string(ord.Class()),
		Resources:      NewResources(ord.Resources()),
		Payload:        ord.Payload(),
		Checkpoint:     ord.Checkpoint(),
	}
}

// Core converts the message to a worker.StartOrder.
func (msg StartRequest) Core() worker.StartOrder {
	return worker.NewStartOrder(msg.Ref.Core(), fleet.Incarnation(msg.Incarnation), Instant(msg.DeadlineMillis)).
		WithClass(msg.Kind, fleet.JobClass(msg.Class)).
		WithResources(msg.Resources.Vector()).
		WithPayload(msg.Payload, msg.Checkpoint)
}

// StartReply reports whether the assignment was started and, if not, why.
type StartReply struct {
	Started bool   `json:"started"`
	Refusal string `json:"refusal,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Lease is the deadline of one assignment.
type Lease struct {
	Ref
	DeadlineMillis int64 `json:"deadlineMillis"`
}

// RenewRequest extends deadlines. A deadline earlier than the current one is ignored.
type RenewRequest struct {
	Leases []Lease `json:"leases"`
}

// NewRenewRequest returns the message for leases.
func NewRenewRequest(leases []worker.Lease) RenewRequest {
	msg := RenewRequest{Leases: make([]Lease, 0, len(leases))}
	for _, lea := range leases {
		msg.Leases = append(msg.Leases, Lease{Ref: NewRef(lea.Ref()), DeadlineMillis: Millis(lea.Deadline())})
	}
	return msg
}

// Core converts the message to leases.
func (msg RenewRequest) Core() []worker.Lease {
	leases := make([]worker.Lease, 0, len(msg.Leases))
	for _, lea := range msg.Leases {
		leases = append(leases, worker.NewLease(lea.Ref.Core(), Instant(lea.DeadlineMillis)))
	}
	return leases
}

// RenewReply lists the assignments that are still running.
type RenewReply struct {
	Renewed []Ref `json:"renewed"`
}

// NewRenewReply returns the message for the assignments that are still running.
func NewRenewReply(refs []worker.Ref) RenewReply {
	msg := RenewReply{Renewed: make([]Ref, 0, len(refs))}
	for _, ref := range refs {
		msg.Renewed = append(msg.Renewed, NewRef(ref))
	}
	return msg
}

// Core converts the message to references of assignments.
func (msg RenewReply) Core() []worker.Ref {
	refs := make([]worker.Ref, 0, len(msg.Renewed))
	for _, ref := range msg.Renewed {
		refs = append(refs, ref.Core())
	}
	return refs
}

// StopRequest ends an assignment, after a checkpoint if WithCheckpoint is set.
type StopRequest struct {
	Ref
	WithCheckpoint bool `json:"checkpoint"`
}

// ThrottleRequest limits a running assignment to a percentage of its full speed.
type ThrottleRequest struct {
	Ref
	Percent int `json:"percent"`
}

// ForgetRequest deletes the record of an ended assignment.
type ForgetRequest struct {
	Ref
}
