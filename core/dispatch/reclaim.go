package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/quota"
)

const (
	// demandLimit bounds the waiting tasks that may take room, and what one search costs.
	demandLimit = 32
	// demandLife is how long a demand lasts without a further try of its task. A
	// pass tries the first tasks of each lane, and there are several a second.
	demandLife = 3 * time.Second
	// searchPeriod is the time between two searches for one urgent task, at this
	// process and then at others. It grows with the wait, up to quota.ClaimSpacing.
	searchPeriod = 300 * time.Millisecond
	// reclaimPeriod is the time between two searches. The partitions of a process
	// ask one after another in the same tick.
	reclaimPeriod = job.TickPeriod / 2
)

// demand is a task that finds no instance: each urgent one, and the first one of each ordinary lane.
type demand struct {
	task    place.Task
	service fleet.Service
	since   time.Time
	seen    time.Time
	claimed time.Time
	// searched is the time of the latest search, which bounds what a task costs
	// for which there is nothing to stop.
	searched time.Time
	// room is where another process makes room, until roomEnd.
	room      fleet.InstanceID
	roomEnd   time.Time
	roomTried time.Time
}

// ripe reports whether a demand may take room now. A lane that has waited for
// long may take room for one task after the other.
func (dem *demand) ripe(now time.Time) bool {
	if dem.task.IsUrgent() {
		waited := now.Sub(dem.since)
		return waited >= quota.UrgentReclaimAfter && now.Sub(dem.searched) >= min(max(searchPeriod, waited/4), quota.ClaimSpacing)
	}
	return now.Sub(dem.since) >= quota.ReclaimAfter && now.Sub(dem.searched) >= quota.ClaimSpacing
}

// met notes that an instance has accepted a task. A lane that has become ripe stays so
// while it has further tasks that find none.
func (dsp *Dispatcher[P]) met(key string) {
	if dem := dsp.demands[key]; dem != nil && (dem.task.IsUrgent() || dem.claimed.IsZero()) {
		delete(dsp.demands, key)
	}
}

// demandKey returns the name under which the demand of a task is kept.
func demandKey(req place.Task, lan job.Lane) string {
	if req.IsUrgent() {
		return string(req.ID())
	}
	return string(lan)
}

// want notes that a task found no instance.
func (dsp *Dispatcher[P]) want(req place.Task, spc job.Spec) {
	key := demandKey(req, laneOf(spc))
	dem, found := dsp.demands[key]
	switch {
	case found && dsp.now.Sub(dem.seen) <= demandLife:
	case found || len(dsp.demands) < demandLimit:
		dem = &demand{since: dsp.now}
		dsp.demands[key] = dem
	default:
		return
	}
	if dem.seen != dsp.now {
		dem.task, dem.service, dem.seen = req, spc.Service(), dsp.now
	}
}

// reclaim decides which running tasks are stopped for the tasks that wait and
// hands them to their partitions.
func (dsp *Dispatcher[P]) reclaim(now time.Time) {
	if now.Sub(dsp.reclaimed) < reclaimPeriod {
		return
	}
	dsp.reclaimed = now
	maps.DeleteFunc(dsp.demands, func(_ string, dem *demand) bool { return now.Sub(dem.seen) > demandLife })
	list := slices.SortedFunc(maps.Values(dsp.demands), func(one, two *demand) int {
		return cmp.Or(one.since.Compare(two.since), cmp.Compare(one.task.ID(), two.task.ID()))
	})
	for _, dem := range list {
		if !dem.ripe(now) {
			continue
		}
		dem.searched = now
		vics := dsp.sched.Evict(dem.task, dsp.accepts(dem.task.Class(), dem.service), now.Sub(dem.since), now)
		for _, vic := range vics {
			dem.claimed = now
			dsp.evict(vic)
		}
		if len(vics) == 0 && dem.task.IsUrgent() {
			dsp.ask(dem, now.Sub(dem.since))
		}
	}
}

// evict hands a victim to its partition.
func (dsp *Dispatcher[P]) evict(vic place.Victim) {
	hol := dsp.holds[vic.Task()]
	if hol == nil || dsp.parts[hol.part] == nil {
		return
	}
	reason := "stopped because team " + string(vic.Claimant()) + " needs its share"
	if vic.Urgent() {
		reason = "evicted to make room for urgent work of team " + string(vic.Claimant())
	}
	hol.evicted = true
	prt := dsp.parts[hol.part]
	prt.evictions = append(prt.evictions, job.NewEviction(hol.ref, reason))
}

// Evictions implements job.Placement.
func (prt *Placement[P]) Evictions(now time.Time) []job.Eviction {
	if prt.closed {
		return nil
	}
	prt.dispatcher.now = now
	prt.dispatcher.reclaim(now)
	list := prt.evictions
	prt.evictions = nil
	return list
}

// Checkpointed implements job.Placement.
func (prt *Placement[P]) Checkpointed(ref job.Ref, now time.Time) {
	prt.dispatcher.sched.Checkpointed(taskID(ref), now)
}
