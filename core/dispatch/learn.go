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
	// idleEvidence is the weight of one accepted offer beside an idle service. A class
	// becomes known with two of them, so one instance is not enough.
	idleEvidence = 4
	// idleEvidenceLimit is the weight from which idle services add no evidence. It is
	// slightly more than makes a class known, so that a few measurements outweigh it.
	idleEvidenceLimit = 10
)

// CostMeasured records the measured cost of running a class beside a service. It
// ignores services that no instance has, which bounds the memory used.
func (dsp *Dispatcher[P]) CostMeasured(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time) {
	if !dsp.sched.Knowledge().HasService(svc) || math.IsNaN(cost) {
		return
	}
	cost = max(-interfere.MaxExpectedCost, min(interfere.MaxExpectedCost, cost))
	dsp.sched.ObserveCost(svc, dsp.classes.canonical(cls, classLimit), cost, weight, now)
}

// ServiceIdle records that a class runs beside a service that gets almost no
// requests, as weak evidence that the class is harmless there.
func (dsp *Dispatcher[P]) ServiceIdle(svc fleet.Service, cls fleet.JobClass, now time.Time) {
	cls = dsp.classes.canonical(cls, classLimit)
	if dsp.sched.Knowledge().HasService(svc) && dsp.sched.Knowledge().Pairings().Find(svc, cls).Estimate().Weight() < idleEvidenceLimit {
		dsp.sched.ObserveCost(svc, cls, 0, idleEvidence, now)
	}
}

// terms implements Placement.Terms.
func (dsp *Dispatcher[P]) terms(tsk job.Task) (size resource.Vector, cost, weight float64) {
	com := dsp.commitments[taskID(tsk.Ref())]
	if com == nil {
		return tsk.Spec().Resources(), 0, 0
	}
	if svc := com.view.hint.Service(); svc != "" {
		est := dsp.sched.Knowledge().Pairings().Find(svc, com.class).Estimate()
		cost, weight = est.Cost(), est.Weight()
	}
	return com.size, cost, weight
}

// resized records what the agent has committed to a task.
func (dsp *Dispatcher[P]) resized(id place.TaskID, size resource.Vector, now time.Time) {
	com := dsp.commitments[id]
	if com == nil || !com.accepted || !size.Valid() || com.size == size || !size.FitsIn(com.view.hint.Capacity()) {
		return
	}
	dsp.now = now
	if _, placed := dsp.sched.Resize(id, size); !placed {
		return
	}
	viw := com.view
	viw.accepted = viw.accepted.Minus(com.size).Plus(size)
	viw.centre.committed += size.MilliCPU() - com.size.MilliCPU()
	com.size = size
	dsp.check(viw)
}

// memoryFloors holds the peak memory of tasks whose last attempt did not finish. The
// next attempt is offered at least that much.
type memoryFloors struct {
	memory map[place.TaskID]int64
	order  boundedSet[place.TaskID]
}

func (flo *memoryFloors) of(id place.TaskID) resource.Vector {
	return resource.New(0, flo.memory[id], 0)
}

// raise records the peak memory of an attempt that did not finish.
func (flo *memoryFloors) raise(id place.TaskID, memory int64) {
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

func (flo *memoryFloors) drop(id place.TaskID) {
	if flo.order.remove(id) {
		delete(flo.memory, id)
	}
}
