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
	edgeLimit = 16
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
func (prk ParkedJob) Job() string { return prk.job }

// Instances returns the instances on which the job failed.
func (prk ParkedJob) Instances() []fleet.InstanceID { return prk.instances }

// Proven reports whether the instances run other jobs successfully.
func (prk ParkedJob) Proven() bool { return prk.proven }

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
	job      string
	instance fleet.InstanceID
	at       time.Time
	onJob    bool // counted against the job
	onWorker bool // counted against the instance
}

type jobRecord struct {
	failures  []*failure
	attempts  int
	succeeded fleet.InstanceID
	parked    bool
}

type workerRecord struct {
	failures  []*failure
	succeeded string // job of the newest success
	at        time.Time
	row       int // distinct jobs that failed since the last success
	state     State
	until     time.Time
	period    time.Duration
	runs      int
}

// Ledger records failures and successes.
type Ledger struct {
	jobs    map[string]*jobRecord
	workers map[fleet.InstanceID]*workerRecord
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

func (led *Ledger) worker(id fleet.InstanceID) *workerRecord {
	if led.workers == nil {
		led.workers = make(map[fleet.InstanceID]*workerRecord)
	}
	wrk, found := led.workers[id]
	if !found {
		wrk = new(workerRecord)
		led.workers[id] = wrk
	}
	return wrk
}

// Failed records that a task of a job failed on an instance.
func (led *Ledger) Failed(name string, id fleet.InstanceID, now time.Time) Verdict {
	job, wrk := led.job(name), led.worker(id)
	job.attempts++
	ver := Verdict{retry: min(MaxRetry, MinRetry<<min(job.attempts-1, 10))}
	flr := job.find(id)
	if flr == nil {
		flr = &failure{job: name, instance: id}
		job.failures = keepNewest(job.failures, flr)
		wrk.failures = keepNewest(wrk.failures, flr)
		wrk.row++
	}
	flr.at = now
	flr.onWorker = flr.onWorker || (job.succeeded != "" && job.succeeded != id)
	flr.onJob = !flr.onWorker && (flr.onJob || wrk.credible(name, now))
	led.judgeWorker(id, wrk, now, &ver)
	led.judgeJob(name, job, &ver)
	return ver
}

// Succeeded records that a task of a job finished on an instance.
func (led *Ledger) Succeeded(name string, id fleet.InstanceID, now time.Time) Verdict {
	var ver Verdict
	wrk := led.worker(id)
	wrk.succeeded, wrk.at, wrk.row = name, now, 0
	for _, flr := range wrk.failures {
		job, found := led.jobs[flr.job]
		if found && flr.job != name && !flr.onWorker && now.Sub(flr.at) < EvidencePeriod {
			flr.onJob = true
			led.judgeJob(flr.job, job, &ver)
		}
	}
	led.clearJob(name, id, now, &ver)
	led.advanceProbation(id, wrk, &ver)
	return ver
}

// clearJob counts the earlier failures of a job that has succeeded against the instances.
func (led *Ledger) clearJob(name string, id fleet.InstanceID, now time.Time, ver *Verdict) {
	job := led.job(name)
	job.succeeded = id
	for _, flr := range job.failures {
		if flr.instance != id && now.Sub(flr.at) < EvidencePeriod {
			flr.onWorker, flr.onJob = true, false
			led.judgeWorker(flr.instance, led.worker(flr.instance), now, ver)
		}
	}
}

func (led *Ledger) advanceProbation(id fleet.InstanceID, wrk *workerRecord, ver *Verdict) {
	if wrk.state != Probation {
		return
	}
	wrk.runs++
	if wrk.runs < ProbationRuns {
		return
	}
	wrk.state, wrk.runs = Healthy, 0
	wrk.failures = nil
	ver.restored = append(ver.restored, id)
}

func (led *Ledger) judgeWorker(id fleet.InstanceID, wrk *workerRecord, now time.Time, ver *Verdict) {
	counted := 0
	for _, flr := range wrk.failures {
		if flr.onWorker && now.Sub(flr.at) < EvidencePeriod {
			counted++
		}
	}
	failedOnProbation := wrk.state == Probation && wrk.row > 0
	if wrk.state == Suspended || (counted < InstanceLimit && wrk.row < ConsecutiveLimit && !failedOnProbation) {
		return
	}
	wrk.period = min(MaxSuspension, max(MinSuspension, wrk.period*2))
	wrk.state, wrk.until, wrk.runs, wrk.row = Suspended, now.Add(wrk.period), 0, 0
	ver.suspended = append(ver.suspended, Suspension{instance: id, jobs: wrk.jobs(), period: wrk.period})
	// Failures on an instance at fault say nothing about the jobs.
	for _, flr := range wrk.failures {
		flr.onJob = false
	}
}

func (led *Ledger) judgeJob(name string, job *jobRecord, ver *Verdict) {
	counted := 0
	for _, flr := range job.failures {
		if flr.onJob {
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
	wrk, found := led.workers[id]
	if !found {
		return Healthy
	}
	if wrk.state == Suspended && !now.Before(wrk.until) {
		wrk.state, wrk.runs, wrk.row = Probation, 0, 0
	}
	return wrk.state
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
		wrk := led.worker(flr.instance)
		if !flr.onWorker {
			wrk.failures = slices.DeleteFunc(wrk.failures, func(oth *failure) bool { return oth == flr })
		}
	}
}

// Leave drops the record of an instance that is gone for good.
func (led *Ledger) Leave(id fleet.InstanceID) { delete(led.workers, id) }

// credible reports whether the instance is known to run other jobs.
func (wrk *workerRecord) credible(name string, now time.Time) bool {
	return wrk.state == Healthy && wrk.succeeded != "" && wrk.succeeded != name && now.Sub(wrk.at) < EvidencePeriod
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
		if flr.onJob || !proven {
			ids = append(ids, flr.instance)
		}
	}
	slices.Sort(ids)
	return ids
}

func (wrk *workerRecord) jobs() []string {
	var names []string
	for _, flr := range wrk.failures {
		names = append(names, flr.job)
	}
	slices.SortFunc(names, func(one, two string) int { return cmp.Or(strings.Compare(one, two)) })
	return slices.Compact(names)
}

// keepNewest appends a failure and drops the oldest beyond the bound.
func keepNewest(flrs []*failure, flr *failure) []*failure {
	if len(flrs) >= edgeLimit {
		flrs = slices.Delete(flrs, 0, 1)
	}
	return append(flrs, flr)
}
