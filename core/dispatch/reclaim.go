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
	// demandLimit bounds the demands and thereby the cost of one call of reclaim.
	demandLimit = 32
	// demandLifetime is how long a demand lasts without a further attempt for its task.
	// Each pass tries the first tasks of each lane, several times a second.
	demandLifetime = 3 * time.Second
	// searchPeriod is the least time between two searches for tasks to evict for one
	// urgent task. A search covers this process and then others. The time grows with
	// the wait up to quota.ClaimSpacing.
	searchPeriod = 300 * time.Millisecond
	// reclaimPeriod is the least time between two runs of reclaim. All partitions of a
	// process call it in the same tick, but one run serves them all.
	reclaimPeriod = job.TickPeriod / 2
)

// demand is a task that finds no instance. There is one for each urgent task, but only
// one for each ordinary lane.
type demand struct {
	task      place.Task
	service   fleet.Service
	since     time.Time
	triedAt   time.Time
	evictedAt time.Time
	// searchedAt is the time of the latest search. Spacing them bounds the cost of a
	// task for which there is nothing to evict.
	searchedAt time.Time
	// room is the instance where another process makes room, until roomEnd.
	room        fleet.InstanceID
	roomEnd     time.Time
	roomTriedAt time.Time
}

// searchDue reports whether it is time to search for tasks to evict for a demand.
func (dem *demand) searchDue(now time.Time) bool {
	if dem.task.IsUrgent() {
		waited := now.Sub(dem.since)
		return waited >= quota.UrgentReclaimAfter && now.Sub(dem.searchedAt) >= min(max(searchPeriod, waited/4), quota.ClaimSpacing)
	}
	return now.Sub(dem.since) >= quota.ReclaimAfter && now.Sub(dem.searchedAt) >= quota.ClaimSpacing
}

// removeDemand ends a demand when an instance has accepted its task. The demand of an
// ordinary lane for which tasks were evicted stays while further tasks of the lane
// find no instance, so that they need not wait for quota.ReclaimAfter each.
func (dsp *Dispatcher[P]) removeDemand(key string) {
	if dem := dsp.demands[key]; dem != nil && (dem.task.IsUrgent() || dem.evictedAt.IsZero()) {
		delete(dsp.demands, key)
	}
}

// demandKey returns the key of the demand of a task: an urgent task has its own, and
// the ordinary tasks of a lane share one.
func demandKey(req place.Task, lan job.Lane) string {
	if req.IsUrgent() {
		return string(req.ID())
	}
	return string(lan)
}

// addDemand records that a task found no instance. It does nothing if the task has no
// demand yet and demandLimit is reached.
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

// reclaim chooses running tasks to evict for the demands, in the order of their age,
// and queues the evictions for the partitions of these tasks. For an urgent demand
// without such tasks it asks other processes.
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

// evict queues the eviction of a task for its partition.
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
