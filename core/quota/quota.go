// Package quota orders the waiting tasks of many teams by their shares.
//
// Model: each team has a weight and two lanes, urgent and ordinary. Among the
// lanes with waiting tasks the one whose team uses least for its weight is
// served first, so an idle share is borrowed by whoever waits and returns to
// its team with the next free capacity. Urgent lanes are served before ordinary
// ones, but after UrgentRow urgent tasks in a row one ordinary task is served,
// so neither side starves. A task that fits nowhere is set aside and tried
// again when enough capacity becomes free; up to AsideLimit tasks of a lane are
// set aside while smaller ones behind them are served, for at most
// BackfillPeriod, so that a large task is not overtaken for ever. A team that
// waits below its share for longer than a bound may reclaim from teams above theirs.
//
// The use of a team is its dominant share: the largest part of the processors,
// the memory or the accelerators of the fleet that its tasks hold. What its
// tasks hold through other processes is added by SetElsewhere.
//
// Each operation takes O(log n) of the waiting tasks; a wave of cancellations costs
// in proportion to what is cancelled. An Arbiter must be used from one
// goroutine at a time; the zero value works.
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

// Limits of the order of service.
const (
	// UrgentRow is the number of urgent tasks served in a row while ordinary ones wait.
	UrgentStreakLimit = 8
	// AsideLimit is the number of tasks of a lane that wait for capacity while others are tried.
	DeferLimit = 8
	// BackfillPeriod is how long smaller tasks may overtake one that fits nowhere.
	BackfillPeriod = 30 * time.Second
	// QueueLimit is the number of waiting tasks of one team.
	QueueLimit = 20_000
	// wakeLimit bounds the tasks tried for one amount of freed capacity.
	wakeLimit = 4
	// ReclaimAfter is the wait of a team below its share, UrgentReclaimAfter that
	// of an urgent task, before
	// capacity is taken back. The urgent one leaves most of the 1.1 s in which urgent work must start for the checkpoint and the start.
	ReclaimAfter       = 30 * time.Second
	UrgentReclaimAfter = 200 * time.Millisecond
	// Unit is the whole fleet in the results of Used and Share.
	Unit = 1_000_000
	// ClaimSpacing leaves time for a checkpoint before the same lane or task claims again.
	ClaimSpacing = 5 * time.Second
)

// Classes of entries in a lane. Tasks that were set aside come back first.
const (
	returning queue.Class = iota
	arriving
)

// aside is a task that fits nowhere at present.
type aside[K comparable, T any] struct {
	key   K
	value T
	need  resource.Vector
	since time.Time
}

type lane[K comparable, T any] struct {
	team    *team[K, T]
	urgent  bool
	waiting queue.Queue[K, T]
	asides  []aside[K, T]
	item    *heap.Item[rank[K, T]]
	claimed time.Time // newest claim
	// reached is when the newest task that has claimed was set aside.
	reached time.Time
}

// rank orders lanes by the use of their team relative to its weight.
type rank[K comparable, T any] struct {
	use  float64
	lane *lane[K, T]
}

// Before orders by relative use, then by team name.
func (rnk rank[K, T]) Before(oth rank[K, T]) bool {
	if rnk.use != oth.use {
		return rnk.use < oth.use
	}
	return rnk.lane.team.name < oth.lane.team.name
}

type team[K comparable, T any] struct {
	name      fleet.Team
	weight    int64
	used      resource.Vector // here
	urgent    resource.Vector // part of used
	elsewhere resource.Vector // through other processes
	lanes     [2]*lane[K, T]  // ordinary, urgent
}

// relative returns the use that orders a lane. Urgent lanes compare urgent use
// only, so that a team busy with ordinary work is not late with urgent work.
func (arb *Arbiter[K, T]) relative(lan *lane[K, T]) float64 {
	use := lan.team.used.Plus(lan.team.elsewhere)
	if lan.urgent {
		use = lan.team.urgent
	}
	return float64(arb.dominant(use)) / float64(lan.team.weight)
}

func (arb *Arbiter[K, T]) dominant(vec resource.Vector) int64 {
	return vec.Dominant(arb.capacity, Unit)
}

// Arbiter holds the waiting tasks, identified by K, of all teams.
type Arbiter[K comparable, T any] struct {
	teams    []*team[K, T]
	byName   map[fleet.Team]*team[K, T]
	byKey    map[K]*lane[K, T]
	ready    [2]heap.Heap[rank[K, T]] // ordinary, urgent
	row      int
	weights  int64
	capacity resource.Vector
}

// SetCapacity sets the total amounts that the fleet can run, from which shares are computed.
func (arb *Arbiter[K, T]) SetCapacity(total resource.Vector) {
	arb.capacity = total
	for _, tem := range arb.teams {
		arb.reorder(tem)
	}
}

// Capacity returns the total amounts that the fleet can run.
func (arb *Arbiter[K, T]) Capacity() resource.Vector { return arb.capacity }

// SetElsewhere sets what the tasks of a team hold through other processes.
func (arb *Arbiter[K, T]) SetElsewhere(name fleet.Team, use resource.Vector) {
	tem := arb.team(name)
	tem.elsewhere = use
	arb.reorder(tem)
}

// SetTeam sets the weight of a team, at least one. Unknown teams get weight one.
func (arb *Arbiter[K, T]) SetTeam(name fleet.Team, weight int64) {
	tem := arb.team(name)
	arb.weights += max(1, weight) - tem.weight
	tem.weight = max(1, weight)
	arb.reorder(tem)
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
	arb.weights++
	arb.byName[name] = tem
	pos, _ := slices.BinarySearchFunc(arb.teams, name, func(oth *team[K, T], key fleet.Team) int {
		return strings.Compare(string(oth.name), string(key))
	})
	arb.teams = slices.Insert(arb.teams, pos, tem)
	return tem
}

// Share returns the part of the fleet to which a team is entitled when all
// teams have work, in Units.
func (arb *Arbiter[K, T]) Share(name fleet.Team) int64 {
	return Unit * arb.team(name).weight / max(1, arb.weights)
}

// Used returns the part of the fleet that a team uses, in Units.
func (arb *Arbiter[K, T]) Used(name fleet.Team) int64 {
	return arb.UsedWith(name, resource.Vector{})
}

// UsedWith returns the part of the fleet that a team would use with further
// amounts, which may be negative.
func (arb *Arbiter[K, T]) UsedWith(name fleet.Team, more resource.Vector) int64 {
	return arb.dominant(arb.Amounts(name).Plus(more))
}

// Amounts returns what the tasks of a team hold in the whole fleet.
func (arb *Arbiter[K, T]) Amounts(name fleet.Team) resource.Vector {
	tem := arb.team(name)
	return tem.used.Plus(tem.elsewhere)
}

// AmountsHere returns what the tasks of a team hold through this process.
func (arb *Arbiter[K, T]) AmountsHere(name fleet.Team) resource.Vector { return arb.team(name).used }

// Relative returns the use of a team for its weight, which orders its lanes:
// the lane with the lower value is served first.
func (arb *Arbiter[K, T]) RelativeUse(name fleet.Team, urgent bool) float64 {
	return arb.relative(arb.team(name).lanes[side(urgent)])
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

func (lan *lane[K, T]) size() int { return lan.waiting.Len() + len(lan.asides) }

func side(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// Add queues a task. It reports false when the queue of the team is full or the key is already waiting.
func (arb *Arbiter[K, T]) Add(key K, name fleet.Team, urgent bool, deadline time.Time, val T) bool {
	lan := arb.team(name).lanes[side(urgent)]
	if _, found := arb.byKey[key]; found || !lan.waiting.Push(key, arriving, deadline, val) {
		return false
	}
	arb.byKey[key] = lan
	arb.enlist(lan)
	return true
}

// enlist makes the lane eligible if it has a task that may be tried.
func (arb *Arbiter[K, T]) enlist(lan *lane[K, T]) {
	hea := &arb.ready[side(lan.urgent)]
	if lan.waiting.Len() == 0 || len(lan.asides) >= DeferLimit {
		hea.Remove(lan.item)
		return
	}
	rnk := rank[K, T]{use: arb.relative(lan), lane: lan}
	if hea.Contains(lan.item) {
		hea.Update(lan.item, rnk)
		return
	}
	lan.item = hea.Push(rnk)
}

func (arb *Arbiter[K, T]) reorder(tem *team[K, T]) {
	for _, lan := range tem.lanes {
		arb.enlist(lan)
	}
}

// Next removes and returns the task to be tried next. The caller then calls
// Started, SetAside or Add for it.
func (arb *Arbiter[K, T]) Next(now time.Time) (K, T, bool) {
	for _, urgent := range arb.sides() {
		hea := &arb.ready[side(urgent)]
		for {
			rnk, found := hea.Peek()
			if !found {
				break
			}
			if rnk.lane.held(now) {
				hea.Remove(rnk.lane.item)
				continue
			}
			ent, _ := rnk.lane.waiting.Pop()
			arb.countRow(urgent)
			delete(arb.byKey, ent.Key())
			arb.enlist(rnk.lane)
			return ent.Key(), ent.Value(), true
		}
	}
	var key K
	var val T
	return key, val, false
}

// held reports whether the oldest task set aside has been overtaken for long
// enough. Returning tasks are always tried: they have been woken.
func (lan *lane[K, T]) held(now time.Time) bool {
	if len(lan.asides) == 0 || now.Sub(lan.asides[0].since) < BackfillPeriod {
		return false
	}
	ent, _ := lan.waiting.Peek()
	return ent.Class() == arriving
}

func (arb *Arbiter[K, T]) sides() [2]bool {
	if arb.row >= UrgentStreakLimit && arb.ready[0].Len() > 0 {
		return [2]bool{false, true}
	}
	return [2]bool{true, false}
}

// Started adds the amounts of a task to the use of its team.
func (arb *Arbiter[K, T]) Started(name fleet.Team, urgent bool, size resource.Vector) {
	arb.account(name, urgent, size)
}

// countRow counts the urgent tasks served in a row.
func (arb *Arbiter[K, T]) countRow(urgent bool) {
	if !urgent {
		arb.row = 0
		return
	}
	arb.row++
}

// Ended takes the amounts of a task off the use of its team.
func (arb *Arbiter[K, T]) Ended(name fleet.Team, urgent bool, size resource.Vector) {
	arb.account(name, urgent, resource.Vector{}.Minus(size))
}

func (arb *Arbiter[K, T]) account(name fleet.Team, urgent bool, change resource.Vector) {
	tem := arb.team(name)
	tem.used = tem.used.Plus(change)
	if urgent {
		tem.urgent = tem.urgent.Plus(change)
	}
	arb.reorder(tem)
}

// SetAside keeps a task that Next returned until the needed amounts may be
// free. Since is the time it was first set aside; it returns false when the
// key is already waiting.
func (arb *Arbiter[K, T]) Defer(key K, name fleet.Team, urgent bool, val T, need resource.Vector, since time.Time) bool {
	lan := arb.team(name).lanes[side(urgent)]
	if _, found := arb.byKey[key]; found {
		return false
	}
	pos, _ := slices.BinarySearchFunc(lan.asides, since, func(asd aside[K, T], at time.Time) int {
		return asd.since.Compare(at)
	})
	lan.asides = slices.Insert(lan.asides, pos, aside[K, T]{key: key, value: val, need: need, since: since})
	arb.byKey[key] = lan
	arb.enlist(lan)
	return true
}

// Wake makes tasks that were set aside eligible again, as many as the given
// amounts hold and at most wakeLimit: urgent ones first, then by relative use.
// It visits at most AsideLimit tasks of each lane.
func (arb *Arbiter[K, T]) Wake(free resource.Vector) {
	for range wakeLimit {
		lan, pos := arb.firstFitting(free)
		if lan == nil {
			return
		}
		free = free.Minus(lan.asides[pos].need)
		if !arb.wakeAt(lan, pos) {
			return
		}
	}
}

// WakeAll makes every task that was set aside eligible again. It finds what
// Wake cannot see: limits other than capacity that have been lifted.
func (arb *Arbiter[K, T]) WakeAll() {
	for _, tem := range arb.teams {
		for _, lan := range tem.lanes {
			for len(lan.asides) > 0 && arb.wakeAt(lan, 0) {
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
			pos := slices.IndexFunc(lan.asides, func(asd aside[K, T]) bool { return asd.need.FitsIn(free) })
			if pos >= 0 && (best == nil || arb.ahead(lan, best)) {
				best, at = lan, pos
			}
		}
	}
	return best, at
}

func (arb *Arbiter[K, T]) ahead(lan, oth *lane[K, T]) bool {
	if lan.urgent != oth.urgent {
		return lan.urgent
	}
	return arb.relative(lan) < arb.relative(oth)
}

func (arb *Arbiter[K, T]) wakeAt(lan *lane[K, T], pos int) bool {
	asd := lan.asides[pos]
	if !lan.waiting.Push(asd.key, returning, asd.since, asd.value) {
		return false
	}
	lan.asides = slices.Delete(lan.asides, pos, pos+1)
	arb.enlist(lan)
	return true
}

// Cancel removes a waiting task.
func (arb *Arbiter[K, T]) Cancel(key K) (T, bool) {
	var val T
	lan, found := arb.byKey[key]
	if !found {
		return val, false
	}
	delete(arb.byKey, key)
	if ent, waiting := lan.waiting.Remove(key); waiting {
		arb.enlist(lan)
		return ent.Value(), true
	}
	pos := slices.IndexFunc(lan.asides, func(asd aside[K, T]) bool { return asd.key == key })
	val = lan.asides[pos].value
	lan.asides = slices.Delete(lan.asides, pos, pos+1)
	arb.enlist(lan)
	return val, true
}
