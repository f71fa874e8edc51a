package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/job"
	"jacinthpost/core/lease"
	"jacinthpost/core/outcome"
	"jacinthpost/core/runner"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

// maxReasons bounds the explanations of one job.
const maxReasons = 10

// Service is the net/rpc service "Owner".
type Service[P job.Placement] struct {
	owner *Owner[P]
	ctx   context.Context
}

// Service returns the net/rpc service; its calls end with the context.
func (own *Owner[P]) Service(ctx context.Context) *Service[P] {
	return &Service[P]{owner: own, ctx: ctx}
}

// request is a call of the service while the control goroutine handles it.
type request[P job.Placement] struct {
	state *state[P]
	slot  *slot[P] // nil when this process does not own the partition
	now   time.Time
	owner string // address of the owner, if known
}

// newRequest returns a request for a partition.
func (sta *state[P]) newRequest(num int, now time.Time) *request[P] {
	req := &request[P]{state: sta, now: now}
	if num < 0 || num >= len(sta.slots) {
		return req
	}
	slt := sta.slots[num]
	if slt.serves(now) {
		req.slot = slt
		return req
	}
	notOwner.Inc()
	if row := slt.ownership.LastObservation().Row(); !row.Released() && row.Owner() != sta.config.self {
		req.owner = row.Owner().Address()
	}
	return req
}

func (req *request[P]) env() job.Env { return req.state.env(req.slot, req.now) }

func (req *request[P]) part() *job.Partition[P] { return req.slot.tenure.part }

// wait registers the caller under a new tag. The function receives nil when the
// partition is lost before the reply.
func (req *request[P]) wait(done func(eff job.Effect)) job.Tag {
	req.state.lastTag++
	req.slot.tenure.waiting[req.state.lastTag] = done
	return req.state.lastTag
}

func (req *request[P]) collect(out *job.Output) { req.state.collect(req.slot, out, req.now) }

// handle runs a call on the control goroutine and waits for its reply.
func handle[P job.Placement, R any](svc *Service[P], num int, reply *R, start func(req *request[P], done func(R))) error {
	ctx, cancel := context.WithTimeout(svc.ctx, replyTimeout)
	defer cancel()
	res := make(chan R, 1)
	evt := control.Func[state[P]](func(sta *state[P], now time.Time) {
		start(sta.newRequest(num, now), func(val R) { res <- val })
	})
	if err := svc.owner.loop.Post(ctx, evt); err != nil {
		return errors.Wrap(err, "queue call for the control loop")
	}
	select {
	case *reply = <-res:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the reply of the control loop")
	}
}

// Submit accepts a job; see job.Partition.Submit.
func (svc *Service[P]) Submit(args message.SubmitArgs, reply *message.JobReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.JobReply)) {
		if req.slot == nil {
			done(message.JobReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		spc, known := decodeSpec(args.Spec, svc.owner.ports.settings)
		id := job.NewID(spc.Workspace(), spc.Key())
		switch {
		case !known:
			done(refusal(job.ReasonInvalid, "unknown kind of job "+args.Spec.Kind))
		case args.JobID != "" && args.JobID != string(id):
			done(refusal(job.ReasonInvalid, "the job ID does not belong to the workspace and key"))
		case job.PartitionOf(id, len(req.state.slots)) != args.Partition:
			done(refusal(job.ReasonInvalid, "the job belongs to another partition"))
		case req.slot.tenure.unsaved > maxUnsavedRecords:
			done(refusal(outcome.ReasonStoreUnavailable, "snapshots of the partition fail"))
		default:
			tag := req.wait(func(eff job.Effect) { req.jobReply(eff, done) })
			req.collect(req.part().Submit(req.env(), tag, spc))
		}
	})
}

// Cancel ends a job; see job.Partition.Cancel.
func (svc *Service[P]) Cancel(args message.JobRefArgs, reply *message.JobReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.JobReply)) {
		if req.slot == nil {
			done(message.JobReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		tag := req.wait(func(eff job.Effect) { req.jobReply(eff, done) })
		req.collect(req.part().Cancel(req.env(), tag, job.ID(args.JobID)))
	})
}

// Retry returns the parked tasks of a job to the queue; see job.Partition.Retry.
func (svc *Service[P]) Retry(args message.JobRefArgs, reply *message.JobReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.JobReply)) {
		if req.slot == nil {
			done(message.JobReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		tag := req.wait(func(eff job.Effect) { req.jobReply(eff, done) })
		req.collect(req.part().Retry(req.env(), tag, job.ID(args.JobID)))
	})
}

// jobReply answers a submission, a cancellation or a retry.
func (req *request[P]) jobReply(eff job.Effect, done func(message.JobReply)) {
	rep, answered := eff.(job.Reply)
	switch {
	case !answered:
		done(message.JobReply{NotOwner: true})
	case rep.Outcome().Kind() != outcome.KindAnswered:
		done(refusal(rep.Outcome().Reason(), rep.Outcome().Detail()))
	default:
		req.status(rep.Job(), rep.Existing(), done)
	}
}

// status replies with the state of a job once the records it depends on are durable.
func (req *request[P]) status(id job.ID, existing bool, done func(message.JobReply)) {
	sta, known := req.part().Status(id)
	if !known {
		done(refusal(job.ReasonNoJob, ""))
		return
	}
	lines := append(reasonsOf(sta), explain(req.part().Placement(), sta)...)
	tag := req.wait(func(eff job.Effect) {
		if _, held := eff.(readReply); !held {
			done(message.JobReply{NotOwner: true})
			return
		}
		done(message.JobReply{Outcome: outcome.KindAnswered.String(), Status: encodeStatus(sta, existing), Explain: lines})
	})
	req.slot.tenure.replyToRead(tag, sta.After())
}

func refusal(rsn outcome.Reason, detail string) message.JobReply {
	return message.JobReply{Outcome: outcome.KindNotRun.String(), Reason: string(rsn), Detail: detail}
}

// Status returns the state of a job once the records it depends on are durable.
func (svc *Service[P]) Status(args message.JobRefArgs, reply *message.JobReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.JobReply)) {
		if req.slot == nil {
			done(message.JobReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		req.status(job.ID(args.JobID), false, done)
	})
}

// reasonsOf returns the reasons for the state of a job that an operator may act on.
func reasonsOf(sta job.Status) []string {
	var reasons []string
	if sta.WaitReason() != "" {
		reasons = append(reasons, "waiting: "+sta.WaitReason())
	}
	for idx, tsk := range sta.Tasks() {
		if tsk.State() == job.Parked && len(reasons) < maxReasons {
			reasons = append(reasons, fmt.Sprintf("task %d parked: %s", idx, tsk.Detail()))
		}
	}
	return reasons
}

// readReply is the effect that replies to a read-only call.
type readReply struct {
	after uint64
}

// After implements job.Effect.
func (rrp readReply) After() uint64 { return rrp.after }

// replyToRead replies to a caller once the record is durable.
func (ten *tenure[P]) replyToRead(tag job.Tag, after uint64) {
	ten.hold(after, func() { ten.reply(tag, readReply{after: after}) })
}

// Claim grants the lease of an accepted offer; see job.Partition.Claim.
func (svc *Service[P]) Claim(args message.ClaimArgs, reply *message.ClaimReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.ClaimReply)) {
		if req.slot == nil {
			done(message.ClaimReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		tag := req.wait(func(eff job.Effect) {
			rep, answered := eff.(job.ClaimReply)
			switch {
			case !answered:
				done(message.ClaimReply{NotOwner: true})
			case rep.Granted():
				claimsGranted.Inc()
				done(message.ClaimReply{Granted: true, LeaseMillis: rep.Lease().Milliseconds()})
			default:
				claimsRefused.Inc()
				done(message.ClaimReply{Reason: rep.Reason()})
			}
		})
		req.collect(req.part().Claim(req.env(), tag, decodeRef(args.Ref), decodeHolder(args.Instance, args.Incarnation)))
	})
}

// Renew renews leases; see job.Partition.Renew.
func (svc *Service[P]) Renew(args message.RenewArgs, reply *message.RenewReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.RenewReply)) {
		if req.slot == nil {
			done(message.RenewReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		tag := req.wait(func(eff job.Effect) {
			rep, answered := eff.(job.RenewReply)
			if !answered {
				done(message.RenewReply{NotOwner: true})
				return
			}
			leasesRenewed.Add(rep.Renewed())
			if rep.Disagreed() {
				setsDisagreed.Inc()
			}
			done(encodeRenewal(rep, lease.NextRenewal(req.now, req.state.renewOrigin, runner.RenewPeriod, runner.RenewWindow)))
		})
		hol := decodeHolder(args.Instance, args.Incarnation)
		observeUsage(req.part().Placement(), args.Tasks, req.now)
		held := lease.NewSet(args.HeldCount, args.HeldDigest)
		req.collect(req.part().RenewHeld(req.env(), tag, hol, held, decodeProgress(args.Tasks)))
	})
}

// Report records ended assignments; see job.Partition.Report.
func (svc *Service[P]) Report(args message.ReportArgs, reply *message.ReportReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.ReportReply)) {
		if req.slot == nil {
			done(message.ReportReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		tag := req.wait(func(eff job.Effect) {
			rep, answered := eff.(job.ReportReply)
			if !answered {
				done(message.ReportReply{NotOwner: true})
				return
			}
			endsRecorded.Add(len(rep.Recorded()))
			done(message.ReportReply{Recorded: encodeRefs(rep.Recorded())})
		})
		req.collect(req.part().Report(req.env(), tag, decodeReports(args.Ends)))
	})
}
