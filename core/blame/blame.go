// Package blame tells jobs that can never run from instances on which nothing
// runs, also when both occur at once.
//
// Model: a failure of a job on an instance proves nothing by itself. It counts
// against the job when the instance succeeds with other jobs, and against the
// instance when the job succeeds on another instance. Evidence may arrive
// later than the failure: each success is applied to the earlier failures. A
// job with JobLimit counted instances is parked, an instance with WorkerLimit
// counted jobs is suspended. An instance on which SuspectLimit distinct jobs
// failed in a row is suspended before there is proof, because an instance that
// fails at once is empty at once and would attract the whole queue; the
// mistake costs one period of FirstSuspension. A job that fails on AttemptLimit
// instances without proof is parked as undetermined.
//
// Limits: a job that fails only together with another job, and an instance
// that fails one class only, look like a job and an instance at fault.
// A Ledger must be used from one goroutine at a time; the zero value works.
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
	JobLimit         = 3
	InstanceLimit    = 3
	ConsecutiveLimit = 3
	AttemptLimit     = 8
	ProbationRuns    = 2
	EvidencePeriod   = 30 * time.Minute
	MinSuspension    = time.Minute
	MaxSuspension    = time.Hour
	MinRetry         = time.Second
	MaxRetry         = 2 * time.Minute
	// edgeLimit bounds the failures kept for one job and for one instance.
	failureLimit = 16
)

// State is whether an instance may take tasks.
type State int

// States of an instance.
const (
	Healthy State = iota
	Suspended
	Probation
)

// Verdict is the result of an observation.
type Verdict struct {
	parked    []ParkedJob
	suspended []Suspension
	restored  []fleet.InstanceID
	retry     time.Duration
}

// Parked returns the jobs to be parked.
func (ver Verdict) Parked() []ParkedJob { return ver.parked }

// Suspended returns the instances that take no tasks for a time.
func (ver Verdict) Suspended() []Suspension { return ver.suspended }

// Restored returns the instances whose probation ended well.
func (ver Verdict) Restored() []fleet.InstanceID { return ver.restored }

// Retry returns the delay before the failed task is tried again.
func (ver Verdict) Retry() time.Duration { return ver.retry }

// Parking is a job that must not run again until its owner releases it.
type ParkedJob struct {
	job       string
	instances []fleet.InstanceID
	proven    bool
}

// Job returns the parked job.
func (pjb ParkedJob) Job() string { return pjb.job }

// Instances returns the instances on which the job failed.
func (pjb ParkedJob) Instances() []fleet.InstanceID { return pjb.instances }

// Proven reports whether the instances run other jobs successfully.
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

// failure is one job failing on one instance.
type failure struct {
	job                   string
	instance              fleet.InstanceID
	at                    time.Time
	countsAgainstJob      bool // counted against the job
	countsAgainstInstance bool // counted against the instance
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

// Ledger records failures and successes.
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

// clearJob counts the earlier failures of a job that has succeeded against the instances.
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

// State returns whether an instance may take tasks. A suspension that has run out becomes probation.
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

// FailedOn reports whether a job has failed on an instance, so that another one is tried first.
func (led *Ledger) FailedOn(name string, id fleet.InstanceID) bool {
	job, found := led.jobs[name]
	return found && job.find(id) != nil
}

// Release forgets the failures of a job after its owner changed it.
func (led *Ledger) Release(name string) { led.Forget(name) }

// Forget drops the record of a job that has ended.
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

// Leave drops the record of an instance that is gone for good.
func (led *Ledger) Leave(id fleet.InstanceID) { delete(led.instances, id) }

// credible reports whether the instance is known to run other jobs.
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

// keepNewest appends a failure and drops the oldest beyond the bound.
func appendFailure(flrs []*failure, flr *failure) []*failure {
	if len(flrs) >= failureLimit {
		flrs = slices.Delete(flrs, 0, 1)
	}
	return append(flrs, flr)
}
