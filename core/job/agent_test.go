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

// action is one step that the world can take.
type action struct {
	name string
	do   func(wld *world)
}

// actions returns every step possible now, in a fixed order.
func (wld *world) actions() []action {
	list := []action{
		{"advance", func(wld *world) { wld.advance(-1) }},
	}
	for idx := range wld.owners {
		list = append(list, wld.ownerActions(idx)...)
	}
	for idx := range wld.agents {
		list = append(list, wld.agentActions(idx)...)
	}
	for pos, msg := range wld.net {
		list = append(list, action{fmt.Sprintf("deliver %s %c %d %v", msg.kind, 'x'+rune(msg.agent), msg.task.Ref().Token().Epoch(), msg.ref), func(wld *world) { wld.deliver(pos, false) }})
		list = wld.limited(list, "duplicate", "duplicate "+msg.kind, func(wld *world) { wld.deliver(pos, true) })
	}
	return list
}

// limited adds an action that is possible a bounded number of times.
func (wld *world) limited(list []action, kind, name string, do func(wld *world)) []action {
	if wld.budget[kind] == 0 {
		return list
	}
	return append(list, action{name, func(wld *world) {
		wld.budget[kind]--
		do(wld)
	}})
}

func (wld *world) ownerActions(idx int) []action {
	own := &wld.owners[idx]
	var list []action
	if own.part != nil && !own.dead {
		if len(own.pending) > 0 {
			list = append(list, action{"flush", func(wld *world) { wld.flush(idx) }})
		}
		if own.epoch == wld.epoch {
			list = append(list, action{"advance renewed", func(wld *world) { wld.advance(idx) }})
			list = wld.limited(list, "cancel", "cancel", func(wld *world) {
				own := &wld.owners[idx]
				wld.collect(idx, own.part.Cancel(wld.env(own), 0, job.NewID("c", "k")), message{})
			})
		}
	}
	if own.part != nil && !own.dead && own.epoch == wld.epoch && own.parked() {
		list = wld.limited(list, "retry", "retry", func(wld *world) { wld.retry(idx) })
	}
	if own.epoch == 0 && !wld.now.Before(wld.renewed.Add(lease.Stretch(partition.LeaseTime))) {
		list = append(list, action{"takeover", func(wld *world) { wld.takeOver(idx) }})
	}
	return list
}

// advance lets one step of time pass; the given owner renews its lease at the end of it.
func (wld *world) advance(renewing int) {
	wld.now = wld.now.Add(step)
	if renewing >= 0 {
		wld.owners[renewing].leaseEnd = lease.HolderEnd(wld.now, partition.LeaseTime)
		wld.renewed = wld.now
	}
	for idx := range wld.agents {
		for pos := range wld.agents[idx].runs {
			wld.agents[idx].runs[pos].expire(wld.now)
		}
	}
	for idx := range wld.owners {
		wld.tick(idx)
	}
}

// expire stops a task at the end of its lease, with a checkpoint.
func (run *run) expire(now time.Time) {
	if !run.ended && !now.Before(run.until) {
		run.stop(job.NewEnd(job.EndCheckpointed, fmt.Sprintf("expired%v", run.ref.Token())))
	}
}

func (run *run) stop(end job.End) {
	if !run.ended {
		run.end, run.ended, run.unacked = end, true, true
	}
}

func (wld *world) agentActions(idx int) []action {
	agt := &wld.agents[idx]
	var list []action
	if len(agt.claims) > 0 {
		list = append(list, action{"abandon claim", func(wld *world) { wld.abandon(idx) }})
		list = wld.limited(list, "reclaim", "claim again", func(wld *world) { wld.claim(idx) })
	}
	for pos, rnn := range agt.runs {
		if !rnn.ended {
			list = append(list, action{"finish", func(wld *world) { wld.end(idx, pos, job.NewEnd(job.EndFinished, "").WithResult([]byte("r"), "")) }},
				action{"renew 0", func(wld *world) { wld.renew(0, idx, pos) }})
			list = append(list, action{"renew all 0", func(wld *world) { wld.renewAll(0, idx) }})
			if wld.owners[1].part != nil {
				list = append(list, action{"renew 1", func(wld *world) { wld.renew(1, idx, pos) }},
					action{"renew all 1", func(wld *world) { wld.renewAll(1, idx) }})
			}
			list = wld.limited(list, "evict", "evict", func(wld *world) {
				wld.end(idx, pos, job.NewEnd(job.EndCheckpointed, fmt.Sprintf("c%v", rnn.ref.Token())))
			})
		} else if rnn.unacked && !wld.inFlight("report", rnn.ref) {
			list = append(list, action{"report", func(wld *world) { wld.report(idx, pos) }})
		}
	}
	if len(agt.claims)+len(agt.runs) > 0 {
		list = wld.limited(list, "agentCrash", "agent crash", func(wld *world) { wld.crash(idx, false) })
		list = wld.limited(list, "instanceCrash", "instance crash", func(wld *world) { wld.crash(idx, true) })
	}
	return list
}

func (wld *world) inFlight(kind string, ref job.Ref) bool {
	return slices.ContainsFunc(wld.net, func(msg message) bool { return msg.kind == kind && msg.ref == ref })
}

// crash starts a new agent process. The worker keeps its tasks unless the whole instance crashed.
func (wld *world) crash(idx int, instance bool) {
	agt := &wld.agents[idx]
	agt.inc++
	clear(agt.claims)
	if instance {
		agt.runs = nil
	}
}

func (wld *world) end(idx, pos int, end job.End) {
	rnn := &wld.agents[idx].runs[pos]
	if end.Kind() == job.EndFinished && !rnn.ended {
		wld.finished[rnn.ref.Index()]++
	}
	rnn.stop(end)
	wld.report(idx, pos)
}

func (wld *world) current() int {
	if wld.owners[1].epoch == wld.epoch {
		return 1
	}
	return 0
}

// report sends the end of a run to the owner that agents know: the latest one.
func (wld *world) report(idx, pos int) {
	rnn := wld.agents[idx].runs[pos]
	wld.post(message{kind: "report", owner: wld.current(), agent: idx, ref: rnn.ref, end: rnn.end, inc: wld.agents[idx].inc})
}

// renew asks an owner, which may be the former one, for a longer lease.
func (wld *world) renew(own, idx, pos int) {
	wld.post(message{kind: "renew", owner: own, agent: idx, sentAt: wld.now,
		ref: wld.agents[idx].runs[pos].ref, inc: wld.agents[idx].inc})
}

// renewAll asks an owner to renew everything that the agent runs in one step. It
// does so even when the owner has not listed the tasks yet: the owner decides.
func (wld *world) renewAll(own, idx int) {
	msg := message{kind: "renewAll", owner: own, agent: idx, sentAt: wld.now, inc: wld.agents[idx].inc}
	for _, rnn := range wld.agents[idx].runs {
		if !rnn.ended {
			msg.held = append(msg.held, rnn.ref)
		}
	}
	wld.post(msg)
}

// describe returns the description of a set of assignments.
func describe(refs []job.Ref) lease.Set {
	var set lease.Set
	for _, ref := range refs {
		set = set.With(string(ref.Job()), ref.Index(), ref.Token())
	}
	return set
}

// claim sends the claims of accepted offers.
func (wld *world) claim(idx int) {
	agt := &wld.agents[idx]
	for _, ref := range sortedClaims(agt.claims) {
		if agt.claims[ref].granted {
			continue
		}
		wld.post(message{kind: "claim", owner: agt.claims[ref].owner, agent: idx, sentAt: wld.now, ref: ref, inc: agt.inc})
	}
}

// abandon gives up the claims that are not granted yet.
func (wld *world) abandon(idx int) {
	maps.DeleteFunc(wld.agents[idx].claims, func(_ job.Ref, clm claim) bool { return !clm.granted })
}

func (wld *world) deliver(pos int, keep bool) {
	msg := wld.net[pos]
	if !keep {
		wld.net = slices.Delete(slices.Clone(wld.net), pos, pos+1)
	}
	switch msg.kind {
	case "claim", "renew", "renewAll", "report", "adopted":
		wld.deliverOwner(msg)
	default:
		wld.deliverAgent(msg)
	}
}

func (wld *world) deliverOwner(msg message) {
	own := &wld.owners[msg.owner]
	if own.part == nil || own.dead {
		return
	}
	env, hol := wld.env(own), holder(msg.agent, msg.inc)
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
			wld.fail("the completion of the latest assignment %v is ignored", msg.ref)
		}
	default:
		out = own.part.Adopted(env, hol, true, msg.refs)
	}
	for _, rec := range out.Records() {
		if msg.kind == "report" && rec.Ref() != msg.ref {
			wld.fail("the end of %v is taken for that of %v", msg.ref, rec.Ref())
		}
	}
	wld.collect(msg.owner, out, msg)
}

// accepts reports whether a report has to complete its task: it says finished
// and names the latest assignment of a task that is not cancelled, even if that
// assignment was given up for lost.
func (own *owner) accepts(msg message) bool {
	sta := own.task(msg.ref)
	return msg.end.Kind() == job.EndFinished && sta.Token() == msg.ref.Token() && sta.State() != job.Cancelled
}

func (own *owner) parked() bool {
	sta, known := own.part.Status(job.NewID("c", "k"))
	return known && slices.ContainsFunc(sta.Tasks(), func(tsk job.TaskStatus) bool { return tsk.State() == job.Parked })
}

// retry lets an operator run the parked tasks again.
func (wld *world) retry(idx int) {
	own := &wld.owners[idx]
	wld.retried++
	wld.collect(idx, own.part.Retry(wld.env(own), 0, job.NewID("c", "k")), message{})
}

func (own *owner) task(ref job.Ref) job.TaskStatus {
	sta, _ := own.part.Status(ref.Job())
	return sta.Tasks()[ref.Index()]
}

func (wld *world) deliverAgent(msg message) {
	agt := &wld.agents[msg.agent]
	switch msg.kind {
	case "offer":
		agt.claims[msg.task.Ref()] = claim{owner: msg.owner, task: msg.task}
		wld.claim(msg.agent)
	case "claimReply":
		wld.granted(agt, msg)
	case "start":
		wld.start(agt, msg)
	case "renewReply":
		agt.extend(msg, wld.now)
		agt.stopRuns(msg.refs)
	case "stop":
		agt.stopRuns(msg.refs)
	case "reportReply":
		for pos := range agt.runs {
			if slices.Contains(msg.refs, agt.runs[pos].ref) {
				agt.runs[pos].unacked = false
			}
		}
	case "adopt":
		wld.post(message{kind: "adopted", owner: msg.owner, agent: msg.agent, inc: agt.inc, refs: wld.heldBy(agt)})
	}
}

// heldBy lists the claims and the tasks whose end is not acknowledged.
func (wld *world) heldBy(agt *agent) []job.Ref {
	var refs []job.Ref
	if !wld.rules.forgetClaims {
		refs = sortedClaims(agt.claims)
	}
	for _, rnn := range agt.runs {
		if !rnn.ended || rnn.unacked {
			refs = append(refs, rnn.ref)
		}
	}
	return refs
}

// granted hands a granted task to the worker. The start is a message that may
// still arrive after the agent has crashed.
func (wld *world) granted(agt *agent, msg message) {
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
	wld.post(msg)
}

// start runs a task until the lease end counted from the send time of the claim.
func (wld *world) start(agt *agent, msg message) {
	until := lease.HolderEnd(msg.sentAt, taskLease)
	delete(agt.claims, msg.ref)
	higher := slices.ContainsFunc(agt.runs, func(rnn run) bool {
		return rnn.ref.Index() == msg.ref.Index() && rnn.ref.Token().Compare(msg.ref.Token()) >= 0
	})
	if wld.now.Before(until) && !higher {
		for pos := range agt.runs {
			agt.runs[pos].stop(job.NewEnd(job.EndLost, ""))
		}
		agt.runs = append(agt.runs, run{ref: msg.ref, until: until, from: msg.task.Checkpoint()})
	}
}

func (agt *agent) extend(msg message, now time.Time) {
	for pos := range agt.runs {
		rnn := &agt.runs[pos]
		if until := lease.HolderEnd(msg.sentAt, taskLease); msg.grant && (rnn.ref == msg.ref || slices.Contains(msg.held, rnn.ref)) && !rnn.ended && now.Before(rnn.until) && until.After(rnn.until) {
			rnn.until = until
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
