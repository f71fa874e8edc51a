package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

var start = time.UnixMilli(1_700_000_000_000)

const (
	tickPeriod    = 100 * time.Millisecond
	refusalPeriod = 300 * time.Millisecond // period of the decisions which queues refuse jobs
	lostAfter     = 7 * time.Second
	batchSize     = 70
	// drainTimeout limits how long a run continues after the end of the pattern. It is twice the
	// duration of the longest jobs.
	drainTimeout = time.Minute
	// reportTimeout is how long an agent waits for the answer to a report, grantDuration how long the
	// answer lets it renew the lease of its worker.
	reportTimeout = 700 * time.Millisecond
	grantDuration = 6500 * time.Millisecond
)

// job is an arrival with its state.
type job struct {
	arrival
	spec         workload.Job
	accepted     bool
	acceptedAt   time.Duration
	refusals     int
	startedAt    time.Duration
	endedAt      time.Duration
	servedTime   time.Duration // task time of a long-running job within its latency target
	expectedTime time.Duration // task time of a long-running job since it was accepted
	credit       credit
	started      bool
	cancelAfter  time.Duration // from its acceptance to its cancellation, or zero
	cancelled    bool          // the cancellation is stored
	final        bool          // the cancellation or the end is stored
	finalAt      time.Duration
	unstopped    int // runs that worked longer than stopLimit after that
}

// Run is the simulation of a pattern on a deployment with the policies under test.
type Run[O batch.Ordering, P batch.Placement, A admission.Policy] struct {
	deployment  Deployment
	pattern     Pattern
	seed        uint64
	order       O
	placement   P
	scheduler   *batch.Scheduler[O, P]
	stored      table
	excluded    map[fleet.DataCentre]bool
	policy      A
	workers     []*worker
	jobs        map[string]*job
	arrivals    []*job
	upcoming    []*job                   // jobs to be submitted, ordered by time
	refusals    map[string]time.Duration // retry delays of the queues that refuse jobs
	now         time.Duration
	tickedAt    time.Duration
	busyUntil   time.Duration // when the owner has finished its last decisions
	longestWait time.Duration // of a report for the owner
	inbox       []*worker     // with a report that waits for the owner
	reports     int           // applied since the last decisions
}

// New returns a run. The load depends on the seed, not on the policies.
func New[O batch.Ordering, P batch.Placement, A admission.Policy](dep Deployment, pat Pattern, seed uint64, ord O, pla P, pol A) *Run[O, P, A] {
	rn := &Run[O, P, A]{
		deployment: dep, pattern: pat, seed: seed, order: ord, placement: pla, policy: pol,
		stored: table{records: make(map[string]batch.JobRecord)}, jobs: make(map[string]*job),
	}
	rn.scheduler = rn.newOwner(start)
	for num := range dep.Workers {
		rn.workers = append(rn.workers, &worker{
			number: num, session: 1, dataCentre: dep.DataCentres[num%len(dep.DataCentres)],
			capacity: resource.New(dep.MilliCPU, dep.MemoryMB, 0), runs: make(map[batch.RunID]*run),
		})
	}
	for _, arr := range pat.arrivals(dep, rand.New(rand.NewPCG(seed, 1))) {
		jb := &job{arrival: arr}
		rn.jobs[arr.params.ID] = jb
		rn.arrivals = append(rn.arrivals, jb)
		rn.upcoming = append(rn.upcoming, jb)
	}
	pat.drawCancellations(dep, rn.arrivals, rand.New(rand.NewPCG(seed, 2)))
	return rn
}

func (rn *Run[O, P, A]) newOwner(now time.Time) *batch.Scheduler[O, P] {
	return batch.New(rn.order, rn.placement, batch.Options{LostAfter: lostAfter, RemoteFactor: 1}, now)
}

// Run runs the simulation to its end and returns the results of the jobs.
func (rn *Run[O, P, A]) Run() Result {
	for rn.now = 0; rn.now < rn.pattern.Duration || rn.now < rn.pattern.Duration+drainTimeout && rn.unfinished(); rn.now += Step {
		rn.injectFaults()
		rn.submitDue()
		for _, wrk := range rn.workers {
			if rn.now >= wrk.downUntil {
				wrk.advance(rn.deployment, rn.seed, rn.now)
				wrk.expireLease(rn.now)
				rn.send(wrk)
			}
		}
		rn.cancelDue() // between the exchanges and the commit, so that a takeover can fall between commit and stop
		rn.stepOwner()
		rn.countServingTime()
		rn.countUnstopped()
	}
	return rn.results()
}

// unfinished reports whether a job that is not long-running still has to be submitted or completed.
func (rn *Run[O, P, A]) unfinished() bool {
	return len(rn.upcoming) > 0 || slices.ContainsFunc(rn.arrivals, func(jb *job) bool {
		return jb.accepted && jb.endedAt == 0 && !jb.cancelled && !rn.deployment.Classes[jb.class].LongRunning
	})
}

func due(at, now time.Duration) bool { return now >= at && now < at+Step }

func (rn *Run[O, P, A]) injectFaults() {
	for _, crs := range rn.pattern.Crashes {
		if due(crs.At, rn.now) {
			for num := range min(crs.Workers, len(rn.workers)) {
				rn.workers[num].crash(rn.now + crs.Downtime)
			}
		}
	}
	for _, out := range rn.pattern.Outages {
		switch {
		case due(out.At, rn.now):
			rn.exclude(map[fleet.DataCentre]bool{fleet.DataCentre(rn.deployment.DataCentres[0]): true})
		case due(out.At+out.Duration, rn.now):
			rn.exclude(nil)
		}
	}
	for _, tko := range rn.pattern.Takeovers {
		if due(tko.At, rn.now) {
			rn.takeOver()
		}
	}
}

func (rn *Run[O, P, A]) exclude(dcs map[fleet.DataCentre]bool) {
	rn.excluded = dcs
	rn.scheduler.SetExcluded(dcs)
}

// submitDue submits the jobs that are due. Callers retry refused jobs after the time that the
// refusal names, at most Class.Retries times.
func (rn *Run[O, P, A]) submitDue() {
	for len(rn.upcoming) > 0 && rn.upcoming[0].at <= rn.now {
		jb := rn.upcoming[0]
		rn.upcoming = rn.upcoming[1:]
		if after, refuse := rn.refusals[jb.params.Queue]; refuse {
			rn.refuse(jb, after)
			continue
		}
		spec, err := workload.New(jb.params)
		if err != nil {
			panic("simulation: " + err.Error())
		}
		jb.spec, jb.accepted, jb.acceptedAt = spec, true, rn.now
		rn.scheduler.Submit(spec, start.Add(rn.now))
	}
}

func (rn *Run[O, P, A]) refuse(jb *job, after time.Duration) {
	jb.refusals++
	if jb.retries++; jb.retries > rn.deployment.Classes[jb.class].Retries {
		return
	}
	jb.at = rn.now + admission.Jitter(after, jb.params.ID)
	pos, _ := slices.BinarySearchFunc(rn.upcoming, jb.at, func(oth *job, at time.Duration) int { return int(oth.at - at) })
	rn.upcoming = slices.Insert(rn.upcoming, pos, jb)
}

// send sends a report of an agent, if an event is pending or the period is over, and applies the orders of
// the owner. A report waits while the owner is busy. It does nothing while the owner is cut off.
func (rn *Run[O, P, A]) send(wrk *worker) {
	if rn.cutOff() {
		return
	}
	if wrk.reportPending || rn.now-wrk.reportedAt >= reportPeriod || rn.now == 0 {
		wrk.reportPending, wrk.reportedAt = false, rn.now
		switch {
		case rn.now >= rn.busyUntil:
			rn.applyReport(wrk, 0)
		case !wrk.queued:
			wrk.queued, wrk.queuedAt = true, rn.now
			rn.inbox = append(rn.inbox, wrk)
		}
	}
	if rn.now >= rn.busyUntil {
		rn.deliver(wrk)
	}
}

// receive applies the reports that have waited.
func (rn *Run[O, P, A]) receive() {
	for _, wrk := range rn.inbox {
		wrk.queued = false
		if rn.now >= wrk.downUntil {
			rn.applyReport(wrk, rn.now-wrk.queuedAt)
		}
	}
	rn.inbox = rn.inbox[:0]
}

// applyReport applies a report that has waited for some time. The agent has given up one that has waited for
// longer than reportTimeout, so it renews no lease.
func (rn *Run[O, P, A]) applyReport(wrk *worker, waited time.Duration) {
	rn.reports++
	rn.longestWait = max(rn.longestWait, waited)
	rn.scheduler.ApplyReport(wrk.report(), start.Add(rn.now))
	if waited < reportTimeout {
		wrk.grantedUntil = rn.now - waited + grantDuration
	}
}

// deliver applies the orders of the owner.
func (rn *Run[O, P, A]) deliver(wrk *worker) {
	out, known := rn.scheduler.Outbox(wrk.id(), wrk.session, wrk.seenOrder)
	if !known {
		return
	}
	wrk.applyOrders(out, rn.now, func(rid batch.RunID) time.Duration { return rn.jobs[rid.Task.Job].durations[rid.Task.Step] })
}

// stepOwner runs the owner for a step, unless it is still busy: it applies reports, plans and commits the
// next transaction.
func (rn *Run[O, P, A]) stepOwner() {
	if rn.now < rn.busyUntil {
		return
	}
	now := start.Add(rn.now)
	rn.receive()
	if rn.now-rn.tickedAt >= tickPeriod || rn.now == 0 {
		rn.tickedAt = rn.now
		rn.scheduler.Tick(now, now)
	}
	defer func() {
		rn.busyUntil = rn.now + rn.deployment.decisionTime(rn.scheduler.Work(), rn.reports)
		rn.reports = 0
	}()
	rn.scheduler.Plan(now)
	rn.store()
	rn.scheduler.Ordered()
	rn.scheduler.Stored()
	for _, nte := range rn.scheduler.Notes() {
		rn.applyNote(nte)
	}
	if rn.now%refusalPeriod < Step {
		rn.refusals = admission.Refusals(rn.policy, rn.scheduler.Forecasts(now))
	}
}
