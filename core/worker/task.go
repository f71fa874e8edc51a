package worker

import (
	"cmp"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
)

// State is the state of an assignment at the worker. All states except Running are final.
type State string

// States of an assignment.
const (
	Running      State = "running"
	Finished     State = "finished"     // completed with a result
	Failed       State = "failed"       // ended by an error of the task
	Checkpointed State = "checkpointed" // stopped after a checkpoint
	Stopped      State = "stopped"      // stopped without a new checkpoint
	Expired      State = "expired"      // ended by the worker because its lease expired
	NotStarted   State = "notStarted"   // only in answers to Stop: the worker has no record of it
)

// Ended reports whether the state is final.
func (sta State) Ended() bool { return sta != Running }

// Ref identifies an assignment: one attempt to run a task of a job, with the token of that attempt.
type Ref struct {
	job   string
	index int
	token token.Token
}

// NewRef returns the reference to an assignment.
func NewRef(job string, index int, tok token.Token) Ref {
	return Ref{job: job, index: index, token: tok}
}

// Job returns the ID of the job.
func (ref Ref) Job() string { return ref.job }

// Index returns the index of the task in its job.
func (ref Ref) Index() int { return ref.index }

// Token returns the fencing token. A later assignment of the task has a higher one.
func (ref Ref) Token() token.Token { return ref.token }

// SameTask reports whether both assignments are of the same task.
func (ref Ref) SameTask(oth Ref) bool { return ref.job == oth.job && ref.index == oth.index }

// Compare orders assignments by job, index and token.
func (ref Ref) Compare(oth Ref) int {
	return cmp.Or(cmp.Compare(ref.job, oth.job), cmp.Compare(ref.index, oth.index), ref.token.Compare(oth.token))
}

// TaskReport is a worker's record of an assignment.
type TaskReport struct {
	ref        Ref
	state      State
	class      fleet.JobClass
	resources  resource.Vector
	usage      resource.Vector
	deadline   Instant
	progress   int
	checkpoint string
	result     []byte
	detail     string
}

// NewTaskReport returns a report that contains only the state of the assignment.
func NewTaskReport(ref Ref, sta State) TaskReport { return TaskReport{ref: ref, state: sta} }

// WithClass returns the report with the class of the job.
func (rep TaskReport) WithClass(cla fleet.JobClass) TaskReport {
	rep.class = cla
	return rep
}

// WithResources returns the report with the declared resources and the measured usage.
func (rep TaskReport) WithResources(declared, usage resource.Vector) TaskReport {
	rep.resources, rep.usage = declared, usage
	return rep
}

// WithDeadline returns the report with the end of the lease by the worker's clock.
func (rep TaskReport) WithDeadline(deadline Instant) TaskReport {
	rep.deadline = deadline
	return rep
}

// WithProgress returns the report with the progress in percent and the last checkpoint, if any.
func (rep TaskReport) WithProgress(percent int, checkpoint string) TaskReport {
	rep.progress, rep.checkpoint = percent, checkpoint
	return rep
}

// WithResult returns the report with the result of a finished task and an explanation for logs and
// error messages.
func (rep TaskReport) WithResult(result []byte, detail string) TaskReport {
	rep.result, rep.detail = result, detail
	return rep
}

// Ref returns the assignment that the report is about.
func (rep TaskReport) Ref() Ref { return rep.ref }

// State returns the state of the assignment.
func (rep TaskReport) State() State { return rep.state }

// Class returns the class of the job.
func (rep TaskReport) Class() fleet.JobClass { return rep.class }

// Resources returns the declared resources, as given by the start order.
func (rep TaskReport) Resources() resource.Vector { return rep.resources }

// Usage returns the resources that the task uses. The measurement lags behind the report.
func (rep TaskReport) Usage() resource.Vector { return rep.usage }

// Deadline returns the end of the lease by the worker's clock.
func (rep TaskReport) Deadline() Instant { return rep.deadline }

// Progress returns the progress in percent.
func (rep TaskReport) Progress() int { return rep.progress }

// Checkpoint returns the last checkpoint, from which any worker can resume the task; empty if there
// is none.
func (rep TaskReport) Checkpoint() string { return rep.checkpoint }

// Result returns the result of the task, which is set if the state is Finished.
func (rep TaskReport) Result() []byte { return rep.result }

// Detail returns an explanation for logs and error messages.
func (rep TaskReport) Detail() string { return rep.detail }

// StartOrder orders a worker to run an assignment until a deadline.
type StartOrder struct {
	ref         Ref
	incarnation fleet.Incarnation
	deadline    Instant
	kind        string
	class       fleet.JobClass
	resources   resource.Vector
	payload     []byte
	checkpoint  string
}

// NewStartOrder returns an order to the worker with the incarnation. The deadline is a reading of
// that worker's clock.
func NewStartOrder(ref Ref, inc fleet.Incarnation, deadline Instant) StartOrder {
	return StartOrder{ref: ref, incarnation: inc, deadline: deadline}
}

// WithClass returns the order with the kind of the job (build, plan or watch) and its class.
func (ord StartOrder) WithClass(kind string, cla fleet.JobClass) StartOrder {
	ord.kind, ord.class = kind, cla
	return ord
}

// WithResources returns the order with the resources of the task.
func (ord StartOrder) WithResources(vec resource.Vector) StartOrder {
	ord.resources = vec
	return ord
}

// WithPayload returns the order with the work to do and the checkpoint to resume from, if any.
func (ord StartOrder) WithPayload(payload []byte, checkpoint string) StartOrder {
	ord.payload, ord.checkpoint = payload, checkpoint
	return ord
}

// Ref returns the assignment to start.
func (ord StartOrder) Ref() Ref { return ord.ref }

// Incarnation returns the incarnation of the worker to which the order is addressed.
func (ord StartOrder) Incarnation() fleet.Incarnation { return ord.incarnation }

// Deadline returns the end of the lease by the worker's clock.
func (ord StartOrder) Deadline() Instant { return ord.deadline }

// Kind returns the kind of the job: build, plan or watch.
func (ord StartOrder) Kind() string { return ord.kind }

// Class returns the class of the job.
func (ord StartOrder) Class() fleet.JobClass { return ord.class }

// Resources returns the declared resources of the task.
func (ord StartOrder) Resources() resource.Vector { return ord.resources }

// Payload returns the work to do.
func (ord StartOrder) Payload() []byte { return ord.payload }

// Checkpoint returns the checkpoint to resume from, empty if the task starts from the beginning.
func (ord StartOrder) Checkpoint() string { return ord.checkpoint }

// Refusal is the reason for which a worker did not start a task.
type Refusal string

// The refusals. After each of them the assignment has not been started by this order and will not
// be.
const (
	RefusedDeadline    Refusal = "deadline"    // the deadline has passed by the worker's clock
	RefusedToken       Refusal = "token"       // the worker has seen this token or a higher one
	RefusedRunning     Refusal = "running"     // another assignment of the task is still running
	RefusedIncarnation Refusal = "incarnation" // the order is addressed to an earlier incarnation
)

// StartResult is the result of a start order: started or refused.
type StartResult struct {
	refusal Refusal
	detail  string
}

// Started returns the result of an accepted order.
func Started() StartResult { return StartResult{} }

// Refused returns the result of a refused order.
func Refused(rfs Refusal, detail string) StartResult {
	return StartResult{refusal: rfs, detail: detail}
}

// Started reports whether this order, or an earlier delivery of it, started the assignment.
func (res StartResult) Started() bool { return res.refusal == "" }

// Refusal returns the reason of a refused order, empty if the order was accepted.
func (res StartResult) Refusal() Refusal { return res.refusal }

// Detail returns an explanation for logs and error messages.
func (res StartResult) Detail() string { return res.detail }
