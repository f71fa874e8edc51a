package dispatch

import (
	"math"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

const (
	// idleWeight is the evidence of one accepted offer beside an idle service. Two
	// trials of a class make it known, so one instance is not enough.
	idleWeight = 4
	// idleLimit is the evidence above which idle services add none, little above
	// what makes a class known, so that a few measurements outweigh it.
	idleLimit = 10
)

// Learned takes in the measured cost of running a class beside a service.
// Services that no instance has are ignored, which bounds the memory.
func (dsp *Dispatcher[P]) CostMeasured(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	if !dsp.sched.Knowledge().HasService(svc) || math.IsNaN(cost) {
		return
	}
	cost = max(-interfere.MaxExpectedCost, min(interfere.MaxExpectedCost, cost))
	dsp.sched.ObserveCost(svc, dsp.classes.bound(cls, classLimit), cost, weight, now)
}

// Idle notes that a class runs beside a service that gets next to no requests,
// so that it disturbs nobody there.
func (dsp *Dispatcher[P]) ServiceIdle(svc fleet.Service, cls fleet.JobClass, now time.Time) {
	cls = dsp.classes.bound(cls, classLimit)
	if dsp.sched.Knowledge().HasService(svc) && dsp.sched.Knowledge().Pairings().Find(svc, cls).Estimate().Weight() < idleLimit {
		dsp.sched.ObserveCost(svc, cls, 0, idleWeight, now)
	}
}

// terms returns the amounts to offer for a task and what is known of its class
// beside the service of the instance chosen.
func (dsp *Dispatcher[P]) terms(tsk job.Task) (size resource.Vector, cost, weight float64) {
	hol := dsp.holds[taskID(tsk.Ref())]
	if hol == nil {
		return tsk.Spec().Resources(), 0, 0
	}
	if svc := hol.view.hint.Service(); svc != "" {
		est := dsp.sched.Knowledge().Pairings().Find(svc, hol.class).Estimate()
		cost, weight = est.Cost(), est.Weight()
	}
	return hol.size, cost, weight
}

// resized takes in what the agent has committed to a task.
func (dsp *Dispatcher[P]) resized(id place.TaskID, size resource.Vector, now time.Time) {
	hol := dsp.holds[id]
	if hol == nil || !hol.accepted || !size.Valid() || hol.size == size || !size.FitsIn(hol.view.hint.Capacity()) {
		return
	}
	dsp.now = now
	if _, placed := dsp.sched.Resize(id, size); !placed {
		return
	}
	viw := hol.view
	viw.accepted = viw.accepted.Minus(hol.size).Plus(size)
	viw.centre.used += size.MilliCPU() - hol.size.MilliCPU()
	hol.size = size
	dsp.check(viw)
}

// floors remembers the memory that tasks have used which have to run again.
type floors struct {
	memory map[place.TaskID]int64
	order  tracked[place.TaskID]
}

func (flo *floors) of(id place.TaskID) resource.Vector { return resource.New(0, flo.memory[id], 0) }

// raise notes the use of an attempt that did not finish.
func (flo *floors) raise(id place.TaskID, memory int64) {
	if memory <= flo.memory[id] {
		return
	}
	if flo.memory == nil {
		flo.memory = make(map[place.TaskID]int64)
	}
	flo.memory[id] = memory
	flo.order.add(id, trackedLimit, func(old place.TaskID) bool {
		delete(flo.memory, old)
		return true
	})
}

func (flo *floors) drop(id place.TaskID) {
	if flo.order.remove(id) {
		delete(flo.memory, id)
	}
}
