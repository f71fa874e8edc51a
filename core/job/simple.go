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
	// refusalPause is how long an instance that refused gets no further offers.
	refusalPause = 500 * time.Millisecond
	// hintLifetime is how long reported free resources count. Without an end, an
	// instance filled by other owners would never be tried again.
	hintLifetime = 2 * time.Second
	// maxFailures is the number of failed assignments after which a task is set aside.
	maxFailures = 5
	// retryDelay grows with each failure of the task.
	retryDelay = time.Second
)

// Lanes of the built-in placement.
const (
	laneUrgent Lane = "a-urgent"
	laneNormal Lane = "b-normal"
)

// Simple is the built-in placement: urgent tasks first, then the order of
// submission; the least committed instance that fits and has not refused just
// now; a task is set aside after maxFailures failures. The zero value works.
type SimplePlacement struct {
	instances []instanceView
	byID      map[fleet.InstanceID]int
	largest   resource.Vector
}

var _ Placement = (*SimplePlacement)(nil)

// instanceView is what the placement knows about an instance.
type instanceView struct {
	hint      Instance
	committed resource.Vector // offers and assignments of this owner
	free      resource.Vector // as last reported, less what was committed since
	freeAt    time.Time       // of the last report
	tasks     int
	pausedTo  time.Time
}

// Observe implements Placement.
func (sim *SimplePlacement) Observe(list []Instance, _ time.Time) {
	instances := make([]instanceView, 0, len(list))
	byID := make(map[fleet.InstanceID]int, len(list))
	sim.largest = resource.Vector{}
	for _, ins := range list {
		viw := instanceView{hint: ins}
		if pos, known := sim.byID[ins.ID()]; known {
			viw = sim.instances[pos]
			viw.hint = ins
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
	fits := slices.ContainsFunc(sim.instances, func(viw instanceView) bool { return spc.Resources().FitsIn(viw.hint.capacity) })
	return fits, sim.largest
}

// Lane implements Placement.
func (*SimplePlacement) Lane(spc Spec) Lane {
	if spc.urgent {
		return laneUrgent
	}
	return laneNormal
}

// RunTime implements Placement: nothing is known.
func (*SimplePlacement) RunTime(Spec) time.Duration { return 0 }

// CompareLanes implements Placement.
func (*SimplePlacement) CompareLanes(one, two Lane) int {
	return strings.Compare(string(one), string(two))
}

// Choose implements Placement.
func (sim *SimplePlacement) Choose(tsk Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool) {
	best, bestLoad := -1, int64(0)
	first := sim.first(tsk)
	for step := range sim.instances {
		pos := (first + step) % len(sim.instances)
		viw := &sim.instances[pos]
		free := viw.estimate(now)
		if !tsk.spec.Resources().FitsIn(free) || !viw.takes(tsk, now) {
			continue
		}
		load := viw.load(free)
		if tsk.last == viw.hint.ID() && tsk.counters.failures > 0 {
			load += 1000 // tries another instance after a failure
		}
		if best >= 0 && load >= bestLoad || !starts(viw.hint.location.DataCentre()) {
			continue
		}
		best, bestLoad = pos, load
	}
	if best < 0 {
		return "", false
	}
	return sim.instances[best].hint.ID(), true
}

// first returns the instance that wins among equals. It differs between tasks, so
// that the owners of many partitions do not all choose the same instance.
func (sim *SimplePlacement) first(tsk Task) int {
	if len(sim.instances) == 0 {
		return 0
	}
	return int((xxhash.Sum64String(string(tsk.ref.job)) + uint64(tsk.ref.index)) % uint64(len(sim.instances)))
}

// takes reports whether an offer of the task has a chance.
func (viw *instanceView) takes(tsk Task, now time.Time) bool {
	return viw.hint.health == Alive && !now.Before(viw.pausedTo) &&
		(tsk.spec.service == "" || tsk.spec.service == viw.hint.service)
}

// load returns the committed share of the processors in thousandths.
func (viw *instanceView) load(free resource.Vector) int64 {
	total := max(viw.hint.capacity.MilliCPU(), 1)
	return (total - free.MilliCPU()) * 1000 / total
}

// estimate returns the free resources by the last report or, when that is too
// old, by what this owner has committed.
func (viw *instanceView) estimate(now time.Time) resource.Vector {
	if now.Sub(viw.freeAt) < hintLifetime {
		return viw.free
	}
	return viw.hint.capacity.Minus(viw.committed)
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
	viw := sim.view(ans.from)
	if viw == nil {
		return
	}
	if !ans.failed {
		viw.free, viw.freeAt = ans.free, now
	}
	if !ans.accepted {
		viw.pausedTo = now.Add(refusalPause)
	}
}

// Checkpointed implements Placement.
func (*SimplePlacement) Checkpointed(Ref, time.Time) {}

// Evictions implements Placement: nothing is stopped for others.
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
