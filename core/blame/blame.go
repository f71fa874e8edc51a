// Package blame decides whether failures are the fault of a job or of an instance, also when
// failing jobs and failing instances occur at the same time.
//
// Model: a single failure of a job on an instance proves nothing. It counts against the job if
// other jobs succeed on the instance, and against the instance if the job succeeds on another one.
// This evidence may arrive after the failure, so each success is applied to the earlier failures.
// A job with counted failures on JobLimit instances is parked, and an instance with counted
// failures of InstanceLimit jobs is suspended. An instance on which ConsecutiveLimit distinct jobs
// failed without a success between them is suspended before there is proof: its tasks fail at
// once, so it is always free and would get the whole queue. A wrong suspension lasts for
// MinSuspension. A job that fails on AttemptLimit instances without proof is parked as
// undetermined.
//
// Limits: a job that fails only next to another job is treated as failing everywhere, and an
// instance on which only one class fails as failing for all.
//
// A Ledger must be used from one goroutine at a time. The zero value is ready for use.
package blame

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
)

// Limits of the verdicts.
const (
	JobLimit         = 3                // instances with counted failures that park a job
	InstanceLimit    = 3                // jobs with counted failures that suspend an instance
	ConsecutiveLimit = 3                // jobs failing in a row that suspend an instance
	AttemptLimit     = 8                // instances with failures that park a job without proof
	ProbationRuns    = 2                // successes that end a probation
	EvidencePeriod   = 30 * time.Minute // age up to which failures and successes are compared
	MinSuspension    = time.Minute      // doubled with each further suspension
	MaxSuspension    = time.Hour
	MinRetry         = time.Second // doubled with each further failure of the job
	MaxRetry         = 2 * time.Minute
	// failureLimit bounds the failures kept for one job and for one instance.
	failureLimit = 16
)

// State is whether an instance may take tasks.
type State int

// States of an instance.
const (
	Healthy   State = iota
	Suspended       // takes no tasks
	Probation       // takes one task at a time
)

// Verdict holds the changes that follow from a failure or a success.
type Verdict struct {
	parked    []ParkedJob
	suspended []Suspension
	restored  []fleet.InstanceID
	retry     time.Duration
}

// Parked returns the jobs to be parked.
func (ver Verdict) Parked() []ParkedJob { return ver.parked }

// Suspended returns the instances to be suspended.
func (ver Verdict) Suspended() []Suspension { return ver.suspended }

// Restored returns the instances whose probation has ended with success.
func (ver Verdict) Restored() []fleet.InstanceID { return ver.restored }

// Retry returns the delay before the failed task is tried again.
func (ver Verdict) Retry() time.Duration { return ver.retry }

// ParkedJob is a job that must not run again until its owner releases it.
type ParkedJob struct {
	job       string
	instances []fleet.InstanceID
	proven    bool
}

// Job returns the name of the job.
func (pjb ParkedJob) Job() string { return pjb.job }

// Instances returns the instances on which the job failed.
func (pjb ParkedJob) Instances() []fleet.InstanceID { return pjb.instances }

// Proven reports whether other jobs have succeeded on the instances. Otherwise the job was parked
// for the number of its failures.
func (pjb ParkedJob) Proven() bool { return pjb.proven }

// Suspension is an instance that takes no tasks for a period.
type Suspension struct {
	instance fleet.InstanceID
	jobs     []string
	period   time.Duration
}

// Instance returns the suspended instance.
func (sus Suspension) Instance() fleet.InstanceID { return sus.instance }

// Jobs returns the jobs that failed there.
func (sus Suspension) Jobs() []string { return sus.jobs }

// Period returns how long the instance takes no tasks.
func (sus Suspension) Period() time.Duration { return sus.period }

// failure is the latest failure of a job on an instance.
type failure struct {
	job                   string
	instance              fleet.InstanceID
	at                    time.Time
	countsAgainstJob      bool
	countsAgainstInstance bool
}

type jobRecord struct {
	failures  []*failure
	attempts  int
	succeeded fleet.InstanceID
	parked    bool
}

type instanceRecord struct {
	failures      []*failure
	succeeded     string // job of the newest success
	succeededAt   time.Time
	consecutive   int // distinct jobs that failed since the last success
	state         State
	until         time.Time
	period        time.Duration
	probationRuns int
}

// Ledger records failures and successes, and derives the states of jobs and instances.
type Ledger struct {
	jobs      map[string]*jobRecord
	instances map[fleet.InstanceID]*instanceRecord
}

func (led *Ledger) job(name string) *jobRecord {
	if led.jobs == nil {
		led.jobs = make(map[string]*jobRecord)
	}
	job, found := led.jobs[name]
	if !found {
		job = new(jobRecord)
		led.jobs[name] = job
	}
	return job
}

func (led *Ledger) instance(id fleet.InstanceID) *instanceRecord {
	if led.instances == nil {
		led.instances = make(map[fleet.InstanceID]*instanceRecord)
	}
	ins, found := led.instances[id]
	if !found {
		ins = new(instanceRecord)
		led.instances[id] = ins
	}
	return ins
}

// Failed records that a task of a job failed on an instance.
func (led *Ledger) Failed(name string, id fleet.InstanceID, now time.Time) Verdict {
	job, ins := led.job(name), led.instance(id)
	job.attempts++
	ver := Verdict{retry: min(MaxRetry, MinRetry<<min(job.attempts-1, 10))}
	flr := job.find(id)
	if flr == nil {
		flr = &failure{job: name, instance: id}
		job.failures = appendFailure(job.failures, flr)
		ins.failures = appendFailure(ins.failures, flr)
		ins.consecutive++
	}
	flr.at = now
	flr.countsAgainstInstance = flr.countsAgainstInstance || (job.succeeded != "" && job.succeeded != id)
	flr.countsAgainstJob = !flr.countsAgainstInstance && (flr.countsAgainstJob || ins.runsOtherJobs(name, now))
	led.judgeInstance(id, ins, now, &ver)
	led.judgeJob(name, job, &ver)
	return ver
}

// Succeeded records that a task of a job finished on an instance.
func (led *Ledger) Succeeded(name string, id fleet.InstanceID, now time.Time) Verdict {
	var ver Verdict
	ins := led.instance(id)
	ins.succeeded, ins.succeededAt, ins.consecutive = name, now, 0
	for _, flr := range ins.failures {
		job, found := led.jobs[flr.job]
		if found && flr.job != name && !flr.countsAgainstInstance && now.Sub(flr.at) < EvidencePeriod {
			flr.countsAgainstJob = true
			led.judgeJob(flr.job, job, &ver)
		}
	}
	led.exonerateJob(name, id, now, &ver)
	led.advanceProbation(id, ins, &ver)
	return ver
}

// exonerateJob counts the earlier failures of a job that has succeeded against the instances.
func (led *Ledger) exonerateJob(name string, id fleet.InstanceID, now time.Time, ver *Verdict) {
	job := led.job(name)
	job.succeeded = id
	for _, flr := range job.failures {
		if flr.instance != id && now.Sub(flr.at) < EvidencePeriod {
			flr.countsAgainstInstance, flr.countsAgainstJob = true, false
			led.judgeInstance(flr.instance, led.instance(flr.instance), now, ver)
		}
	}
}

func (led *Ledger) advanceProbation(id fleet.InstanceID, ins *instanceRecord, ver *Verdict) {
	if ins.state != Probation {
		return
	}
	ins.probationRuns++
	if ins.probationRuns < ProbationRuns {
		return
	}
	ins.state, ins.probationRuns = Healthy, 0
	ins.failures = nil
	ver.restored = append(ver.restored, id)
}

func (led *Ledger) judgeInstance(id fleet.InstanceID, ins *instanceRecord, now time.Time, ver *Verdict) {
	counted := 0
	for _, flr := range ins.failures {
		if flr.countsAgainstInstance && now.Sub(flr.at) < EvidencePeriod {
			counted++
		}
	}
	failedOnProbation := ins.state == Probation && ins.consecutive > 0
	if ins.state == Suspended || (counted < InstanceLimit && ins.consecutive < ConsecutiveLimit && !failedOnProbation) {
		return
	}
	ins.period = min(MaxSuspension, max(MinSuspension, ins.period*2))
	ins.state, ins.until, ins.probationRuns, ins.consecutive = Suspended, now.Add(ins.period), 0, 0
	ver.suspended = append(ver.suspended, Suspension{instance: id, jobs: ins.jobs(), period: ins.period})
	// Failures on an instance at fault say nothing about the jobs.
	for _, flr := range ins.failures {
		flr.countsAgainstJob = false
	}
}

func (led *Ledger) judgeJob(name string, job *jobRecord, ver *Verdict) {
	counted := 0
	for _, flr := range job.failures {
		if flr.countsAgainstJob {
			counted++
		}
	}
	proven := counted >= JobLimit && job.succeeded == ""
	if job.parked || (!proven && len(job.failures) < AttemptLimit) {
		return
	}
	job.parked = true
	ver.parked = append(ver.parked, ParkedJob{job: name, instances: job.instances(proven), proven: proven})
}

// State returns whether an instance may take tasks. It changes a suspension that is over to
// probation.
func (led *Ledger) State(id fleet.InstanceID, now time.Time) State {
	ins, found := led.instances[id]
	if !found {
		return Healthy
	}
	if ins.state == Suspended && !now.Before(ins.until) {
		ins.state, ins.probationRuns, ins.consecutive = Probation, 0, 0
	}
	return ins.state
}

// Parked reports whether a job is parked.
func (led *Ledger) Parked(name string) bool {
	job, found := led.jobs[name]
	return found && job.parked
}

// FailedOn reports whether a job has failed on an instance. Others should then be tried first.
func (led *Ledger) FailedOn(name string, id fleet.InstanceID) bool {
	job, found := led.jobs[name]
	return found && job.find(id) != nil
}

// Release deletes the record of a parked job after its owner has changed it.
func (led *Ledger) Release(name string) { led.Forget(name) }

// Forget deletes the record of a job that has ended. The failures that count against an instance
// stay in the record of the instance.
func (led *Ledger) Forget(name string) {
	job, found := led.jobs[name]
	if !found {
		return
	}
	delete(led.jobs, name)
	for _, flr := range job.failures {
		ins := led.instance(flr.instance)
		if !flr.countsAgainstInstance {
			ins.failures = slices.DeleteFunc(ins.failures, func(oth *failure) bool { return oth == flr })
		}
	}
}

// Leave deletes the record of an instance that will not return.
func (led *Ledger) Leave(id fleet.InstanceID) { delete(led.instances, id) }

// runsOtherJobs reports whether the latest success on the instance is recent and of another job.
func (ins *instanceRecord) runsOtherJobs(name string, now time.Time) bool {
	return ins.state == Healthy && ins.succeeded != "" && ins.succeeded != name && now.Sub(ins.succeededAt) < EvidencePeriod
}

func (job *jobRecord) find(id fleet.InstanceID) *failure {
	for _, flr := range job.failures {
		if flr.instance == id {
			return flr
		}
	}
	return nil
}

func (job *jobRecord) instances(proven bool) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, flr := range job.failures {
		if flr.countsAgainstJob || !proven {
			ids = append(ids, flr.instance)
		}
	}
	slices.Sort(ids)
	return ids
}

func (ins *instanceRecord) jobs() []string {
	var names []string
	for _, flr := range ins.failures {
		names = append(names, flr.job)
	}
	slices.SortFunc(names, func(one, two string) int { return cmp.Or(strings.Compare(one, two)) })
	return slices.Compact(names)
}

// appendFailure appends a failure and drops the oldest one when there are failureLimit already.
func appendFailure(flrs []*failure, flr *failure) []*failure {
	if len(flrs) >= failureLimit {
		flrs = slices.Delete(flrs, 0, 1)
	}
	return append(flrs, flr)
}
