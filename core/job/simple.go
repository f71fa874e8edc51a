package job

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Rules of the built-in placement.
const (
	// refusalPause is the time after a refusal in which an instance receives no further offers.
	refusalPause = 500 * time.Millisecond
	// reportLifetime is how long a report of free resources is used. Without a limit, an instance that
	// other owners have filled would never be offered a task again.
	reportLifetime = 2 * time.Second
	// maxFailures is the number of failed assignments after which a task is parked.
	maxFailures = 5
	// retryDelay is the delay for each failure of the task so far.
	retryDelay = time.Second
)

// Lanes of the built-in placement.
const (
	laneUrgent Lane = "a-urgent"
	laneNormal Lane = "b-normal"
)

// SimplePlacement is the built-in placement. It serves urgent tasks first, chooses the least loaded
// instance that fits and has not refused within refusalPause, and parks a task after maxFailures
// failures. The zero value is ready to use.
type SimplePlacement struct {
	instances []instanceView
	byID      map[fleet.InstanceID]int
	largest   resource.Vector
}

var _ Placement = (*SimplePlacement)(nil)

// instanceView is what the placement knows about an instance.
type instanceView struct {
	instance    Instance
	committed   resource.Vector // offers and assignments of this owner
	free        resource.Vector // as last reported, less what was committed since then
	freeAt      time.Time       // of the last report
	tasks       int
	pausedUntil time.Time
}

// Observe implements Placement.
func (sim *SimplePlacement) Observe(list []Instance, _ time.Time) {
	instances := make([]instanceView, 0, len(list))
	byID := make(map[fleet.InstanceID]int, len(list))
	sim.largest = resource.Vector{}
	for _, ins := range list {
		viw := instanceView{instance: ins}
		if pos, known := sim.byID[ins.ID()]; known {
			viw = sim.instances[pos]
			viw.instance = ins
		}
		byID[ins.ID()] = len(instances)
		instances = append(instances, viw)
		sim.largest = sim.largest.Max(ins.capacity)
	}
	sim.instances, sim.byID = instances, byID
}

// Admits implements Placement. While no instance is known, every size is admitted.
func (sim *SimplePlacement) Admits(spc Spec) (bool, resource.Vector) {
	if len(sim.instances) == 0 {
		return true, resource.Vector{}
	}
	fits := slices.ContainsFunc(sim.instances, func(viw instanceView) bool { return spc.Resources().FitsIn(viw.instance.capacity) })
	return fits, sim.largest
}

// Lane implements Placement.
func (*SimplePlacement) Lane(spc Spec) Lane {
	if spc.urgent {
		return laneUrgent
	}
	return laneNormal
}

// RunTime implements Placement. Run times are unknown.
func (*SimplePlacement) RunTime(Spec) time.Duration { return 0 }

// CompareLanes implements Placement.
func (*SimplePlacement) CompareLanes(one, two Lane) int {
	return strings.Compare(string(one), string(two))
}

// Choose implements Placement.
func (sim *SimplePlacement) Choose(tsk Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool) {
	best, bestLoad := -1, int64(0)
	first := sim.startIndex(tsk)
	for step := range sim.instances {
		pos := (first + step) % len(sim.instances)
		viw := &sim.instances[pos]
		free := viw.estimate(now)
		if !tsk.spec.Resources().FitsIn(free) || !viw.eligible(tsk, now) {
			continue
		}
		load := viw.load(free)
		if tsk.lastInstance == viw.instance.ID() && tsk.counters.failures > 0 {
			load += 1000 // prefers another instance after a failure
		}
		if best >= 0 && load >= bestLoad || !starts(viw.instance.location.DataCentre()) {
			continue
		}
		best, bestLoad = pos, load
	}
	if best < 0 {
		return "", false
	}
	return sim.instances[best].instance.ID(), true
}

// startIndex returns the index of the instance that is preferred among equally loaded ones. It differs
// between tasks, so that the owners of many partitions do not all choose the same instance.
func (sim *SimplePlacement) startIndex(tsk Task) int {
	if len(sim.instances) == 0 {
		return 0
	}
	return int((xxhash.Sum64String(string(tsk.ref.job)) + uint64(tsk.ref.index)) % uint64(len(sim.instances)))
}

// eligible reports whether the instance is alive, not paused and of the service that the task needs.
func (viw *instanceView) eligible(tsk Task, now time.Time) bool {
	return viw.instance.health == Alive && !now.Before(viw.pausedUntil) &&
		(tsk.spec.service == "" || tsk.spec.service == viw.instance.service)
}

// load returns the used share of the processors in thousandths.
func (viw *instanceView) load(free resource.Vector) int64 {
	total := max(viw.instance.capacity.MilliCPU(), 1)
	return (total - free.MilliCPU()) * 1000 / total
}

// estimate returns the free resources according to the last report or, if that is older than
// reportLifetime, according to the commitments of this owner.
func (viw *instanceView) estimate(now time.Time) resource.Vector {
	if now.Sub(viw.freeAt) < reportLifetime {
		return viw.free
	}
	return viw.instance.capacity.Minus(viw.committed)
}

func (sim *SimplePlacement) view(ins fleet.InstanceID) *instanceView {
	pos, known := sim.byID[ins]
	if !known {
		return nil
	}
	return &sim.instances[pos]
}

// Committed implements Placement.
func (sim *SimplePlacement) Committed(tsk Task, ins fleet.InstanceID) {
	if viw := sim.view(ins); viw != nil {
		viw.tasks++
		viw.committed = viw.committed.Plus(tsk.spec.Resources())
		viw.free = viw.free.Minus(tsk.spec.Resources())
	}
}

// Withdrawn implements Placement.
func (sim *SimplePlacement) Withdrawn(tsk Task, ins fleet.InstanceID) {
	if viw := sim.view(ins); viw != nil && viw.tasks > 0 {
		viw.tasks--
		viw.committed = viw.committed.Minus(tsk.spec.Resources())
		viw.free = viw.free.Plus(tsk.spec.Resources())
	}
}

// Answered implements Placement.
func (sim *SimplePlacement) Answered(ans Answer, now time.Time) {
	viw := sim.view(ans.instance)
	if viw == nil {
		return
	}
	if !ans.failed {
		viw.free, viw.freeAt = ans.free, now
	}
	if !ans.accepted {
		viw.pausedUntil = now.Add(refusalPause)
	}
}

// Checkpointed implements Placement.
func (*SimplePlacement) Checkpointed(Ref, time.Time) {}

// Evictions implements Placement. It evicts no tasks.
func (*SimplePlacement) Evictions(time.Time) []Eviction { return nil }

// Ended implements Placement.
func (sim *SimplePlacement) Ended(tsk Task, ins fleet.InstanceID, end End, _ time.Time) Verdict {
	sim.Withdrawn(tsk, ins)
	failures := tsk.counters.failures + 1
	if end.kind == EndFailed && failures >= maxFailures {
		return Park(fmt.Sprintf("%d assignments failed, the last one on %s: %s", failures, ins, end.detail))
	}
	return Retry(time.Duration(failures) * retryDelay)
}
