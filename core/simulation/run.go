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
	tickPeriod = 100 * time.Millisecond
	loadPeriod = 300 * time.Millisecond // between two looks at the refusals
	lostAfter  = 7 * time.Second
	batchSize  = 70
	// drainFor is how long a run goes on at most after the last job was handed in: the longest jobs take half of it.
	drainFor = time.Minute
)

// job is a job with what became of it.
type job struct {
	arrival
	handed    bool
	refused   int
	begun     time.Duration
	ended     time.Duration
	served    time.Duration // task time of a lasting job at work and within its target
	owed      time.Duration
	everBegun bool
}

// Run is one simulation with the policies under test.
type Run[O batch.Ordering, P batch.Placement, A admission.Policy] struct {
	deployment Deployment
	pattern    Pattern
	seed       uint64
	scheduler  *batch.Scheduler[O, P]
	policy     A
	workers    []*worker
	jobs       map[string]*job
	order      []*job
	waiting    []*job // to be handed in, in the order of time
	refusals   map[string]time.Duration
	now        time.Duration
}

// New returns a run. The same seed gives the same load to any policies.
func New[O batch.Ordering, P batch.Placement, A admission.Policy](dep Deployment, pat Pattern, seed uint64, ord O, pla P, pol A) *Run[O, P, A] {
	opt := batch.Options{LostAfter: lostAfter, RemoteFactor: 1}
	rn := &Run[O, P, A]{
		deployment: dep, pattern: pat, seed: seed, policy: pol,
		scheduler: batch.New(ord, pla, opt, start), jobs: make(map[string]*job),
	}
	for num := range dep.Workers {
		rn.workers = append(rn.workers, &worker{
			number: num, session: 1, centre: dep.DataCentres[num%len(dep.DataCentres)],
			capacity: resource.New(dep.MilliCPU, dep.MemoryMB, 0), runs: make(map[batch.RunID]*run),
		})
	}
	for _, arr := range pat.arrivals(dep, rand.New(rand.NewPCG(seed, 1))) {
		jb := &job{arrival: arr}
		rn.jobs[arr.params.ID] = jb
		rn.order = append(rn.order, jb)
		rn.waiting = append(rn.waiting, jb)
	}
	return rn
}

// Play runs the simulation to its end and returns what became of the jobs.
func (rn *Run[O, P, A]) Run() Result {
	for rn.now = 0; rn.now < rn.pattern.Duration || rn.now < rn.pattern.Duration+drainFor && rn.unfinished(); rn.now += Step {
		rn.faults()
		rn.handIn()
		for _, wrk := range rn.workers {
			if rn.now >= wrk.down {
				wrk.work(rn.deployment, rn.seed, rn.now)
				rn.exchange(wrk)
			}
		}
		rn.own()
		rn.credit()
	}
	return rn.result()
}

// unfinished reports whether a job that ends by itself has not ended.
func (rn *Run[O, P, A]) unfinished() bool {
	return len(rn.waiting) > 0 || slices.ContainsFunc(rn.order, func(jb *job) bool {
		return jb.handed && jb.ended == 0 && !rn.deployment.Classes[jb.class].LongRunning
	})
}

func due(at, now time.Duration) bool { return now >= at && now < at+Step }

func (rn *Run[O, P, A]) faults() {
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
			rn.scheduler.SetExcluded(map[fleet.DataCentre]bool{fleet.DataCentre(rn.deployment.DataCentres[0]): true})
		case due(out.At+out.Duration, rn.now):
			rn.scheduler.SetExcluded(nil)
		}
	}
}

// handIn hands in the jobs that are due. A refused caller comes back as it was told, a few times.
func (rn *Run[O, P, A]) handIn() {
	for len(rn.waiting) > 0 && rn.waiting[0].at <= rn.now {
		jb := rn.waiting[0]
		rn.waiting = rn.waiting[1:]
		if after, refuse := rn.refusals[jb.params.Queue]; refuse {
			rn.refuse(jb, after)
			continue
		}
		spec, err := workload.New(jb.params)
		if err != nil {
			panic("simulation: " + err.Error())
		}
		jb.handed = true
		rn.scheduler.Submit(spec, start.Add(rn.now))
	}
}

func (rn *Run[O, P, A]) refuse(jb *job, after time.Duration) {
	jb.refused++
	if jb.tries++; jb.tries > rn.deployment.Classes[jb.class].Retries {
		return
	}
	jb.at = rn.now + admission.Jitter(after, jb.params.ID)
	pos, _ := slices.BinarySearchFunc(rn.waiting, jb.at, func(oth *job, at time.Duration) int { return int(oth.at - at) })
	rn.waiting = slices.Insert(rn.waiting, pos, jb)
}

// exchange lets an agent report, at news or now and then, and take its orders.
func (rn *Run[O, P, A]) exchange(wrk *worker) {
	if wrk.news || rn.now-wrk.told >= reportPeriod || rn.now == 0 {
		wrk.news, wrk.told = false, rn.now
		rn.scheduler.ApplyReport(wrk.report(), start.Add(rn.now))
	}
	out, known := rn.scheduler.Outbox(wrk.id(), wrk.session, wrk.seen)
	if !known {
		return
	}
	wrk.take(out, rn.now, func(rid batch.RunID) time.Duration { return rn.jobs[rid.Task.Job].durations[rid.Task.Step] })
}

// own does what the owner does in a step: it plans, and what it stored a step ago takes effect.
func (rn *Run[O, P, A]) own() {
	now := start.Add(rn.now)
	if rn.now%tickPeriod == 0 {
		rn.scheduler.Tick(now, now)
	}
	rn.scheduler.Plan(now)
	rn.scheduler.Committed(rn.scheduler.NextBatch(batchSize), now)
	rn.scheduler.Changed()
	for _, nte := range rn.scheduler.Notes() {
		rn.note(nte)
	}
	if rn.now%loadPeriod < Step {
		rn.refusals = admission.Refusals(rn.policy, rn.scheduler.Forecasts(now))
	}
}
