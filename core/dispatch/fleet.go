package dispatch

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/outcome"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

const (
	// RampPeriod is the time over which a data centre that returns to service goes from
	// no commitments to its whole capacity.
	RampPeriod = place.RampPeriod
	// At most relaxLimit hints are raised in each relaxPeriod. This bounds the offers
	// that are refused because a hint was too high: 64 owners send at most 1,024 of
	// them a second to 1,400 agents.
	relaxPeriod = time.Second
	relaxLimit  = 16
)

// instanceView is the state of an instance as this process knows it.
type instanceView struct {
	hint        job.Instance
	centre      *centre
	pending     resource.Vector // offered, not yet answered
	accepted    resource.Vector // reserved at the agent
	hintedAt    time.Time
	present     bool
	drainReason string
}

func (viw *instanceView) idle() bool {
	return viw.pending == resource.Vector{} && viw.accepted == resource.Vector{}
}

// unreserved returns the capacity less what agents have reserved for this process.
func (viw *instanceView) unreserved() resource.Vector { return viw.hint.Capacity().Minus(viw.accepted) }

// clamp limits the free amounts that an agent reported to those that this process
// can account for. The agent may have counted a task as ended that this process
// still counts as running.
func (viw *instanceView) clamp(free resource.Vector) resource.Vector {
	room := viw.unreserved()
	return resource.New(min(free.MilliCPU(), room.MilliCPU()), min(free.MemoryMB(), room.MemoryMB()), min(free.Accelerators(), room.Accelerators()))
}

// centre is a data centre with its capacity and the commitments of this process, in
// thousandths of a processor.
type centre struct {
	name          fleet.DataCentre
	capacity      int64
	committed     int64
	outOfService  bool      // by a ticket
	startsAllowed bool      // starts were allowed when last asked
	closed        bool      // as the scheduler has it
	rampStart     time.Time // when it returned, zero without a ramp
}

// centre returns the data centre of a name. Starts are allowed in a new one, so that
// a process that has just started does not ramp up.
func (dsp *Dispatcher[P]) centre(name fleet.DataCentre) *centre {
	pos, found := slices.BinarySearchFunc(dsp.centres, name, func(cen *centre, key fleet.DataCentre) int {
		return cmp.Compare(cen.name, key)
	})
	if !found {
		dsp.centres = slices.Insert(dsp.centres, pos, &centre{name: name, startsAllowed: true})
	}
	return dsp.centres[pos]
}

// observe updates the instances to those of the list, which is sorted by ID. All
// partitions of a process pass the same list; only the first call has an effect.
func (dsp *Dispatcher[P]) observe(list []job.Instance, now time.Time) {
	dsp.now = now
	if len(list) > 0 && len(list) == len(dsp.known) && &list[0] == &dsp.known[0] {
		return
	}
	old := dsp.known
	dsp.known = list
	for _, ins := range list {
		dsp.updateInstance(ins)
	}
	for _, ins := range old {
		if _, found := slices.BinarySearchFunc(list, ins.ID(), compareInstance); !found {
			dsp.removeInstance(ins.ID())
		}
	}
	for _, cen := range dsp.centres {
		cen.capacity = 0
	}
	for _, ins := range list {
		dsp.instances[ins.ID()].centre.capacity += ins.Capacity().MilliCPU()
	}
	dsp.centres = slices.DeleteFunc(dsp.centres, func(cen *centre) bool {
		return cen.capacity == 0 && cen.committed == 0 && !cen.outOfService && !cen.closed
	})
	dsp.cursor = 0
}

func compareInstance(ins job.Instance, id fleet.InstanceID) int { return cmp.Compare(ins.ID(), id) }

// updateInstance adds an instance or applies its changes.
func (dsp *Dispatcher[P]) updateInstance(ins job.Instance) {
	viw := dsp.instances[ins.ID()]
	if viw == nil {
		viw = &instanceView{}
		dsp.instances[ins.ID()] = viw
	}
	changed := !viw.present || viw.hint.Capacity() != ins.Capacity() || viw.hint.Location() != ins.Location() ||
		viw.hint.Service() != ins.Service()
	viw.hint, viw.present = ins, true
	if changed {
		dsp.setCentre(viw, dsp.centre(ins.Location().DataCentre()))
		dsp.sched.UpdateInstance(place.NewInstance(ins.ID(), ins.Location(), ins.Capacity(), ins.Capacity(), services(ins)...), dsp.now)
		viw.drainReason, viw.hintedAt = "", dsp.now
	}
	drained := drainReasons[ins.Health()]
	if drained != viw.drainReason {
		viw.drainReason = drained
		dsp.sched.Drain(ins.ID(), drained, dsp.now)
	}
}

// services returns the service that runs on the instance, if any.
func services(ins job.Instance) []fleet.Service {
	if ins.Service() == "" {
		return nil
	}
	return []fleet.Service{ins.Service()}
}

var drainReasons = map[job.Health]string{
	job.Suspect: "it does not answer the probes of other members",
	job.Leaving: "it is leaving",
}

// setCentre moves an instance with its commitments to a data centre.
func (dsp *Dispatcher[P]) setCentre(viw *instanceView, cen *centre) {
	used := viw.pending.Plus(viw.accepted).MilliCPU()
	if viw.centre != nil {
		viw.centre.committed -= used
	}
	cen.committed += used
	viw.centre = cen
}

func (dsp *Dispatcher[P]) removeInstance(id fleet.InstanceID) {
	viw := dsp.instances[id]
	viw.present = false
	dsp.sched.Leave(id)
	if viw.idle() {
		delete(dsp.instances, id)
	}
	dsp.departed.add(id, trackedLimit, func(old fleet.InstanceID) bool {
		if dsp.instances[old] == nil {
			dsp.sched.Knowledge().Blame().Leave(old)
		}
		return true
	})
}

// openCentres tells the scheduler in which data centres it may start a task now.
func (dsp *Dispatcher[P]) openCentres(starts func(fleet.DataCentre) bool) {
	for _, cen := range dsp.centres {
		cen.setStartsAllowed(starts(cen.name), dsp.now)
		closed := !cen.startsAllowed || !cen.belowRamp(dsp.now, dsp.owners())
		if closed != cen.closed {
			cen.closed = closed
			// The dispatcher applies the ramp itself, so the scheduler is given the start
			// of a ramp that is already over.
			dsp.sched.SetDataCentreOut(cen.name, closed, dsp.now.Add(-RampPeriod))
		}
	}
}

// SetOutOfService sets the data centres that tickets take out of service. A ramp
// begins when a data centre returns to service, but not when starts were paused for
// another reason, such as a late confirmation of the configuration.
func (dsp *Dispatcher[P]) SetOutOfService(names []fleet.DataCentre, now time.Time) {
	for _, name := range names {
		cen := dsp.centre(name)
		cen.outOfService, cen.rampStart = true, time.Time{}
	}
	for _, cen := range dsp.centres {
		if cen.outOfService && !slices.Contains(names, cen.name) {
			cen.outOfService, cen.rampStart = false, now
		}
	}
}

// setStartsAllowed records whether starts are allowed. If they are allowed again in a
// data centre that is out of service, it has returned, although SetOutOfService has
// not been called yet.
func (cen *centre) setStartsAllowed(allowed bool, now time.Time) {
	if allowed && !cen.startsAllowed && cen.outOfService {
		cen.outOfService, cen.rampStart = false, now
	}
	cen.startsAllowed = allowed
}

// belowRamp reports whether the commitments are below what the ramp allows. Each
// owner gets an equal part of it, because owners don't know each other's commitments.
func (cen *centre) belowRamp(now time.Time, owners int64) bool {
	if cen.rampStart.IsZero() {
		return true
	}
	elapsed := now.Sub(cen.rampStart)
	if elapsed >= RampPeriod {
		cen.rampStart = time.Time{}
		return true
	}
	return cen.committed*owners < cen.capacity*elapsed.Milliseconds()/RampPeriod.Milliseconds()
}

// admits reports whether some instance is large enough for a task. If none is, it
// also returns the largest amounts of the instances that the task may run on.
func (dsp *Dispatcher[P]) admits(spc job.Spec) (bool, resource.Vector) {
	largest := resource.Vector{}
	for _, ins := range dsp.known {
		if spc.Service() != "" && spc.Service() != ins.Service() {
			continue
		}
		if spc.Resources().FitsIn(ins.Capacity()) {
			return true, largest
		}
		largest = largest.Max(ins.Capacity())
	}
	// An instance announces its capacity some time after it joins. Until one has, no
	// task can be judged too large.
	return largest == resource.Vector{}, largest
}

// answered applies the answer to an offer. The caller has withdrawn a refused offer.
func (dsp *Dispatcher[P]) answered(ans job.Answer, now time.Time) {
	dsp.now = now
	id, viw := taskID(ans.Ref()), dsp.instances[ans.Instance()]
	if viw == nil {
		return
	}
	viw.hintedAt = now
	if com := dsp.commitments[id]; ans.Accepted() && com != nil && com.view == viw && !com.accepted {
		dsp.accept(id, com, ans.Free())
		if ans.Idle() {
			dsp.ServiceIdle(viw.hint.Service(), com.class, now)
		}
		return
	}
	if !ans.Failed() {
		dsp.sched.SetFree(ans.Instance(), viw.clamp(ans.Free()))
	}
	if !ans.Accepted() {
		dsp.refused(ans, id, now)
	}
}

// refused records a refusal. It excludes the instance for a while if the refusal is
// not explained by its free amounts; otherwise the instance would be offered the
// task again at once.
func (dsp *Dispatcher[P]) refused(ans job.Answer, id place.TaskID, now time.Time) {
	inv := dsp.sched.Instances().Find(ans.Instance())
	fits := inv != nil && dsp.withdrawn == id && dsp.withdrawnSize.FitsIn(inv.Free())
	if fits || ans.Failed() || ans.Reason() != string(outcome.ReasonCapacity) {
		dsp.sched.BackOff(ans.Instance())
	}
	dsp.sched.Record(explain.New(explain.Refused, now, string(id)).WithOther(string(ans.Instance())).
		WithAmounts(resource.Vector{}, ans.Free()).WithDetail(ans.Reason()))
}

// reportedFree returns the free amounts of an instance before its pending offers are
// subtracted, as its agent would report them.
func (dsp *Dispatcher[P]) reportedFree(viw *instanceView) resource.Vector {
	if inv := dsp.sched.Instances().Find(viw.hint.ID()); inv != nil {
		return inv.Free().Plus(viw.pending)
	}
	return viw.unreserved()
}

// relax raises hints without a recent answer to the capacity that this process has
// not reserved, if a task has found no instance.
func (dsp *Dispatcher[P]) relax() {
	if !dsp.missed || dsp.now.Sub(dsp.relaxedAt) < relaxPeriod {
		return
	}
	dsp.relaxedAt, dsp.missed = dsp.now, false
	raised := 0
	for range dsp.known {
		dsp.cursor = (dsp.cursor + 1) % len(dsp.known)
		viw := dsp.instances[dsp.known[dsp.cursor].ID()]
		if dsp.now.Sub(viw.hintedAt) < relaxPeriod || dsp.reportedFree(viw) == viw.unreserved() {
			continue
		}
		viw.hintedAt = dsp.now
		dsp.sched.SetFree(viw.hint.ID(), viw.unreserved())
		if raised++; raised >= relaxLimit {
			return
		}
	}
}
