package job

import (
	"cmp"
	"fmt"
	"slices"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/token"
)

// Submit takes in a job. The same job submitted again gives the present one.
func (par *Partition[P]) Submit(env Env, tag Tag, spc Spec) *Output {
	out := &Output{}
	id := NewID(spc.workspace, spc.key)
	rep := Reply{tag: tag, job: id, out: outcome.Answered()}
	if ent := par.jobs[id]; ent != nil {
		rep.after, rep.existing = ent.recorded, true
		if ent.digest != spc.Digest() {
			rep.out = outcome.NotRun(ReasonConflict, "the key was used for a job with other content")
		}
		out.emit(rep)
		return out
	}
	if refusal, refused := par.refuseJob(spc); refused {
		rep.out = refusal
		out.emit(rep)
		return out
	}
	par.record(out, NewRecord(JobSubmitted, jobRef(id), env.now.UnixMilli()).WithSpec(spc, spc.Digest()))
	par.rerank(par.jobs[id])
	rep.after = par.recorded
	out.emit(rep)
	par.dispatch(env, out)
	return out
}

// refuseJob returns why a new job cannot be accepted.
func (par *Partition[P]) refuseJob(spc Spec) (outcome.Outcome, bool) {
	if problem := spc.invalid(); problem != "" {
		return outcome.NotRun(ReasonInvalid, problem), true
	}
	if fits, largest := par.placement.Admits(spc); !fits {
		return outcome.NotRun(outcome.ReasonTooLarge, fmt.Sprintf("the largest task that fits is %v", largest)), true
	}
	switch {
	case par.Queued()+spc.tasks > par.limits.queued:
		return outcome.NotRun(outcome.ReasonQueueFull, fmt.Sprintf("%d tasks wait", par.Queued())), true
	case len(par.order) >= par.limits.jobs:
		return outcome.NotRun(outcome.ReasonQueueFull, fmt.Sprintf("%d jobs are known", len(par.order))), true
	case par.payload+len(spc.payload) > par.limits.payloadBytes:
		return outcome.NotRun(outcome.ReasonQueueFull, fmt.Sprintf("payloads take %d bytes", par.payload)), true
	}
	return outcome.Outcome{}, false
}

// Cancel ends a job. The cancellation is recorded first; then running tasks are
// ordered to stop. A task whose end was recorded before keeps that end.
func (par *Partition[P]) Cancel(env Env, tag Tag, id ID) *Output {
	out := &Output{}
	ent := par.jobs[id]
	if ent == nil {
		out.emit(Reply{tag: tag, job: id, out: outcome.NotRun(ReasonNoJob, "")})
		return out
	}
	if !ent.cancelled && ent.endedAt == 0 {
		par.withdrawOffers(ent)
		par.record(out, NewRecord(JobCancelled, jobRef(id), env.now.UnixMilli()))
		par.stopTasks(ent, out)
	}
	out.emit(Reply{durable: durable{after: ent.recorded}, tag: tag, job: id, out: outcome.Answered()})
	return out
}

// Retry returns the parked tasks of a job to the queue, for operators that have
// removed the cause of the failures.
func (par *Partition[P]) Retry(env Env, tag Tag, id ID) *Output {
	out := &Output{}
	ent := par.jobs[id]
	if ent == nil {
		out.emit(Reply{tag: tag, job: id, out: outcome.NotRun(ReasonNoJob, "")})
		return out
	}
	if ent.counts[Parked] > 0 {
		par.record(out, NewRecord(JobRetried, jobRef(id), env.now.UnixMilli()))
	}
	out.emit(Reply{durable: durable{after: ent.recorded}, tag: tag, job: id, out: outcome.Answered()})
	par.dispatch(env, out)
	return out
}

// Counts returns the number of tasks in each state, indexed by State.
func (par *Partition[P]) Counts() []int {
	sum := make([]int, stateCount)
	for _, ent := range par.order {
		for sta, num := range ent.counts {
			sum[sta] += num
		}
	}
	return sum
}

// withdrawOffers tells the placement that the offered tasks of a job will not start.
func (par *Partition[P]) withdrawOffers(ent *entry) {
	for idx := range ent.tasks {
		if tsk := &ent.tasks[idx]; tsk.state == Offered {
			par.placement.Withdrawn(tsk.view(), tsk.act.holder.Instance())
		}
	}
}

// stopTasks orders the instances of a cancelled job to stop its tasks.
func (par *Partition[P]) stopTasks(ent *entry, out *Output) {
	orders := make(map[fleet.InstanceID][]StopOrder)
	var ids []fleet.InstanceID
	for idx := range ent.tasks {
		tsk := &ent.tasks[idx]
		if tsk.state != Stopping {
			continue
		}
		ins := tsk.act.holder.Instance()
		if orders[ins] == nil {
			ids = append(ids, ins)
		}
		orders[ins] = append(orders[ins], tsk.stopOrder())
	}
	slices.Sort(ids)
	for _, ins := range ids {
		out.emit(Stop{durable: durable{after: ent.recorded}, to: ins, orders: orders[ins]})
	}
}

// stopOrder returns the order for a stopping task.
func (tsk *task) stopOrder() StopOrder {
	ord := StopOrder{ref: tsk.ref(tsk.assigned), reason: "cancelled"}
	if !tsk.entry.cancelled {
		ord.checkpoint, ord.reason = tsk.entry.spec.Checkpointable(), cmp.Or(tsk.act.stopping, "drain")
	}
	return ord
}

// outdated returns the order to stop an assignment that is not the current one
// of the task, which may be nil.
func (tsk *task) outdated(ref Ref) StopOrder {
	return StopOrder{ref: ref, checkpoint: tsk == nil || tsk.entry.spec.Checkpointable(), reason: RefusedOutdated}
}

// Status describes a job.
type Status struct {
	id        ID
	spec      Spec
	cancelled bool
	state     State
	tasks     []TaskStatus
	recorded  uint64
	waiting   string
	endedAt   int64
}

// ID returns the job.
func (sta Status) ID() ID { return sta.id }

// Spec returns the content; the payload is missing when the job has ended.
func (sta Status) Spec() Spec { return sta.spec }

// State returns the summary of the tasks.
func (sta Status) State() State { return sta.state }

// Tasks returns the state of each task.
func (sta Status) Tasks() []TaskStatus { return sta.tasks }

// Waiting returns why tasks of the job wait for an instance, empty if none does
// or if that is not known.
func (sta Status) WaitReason() string { return sta.waiting }

// After returns the number of the last record that must be durable before the
// status may be told.
func (sta Status) After() uint64 { return sta.recorded }

// TaskStatus describes a task of a job.
type TaskStatus struct {
	state      State
	token      token.Token
	holder     fleet.Process
	counters   Counters
	checkpoint string
	progress   int
	result     []byte
	detail     string
}

// State returns the state of the task.
func (sta TaskStatus) State() State { return sta.state }

// Token returns the token of the latest assignment.
func (sta TaskStatus) Token() token.Token { return sta.token }

// Holder returns the holder of the latest assignment.
func (sta TaskStatus) Holder() fleet.Process { return sta.holder }

// Counters returns the attempts, evictions and failures.
func (sta TaskStatus) Counters() Counters { return sta.counters }

// Checkpoint returns the recorded checkpoint.
func (sta TaskStatus) Checkpoint() string { return sta.checkpoint }

// Progress returns the percentage that the agent last reported.
func (sta TaskStatus) Progress() int { return sta.progress }

// Result returns the result of a finished task.
func (sta TaskStatus) Result() []byte { return sta.result }

// Detail returns the explanation of the last failure or of parking.
func (sta TaskStatus) Detail() string { return sta.detail }

// Status returns the description of a job.
func (par *Partition[P]) Status(id ID) (Status, bool) {
	ent := par.jobs[id]
	if ent == nil {
		return Status{}, false
	}
	sta := ent.status()
	sta.tasks = make([]TaskStatus, 0, len(ent.tasks))
	for idx := range ent.tasks {
		sta.tasks = append(sta.tasks, ent.tasks[idx].status())
	}
	return sta, true
}

func (ent *entry) status() Status {
	sta := Status{id: ent.id, spec: ent.spec, cancelled: ent.cancelled, state: ent.state(), recorded: ent.recorded, endedAt: ent.endedAt}
	if ent.counts[Queued]+ent.counts[Offered] > 0 {
		sta.waiting = ent.waiting
	}
	return sta
}

// state summarises the states of the tasks.
func (ent *entry) state() State {
	cnt := ent.counts
	switch active := cnt[Assigned] + cnt[Running] + cnt[Stopping]; {
	case ent.cancelled && active > 0:
		return Stopping
	case ent.cancelled:
		return Cancelled
	case cnt[Finished] == len(ent.tasks):
		return Finished
	case active > 0:
		return Running
	case cnt[Parked] > 0 && cnt[Parked]+cnt[Finished] == len(ent.tasks):
		return Parked
	default:
		return Queued
	}
}

func (tsk *task) status() TaskStatus {
	sta := TaskStatus{state: tsk.state, token: tsk.assigned, holder: tsk.holder, counters: tsk.counters,
		checkpoint: tsk.checkpoint, result: tsk.result, detail: tsk.detail}
	if tsk.act != nil {
		sta.progress = tsk.act.progress
	}
	return sta
}
