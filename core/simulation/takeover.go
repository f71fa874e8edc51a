package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"jacinthpost/core/batch"
)

// stopLimit is the time after a job has become final within which its runs must have stopped: the
// users allow 3 s for a cancellation (cancel_ms) and 0.9 s for a worker to stop a run (stopTimeoutMs).
const stopLimit = 3900 * time.Millisecond

// table is what the owners have stored, from which a new owner restores its state. The cancellations, which
// entries store, are kept with the jobs.
type table struct {
	records  map[string]batch.JobRecord
	presence batch.Presence
}

// store commits the next transaction of the owner.
func (rn *Run[O, P, A]) store() {
	now := start.Add(rn.now)
	wrb := rn.scheduler.NextBatch(batchSize)
	for _, rec := range wrb.Records() {
		rn.stored.records[rec.ID] = rec
		if rec.State.Final() {
			rn.jobs[rec.ID].becomeFinal(rn.now)
		}
	}
	rn.scheduler.Committed(wrb, now)
	rn.stored.presence = rn.scheduler.Presence(now)
}

// takeOver replaces the owner by one that knows what is stored. The agents open new sessions with it.
// What the former owner has learned counts as stored at the time of the takeover.
func (rn *Run[O, P, A]) takeOver() {
	now, former := start.Add(rn.now), rn.scheduler
	rn.scheduler = rn.newOwner(now)
	rn.scheduler.RestorePresence(rn.stored.presence, batch.Succession{QuietSince: now, Bound: true})
	rn.scheduler.RestoreKnowledge(former.Knowledge(math.MaxInt), now)
	rn.scheduler.SetExcluded(rn.excluded)
	for _, jb := range rn.arrivals {
		if jb.accepted {
			rn.restore(jb, now)
		}
	}
	for _, wrk := range rn.workers {
		wrk.openSession()
	}
}

func (rn *Run[O, P, A]) restore(jb *job, now time.Time) {
	if rec, found := rn.stored.records[jb.params.ID]; found {
		rn.scheduler.Restore(jb.spec, rec, now)
	} else {
		rn.scheduler.Submit(jb.spec, now)
	}
	if jb.cancelled {
		rn.scheduler.Cancel(jb.params.ID, now)
	}
}

// cutOff reports whether the owner reaches no agent.
func (rn *Run[O, P, A]) cutOff() bool {
	for _, tko := range rn.pattern.Takeovers {
		if rn.now >= tko.At-tko.Cut && rn.now < tko.At {
			return true
		}
	}
	return false
}

// openSession starts a new session with the owner, in which the numbers of orders and events start again.
func (wrk *worker) openSession() {
	wrk.session++
	wrk.seq, wrk.seenOrder, wrk.reportPending = 0, 0, true
	for num := range wrk.events {
		wrk.seq++
		wrk.events[num].Seq = wrk.seq
	}
}

// cancelDue cancels the jobs that are due, unless their callers see them as ended.
func (rn *Run[O, P, A]) cancelDue() {
	for _, jb := range rn.arrivals {
		if !jb.accepted || jb.cancelAfter == 0 || !due(jb.acceptedAt+jb.cancelAfter, rn.now) || jb.final {
			continue
		}
		jb.cancelled = true
		jb.becomeFinal(rn.now)
		rn.scheduler.Cancel(jb.params.ID, start.Add(rn.now))
	}
}

// becomeFinal records when the end or the cancellation of the job was stored.
func (jb *job) becomeFinal(now time.Duration) {
	if !jb.final {
		jb.final, jb.finalAt = true, now
	}
}

// countUnstopped counts the runs that still work after stopLimit, each once.
func (rn *Run[O, P, A]) countUnstopped() {
	for _, wrk := range rn.workers {
		for rid, run := range wrk.runs {
			jb := rn.jobs[rid.Task.Job]
			if jb.final && rn.now-jb.finalAt > stopLimit && !run.unstopped {
				run.unstopped = true
				jb.unstopped++
			}
		}
	}
}

// drawCancellations draws which jobs are cancelled, and when. It has random numbers of its own, so that
// the load of a pattern is the same with and without cancellations.
func (pat Pattern) drawCancellations(dep Deployment, jobs []*job, rng *rand.Rand) {
	for _, jb := range jobs {
		for _, can := range pat.Cancellations {
			if can.Class == dep.Classes[jb.class].Name && rng.Float64() < can.Share {
				jb.cancelAfter = max(Step, can.After+time.Duration(rng.Float64()*float64(can.Spread)))
			}
		}
	}
}
