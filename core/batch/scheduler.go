// Package batch decides for the batch and lasting jobs of one partition: which
// task starts where, what an ended run means, and when a job is complete.
//
// A Scheduler is the state of the partition's owner. Events come in as method
// calls with the time; outcomes go out as values: the records to store, the
// orders for agents, and the events that agents may forget. An order leaves the
// package only after the record that contains its run has been stored, so a new
// owner finds every run that may be at work. An event may be forgotten only after
// its effect has been stored.
//
// A task is at work on at most one instance (copies of speculative steps aside):
// it gets a new run only after the agent reported the end of the old one, the
// worker's life ended, or the worker's lease has certainly expired.
//
// A Scheduler must be used from one goroutine at a time; the zero value works
// with the policies' zero values.
package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// Scheduler owns the jobs of a partition.
type Scheduler[O Ordering, P Placement] struct {
	order      O
	placement  P
	options    Options
	jobs       map[string]*jobState
	dirty      []*jobState
	instances  map[fleet.InstanceID]*instance
	out        map[fleet.DataCentre]bool
	sizes      map[fleet.Service][]resource.Vector // the largest workers heard of
	learned    durations
	effects    pacing.Model
	demand     map[fleet.Service]float64       // processors that short tasks used at most lately, in mCPU
	fillUse    map[fleet.Service]float64       // processors that filling tasks have used lately on average, in mCPU
	fillWait   map[fleet.Service]time.Duration // until the filling tasks that wait have been carried out
	preempted  time.Time
	relievedAt time.Time
	since      time.Time
	silent     map[fleet.InstanceID]time.Duration // inherited, see Presence
	held       bool
	planned    bool // nothing changed since the last plan that could let work start
	notes      []Note
}

// Options are the times that the scheduler counts on.
type Options struct {
	LostAfter      time.Duration // after the last report, a worker's lease has certainly expired
	InheritedAfter time.Duration // after taking over, for instances that never reported
	Retention      time.Duration // of final jobs
	RemoteFactor   float64       // on run times away from the rack of the data
	RetryDelay     time.Duration // before a failed task is tried again
}

// Defaults of the options, for deployments that set none.
const (
	defaultLostAfter  = 10 * time.Second
	defaultRetention  = 10 * time.Minute
	defaultRetryDelay = 50 * time.Millisecond // lets a failing worker be recognised before the task comes back
)

// New returns a scheduler that takes over at the given time.
func New[O Ordering, P Placement](ord O, pla P, opt Options, now time.Time) *Scheduler[O, P] {
	return &Scheduler[O, P]{order: ord, placement: pla, options: opt, since: now}
}

// option returns the options with their defaults, so that the zero value works.
func (sch *Scheduler[O, P]) option() Options { return sch.options.withDefaults() }

func (opt Options) withDefaults() Options {
	if opt.LostAfter == 0 {
		opt.LostAfter = defaultLostAfter
	}
	if opt.InheritedAfter == 0 {
		opt.InheritedAfter = 2 * opt.LostAfter
	}
	if opt.Retention == 0 {
		opt.Retention = defaultRetention
	}
	if opt.RemoteFactor == 0 {
		opt.RemoteFactor = 1
	}
	if opt.RetryDelay == 0 {
		opt.RetryDelay = defaultRetryDelay
	}
	return opt
}

// Submit adds an accepted job. A job that is known already is left as it is.
func (sch *Scheduler[O, P]) Submit(spec workload.Job, now time.Time) {
	if sch.jobs[spec.ID()] != nil {
		return
	}
	job := &jobState{spec: spec, state: JobQueued, acceptedAt: now}
	sch.add(job)
	sch.note(now, decision.JobSubmitted, spec.ID(), RunID{}, "", describe(spec))
	sch.mark(job)
}

// Restore adds a stored job during a takeover. Its objective counts from now,
// because the steady clocks of two owners can't be compared.
func (sch *Scheduler[O, P]) Restore(spec workload.Job, rec JobRecord, now time.Time) {
	if sch.jobs[spec.ID()] != nil {
		return
	}
	job := restore(spec, rec)
	job.acceptedAt = now
	if job.state.Final() {
		job.finalAt = now
	}
	sch.add(job)
	job.eachAttempt(func(tid TaskID, _ *task, att *attempt) {
		att.orderedAt = now
		stp, _ := job.task(tid)
		sch.instance(att.instance).reserve(stp)
	})
}

func (sch *Scheduler[O, P]) add(job *jobState) {
	if sch.jobs == nil {
		sch.jobs = make(map[string]*jobState)
	}
	sch.jobs[job.spec.ID()] = job
	sch.planned = false
}

// Cancel stops a job. Unknown and final jobs are left as they are.
func (sch *Scheduler[O, P]) Cancel(id string, now time.Time) {
	job := sch.jobs[id]
	if job == nil || job.state.Final() {
		return
	}
	sch.note(now, decision.JobCancelled, id, RunID{}, "", "")
	sch.end(job, JobCancelled, now)
}

// end makes a job final and stops what still runs.
func (sch *Scheduler[O, P]) end(job *jobState, sta JobState, now time.Time) {
	job.state, job.finalAt = sta, now
	job.eachAttempt(func(tid TaskID, tsk *task, att *attempt) { sch.stop(job, tid, tsk, att) })
	sch.mark(job)
}

// stop ends an attempt. One whose order has not left is dropped at once.
func (sch *Scheduler[O, P]) stop(job *jobState, tid TaskID, tsk *task, att *attempt) {
	if !att.released {
		sch.drop(job, tid, tsk, att)
		return
	}
	if att.stopping {
		return
	}
	att.stopping = true
	sch.instance(att.instance).push(Order{Kind: StopRun, ID: RunID{Task: tid, Run: att.run}})
}

// drop forgets an attempt that is certainly not at work and frees its room.
func (sch *Scheduler[O, P]) drop(job *jobState, tid TaskID, tsk *task, att *attempt) {
	stp, _ := job.task(tid)
	sch.instance(att.instance).release(stp)
	tsk.remove(att)
	if len(tsk.attempts) == 0 && tsk.phase == Active {
		tsk.phase = Waiting
	}
	sch.planned = false
}

func (sch *Scheduler[O, P]) instance(id fleet.InstanceID) *instance {
	ins := sch.instances[id]
	if ins == nil {
		ins = &instance{id: id}
		if sch.instances == nil {
			sch.instances = make(map[fleet.InstanceID]*instance)
		}
		sch.instances[id] = ins
	}
	return ins
}

// mark queues a job to be stored.
func (sch *Scheduler[O, P]) mark(job *jobState) {
	job.unsettled = true
	if !job.dirty {
		job.dirty = true
		sch.dirty = append(sch.dirty, job)
	}
}

// SetOut replaces the data centres that must get no new work.
func (sch *Scheduler[O, P]) SetExcluded(dcs map[fleet.DataCentre]bool) {
	sch.out = dcs
	sch.planned = false
}

// Pending returns by queue the number of untimed and timed jobs of which no task has started.
func (sch *Scheduler[O, P]) Pending() map[string]int {
	num := make(map[string]int)
	for _, job := range sch.jobs {
		if job.state == JobQueued {
			num[job.spec.Queue()]++
		}
	}
	return num
}

// Hold keeps new runs from starting while set, because a newer decision of the
// operators may forbid them.
func (sch *Scheduler[O, P]) Hold(hold bool) {
	if sch.held && !hold {
		sch.planned = false
	}
	sch.held = hold
}

// Planned reports whether nothing has changed since the last plan.
func (sch *Scheduler[O, P]) Planned() bool { return sch.planned }

// Tick does what only time brings about: occurrences fall due, instances that
// were not heard of are lost, overdue runs are judged.
// Wall is the time of day.
func (sch *Scheduler[O, P]) Tick(now, wall time.Time) {
	for _, ins := range sch.instances {
		sch.checkPresence(ins, now)
	}
	for _, job := range sch.jobs {
		if !job.state.Final() && job.createDue(wall) > 0 {
			sch.mark(job)
		}
	}
	sch.noteDemand()
	sch.noteFillUse()
	sch.noteFillWait(now)
	sch.judgeOverdue(now)
	sch.moveSlowed(now)
	sch.relieve(now)
	sch.emptyLeaving(now)
	sch.planned = false
}

// Forget drops final jobs whose rows were removed from the store.
func (sch *Scheduler[O, P]) Forget(ids []string) {
	for _, id := range ids {
		delete(sch.jobs, id)
	}
}

// Expired returns the final jobs whose rows may be removed from the store.
func (sch *Scheduler[O, P]) Expired(now time.Time, limit int) []string {
	var ids []string
	for id, job := range sch.jobs {
		old := job.state.Final() && now.Sub(job.finalAt) > sch.option().Retention
		if old && !job.dirty && !job.hasAttempts() && len(ids) < limit {
			ids = append(ids, id)
		}
	}
	return ids
}
