package simulation

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

const (
	serviceName  = "service"
	reportPeriod = 500 * time.Millisecond
	// measurePeriod is the period of the latency measurements of a worker, and thus also their age.
	measurePeriod        = 350 * time.Millisecond
	longRunningStartTime = 400 * time.Millisecond
	servingLoad          = 0.42 // mean load of a long-running task by its own requests
	// loadSwing is the amplitude of that load as a fraction of the mean, with a period of swingPeriod.
	loadSwing      = 0.5
	swingPeriod    = 10 * time.Second
	idleTailMillis = 4.0 // tail latency without load
	maxLoad        = 0.98
)

func jobName(num int) string          { return fmt.Sprintf("%016x", num) }
func longRunningImage(num int) string { return fmt.Sprintf("serving-%d", num) }
func bestEffortImage(num int) string  { return fmt.Sprintf("filling-%d", num) }

// hashFraction returns a number from 0 up to 1 that depends only on the words.
func hashFraction(words ...string) float64 { return float64(hashOf(words...)%10_000) / 10_000 }

func hashOf(words ...string) uint64 {
	sum := fnv.New64a()
	for _, wrd := range words {
		_, _ = sum.Write([]byte(wrd)) // never fails
	}
	return sum.Sum64()
}

// interference returns the load on a long-running image by a best-effort one that uses a whole
// worker.
func (dep Deployment) interference(seed uint64, longRunning, bestEffort string) float64 {
	key := fmt.Sprint(seed)
	if hashFraction(key, longRunning, bestEffort) >= dep.HeavyFraction {
		return 0.05
	}
	return dep.Interference * (0.3 + 0.7*hashFraction(key, bestEffort, longRunning))
}

// run is a run of a task on a worker.
type run struct {
	order        batch.Order
	remaining    time.Duration // at full speed
	duration     time.Duration // at full speed
	startedAt    time.Duration
	percent      int
	tailMillis   float64
	usedMilliCPU float64
	unstopped    bool // counted as such
}

// worker is a simulated worker with its agent.
type worker struct {
	number        int
	restarts      int
	dataCentre    string
	capacity      resource.Vector
	runs          map[batch.RunID]*run
	events        []batch.Event
	seq           uint64
	seenOrder     uint64
	session       uint64
	pacer         pacing.Controller
	downUntil     time.Duration // end of the last crash
	reportPending bool
	queued        bool          // a report waits for the owner
	queuedAt      time.Duration // since then
	grantedUntil  time.Duration // by the owner; the runs end then
	lapsed        int           // runs that ended because their lease expired
	reportedAt    time.Duration
	measuredAt    time.Duration
}

// runIDs returns the runs in a fixed order, so that simulations are reproducible.
func (wrk *worker) runIDs() []batch.RunID {
	return slices.SortedFunc(maps.Keys(wrk.runs), func(one, two batch.RunID) int {
		return cmp.Or(cmp.Compare(one.Task.Job, two.Task.Job), cmp.Compare(one.Task.Step, two.Task.Step),
			cmp.Compare(one.Task.Index, two.Task.Index), cmp.Compare(one.Run, two.Run))
	})
}

func (wrk *worker) id() fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("worker-%02d", wrk.number))
}

func (wrk *worker) incarnation() batch.Incarnation {
	return batch.Incarnation(fmt.Sprintf("%d@%d", wrk.number, wrk.restarts))
}

func (wrk *worker) milliCPU() float64 { return float64(wrk.capacity.MilliCPU()) }

func (wrk *worker) addEvent(evt batch.Event) {
	wrk.seq++
	evt.Seq = wrk.seq
	wrk.events = append(wrk.events, evt)
	wrk.reportPending = true
}

// crash ends all runs and stops the worker and its agent until a time.
func (wrk *worker) crash(until time.Duration) {
	wrk.restarts++
	wrk.session++
	wrk.downUntil, wrk.runs, wrk.events = until, make(map[batch.RunID]*run), nil
	wrk.seq, wrk.seenOrder, wrk.pacer = 0, 0, pacing.Controller{}
}

// expireLease ends the runs when the owner has granted no more time.
func (wrk *worker) expireLease(now time.Duration) {
	if len(wrk.runs) == 0 || now < wrk.grantedUntil {
		return
	}
	for _, rid := range wrk.runIDs() {
		delete(wrk.runs, rid)
		wrk.addEvent(batch.Event{ID: rid, Cause: batch.EndLeaseExpired})
		wrk.lapsed++
	}
}

func (wrk *worker) report() batch.Report {
	rep := batch.Report{
		Instance: wrk.id(), Session: wrk.session, Incarnation: wrk.incarnation(), Service: serviceName,
		Location: fleet.NewLocation("region", fleet.DataCentre(wrk.dataCentre), ""), Capacity: wrk.capacity, AckedOrders: wrk.seenOrder, Events: wrk.events,
	}
	for _, rid := range wrk.runIDs() {
		rn := wrk.runs[rid]
		sta := batch.RunState{ID: rid, Working: true, Percent: rn.percent, Figure: rn.tailMillis, Share: pacing.FullShare}
		if rn.order.BestEffort {
			sta.Figure, sta.Share = rn.usedMilliCPU, wrk.pacer.Share()
		}
		rep.Runs = append(rep.Runs, sta)
	}
	return rep
}

// applyOrders applies the orders of the owner. As on a real worker, the agent refuses runs that do
// not fit into the capacity, and all others start. duration returns how long a run takes.
func (wrk *worker) applyOrders(out batch.Outbox, now time.Duration, duration func(batch.RunID) time.Duration) {
	for len(wrk.events) > 0 && wrk.events[0].Seq <= out.Acked {
		wrk.events = wrk.events[1:]
	}
	for _, ord := range out.Orders {
		if ord.Seq <= wrk.seenOrder {
			continue
		}
		wrk.seenOrder = ord.Seq
		switch {
		case ord.Kind == batch.StopRun && wrk.runs[ord.ID] != nil:
			delete(wrk.runs, ord.ID)
			wrk.addEvent(batch.Event{ID: ord.ID, Cause: batch.EndStopped})
		case ord.Kind == batch.StartRun && !wrk.reserved().Plus(ord.Need).FitsIn(wrk.capacity):
			wrk.addEvent(batch.Event{ID: ord.ID, Cause: batch.EndRefused})
		case ord.Kind == batch.StartRun:
			wrk.runs[ord.ID] = &run{order: ord, remaining: duration(ord.ID), duration: duration(ord.ID), startedAt: now}
			wrk.reportPending = true
		}
	}
}

func (wrk *worker) reserved() resource.Vector {
	var sum resource.Vector
	for _, rn := range wrk.runs {
		sum = sum.Plus(rn.order.Need)
	}
	return sum
}

// advance runs the tasks for one step and measures their latency.
func (wrk *worker) advance(dep Deployment, seed uint64, now time.Duration) {
	use := wrk.distributeCPU()
	for _, rid := range wrk.runIDs() {
		rn := wrk.runs[rid]
		switch {
		case rn.order.Target > 0:
			rn.tailMillis = idleTailMillis / (1 - min(maxLoad, wrk.load(dep, seed, rid, rn, use, now)))
			fallthrough
		case rn.order.LongRunning:
			rn.percent = int(min(100, 100*(now-rn.startedAt)/longRunningStartTime))
			continue
		}
		speed := 1.0
		if rn.order.BestEffort {
			speed = rn.usedMilliCPU / float64(max(1, rn.order.MilliCPU))
		}
		if rn.remaining -= time.Duration(speed * float64(Step)); rn.remaining <= 0 {
			delete(wrk.runs, rid)
			wrk.addEvent(batch.Event{ID: rid, Cause: batch.EndDone, Took: now - rn.startedAt})
			continue
		}
		rn.percent = int(100 * (rn.duration - rn.remaining) / max(1, rn.duration))
	}
	if now-wrk.measuredAt >= measurePeriod {
		wrk.measuredAt = now
		wrk.pacer.Observe(batch.InterferenceSample(wrk.capacity.MilliCPU(), func(visit func(batch.Order, float64)) {
			for _, rid := range wrk.runIDs() {
				visit(wrk.runs[rid].order, max(wrk.runs[rid].tailMillis, wrk.runs[rid].usedMilliCPU))
			}
		}), start.Add(now))
	}
}

// distributeCPU gives the best-effort runs the processors that the others leave, limited by the
// pacer, and returns the fraction of the worker that each image uses.
func (wrk *worker) distributeCPU() map[string]float64 {
	idle, wanted := wrk.milliCPU(), 0.0
	for _, rn := range wrk.runs {
		switch {
		case rn.order.BestEffort:
			wanted += float64(rn.order.MilliCPU)
		case rn.order.LongRunning:
			idle -= servingLoad * float64(rn.order.MilliCPU)
		default:
			idle -= float64(rn.order.MilliCPU)
		}
	}
	part := min(1, max(0, idle)/max(1, wanted)) * float64(wrk.pacer.Share()) / 100
	use := make(map[string]float64)
	for _, rid := range wrk.runIDs() {
		if rn := wrk.runs[rid]; rn.order.BestEffort {
			rn.usedMilliCPU = part * float64(rn.order.MilliCPU)
			use[rn.order.Image] += rn.usedMilliCPU / wrk.milliCPU()
		}
	}
	return use
}

func (wrk *worker) load(dep Deployment, seed uint64, rid batch.RunID, rn *run, use map[string]float64, now time.Duration) float64 {
	phase := 2 * math.Pi * (hashFraction(rid.Task.String()) + now.Seconds()/swingPeriod.Seconds())
	load := servingLoad * (1 + loadSwing*math.Sin(phase))
	for _, img := range slices.Sorted(maps.Keys(use)) {
		load += dep.interference(seed, rn.order.Image, img) * use[img]
	}
	return load
}
