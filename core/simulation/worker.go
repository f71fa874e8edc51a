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
	// measurePeriod is the time between two lists of a shared worker, which are as old as that.
	measurePeriod = 350 * time.Millisecond
	lastingStart  = 400 * time.Millisecond
	ownLoad       = 0.42 // mean load of a serving task, which swings by loadSwing of it in swingPeriod
	loadSwing     = 0.5
	swingPeriod   = 10 * time.Second
	emptyTail     = 4.0 // milliseconds, without load
	largestLoad   = 0.98
)

func jobName(num int) string      { return fmt.Sprintf("%016x", num) }
func servingImage(num int) string { return fmt.Sprintf("serving-%d", num) }
func fillingImage(num int) string { return fmt.Sprintf("filling-%d", num) }

// hashPart returns a number from 0 to 1 that depends on the words.
func hashPart(words ...string) float64 { return float64(hashOf(words...)%10_000) / 10_000 }

func hashOf(words ...string) uint64 {
	sum := fnv.New64a()
	for _, wrd := range words {
		_, _ = sum.Write([]byte(wrd)) // never fails
	}
	return sum.Sum64()
}

// effect is the load on a serving image by a filling one that uses a whole worker.
func (dep Deployment) effect(seed uint64, serving, filling string) float64 {
	key := fmt.Sprint(seed)
	if hashPart(key, serving, filling) >= dep.HeavyFraction {
		return 0.05
	}
	return dep.Interference * (0.3 + 0.7*hashPart(key, filling, serving))
}

// run is a task on a worker.
type run struct {
	order   batch.Order
	left    time.Duration // work
	took    time.Duration // whole work
	began   time.Duration
	percent int
	tail    float64
	used    float64 // mCPU
}

// worker is a worker with its agent.
type worker struct {
	number   int
	life     int
	centre   string
	capacity resource.Vector
	runs     map[batch.RunID]*run
	events   []batch.Event
	seq      uint64
	seen     uint64
	session  uint64
	pace     pacing.Controller
	down     time.Duration // the worker is down until then
	news     bool
	told     time.Duration
	measured time.Duration
}

// order returns the runs in a fixed order, so that a simulation repeats.
func (wrk *worker) order() []batch.RunID {
	return slices.SortedFunc(maps.Keys(wrk.runs), func(one, two batch.RunID) int {
		return cmp.Or(cmp.Compare(one.Task.Job, two.Task.Job), cmp.Compare(one.Task.Step, two.Task.Step),
			cmp.Compare(one.Task.Index, two.Task.Index), cmp.Compare(one.Run, two.Run))
	})
}

func (wrk *worker) id() fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("worker-%02d", wrk.number))
}

func (wrk *worker) present() batch.Incarnation {
	return batch.Incarnation(fmt.Sprintf("%d@%d", wrk.number, wrk.life))
}

func (wrk *worker) whole() float64 { return float64(wrk.capacity.MilliCPU()) }

func (wrk *worker) emit(rid batch.RunID, cause batch.EndCause) {
	wrk.seq++
	wrk.events = append(wrk.events, batch.Event{Seq: wrk.seq, ID: rid, Cause: cause})
	wrk.news = true
}

// crash ends the life of the worker.
func (wrk *worker) crash(until time.Duration) {
	wrk.life++
	wrk.session++
	wrk.down, wrk.runs, wrk.events = until, make(map[batch.RunID]*run), nil
	wrk.seq, wrk.seen, wrk.pace = 0, 0, pacing.Controller{}
}

func (wrk *worker) report() batch.Report {
	rep := batch.Report{
		Instance: wrk.id(), Session: wrk.session, Incarnation: wrk.present(), Service: serviceName,
		Location: fleet.NewLocation("region", fleet.DataCentre(wrk.centre), ""), Capacity: wrk.capacity, AckedOrders: wrk.seen, Events: wrk.events,
	}
	for _, rid := range wrk.order() {
		rn := wrk.runs[rid]
		sta := batch.RunState{ID: rid, Working: true, Percent: rn.percent, Figure: rn.tail, Share: pacing.FullShare}
		if rn.order.BestEffort {
			sta.Figure, sta.Share = rn.used, wrk.pace.Share()
		}
		rep.Runs = append(rep.Runs, sta)
	}
	return rep
}

// take applies the orders of the owner. Like a real worker it starts what it is told, and
// the agent refuses what does not fit.
func (wrk *worker) take(out batch.Outbox, now time.Duration, took func(batch.RunID) time.Duration) {
	for len(wrk.events) > 0 && wrk.events[0].Seq <= out.Acked {
		wrk.events = wrk.events[1:]
	}
	for _, ord := range out.Orders {
		if ord.Seq <= wrk.seen {
			continue
		}
		wrk.seen = ord.Seq
		switch {
		case ord.Kind == batch.StopRun && wrk.runs[ord.ID] != nil:
			delete(wrk.runs, ord.ID)
			wrk.emit(ord.ID, batch.EndStopped)
		case ord.Kind == batch.StartRun && !wrk.used().Plus(ord.Need).FitsIn(wrk.capacity):
			wrk.emit(ord.ID, batch.EndRefused)
		case ord.Kind == batch.StartRun:
			wrk.runs[ord.ID] = &run{order: ord, left: took(ord.ID), took: took(ord.ID), began: now}
			wrk.news = true
		}
	}
}

func (wrk *worker) used() resource.Vector {
	var sum resource.Vector
	for _, rn := range wrk.runs {
		sum = sum.Plus(rn.order.Need)
	}
	return sum
}

// work does the work of a step of time.
func (wrk *worker) work(dep Deployment, seed uint64, now time.Duration) {
	use := wrk.share()
	for _, rid := range wrk.order() {
		rn := wrk.runs[rid]
		switch {
		case rn.order.Target > 0:
			rn.tail = emptyTail / (1 - min(largestLoad, wrk.load(dep, seed, rid, rn, use, now)))
			fallthrough
		case rn.order.LongRunning:
			rn.percent = int(min(100, 100*(now-rn.began)/lastingStart))
			continue
		}
		speed := 1.0
		if rn.order.BestEffort {
			speed = rn.used / float64(max(1, rn.order.MilliCPU))
		}
		if rn.left -= time.Duration(speed * float64(Step)); rn.left <= 0 {
			delete(wrk.runs, rid)
			wrk.emit(rid, batch.EndDone)
			continue
		}
		rn.percent = int(100 * (rn.took - rn.left) / max(1, rn.took))
	}
	if now-wrk.measured >= measurePeriod {
		wrk.measured = now
		wrk.pace.Observe(batch.InterferenceSample(wrk.capacity.MilliCPU(), func(visit func(batch.Order, float64)) {
			for _, rid := range wrk.order() {
				visit(wrk.runs[rid].order, max(wrk.runs[rid].tail, wrk.runs[rid].used))
			}
		}), start.Add(now))
	}
}

// share gives the filling tasks the processors that the others leave, and returns what each image uses.
func (wrk *worker) share() map[string]float64 {
	idle, wanted := wrk.whole(), 0.0
	for _, rn := range wrk.runs {
		switch {
		case rn.order.BestEffort:
			wanted += float64(rn.order.MilliCPU)
		case rn.order.LongRunning:
			idle -= ownLoad * float64(rn.order.MilliCPU)
		default:
			idle -= float64(rn.order.MilliCPU)
		}
	}
	part := min(1, max(0, idle)/max(1, wanted)) * float64(wrk.pace.Share()) / 100
	use := make(map[string]float64)
	for _, rid := range wrk.order() {
		if rn := wrk.runs[rid]; rn.order.BestEffort {
			rn.used = part * float64(rn.order.MilliCPU)
			use[rn.order.Image] += rn.used / wrk.whole()
		}
	}
	return use
}

func (wrk *worker) load(dep Deployment, seed uint64, rid batch.RunID, rn *run, use map[string]float64, now time.Duration) float64 {
	phase := 2 * math.Pi * (hashPart(rid.Task.String()) + now.Seconds()/swingPeriod.Seconds())
	load := ownLoad * (1 + loadSwing*math.Sin(phase))
	for _, img := range slices.Sorted(maps.Keys(use)) {
		load += dep.effect(seed, rn.order.Image, img) * use[img]
	}
	return load
}
