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

// Periods of the hints and of the return of data centres.
const (
	// RampPeriod is the time in which a data centre that returns goes from no
	// commitments to its whole capacity.
	RampPeriod = place.RampPeriod
	// relaxPeriod and relaxLimit bound the hints that are relaxed, and with them
	// the offers that are refused because the hint was too high: 64 owners then
	// send 1,024 such offers a second to 1,400 agents at most.
	relaxPeriod = time.Second
	relaxLimit  = 16
)

// instanceView is what the dispatcher keeps of an instance.
type instanceView struct {
	hint     job.Instance
	centre   *centre
	pending  resource.Vector // offered and not answered
	accepted resource.Vector // reserved at the agent
	hintedAt time.Time
	present  bool
	drained  string
}

func (viw *instanceView) idle() bool {
	return viw.pending == resource.Vector{} && viw.accepted == resource.Vector{}
}

// room returns the capacity less what this process has placed there.
func (viw *instanceView) room() resource.Vector { return viw.hint.Capacity().Minus(viw.accepted) }

// clamp bounds free amounts that an agent reported. They can be newer than the
// end of a task that this process still counts.
func (viw *instanceView) clamp(free resource.Vector) resource.Vector {
	room := viw.room()
	return resource.New(min(free.MilliCPU(), room.MilliCPU()), min(free.MemoryMB(), room.MemoryMB()), min(free.Accelerators(), room.Accelerators()))
}

// centre is a data centre with the capacity known there and the commitments made there.
type centre struct {
	name     fleet.DataCentre
	capacity int64
	used     int64
	out      bool      // by a ticket
	allowed  bool      // starts were allowed when last asked
	closed   bool      // as the scheduler has it
	ramp     time.Time // when it returned, zero without a ramp
}

// centre returns the data centre of a name. It starts as allowed, so that a new
// process has no ramp.
func (dsp *Dispatcher[P]) centre(name fleet.DataCentre) *centre {
	pos, found := slices.BinarySearchFunc(dsp.centres, name, func(cen *centre, key fleet.DataCentre) int {
		return cmp.Compare(cen.name, key)
	})
	if !found {
		dsp.centres = slices.Insert(dsp.centres, pos, &centre{name: name, allowed: true})
	}
	return dsp.centres[pos]
}

// observe takes in the instances. All partitions of a process get the same list.
func (dsp *Dispatcher[P]) observe(list []job.Instance, now time.Time) {
	dsp.now = now
	if len(list) > 0 && len(list) == len(dsp.list) && &list[0] == &dsp.list[0] {
		return
	}
	old := dsp.list
	dsp.list = list
	for _, ins := range list {
		dsp.join(ins)
	}
	for _, ins := range old {
		if _, found := slices.BinarySearchFunc(list, ins.ID(), compareInstance); !found {
			dsp.leave(ins.ID())
		}
	}
	for _, cen := range dsp.centres {
		cen.capacity = 0
	}
	for _, ins := range list {
		dsp.instances[ins.ID()].centre.capacity += ins.Capacity().MilliCPU()
	}
	dsp.centres = slices.DeleteFunc(dsp.centres, func(cen *centre) bool { return cen.capacity == 0 && cen.used == 0 && !cen.out && !cen.closed })
	dsp.cursor = 0
}

func compareInstance(ins job.Instance, id fleet.InstanceID) int { return cmp.Compare(ins.ID(), id) }

// join takes in an instance that is new or may have changed.
func (dsp *Dispatcher[P]) join(ins job.Instance) {
	viw := dsp.instances[ins.ID()]
	if viw == nil {
		viw = &instanceView{}
		dsp.instances[ins.ID()] = viw
	}
	changed := !viw.present || viw.hint.Capacity() != ins.Capacity() || viw.hint.Location() != ins.Location() ||
		viw.hint.Service() != ins.Service()
	viw.hint, viw.present = ins, true
	if changed {
		dsp.move(viw, dsp.centre(ins.Location().DataCentre()))
		dsp.sched.UpdateInstance(place.NewInstance(ins.ID(), ins.Location(), ins.Capacity(), ins.Capacity(), services(ins)...), dsp.now)
		viw.drained, viw.hintedAt = "", dsp.now
	}
	drained := drainReasons[ins.Health()]
	if drained != viw.drained {
		viw.drained = drained
		dsp.sched.Drain(ins.ID(), drained, dsp.now)
	}
}

// services returns the service beside which tasks on the instance run, if any.
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

// move counts the commitments on an instance in another data centre.
func (dsp *Dispatcher[P]) move(viw *instanceView, cen *centre) {
	used := viw.pending.Plus(viw.accepted).MilliCPU()
	if viw.centre != nil {
		viw.centre.used -= used
	}
	cen.used += used
	viw.centre = cen
}

func (dsp *Dispatcher[P]) leave(id fleet.InstanceID) {
	viw := dsp.instances[id]
	viw.present = false
	dsp.sched.Leave(id)
	if viw.idle() {
		delete(dsp.instances, id)
	}
	dsp.left.add(id, trackedLimit, func(old fleet.InstanceID) bool {
		if dsp.instances[old] == nil {
			dsp.sched.Knowledge().Blame().Leave(old)
		}
		return true
	})
}

// openCentres tells the scheduler which data centres take a task now.
func (dsp *Dispatcher[P]) openCentres(starts func(fleet.DataCentre) bool) {
	for _, cen := range dsp.centres {
		cen.allow(starts(cen.name), dsp.now)
		closed := !cen.allowed || !cen.within(dsp.now, dsp.owners())
		if closed != cen.closed {
			cen.closed = closed
			// The ramp is counted here, so that of the scheduler is over at once.
			dsp.sched.SetDataCentreOut(cen.name, closed, dsp.now.Add(-RampPeriod))
		}
	}
}

// SetOut sets the data centres that tickets take out of service. Their return
// begins a ramp; a pause of the starts for another reason, such as a late
// confirmation of the configuration, does not.
func (dsp *Dispatcher[P]) SetOutOfService(names []fleet.DataCentre, now time.Time) {
	for _, name := range names {
		cen := dsp.centre(name)
		cen.out, cen.ramp = true, time.Time{}
	}
	for _, cen := range dsp.centres {
		if cen.out && !slices.Contains(names, cen.name) {
			cen.out, cen.ramp = false, now
		}
	}
}

// allow notes whether starts are allowed. When they are again before SetOut
// tells why, the return is known from that.
func (cen *centre) allow(allowed bool, now time.Time) {
	if allowed && !cen.allowed && cen.out {
		cen.out, cen.ramp = false, now
	}
	cen.allowed = allowed
}

// within reports whether the commitments are below what the ramp allows. Each
// owner gets an equal part of it, because owners don't know each other's commitments.
func (cen *centre) within(now time.Time, owners int64) bool {
	if cen.ramp.IsZero() {
		return true
	}
	elapsed := now.Sub(cen.ramp)
	if elapsed >= RampPeriod {
		cen.ramp = time.Time{}
		return true
	}
	return cen.used*owners < cen.capacity*elapsed.Milliseconds()/RampPeriod.Milliseconds()
}

// admits reports whether some instance is large enough for a task.
func (dsp *Dispatcher[P]) admits(spc job.Spec) (bool, resource.Vector) {
	largest := resource.Vector{}
	for _, ins := range dsp.list {
		if spc.Service() != "" && spc.Service() != ins.Service() {
			continue
		}
		if spc.Resources().FitsIn(ins.Capacity()) {
			return true, largest
		}
		largest = largest.Max(ins.Capacity())
	}
	// Capacities are announced late, so without any nothing is known.
	return largest == resource.Vector{}, largest
}

// answered takes in the answer to an offer. An offer that was refused has been withdrawn before.
func (dsp *Dispatcher[P]) answered(ans job.Answer, now time.Time) {
	dsp.now = now
	id, viw := taskID(ans.Ref()), dsp.instances[ans.Instance()]
	if viw == nil {
		return
	}
	viw.hintedAt = now
	if hol := dsp.holds[id]; ans.Accepted() && hol != nil && hol.view == viw && !hol.accepted {
		dsp.accept(id, hol, ans.Free())
		if ans.Idle() {
			dsp.ServiceIdle(viw.hint.Service(), hol.class, now)
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

// refused lets an instance rest that refused although the task fits its free
// amounts: it has another reason, and would be offered the task again at once.
func (dsp *Dispatcher[P]) refused(ans job.Answer, id place.TaskID, now time.Time) {
	inv := dsp.sched.Instances().Find(ans.Instance())
	fits := inv != nil && dsp.undone == id && dsp.freed.FitsIn(inv.Free())
	if fits || ans.Failed() || ans.Reason() != string(outcome.ReasonCapacity) {
		dsp.sched.BackOff(ans.Instance())
	}
	dsp.sched.Record(explain.New(explain.Refused, now, string(id)).With(string(ans.Instance())).
		Amounts(resource.Vector{}, ans.Free()).Detail(ans.Reason()))
}

// reported returns the free amounts before the offers in flight are taken off.
func (dsp *Dispatcher[P]) reported(viw *instanceView) resource.Vector {
	if inv := dsp.sched.Instances().Find(viw.hint.ID()); inv != nil {
		return inv.Free().Plus(viw.pending)
	}
	return viw.room()
}

// relax raises old hints to what this process knows to be free.
func (dsp *Dispatcher[P]) relax() {
	if !dsp.missed || dsp.now.Sub(dsp.relaxed) < relaxPeriod {
		return
	}
	dsp.relaxed, dsp.missed = dsp.now, false
	raised := 0
	for range dsp.list {
		dsp.cursor = (dsp.cursor + 1) % len(dsp.list)
		viw := dsp.instances[dsp.list[dsp.cursor].ID()]
		if dsp.now.Sub(viw.hintedAt) < relaxPeriod || dsp.reported(viw) == viw.room() {
			continue
		}
		viw.hintedAt = dsp.now
		dsp.sched.SetFree(viw.hint.ID(), viw.room())
		if raised++; raised >= relaxLimit {
			return
		}
	}
}
