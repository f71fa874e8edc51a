// Package quota orders the waiting tasks of teams by their shares of the fleet and
// divides the bounds of teams that may not borrow among the owner processes.
//
// Order: an Arbiter keeps two lanes, urgent and ordinary, for each team. Among the
// lanes with waiting tasks, the one whose team has the lowest use relative to its
// weight is served first. Other teams can thus borrow an idle share, and it returns
// to its team as capacity becomes free. Urgent lanes are served before ordinary
// ones, but after UrgentStreakLimit urgent tasks in a row one ordinary task is
// served, so neither kind starves.
//
// A task that fits on no instance is deferred and tried again when enough capacity
// becomes free. Up to DeferLimit tasks of a lane are deferred while smaller ones
// behind them are served, for at most BackfillPeriod, so that a large task is not
// overtaken for ever. A team below its share whose task has waited for ReclaimAfter
// may reclaim capacity from teams above theirs.
//
// The use of a team is its dominant share: the largest fraction of the processors,
// the memory or the accelerators of the fleet that its tasks hold. SetElsewhere adds
// what its tasks hold through other processes.
//
// Bounds: each process has a Reporter, which reports the use of its teams to the one
// Allocator of the fleet. The answers say what the teams hold through other
// processes and limit what teams that may not borrow hold through this one.
//
// Each operation of an Arbiter takes O(log n) of the waiting tasks, and cancellations
// take time in proportion to their number. An Arbiter must be used from one goroutine
// at a time; the zero value works.
package quota

import (
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/heap"
	"jacinthpost/core/queue"
	"jacinthpost/core/resource"
)

// Limits of the order in which tasks are served.
const (
	// UrgentStreakLimit is the number of urgent tasks served in a row while ordinary ones wait.
	UrgentStreakLimit = 8
	// DeferLimit is the number of tasks of a lane that wait for capacity while others are tried.
	DeferLimit = 8
	// BackfillPeriod is how long smaller tasks may overtake a deferred one.
	BackfillPeriod = 30 * time.Second
	// QueueLimit is the number of waiting tasks in a lane, besides the deferred ones.
	QueueLimit = 20_000
	// wakeLimit bounds the deferred tasks that one call of Wake makes eligible.
	wakeLimit = 4
	// ReclaimAfter is how long a task of a team below its share waits before it
	// may reclaim capacity, UrgentReclaimAfter how long an urgent task waits. The
	// latter leaves most of the 1.1 s in which urgent work must start for the
	// checkpoint of the evicted task and the start.
	ReclaimAfter       = 30 * time.Second
	UrgentReclaimAfter = 200 * time.Millisecond
	// Unit stands for the whole fleet in the results of Used and Share.
	Unit = 1_000_000
	// ClaimSpacing is the least time between two claims of a lane or task. It leaves
	// time for the checkpoint of an evicted task.
	ClaimSpacing = 5 * time.Second
)

// Classes of entries in a lane. Tasks that were deferred come first.
const (
	woken queue.Class = iota
	arriving
)

// deferredTask is a task that fits on no instance at present.
type deferredTask[K comparable, T any] struct {
	key   K
	value T
	need  resource.Vector
	since time.Time
}

type lane[K comparable, T any] struct {
	team      *team[K, T]
	urgent    bool
	waiting   queue.Queue[K, T]
	deferred  []deferredTask[K, T]
	item      *heap.Item[rank[K, T]]
	claimedAt time.Time // latest claim
	// lastClaimSince is the time at which the last task that claimed was first deferred.
	lastClaimSince time.Time
}

// rank is the position of a lane in the order of service.
type rank[K comparable, T any] struct {
	use  float64
	lane *lane[K, T]
}

// Before orders ranks by relative use, then by team name.
func (rnk rank[K, T]) Before(oth rank[K, T]) bool {
	if rnk.use != oth.use {
		return rnk.use < oth.use
	}
	return rnk.lane.team.name < oth.lane.team.name
}

type team[K comparable, T any] struct {
	name      fleet.Team
	weight    int64
	used      resource.Vector // through this process
	urgent    resource.Vector // part of used
	elsewhere resource.Vector // through other processes
	lanes     [2]*lane[K, T]  // ordinary, urgent
}

// relativeUse returns the use by which a lane is ordered. For urgent lanes only
// urgent use counts, so that ordinary work of a team does not delay its urgent work.
func (arb *Arbiter[K, T]) relativeUse(lan *lane[K, T]) float64 {
	use := lan.team.used.Plus(lan.team.elsewhere)
	if lan.urgent {
		use = lan.team.urgent
	}
	return float64(arb.dominantShare(use)) / float64(lan.team.weight)
}

func (arb *Arbiter[K, T]) dominantShare(vec resource.Vector) int64 {
	return vec.DominantShare(arb.capacity, Unit)
}

// Arbiter holds the waiting tasks of all teams. K identifies a task and T is the value
// that the caller keeps with it.
type Arbiter[K comparable, T any] struct {
	teams        []*team[K, T]
	byName       map[fleet.Team]*team[K, T]
	byKey        map[K]*lane[K, T]
	ready        [2]heap.Heap[rank[K, T]] // ordinary, urgent
	urgentStreak int
	totalWeight  int64
	capacity     resource.Vector
}

// SetCapacity sets the capacity of the fleet, from which dominant shares are computed.
func (arb *Arbiter[K, T]) SetCapacity(total resource.Vector) {
	arb.capacity = total
	for _, tem := range arb.teams {
		arb.updateTeam(tem)
	}
}

// Capacity returns the capacity of the fleet.
func (arb *Arbiter[K, T]) Capacity() resource.Vector { return arb.capacity }

// SetElsewhere sets what the tasks of a team hold through other processes.
func (arb *Arbiter[K, T]) SetElsewhere(name fleet.Team, use resource.Vector) {
	tem := arb.team(name)
	tem.elsewhere = use
	arb.updateTeam(tem)
}

// SetTeam sets the weight of a team, at least one. Teams without a call have weight one.
func (arb *Arbiter[K, T]) SetTeam(name fleet.Team, weight int64) {
	tem := arb.team(name)
	arb.totalWeight += max(1, weight) - tem.weight
	tem.weight = max(1, weight)
	arb.updateTeam(tem)
}

func (arb *Arbiter[K, T]) team(name fleet.Team) *team[K, T] {
	if arb.byName == nil {
		arb.byName = make(map[fleet.Team]*team[K, T])
		arb.byKey = make(map[K]*lane[K, T])
	}
	tem, found := arb.byName[name]
	if found {
		return tem
	}
	tem = &team[K, T]{name: name, weight: 1}
	for pos := range tem.lanes {
		tem.lanes[pos] = &lane[K, T]{team: tem, urgent: pos == 1, waiting: *queue.New[K, T](QueueLimit)}
	}
	arb.totalWeight++
	arb.byName[name] = tem
	pos, _ := slices.BinarySearchFunc(arb.teams, name, func(oth *team[K, T], key fleet.Team) int {
		return strings.Compare(string(oth.name), string(key))
	})
	arb.teams = slices.Insert(arb.teams, pos, tem)
	return tem
}

// Share returns the part of the fleet to which a team is entitled while all known
// teams have work. The whole fleet is Unit.
func (arb *Arbiter[K, T]) Share(name fleet.Team) int64 {
	return Unit * arb.team(name).weight / max(1, arb.totalWeight)
}

// Used returns the dominant share of a team. The whole fleet is Unit.
func (arb *Arbiter[K, T]) Used(name fleet.Team) int64 {
	return arb.UsedWith(name, resource.Vector{})
}

// UsedWith returns the dominant share that a team would have with further amounts,
// which may be negative.
func (arb *Arbiter[K, T]) UsedWith(name fleet.Team, more resource.Vector) int64 {
	return arb.dominantShare(arb.Amounts(name).Plus(more))
}

// Amounts returns what the tasks of a team hold in the whole fleet.
func (arb *Arbiter[K, T]) Amounts(name fleet.Team) resource.Vector {
	tem := arb.team(name)
	return tem.used.Plus(tem.elsewhere)
}

// AmountsHere returns what the tasks of a team hold through this process.
func (arb *Arbiter[K, T]) AmountsHere(name fleet.Team) resource.Vector { return arb.team(name).used }

// RelativeUse returns the use of a team relative to its weight. Of two lanes of one
// kind, that with the lower value is served first.
func (arb *Arbiter[K, T]) RelativeUse(name fleet.Team, urgent bool) float64 {
	return arb.relativeUse(arb.team(name).lanes[laneIndex(urgent)])
}

// Teams returns the teams that are known, sorted.
func (arb *Arbiter[K, T]) Teams() []fleet.Team { return sortedTeams(arb.byName) }

// Waiting returns the number of waiting tasks of a team.
func (arb *Arbiter[K, T]) Waiting(name fleet.Team) int {
	tem, found := arb.byName[name]
	if !found {
		return 0
	}
	return tem.lanes[0].size() + tem.lanes[1].size()
}

// Len returns the number of waiting tasks.
func (arb *Arbiter[K, T]) Len() int { return len(arb.byKey) }

func (lan *lane[K, T]) size() int { return lan.waiting.Len() + len(lan.deferred) }

func laneIndex(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// Add queues a task. It returns false if the lane is full or the key is already waiting.
func (arb *Arbiter[K, T]) Add(key K, name fleet.Team, urgent bool, deadline time.Time, val T) bool {
	lan := arb.team(name).lanes[laneIndex(urgent)]
	if _, found := arb.byKey[key]; found || !lan.waiting.Push(key, arriving, deadline, val) {
		return false
	}
	arb.byKey[key] = lan
	arb.updateReady(lan)
	return true
}

// updateReady adds the lane to the lanes that can be served, updates its rank there or
// removes it. A lane can be served if a task waits that may be tried.
func (arb *Arbiter[K, T]) updateReady(lan *lane[K, T]) {
	hea := &arb.ready[laneIndex(lan.urgent)]
	if lan.waiting.Len() == 0 || len(lan.deferred) >= DeferLimit {
		hea.Remove(lan.item)
		return
	}
	rnk := rank[K, T]{use: arb.relativeUse(lan), lane: lan}
	if hea.Contains(lan.item) {
		hea.Update(lan.item, rnk)
		return
	}
	lan.item = hea.Push(rnk)
}

func (arb *Arbiter[K, T]) updateTeam(tem *team[K, T]) {
	for _, lan := range tem.lanes {
		arb.updateReady(lan)
	}
}

// Next removes and returns the task to be tried next. The caller then calls
// Started, Defer or Add for it.
func (arb *Arbiter[K, T]) Next(now time.Time) (K, T, bool) {
	for _, urgent := range arb.laneOrder() {
		hea := &arb.ready[laneIndex(urgent)]
		for {
			rnk, found := hea.Peek()
			if !found {
				break
			}
			if rnk.lane.backfillExpired(now) {
				hea.Remove(rnk.lane.item)
				continue
			}
			ent, _ := rnk.lane.waiting.Pop()
			arb.countStreak(urgent)
			delete(arb.byKey, ent.Key())
			arb.updateReady(rnk.lane)
			return ent.Key(), ent.Value(), true
		}
	}
	var key K
	var val T
	return key, val, false
}

// backfillExpired reports whether no task may overtake the oldest deferred one any
// longer. It is false if the next task of the lane has been woken itself.
func (lan *lane[K, T]) backfillExpired(now time.Time) bool {
	if len(lan.deferred) == 0 || now.Sub(lan.deferred[0].since) < BackfillPeriod {
		return false
	}
	ent, _ := lan.waiting.Peek()
	return ent.Class() == arriving
}

func (arb *Arbiter[K, T]) laneOrder() [2]bool {
	if arb.urgentStreak >= UrgentStreakLimit && arb.ready[0].Len() > 0 {
		return [2]bool{false, true}
	}
	return [2]bool{true, false}
}

// Started adds the amounts of a task to the use of its team.
func (arb *Arbiter[K, T]) Started(name fleet.Team, urgent bool, size resource.Vector) {
	arb.adjustUse(name, urgent, size)
}

// countStreak counts the urgent tasks served in a row.
func (arb *Arbiter[K, T]) countStreak(urgent bool) {
	if !urgent {
		arb.urgentStreak = 0
		return
	}
	arb.urgentStreak++
}

// Ended subtracts the amounts of a task from the use of its team.
func (arb *Arbiter[K, T]) Ended(name fleet.Team, urgent bool, size resource.Vector) {
	arb.adjustUse(name, urgent, resource.Vector{}.Minus(size))
}

func (arb *Arbiter[K, T]) adjustUse(name fleet.Team, urgent bool, change resource.Vector) {
	tem := arb.team(name)
	tem.used = tem.used.Plus(change)
	if urgent {
		tem.urgent = tem.urgent.Plus(change)
	}
	arb.updateTeam(tem)
}

// Defer keeps a task that Next returned until the needed amounts may be free. Since
// is the time at which it was first deferred. Defer returns false if the key is
// already waiting.
func (arb *Arbiter[K, T]) Defer(key K, name fleet.Team, urgent bool, val T, need resource.Vector, since time.Time) bool {
	lan := arb.team(name).lanes[laneIndex(urgent)]
	if _, found := arb.byKey[key]; found {
		return false
	}
	pos, _ := slices.BinarySearchFunc(lan.deferred, since, func(tsk deferredTask[K, T], at time.Time) int {
		return tsk.since.Compare(at)
	})
	lan.deferred = slices.Insert(lan.deferred, pos, deferredTask[K, T]{key: key, value: val, need: need, since: since})
	arb.byKey[key] = lan
	arb.updateReady(lan)
	return true
}

// Wake makes deferred tasks eligible again, as many as fit into the given amounts but
// at most wakeLimit: urgent ones first, then by the relative use of their team. It
// visits all deferred tasks of each lane, which DeferLimit bounds.
func (arb *Arbiter[K, T]) Wake(free resource.Vector) {
	for range wakeLimit {
		lan, pos := arb.firstFitting(free)
		if lan == nil {
			return
		}
		free = free.Minus(lan.deferred[pos].need)
		if !arb.wakeTask(lan, pos) {
			return
		}
	}
}

// WakeAll makes every deferred task eligible again. It is meant for changes other
// than free capacity, which Wake does not detect, such as a limit that was lifted.
func (arb *Arbiter[K, T]) WakeAll() {
	for _, tem := range arb.teams {
		for _, lan := range tem.lanes {
			for len(lan.deferred) > 0 && arb.wakeTask(lan, 0) {
				continue
			}
		}
	}
}

func (arb *Arbiter[K, T]) firstFitting(free resource.Vector) (*lane[K, T], int) {
	var best *lane[K, T]
	at := 0
	for _, tem := range arb.teams {
		for _, lan := range tem.lanes {
			pos := slices.IndexFunc(lan.deferred, func(tsk deferredTask[K, T]) bool { return tsk.need.FitsIn(free) })
			if pos >= 0 && (best == nil || arb.precedes(lan, best)) {
				best, at = lan, pos
			}
		}
	}
	return best, at
}

func (arb *Arbiter[K, T]) precedes(lan, oth *lane[K, T]) bool {
	if lan.urgent != oth.urgent {
		return lan.urgent
	}
	return arb.relativeUse(lan) < arb.relativeUse(oth)
}

func (arb *Arbiter[K, T]) wakeTask(lan *lane[K, T], pos int) bool {
	tsk := lan.deferred[pos]
	if !lan.waiting.Push(tsk.key, woken, tsk.since, tsk.value) {
		return false
	}
	lan.deferred = slices.Delete(lan.deferred, pos, pos+1)
	arb.updateReady(lan)
	return true
}

// Cancel removes a waiting task and returns its value, and false if the key is not
// waiting.
func (arb *Arbiter[K, T]) Cancel(key K) (T, bool) {
	var val T
	lan, found := arb.byKey[key]
	if !found {
		return val, false
	}
	delete(arb.byKey, key)
	if ent, waiting := lan.waiting.Remove(key); waiting {
		arb.updateReady(lan)
		return ent.Value(), true
	}
	pos := slices.IndexFunc(lan.deferred, func(tsk deferredTask[K, T]) bool { return tsk.key == key })
	val = lan.deferred[pos].value
	lan.deferred = slices.Delete(lan.deferred, pos, pos+1)
	arb.updateReady(lan)
	return val, true
}
