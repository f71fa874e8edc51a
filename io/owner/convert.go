package owner

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	"jacinthpost/io/message"
)

func encodeVector(vec resource.Vector) message.Resources {
	return message.Resources{MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()}
}

func decodeVector(res message.Resources) resource.Vector {
	return resource.New(res.MilliCPU, res.MemoryMB, res.Accelerators)
}

func encodeToken(tok token.Token) message.Token {
	return message.Token{Epoch: tok.Epoch(), Sequence: tok.Sequence()}
}

func encodeRef(ref job.Ref) message.TaskRef {
	return message.TaskRef{Job: string(ref.Job()), Index: ref.Index(), Token: encodeToken(ref.Token())}
}

func decodeRef(ref message.TaskRef) job.Ref {
	return job.NewRef(job.ID(ref.Job), ref.Index, token.New(ref.Token.Epoch, ref.Token.Sequence))
}

func encodeTask(tsk job.Task) message.TaskSpec {
	spc := tsk.Spec()
	return message.TaskSpec{
		Ref: encodeRef(tsk.Ref()), Kind: spc.Kind().String(), Class: string(spc.Class()), Team: string(spc.Team()),
		Workspace: string(spc.Workspace()), Urgent: spc.Urgent(), Resources: encodeVector(spc.Resources()),
		Payload: spc.Payload(), Checkpoint: tsk.Checkpoint(), LeaseMillis: spc.Lease().Milliseconds(),
		Restarts: !spc.Checkpointable(),
	}
}

func encodeStops(orders []job.StopOrder) []message.StopOrder {
	list := make([]message.StopOrder, 0, len(orders))
	for _, ord := range orders {
		list = append(list, message.StopOrder{Ref: encodeRef(ord.Ref()), Checkpoint: ord.Checkpoint(), Reason: ord.Reason()})
	}
	return list
}

func encodeSpec(spc job.Spec) message.JobSpec {
	return message.JobSpec{
		Key: spc.Key(), Workspace: string(spc.Workspace()), Team: string(spc.Team()), Class: string(spc.Class()),
		Kind: spc.Kind().String(), Urgent: spc.Urgent(), Tasks: spc.Tasks(), Resources: encodeVector(spc.Resources()),
		Payload: spc.Payload(), DeadlineAt: spc.Deadline(), Service: string(spc.Service()),
	}
}

// decodeSpec reports false for an unknown kind of job. The settings of the class
// and the workspace are those at submission.
func decodeSpec(spc message.JobSpec, settings Settings) (job.Spec, bool) {
	knd, known := job.ParseKind(spc.Kind)
	return settings.Complete(job.NewSpec(knd, spc.Tasks, decodeVector(spc.Resources)).
		WithKey(fleet.Workspace(spc.Workspace), spc.Key).
		WithTeam(fleet.Team(spc.Team)).
		WithClass(fleet.JobClass(spc.Class), 0).
		WithService(fleet.Service(spc.Service)).
		WithUrgency(spc.Urgent).
		WithPayload(spc.Payload).
		WithDeadline(spc.DeadlineAt)), known
}

func encodeStatus(sta job.Status, existing bool) message.JobStatus {
	enc := message.JobStatus{JobID: string(sta.ID()), Spec: encodeSpec(sta.Spec()), State: sta.State().String(), Existing: existing}
	for idx, tsk := range sta.Tasks() {
		cnt := tsk.Counters()
		enc.Tasks = append(enc.Tasks, message.JobTaskStatus{
			Index: idx, State: tsk.State().String(), Instance: string(tsk.Holder().Instance()), Token: encodeToken(tsk.Token()),
			Attempts: cnt.Attempts(), Evictions: cnt.Evictions(), Checkpoint: tsk.Checkpoint(), Progress: tsk.Progress(),
			Result: tsk.Result(), Detail: tsk.Detail(),
		})
		if tsk.State() == job.Parked {
			enc.Reason = tsk.Detail()
		}
	}
	return enc
}

func decodeProgress(list []message.TaskStatus) []job.Progress {
	progress := make([]job.Progress, 0, len(list))
	for _, sta := range list {
		progress = append(progress, job.NewProgress(decodeRef(sta.Ref), sta.ProgressPercent, sta.Checkpoint))
	}
	return progress
}

// decodeReports leaves out ends of an unknown kind, which are then not acknowledged.
func decodeReports(list []message.TaskEnd) []job.Report {
	reports := make([]job.Report, 0, len(list))
	for _, end := range list {
		knd, known := job.ParseEnd(end.End)
		if !known {
			continue
		}
		reports = append(reports, job.NewReport(decodeRef(end.Ref),
			job.NewEnd(knd, end.Checkpoint).WithResult(end.Result, end.Detail).WithEviction(end.Evicted)))
	}
	return reports
}

func decodeHolder(ins string, inc uint64) fleet.Process {
	return fleet.NewProcess(fleet.InstanceID(ins), fleet.Incarnation(inc))
}

func encodeRenewal(rep job.RenewReply, next time.Duration) message.RenewReply {
	enc := message.RenewReply{Stop: encodeStops(rep.Stops()), Agreed: rep.Agreed(), Disagreed: rep.Disagreed(), NextMillis: next.Milliseconds()}
	for _, grt := range rep.Grants() {
		enc.Granted = append(enc.Granted, encodeRef(grt.Ref()))
		enc.LeaseMillis = append(enc.LeaseMillis, grt.Lease().Milliseconds())
	}
	return enc
}

func encodeRefs(refs []job.Ref) []message.TaskRef {
	list := make([]message.TaskRef, 0, len(refs))
	for _, ref := range refs {
		list = append(list, encodeRef(ref))
	}
	return list
}
