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
	demandLifetime = 3 * time.Second
	// searchPeriod is the time between two searches for one urgent task, at this
	// process and then at others. It grows with the wait, up to quota.ClaimSpacing.
	searchPeriod = 300 * time.Millisecond
	// reclaimPeriod is the time between two searches. The partitions of a process
	// ask one after another in the same tick.
	reclaimPeriod = job.TickPeriod / 2
)

// demand is a task that finds no instance: each urgent one, and the first one of each ordinary lane.
type demand struct {
	task      place.Task
	service   fleet.Service
	since     time.Time
	triedAt   time.Time
	evictedAt time.Time
	// searched is the time of the latest search, which bounds what a task costs
	// for which there is nothing to stop.
	searchedAt time.Time
	// room is where another process makes room, until roomEnd.
	room        fleet.InstanceID
	roomEnd     time.Time
	roomTriedAt time.Time
}

// ripe reports whether a demand may take room now. A lane that has waited for
// long may take room for one task after the other.
func (dem *demand) searchDue(now time.Time) bool {
	if dem.task.IsUrgent() {
		waited := now.Sub(dem.since)
		return waited >= quota.UrgentReclaimAfter && now.Sub(dem.searchedAt) >= min(max(searchPeriod, waited/4), quota.ClaimSpacing)
	}
	return now.Sub(dem.since) >= quota.ReclaimAfter && now.Sub(dem.searchedAt) >= quota.ClaimSpacing
}

// met notes that an instance has accepted a task. A lane that has become ripe stays so
// while it has further tasks that find none.
func (dsp *Dispatcher[P]) removeDemand(key string) {
	if dem := dsp.demands[key]; dem != nil && (dem.task.IsUrgent() || dem.evictedAt.IsZero()) {
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
func (dsp *Dispatcher[P]) addDemand(req place.Task, spc job.Spec) {
	key := demandKey(req, laneOf(spc))
	dem, found := dsp.demands[key]
	switch {
	case found && dsp.now.Sub(dem.triedAt) <= demandLifetime:
	case found || len(dsp.demands) < demandLimit:
		dem = &demand{since: dsp.now}
		dsp.demands[key] = dem
	default:
		return
	}
	if dem.triedAt != dsp.now {
		dem.task, dem.service, dem.triedAt = req, spc.Service(), dsp.now
	}
}

// reclaim decides which running tasks are stopped for the tasks that wait and
// hands them to their partitions.
func (dsp *Dispatcher[P]) reclaim(now time.Time) {
	if now.Sub(dsp.reclaimedAt) < reclaimPeriod {
		return
	}
	dsp.reclaimedAt = now
	maps.DeleteFunc(dsp.demands, func(_ string, dem *demand) bool { return now.Sub(dem.triedAt) > demandLifetime })
	list := slices.SortedFunc(maps.Values(dsp.demands), func(one, two *demand) int {
		return cmp.Or(one.since.Compare(two.since), cmp.Compare(one.task.ID(), two.task.ID()))
	})
	for _, dem := range list {
		if !dem.searchDue(now) {
			continue
		}
		dem.searchedAt = now
		vics := dsp.sched.Evict(dem.task, dsp.instanceFilter(dem.task.Class(), dem.service), now.Sub(dem.since), now)
		for _, vic := range vics {
			dem.evictedAt = now
			dsp.evict(vic)
		}
		if len(vics) == 0 && dem.task.IsUrgent() {
			dsp.requestRoom(dem, now.Sub(dem.since))
		}
	}
}

// evict hands a victim to its partition.
func (dsp *Dispatcher[P]) evict(vic place.Victim) {
	com := dsp.commitments[vic.Task()]
	if com == nil || dsp.placements[com.partition] == nil {
		return
	}
	reason := "stopped because team " + string(vic.Claimant()) + " needs its share"
	if vic.Urgent() {
		reason = "evicted to make room for urgent work of team " + string(vic.Claimant())
	}
	com.evicted = true
	pla := dsp.placements[com.partition]
	pla.evictions = append(pla.evictions, job.NewEviction(com.ref, reason))
}

// Evictions implements job.Placement.
func (pla *Placement[P]) Evictions(now time.Time) []job.Eviction {
	if pla.closed {
		return nil
	}
	pla.dispatcher.now = now
	pla.dispatcher.reclaim(now)
	list := pla.evictions
	pla.evictions = nil
	return list
}

// Checkpointed implements job.Placement.
func (pla *Placement[P]) Checkpointed(ref job.Ref, now time.Time) {
	pla.dispatcher.sched.Checkpointed(taskID(ref), now)
}
