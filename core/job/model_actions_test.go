package job_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jacinthpost/core/job"
	"jacinthpost/core/lease"
	"jacinthpost/core/partition"
)

// action is one transition of the model.
type action struct {
	name string
	do   func(mdl *model)
}

// actions returns every transition that is possible now, in a fixed order.
func (mdl *model) actions() []action {
	list := []action{
		{"advance", func(mdl *model) { mdl.advance(-1) }},
	}
	for idx := range mdl.owners {
		list = append(list, mdl.ownerActions(idx)...)
	}
	for idx := range mdl.agents {
		list = append(list, mdl.agentActions(idx)...)
	}
	for pos, msg := range mdl.net {
		list = append(list, action{fmt.Sprintf("deliver %s %c %d %v", msg.kind, 'x'+rune(msg.agent), msg.task.Ref().Token().Epoch(), msg.ref), func(mdl *model) { mdl.deliver(pos, false) }})
		list = mdl.withinBudget(list, "duplicate", "duplicate "+msg.kind, func(mdl *model) { mdl.deliver(pos, true) })
	}
	return list
}

// withinBudget appends an action that is limited by the budget of its kind, unless that is used up.
func (mdl *model) withinBudget(list []action, kind, name string, do func(mdl *model)) []action {
	if mdl.budget[kind] == 0 {
		return list
	}
	return append(list, action{name, func(mdl *model) {
		mdl.budget[kind]--
		do(mdl)
	}})
}

func (mdl *model) ownerActions(idx int) []action {
	own := &mdl.owners[idx]
	var list []action
	if own.part != nil && !own.dead {
		if len(own.pending) > 0 {
			list = append(list, action{"flush", func(mdl *model) { mdl.flush(idx) }})
		}
		if own.epoch == mdl.epoch {
			list = append(list, action{"advance renewed", func(mdl *model) { mdl.advance(idx) }})
			list = mdl.withinBudget(list, "cancel", "cancel", func(mdl *model) {
				own := &mdl.owners[idx]
				mdl.collect(idx, own.part.Cancel(mdl.env(own), 0, job.NewID("c", "k")), message{})
			})
		}
	}
	if own.part != nil && !own.dead && own.epoch == mdl.epoch && own.parked() {
		list = mdl.withinBudget(list, "retry", "retry", func(mdl *model) { mdl.retry(idx) })
	}
	if own.epoch == 0 && !mdl.now.Before(mdl.renewed.Add(lease.Stretch(partition.LeaseTime))) {
		list = append(list, action{"takeover", func(mdl *model) { mdl.takeOver(idx) }})
	}
	return list
}

// advance advances the clock by one step. The owner with the index renewing, if not negative, renews its
// partition lease at the end of the step.
func (mdl *model) advance(renewing int) {
	mdl.now = mdl.now.Add(step)
	if renewing >= 0 {
		mdl.owners[renewing].leaseEnd = lease.HolderEnd(mdl.now, partition.LeaseTime)
		mdl.renewed = mdl.now
	}
	for idx := range mdl.agents {
		for pos := range mdl.agents[idx].runs {
			mdl.agents[idx].runs[pos].expire(mdl.now)
		}
	}
	for idx := range mdl.owners {
		mdl.tick(idx)
	}
}

// expire stops a task at the end of its lease, with a checkpoint.
func (run *run) expire(now time.Time) {
	if !run.ended && !now.Before(run.leaseEnd) {
		run.stop(job.NewEnd(job.EndCheckpointed, fmt.Sprintf("expired%v", run.ref.Token())))
	}
}

func (run *run) stop(end job.End) {
	if !run.ended {
		run.end, run.ended, run.unacknowledged = end, true, true
	}
}

func (mdl *model) agentActions(idx int) []action {
	agt := &mdl.agents[idx]
	var list []action
	if len(agt.claims) > 0 {
		list = append(list, action{"abandon claim", func(mdl *model) { mdl.abandon(idx) }})
		list = mdl.withinBudget(list, "reclaim", "claim again", func(mdl *model) { mdl.claim(idx) })
	}
	for pos, rnn := range agt.runs {
		if !rnn.ended {
			list = append(list, action{"finish", func(mdl *model) { mdl.end(idx, pos, job.NewEnd(job.EndFinished, "").WithResult([]byte("r"), "")) }},
				action{"renew 0", func(mdl *model) { mdl.renew(0, idx, pos) }})
			list = append(list, action{"renew all 0", func(mdl *model) { mdl.renewAll(0, idx) }})
			if mdl.owners[1].part != nil {
				list = append(list, action{"renew 1", func(mdl *model) { mdl.renew(1, idx, pos) }},
					action{"renew all 1", func(mdl *model) { mdl.renewAll(1, idx) }})
			}
			list = mdl.withinBudget(list, "evict", "evict", func(mdl *model) {
				mdl.end(idx, pos, job.NewEnd(job.EndCheckpointed, fmt.Sprintf("c%v", rnn.ref.Token())))
			})
		} else if rnn.unacknowledged && !mdl.inFlight("report", rnn.ref) {
			list = append(list, action{"report", func(mdl *model) { mdl.report(idx, pos) }})
		}
	}
	if len(agt.claims)+len(agt.runs) > 0 {
		list = mdl.withinBudget(list, "agentCrash", "agent crash", func(mdl *model) { mdl.crash(idx, false) })
		list = mdl.withinBudget(list, "instanceCrash", "instance crash", func(mdl *model) { mdl.crash(idx, true) })
	}
	return list
}

func (mdl *model) inFlight(kind string, ref job.Ref) bool {
	return slices.ContainsFunc(mdl.net, func(msg message) bool { return msg.kind == kind && msg.ref == ref })
}

// crash restarts the agent process. The worker keeps its tasks unless the whole instance crashes.
func (mdl *model) crash(idx int, instance bool) {
	agt := &mdl.agents[idx]
	agt.inc++
	clear(agt.claims)
	if instance {
		agt.runs = nil
	}
}

func (mdl *model) end(idx, pos int, end job.End) {
	rnn := &mdl.agents[idx].runs[pos]
	if end.Kind() == job.EndFinished && !rnn.ended {
		mdl.finished[rnn.ref.Index()]++
	}
	rnn.stop(end)
	mdl.report(idx, pos)
}

func (mdl *model) current() int {
	if mdl.owners[1].epoch == mdl.epoch {
		return 1
	}
	return 0
}

// report sends the end of a run to the latest owner.
func (mdl *model) report(idx, pos int) {
	rnn := mdl.agents[idx].runs[pos]
	mdl.post(message{kind: "report", owner: mdl.current(), agent: idx, ref: rnn.ref, end: rnn.end, inc: mdl.agents[idx].inc})
}

// renew asks an owner, which may be the former one, to renew a task lease.
func (mdl *model) renew(own, idx, pos int) {
	mdl.post(message{kind: "renew", owner: own, agent: idx, sentAt: mdl.now,
		ref: mdl.agents[idx].runs[pos].ref, inc: mdl.agents[idx].inc})
}

// renewAll asks an owner to renew the whole set of tasks that the agent runs. It is also sent when the
// owner has no group of these tasks and has to refuse.
func (mdl *model) renewAll(own, idx int) {
	msg := message{kind: "renewAll", owner: own, agent: idx, sentAt: mdl.now, inc: mdl.agents[idx].inc}
	for _, rnn := range mdl.agents[idx].runs {
		if !rnn.ended {
			msg.held = append(msg.held, rnn.ref)
		}
	}
	mdl.post(msg)
}

// describe returns the description of a set of assignments.
func describe(refs []job.Ref) lease.Set {
	var set lease.Set
	for _, ref := range refs {
		set = set.With(string(ref.Job()), ref.Index(), ref.Token())
	}
	return set
}

// claim sends the claims that are not granted yet.
func (mdl *model) claim(idx int) {
	agt := &mdl.agents[idx]
	for _, ref := range sortedClaims(agt.claims) {
		if agt.claims[ref].granted {
			continue
		}
		mdl.post(message{kind: "claim", owner: agt.claims[ref].owner, agent: idx, sentAt: mdl.now, ref: ref, inc: agt.inc})
	}
}

// abandon drops the claims that are not granted yet.
func (mdl *model) abandon(idx int) {
	maps.DeleteFunc(mdl.agents[idx].claims, func(_ job.Ref, clm claim) bool { return !clm.granted })
}

func (mdl *model) deliver(pos int, keep bool) {
	msg := mdl.net[pos]
	if !keep {
		mdl.net = slices.Delete(slices.Clone(mdl.net), pos, pos+1)
	}
	switch msg.kind {
	case "claim", "renew", "renewAll", "report", "adopted":
		mdl.deliverOwner(msg)
	default:
		mdl.deliverAgent(msg)
	}
}

func (mdl *model) deliverOwner(msg message) {
	own := &mdl.owners[msg.owner]
	if own.part == nil || own.dead {
		return
	}
	env, hol := mdl.env(own), holder(msg.agent, msg.inc)
	var out *job.Output
	switch msg.kind {
	case "claim":
		out = own.part.Claim(env, 0, msg.ref, hol)
	case "renew":
		out = own.part.Renew(env, 0, hol, []job.Progress{job.NewProgress(msg.ref, 1, "")})
	case "renewAll":
		out = own.part.RenewHeld(env, 0, hol, describe(msg.held), nil)
	case "report":
		accepted := own.accepts(msg)
		out = own.part.Report(env, 0, []job.Report{job.NewReport(msg.ref, msg.end)})
		if accepted && own.task(msg.ref).State() != job.Finished {
			mdl.fail("the completion of the latest assignment %v is ignored", msg.ref)
		}
	default:
		out = own.part.Adopted(env, hol, true, msg.refs)
	}
	for _, rec := range out.Records() {
		if msg.kind == "report" && rec.Ref() != msg.ref {
			mdl.fail("the reported end of %v is recorded for %v", msg.ref, rec.Ref())
		}
	}
	mdl.collect(msg.owner, out, msg)
}

// accepts reports whether a report has to complete its task: it reports a finished run of the latest
// assignment and the task is not cancelled. The assignment may have been declared lost.
func (own *owner) accepts(msg message) bool {
	sta := own.task(msg.ref)
	return msg.end.Kind() == job.EndFinished && sta.Token() == msg.ref.Token() && sta.State() != job.Cancelled
}

func (own *owner) parked() bool {
	sta, known := own.part.Status(job.NewID("c", "k"))
	return known && slices.ContainsFunc(sta.Tasks(), func(tsk job.TaskStatus) bool { return tsk.State() == job.Parked })
}

// retry simulates an operator that retries the parked tasks.
func (mdl *model) retry(idx int) {
	own := &mdl.owners[idx]
	mdl.retried++
	mdl.collect(idx, own.part.Retry(mdl.env(own), 0, job.NewID("c", "k")), message{})
}

func (own *owner) task(ref job.Ref) job.TaskStatus {
	sta, _ := own.part.Status(ref.Job())
	return sta.Tasks()[ref.Index()]
}

func (mdl *model) deliverAgent(msg message) {
	agt := &mdl.agents[msg.agent]
	switch msg.kind {
	case "offer":
		agt.claims[msg.task.Ref()] = claim{owner: msg.owner, task: msg.task}
		mdl.claim(msg.agent)
	case "claimReply":
		mdl.granted(agt, msg)
	case "start":
		mdl.start(agt, msg)
	case "renewReply":
		agt.extend(msg, mdl.now)
		agt.stopRuns(msg.refs)
	case "stop":
		agt.stopRuns(msg.refs)
	case "reportReply":
		for pos := range agt.runs {
			if slices.Contains(msg.refs, agt.runs[pos].ref) {
				agt.runs[pos].unacknowledged = false
			}
		}
	case "adopt":
		mdl.post(message{kind: "adopted", owner: msg.owner, agent: msg.agent, inc: agt.inc, refs: mdl.heldBy(agt)})
	}
}

// heldBy returns the assignments that an agent lists in its adoption answer: its claims and the runs
// whose end is not acknowledged.
func (mdl *model) heldBy(agt *agent) []job.Ref {
	var refs []job.Ref
	if !mdl.variant.forgetClaims {
		refs = sortedClaims(agt.claims)
	}
	for _, rnn := range agt.runs {
		if !rnn.ended || rnn.unacknowledged {
			refs = append(refs, rnn.ref)
		}
	}
	return refs
}

// granted handles the reply to a claim. The start of a granted task is a message to the worker, which
// may still arrive after the agent has crashed.
func (mdl *model) granted(agt *agent, msg message) {
	clm, claimed := agt.claims[msg.ref]
	if !claimed || clm.granted || msg.inc != agt.inc {
		return
	}
	if !msg.grant {
		delete(agt.claims, msg.ref)
		return
	}
	clm.granted = true
	agt.claims[msg.ref] = clm
	msg.kind, msg.task = "start", clm.task
	mdl.post(msg)
}

// start runs a task at the worker unless its lease, counted from the send time of the claim, has ended
// or the worker has seen the same or a higher token of the task.
func (mdl *model) start(agt *agent, msg message) {
	until := lease.HolderEnd(msg.sentAt, taskLease)
	delete(agt.claims, msg.ref)
	higher := slices.ContainsFunc(agt.runs, func(rnn run) bool {
		return rnn.ref.Index() == msg.ref.Index() && rnn.ref.Token().Compare(msg.ref.Token()) >= 0
	})
	if mdl.now.Before(until) && !higher {
		for pos := range agt.runs {
			agt.runs[pos].stop(job.NewEnd(job.EndLost, ""))
		}
		agt.runs = append(agt.runs, run{ref: msg.ref, leaseEnd: until, checkpoint: msg.task.Checkpoint()})
	}
}

func (agt *agent) extend(msg message, now time.Time) {
	for pos := range agt.runs {
		rnn := &agt.runs[pos]
		if until := lease.HolderEnd(msg.sentAt, taskLease); msg.grant && (rnn.ref == msg.ref || slices.Contains(msg.held, rnn.ref)) && !rnn.ended && now.Before(rnn.leaseEnd) && until.After(rnn.leaseEnd) {
			rnn.leaseEnd = until
		}
	}
}

func (agt *agent) stopRuns(refs []job.Ref) {
	for pos := range agt.runs {
		if rnn := &agt.runs[pos]; slices.Contains(refs, rnn.ref) {
			rnn.stop(job.NewEnd(job.EndCheckpointed, fmt.Sprintf("s%v", rnn.ref.Token())))
		}
	}
}
