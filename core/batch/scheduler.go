// Package batch schedules the batch and long-running jobs of one partition. It decides on which
// instance each task runs, what the end of a run means for its task, and when a job is complete.
//
// A Scheduler holds the state of the partition's owner. Events arrive as method calls that carry
// the time. The results are values: the records to store, the orders for agents, and the events
// that agents may discard. An order is returned only after the record that contains its run has
// been stored, so that a new owner knows every run that may be running. An event may be discarded
// only after its effect has been stored.
//
// A task runs on at most one instance at a time, apart from copies in speculative steps. It gets a
// new run only after the agent has reported the end of the old one, the worker's incarnation has
// ended, or the worker's lease has certainly expired.
//
// There are three kinds of tasks: long-running ones, best-effort ones, which use only CPU that the
// others leave idle, and short ones, which reserve CPU for a limited time. Serving tasks are tasks
// with a latency target.
//
// A Scheduler must be used from one goroutine at a time. Its zero value is ready to use with the
// zero values of its policies.
package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// Scheduler schedules the jobs of a partition.
type Scheduler[O Ordering, P Placement] struct {
	order             O
	placement         P
	options           Options
	jobs              map[string]*jobState
	active            map[string]*jobState    // those that are not final
	dirty             []*jobState             // to be stored
	openSteps         map[*stepState]struct{} // a superset of the steps with tasks that may start
	setAside          []*jobState             // that the store has not accepted
	instances         map[fleet.InstanceID]*instance
	instanceList      []*instance // the same, in the order in which they appeared
	version           uint64      // increases with each change of the data on which placements depend
	ordered           []*instance // that have got orders since the last call of Ordered
	stored            []*instance // of which events were stored since the last call of Stored
	present           int         // instances that report to this owner
	presenceChanged   bool        // an instance has begun or ceased to report since the last call of Presence
	presenceAt        time.Time   // of the last call of Presence
	excluded          map[fleet.DataCentre]bool
	sizes             map[fleet.Service][]resource.Vector // of the largest workers that have reported
	runTimes          durations
	interferenceModel pacing.Model
	shortPeak         map[fleet.Service]float64       // recent peak of the CPU reserved by short tasks, in mCPU
	bestEffortUse     map[fleet.Service]float64       // recent average CPU use of best-effort tasks, in mCPU
	bestEffortWait    map[fleet.Service]time.Duration // to process the waiting best-effort tasks
	preemptedAt       time.Time
	moveSearchedAt    time.Time
	takeoverAt        time.Time
	formerGrants      map[fleet.InstanceID]time.Time // when former owners certainly had made their last grants, see Presence
	formerGrantsEnd   time.Time                      // the same for instances that are not in formerGrants
	onHold            bool
	planned           bool // nothing has changed since the last plan that could let a task start
	notes             []Note
	work              Work          // since the last call of Work
	waiting           []waitingStep // memory for the next plan
	search            search        // memory for the next search
}

// Options are the settings of a scheduler. Zero values select defaults.
type Options struct {
	// LostAfter is the time after its last report by which a worker's lease has certainly expired.
	LostAfter time.Duration
	// Validity is how long after its last transaction an owner grants time on its own.
	Validity time.Duration
	// MaxValidity is how long after its last transaction an owner grants time while no other process can take over.
	MaxValidity  time.Duration
	Retention    time.Duration // of final jobs in the store
	RemoteFactor float64       // factor on run times outside the rack of the data
	RetryDelay   time.Duration // before a failed task is started again
}

// Defaults of the options, for deployments that set none.
const (
	defaultLostAfter = 10 * time.Second
	defaultRetention = 10 * time.Minute
	// defaultRetryDelay lets a failing worker be recognised before the task starts again.
	defaultRetryDelay = 50 * time.Millisecond
)

// New returns a scheduler for an owner that takes over at the given time.
func New[O Ordering, P Placement](ord O, pla P, opt Options, now time.Time) *Scheduler[O, P] {
	return &Scheduler[O, P]{order: ord, placement: pla, options: opt, takeoverAt: now, formerGrantsEnd: now.Add(opt.withDefaults().MaxValidity)}
}

// option returns the options with defaults, so that the zero value of Scheduler can be used.
func (sch *Scheduler[O, P]) option() Options { return sch.options.withDefaults() }

func (opt Options) withDefaults() Options {
	if opt.LostAfter == 0 {
		opt.LostAfter = defaultLostAfter
	}
	if opt.MaxValidity == 0 {
		opt.MaxValidity = opt.LostAfter
	}
	if opt.Validity == 0 {
		opt.Validity = opt.MaxValidity
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

// Submit adds an accepted job. It does nothing if the job is already known.
func (sch *Scheduler[O, P]) Submit(spec workload.Job, now time.Time) {
	if sch.jobs[spec.ID()] != nil {
		return
	}
	job := &jobState{spec: spec, state: JobQueued, acceptedAt: now}
	sch.add(job)
	sch.note(now, decision.JobSubmitted, spec.ID(), RunID{}, "", describe(spec))
	sch.markDirty(job)
}

// Restore adds a stored job after a takeover. Its objective starts at now, because the monotonic
// clocks of two owners can't be compared.
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
	job.compact()
	job.eachAttempt(func(att *attempt) {
		att.orderedAt = now
		ins := sch.instance(att.instance)
		ins.attach(att)
		sch.touch(ins)
	})
}

// add adds a job. The occurrence of a job without a schedule is created at once: its due time is by the
// clock of another machine.
func (sch *Scheduler[O, P]) add(job *jobState) {
	if sch.jobs == nil {
		sch.jobs, sch.active = make(map[string]*jobState), make(map[string]*jobState)
	}
	sch.jobs[job.spec.ID()] = job
	if job.state.Final() {
		return
	}
	sch.active[job.spec.ID()] = job
	if !job.spec.Timed() && job.createDue(job.spec.Accepted()) > 0 {
		sch.markDirty(job)
	}
	for _, occ := range job.occurrences {
		sch.openAll(occ)
	}
	sch.planned = false
}

// finish makes a job final.
func (sch *Scheduler[O, P]) finish(job *jobState, sta JobState, now time.Time) {
	job.state, job.finalAt = sta, now
	delete(sch.active, job.spec.ID())
}

// Cancel stops a job. It does nothing if the job is unknown or final.
func (sch *Scheduler[O, P]) Cancel(id string, now time.Time) {
	job := sch.jobs[id]
	if job == nil || job.state.Final() {
		return
	}
	sch.note(now, decision.JobCancelled, id, RunID{}, "", "")
	sch.end(job, JobCancelled, stopCancelled, now)
}

// end makes a job final and stops its runs.
func (sch *Scheduler[O, P]) end(job *jobState, sta JobState, why stopReason, now time.Time) {
	sch.finish(job, sta, now)
	job.eachAttempt(func(att *attempt) { sch.stop(att, why, now) })
	sch.markDirty(job)
}

// drop removes an attempt that is certainly not running and frees its resources.
func (sch *Scheduler[O, P]) drop(att *attempt) {
	ins, tsk := sch.instance(att.instance), att.task
	ins.detach(att)
	sch.touch(ins)
	tsk.remove(att)
	if len(tsk.attempts) == 0 && tsk.phase == Active {
		tsk.phase = Waiting
	}
	if !att.job.state.Final() {
		sch.open(att.step)
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
		sch.instanceList = append(sch.instanceList, ins)
	}
	return ins
}

// touch records a change of the data of an instance on which placements depend.
func (sch *Scheduler[O, P]) touch(ins *instance) {
	sch.version++
	ins.version = sch.version
}

// markDirty queues a job to be stored.
func (sch *Scheduler[O, P]) markDirty(job *jobState) {
	job.unstored = true
	if !job.dirty && job.setAsideUntil.IsZero() {
		job.dirty = true
		sch.dirty = append(sch.dirty, job)
	}
}

// SetExcluded sets the data centres in which no new runs may start.
func (sch *Scheduler[O, P]) SetExcluded(dcs map[fleet.DataCentre]bool) {
	sch.excluded = dcs
	for _, ins := range sch.instanceList {
		sch.touch(ins)
	}
	sch.planned = false
}

// Pending returns the number of jobs by queue of which no task has started, as far as agents have reported. An
// assignment is no start: its order may not reach the agent for seconds, or be refused.
func (sch *Scheduler[O, P]) Pending() map[string]int {
	num := make(map[string]int)
	for _, job := range sch.active {
		if !job.begun {
			num[job.spec.Queue()]++
		}
	}
	return num
}

// Hold sets whether planning is suspended, because a newer decision of the operators may forbid new
// runs.
func (sch *Scheduler[O, P]) Hold(hold bool) {
	if sch.onHold && !hold {
		sch.planned = false
	}
	sch.onHold = hold
}

// Planned reports whether the last plan is current: nothing has changed since that could let a task
// start.
func (sch *Scheduler[O, P]) Planned() bool { return sch.planned }

// Tick handles changes that are due to the passage of time, such as due occurrences, lost instances
// and overdue runs. It also starts moves of tasks between instances. Now is the monotonic time of
// the owner, wall the time of day.
func (sch *Scheduler[O, P]) Tick(now, wall time.Time) {
	sch.retrySetAside(now)
	for _, ins := range sch.instanceList {
		sch.checkPresence(ins, now)
		if admits := ins.health.admits(now); admits != ins.admitted {
			ins.admitted = admits
			sch.touch(ins)
		}
	}
	for _, job := range sch.active {
		if old := len(job.occurrences); job.createDue(wall) > 0 {
			sch.markDirty(job)
			for _, occ := range job.occurrences[old:] {
				sch.openAll(occ)
			}
		}
	}
	sch.updateShortPeak()
	sch.updateBestEffortUse()
	sch.updateBestEffortWait(now)
	sch.handleOverdue(now)
	sch.moveThrottled(now)
	sch.reduceInterference(now)
	sch.evacuate(now)
	sch.planned = false
}

// Forget drops final jobs whose rows have been removed from the store.
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
