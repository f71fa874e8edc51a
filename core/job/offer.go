package job

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
)

// dispatch offers queued tasks to instances. The release of an offer depends only on the records of
// its own job, so urgent tasks do not wait for unrelated writes.
func (par *Partition[P]) dispatch(env Env, out *Output) {
	if !env.owns() || par.epoch == 0 {
		return
	}
	par.requeueDelayed(env.now)
	tries := 0
	par.queue.beginPass()
	for tries < maxTries && par.offers < maxOffers {
		tsk, found := par.queue.next(par.placement.CompareLanes)
		if !found {
			break
		}
		ins, found := par.placement.Choose(tsk.view(), env.starts, env.now)
		if !found {
			tsk.entry.waitReason = "no known instance has room and may start tasks"
			tries++
			continue
		}
		par.offer(env, out, tsk, par.instances[ins])
	}
	par.queue.endPass(tries == maxTries)
}

func (par *Partition[P]) offer(env Env, out *Output, tsk *task, ins Instance) {
	act := activity{token: par.nextToken(), holder: ins.holder, location: ins.location, expiresAt: env.now.Add(AnswerTimeout)}
	par.setState(tsk, Offered)
	par.activate(tsk, act)
	par.placement.Committed(tsk.view(), ins.ID())
	out.emit(Offer{releaseCondition: releaseCondition{after: tsk.entry.recorded}, to: ins.holder, task: tsk.view()})
}

// requeueDelayed returns the tasks whose retry delay has passed to the queue.
func (par *Partition[P]) requeueDelayed(now time.Time) {
	kept := par.delayed[:0]
	for _, dly := range par.delayed {
		tsk := dly.task
		switch {
		case tsk.state != Queued || tsk.queued:
		case now.Before(dly.notBefore):
			kept = append(kept, dly)
		default:
			par.setState(tsk, Queued)
		}
	}
	clear(par.delayed[len(kept):])
	par.delayed = kept
}

// Answered handles the answer to an offer. An accepted offer stays valid for ClaimTimeout. A refused or
// failed one is withdrawn and the task is offered again.
func (par *Partition[P]) Answered(env Env, ans Answer) *Output {
	out := &Output{}
	tsk := par.find(ans.ref)
	current := tsk != nil && tsk.state == Offered && tsk.act.token == ans.ref.token
	if current && ans.accepted {
		tsk.act.expiresAt = env.now.Add(ClaimTimeout)
	}
	if current && !ans.accepted {
		tsk.entry.waitReason = "offer to " + string(ans.instance) + " failed: " + ans.reason
		par.withdraw(tsk)
	}
	par.placement.Answered(ans, env.now)
	if current && !ans.accepted {
		par.dispatch(env, out)
	}
	return out
}

// withdraw ends an offer and returns its task to the queue. A later claim of the offer is refused,
// because its token is outdated.
func (par *Partition[P]) withdraw(tsk *task) {
	par.placement.Withdrawn(tsk.view(), tsk.act.holder.Instance())
	par.setState(tsk, Queued)
}

// Claim handles the claim of an offer. The grant is released once the assignment is durable. A repeated
// claim of the current assignment by the same process is granted again, because the first grant may
// have been lost.
func (par *Partition[P]) Claim(env Env, tag Tag, ref Ref, hol fleet.Process) *Output {
	out := &Output{}
	tsk := par.find(ref)
	reason := par.refuseClaim(env, tsk, ref, hol)
	if reason != "" {
		if reason == RefusedNoStarts && tsk.state == Offered {
			par.withdraw(tsk)
		}
		out.emit(ClaimReply{tag: tag, reason: reason})
		return out
	}
	if tsk.state == Offered {
		par.record(out, NewRecord(TaskAssigned, ref, env.now.UnixMilli()).WithHolder(hol))
	}
	dur := tsk.entry.spec.Lease()
	tsk.act.expiresAt, tsk.act.unconfirmed = lease.GranterEnd(env.now, dur), false
	out.emit(ClaimReply{releaseCondition: releaseCondition{after: tsk.entry.recorded}, tag: tag, lease: dur})
	return out
}

// refuseClaim returns why a claim cannot be granted, empty if it can.
func (par *Partition[P]) refuseClaim(env Env, tsk *task, ref Ref, hol fleet.Process) string {
	switch {
	case !env.owns():
		return RefusedNotOwner
	case tsk == nil || tsk.act == nil || tsk.act.token != ref.token:
		return RefusedOutdated
	case tsk.entry.cancelled:
		return RefusedCancelled
	case tsk.act.holder != hol:
		return RefusedOtherAgent
	case par.expired(tsk, env.now):
		return RefusedOutdated
	case tsk.state == Offered && !env.starts(tsk.act.location.DataCentre()):
		return RefusedNoStarts
	}
	return ""
}

// Progress is an agent's report on a running task, sent with the renewal of its lease.
type Progress struct {
	ref        Ref
	percent    int
	checkpoint string
}

// NewProgress returns the progress of an assignment with its latest checkpoint, if any.
func NewProgress(ref Ref, percent int, checkpoint string) Progress {
	return Progress{ref: ref, percent: percent, checkpoint: checkpoint}
}

// Ref returns the assignment to renew.
func (prg Progress) Ref() Ref { return prg.ref }

// Renew renews the leases of the listed assignments that are current and orders the outdated ones to
// stop. A cancelled task is not renewed, so it ends with its lease even if the stop order is lost.
func (par *Partition[P]) Renew(env Env, tag Tag, hol fleet.Process, tasks []Progress) *Output {
	return par.RenewHeld(env, tag, hol, lease.Set{}, tasks)
}

// RenewHeld renews the leases of an instance that describes the set of assignments it holds. If that
// set equals the group of the instance, which never contains assignments that are being stopped, all
// of them are renewed in one step. Otherwise the reply asks the agent for the whole list. Tasks that
// are listed are handled as by Renew.
func (par *Partition[P]) RenewHeld(env Env, tag Tag, hol fleet.Process, held lease.Set, tasks []Progress) *Output {
	out := &Output{}
	rep := RenewReply{tag: tag}
	if !env.owns() {
		out.emit(rep)
		return out
	}
	if held.Count() > 0 {
		rep.after, rep.agreed = par.renewGroup(env, hol.Instance(), held)
		rep.disagreed = !rep.agreed
		rep.count = held.Count()
	}
	for _, prg := range tasks {
		tsk := par.find(prg.ref)
		if tsk == nil || !tsk.current(prg.ref, hol.Instance()) || par.expired(tsk, env.now) {
			if tsk == nil || tsk.act == nil || tsk.act.token != prg.ref.token {
				rep.stops = append(rep.stops, tsk.outdatedStopOrder(prg.ref))
			}
			continue
		}
		member := rep.agreed && tsk.state == Running
		par.renewTask(env, out, tsk, prg)
		rep.after = max(rep.after, tsk.entry.recorded)
		if tsk.state == Stopping {
			rep.stops = append(rep.stops, tsk.stopOrder())
		}
		if !tsk.entry.cancelled && !member {
			rep.grants = append(rep.grants, Grant{ref: prg.ref, lease: tsk.entry.spec.Lease()})
		}
	}
	out.emit(rep)
	return out
}

// current reports whether the reference names the open assignment that the instance holds.
func (tsk *task) current(ref Ref, ins fleet.InstanceID) bool {
	switch tsk.state {
	case Assigned, Running, Stopping:
		return tsk.assigned == ref.token && tsk.act.holder.Instance() == ins
	default:
		return false
	}
}

func (par *Partition[P]) renewTask(env Env, out *Output, tsk *task, prg Progress) {
	act := tsk.act
	act.unconfirmed, act.progress = false, prg.percent
	par.locate(tsk)
	if tsk.state == Assigned {
		par.setState(tsk, Running)
	}
	if !tsk.entry.cancelled {
		act.expiresAt = lease.GranterEnd(env.now, tsk.entry.spec.Lease())
	}
	if prg.checkpoint == "" || prg.checkpoint == act.checkpoint || !tsk.entry.spec.Checkpointable() {
		return
	}
	act.checkpoint = prg.checkpoint
	par.placement.Checkpointed(prg.ref, env.now)
	if act.checkpoint != tsk.checkpoint && env.now.Sub(act.checkpointRecordedAt) >= CheckpointPeriod {
		act.checkpointRecordedAt = env.now
		par.record(out, NewRecord(TaskCheckpointed, prg.ref, env.now.UnixMilli()).WithEnd(NewEnd(EndCheckpointed, act.checkpoint)))
	}
}
