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
// Costs are whole numbers in any unit, such as thousandths of a core. Each
// operation takes O(log n) of the waiting tasks; a wave of cancellations costs
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
	UrgentRow = 8
	// AsideLimit is the number of tasks of a lane that wait for capacity while others are tried.
	AsideLimit = 8
	// BackfillPeriod is how long smaller tasks may overtake one that fits nowhere.
	BackfillPeriod = 30 * time.Second
	// QueueLimit is the number of waiting tasks of one team.
	QueueLimit = 20_000
	// wakeLimit bounds the tasks tried for one amount of freed capacity.
	wakeLimit = 4
	// ReclaimAfter and UrgentReclaimAfter are the waits of a team below its
	// share before capacity is taken back. The urgent one leaves most of the
	// 1.1 s in which urgent work must start for the checkpoint and the start.
	ReclaimAfter       = 30 * time.Second
	UrgentReclaimAfter = 200 * time.Millisecond
	// claimSpacing leaves time for a checkpoint before the same lane claims again.
	claimSpacing = 5 * time.Second
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
	name   fleet.Team
	weight int64
	used   int64
	urgent int64
	lanes  [2]*lane[K, T] // ordinary, urgent
}

// relative returns the use that orders a lane. Urgent lanes compare urgent use
// only, so that a team busy with ordinary work is not late with urgent work.
func (lan *lane[K, T]) relative() float64 {
	if lan.urgent {
		return float64(lan.team.urgent) / float64(lan.team.weight)
	}
	return float64(lan.team.used) / float64(lan.team.weight)
}

// Arbiter holds the waiting tasks, identified by K, of all teams.
type Arbiter[K comparable, T any] struct {
	teams    []*team[K, T]
	byName   map[fleet.Team]*team[K, T]
	byKey    map[K]*lane[K, T]
	ready    [2]heap.Heap[rank[K, T]] // ordinary, urgent
	row      int
	weights  int64
	capacity int64
}

// SetCapacity sets the total cost that the fleet can run, from which shares are computed.
func (arb *Arbiter[K, T]) SetCapacity(total int64) { arb.capacity = total }

// Capacity returns the total cost that the fleet can run.
func (arb *Arbiter[K, T]) Capacity() int64 { return arb.capacity }

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

// Share returns the cost to which a team is entitled when all teams have work.
func (arb *Arbiter[K, T]) Share(name fleet.Team) int64 {
	tem := arb.team(name)
	return arb.capacity * tem.weight / max(1, arb.weights)
}

// Used returns the cost of the running tasks of a team.
func (arb *Arbiter[K, T]) Used(name fleet.Team) int64 { return arb.team(name).used }

// Relative returns the use of a team for its weight, which orders its lanes:
// the lane with the lower value is served first.
func (arb *Arbiter[K, T]) Relative(name fleet.Team, urgent bool) float64 {
	return arb.team(name).lanes[side(urgent)].relative()
}

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
	if lan.waiting.Len() == 0 || len(lan.asides) >= AsideLimit {
		hea.Remove(lan.item)
		return
	}
	rnk := rank[K, T]{use: lan.relative(), lane: lan}
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
	if arb.row >= UrgentRow && arb.ready[0].Len() > 0 {
		return [2]bool{false, true}
	}
	return [2]bool{true, false}
}

// Started adds the cost of a task to the use of its team.
func (arb *Arbiter[K, T]) Started(name fleet.Team, urgent bool, cost int64) {
	arb.account(name, urgent, cost)
}

// countRow counts the urgent tasks served in a row.
func (arb *Arbiter[K, T]) countRow(urgent bool) {
	if !urgent {
		arb.row = 0
		return
	}
	arb.row++
}

// Ended takes the cost of a task off the use of its team.
func (arb *Arbiter[K, T]) Ended(name fleet.Team, urgent bool, cost int64) {
	arb.account(name, urgent, -cost)
}

func (arb *Arbiter[K, T]) account(name fleet.Team, urgent bool, cost int64) {
	tem := arb.team(name)
	tem.used += cost
	if urgent {
		tem.urgent += cost
	}
	arb.reorder(tem)
}

// SetAside keeps a task that Next returned until the needed amounts may be
// free. Since is the time it was first set aside; it returns false when the
// key is already waiting.
func (arb *Arbiter[K, T]) SetAside(key K, name fleet.Team, urgent bool, val T, need resource.Vector, since time.Time) bool {
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
			if pos >= 0 && (best == nil || lan.ahead(best)) {
				best, at = lan, pos
			}
		}
	}
	return best, at
}

func (lan *lane[K, T]) ahead(oth *lane[K, T]) bool {
	if lan.urgent != oth.urgent {
		return lan.urgent
	}
	return lan.relative() < oth.relative()
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

// Claim is a team that waits below its share and may take capacity back.
type Claim[K comparable, T any] struct {
	key    K
	value  T
	team   fleet.Team
	urgent bool
	need   resource.Vector
	waited time.Duration
}

// Key returns the waiting task.
func (clm Claim[K, T]) Key() K { return clm.key }

// Value returns the value of the waiting task.
func (clm Claim[K, T]) Value() T { return clm.value }

// Team returns the team that is below its share.
func (clm Claim[K, T]) Team() fleet.Team { return clm.team }

// Urgent reports whether the waiting task is urgent.
func (clm Claim[K, T]) Urgent() bool { return clm.urgent }

// Need returns the amounts that the task needs.
func (clm Claim[K, T]) Need() resource.Vector { return clm.need }

// Waited returns how long the task has been set aside.
func (clm Claim[K, T]) Waited() time.Duration { return clm.waited }

// Claims returns the oldest task set aside of each lane whose team stays
// within its share with it and has waited for longer than the bound. A lane claims once in that period.
func (arb *Arbiter[K, T]) Claims(now time.Time) []Claim[K, T] {
	var claims []Claim[K, T]
	for _, tem := range arb.teams {
		for pos := len(tem.lanes) - 1; pos >= 0; pos-- {
			lan := tem.lanes[pos]
			if len(lan.asides) == 0 {
				continue
			}
			asd := lan.asides[0]
			if tem.used+asd.need.MilliCPU() > arb.Share(tem.name) {
				continue
			}
			waited := now.Sub(asd.since)
			after := reclaimAfter(lan.urgent)
			if waited >= after && now.Sub(lan.claimed) >= max(claimSpacing, after) {
				lan.claimed = now
				claims = append(claims, Claim[K, T]{
					key: asd.key, value: asd.value, team: tem.name,
					urgent: lan.urgent, need: asd.need, waited: waited,
				})
			}
		}
	}
	return claims
}

func reclaimAfter(urgent bool) time.Duration {
	if urgent {
		return UrgentReclaimAfter
	}
	return ReclaimAfter
}

// OverShare returns the teams that use more than their share, the one that
// exceeds it most first.
func (arb *Arbiter[K, T]) OverShare() []fleet.Team {
	var over []*team[K, T]
	for _, tem := range arb.teams {
		if tem.used > arb.Share(tem.name) {
			over = append(over, tem)
		}
	}
	slices.SortStableFunc(over, func(one, two *team[K, T]) int {
		left, right := float64(one.used)/float64(one.weight), float64(two.used)/float64(two.weight)
		switch {
		case left > right:
			return -1
		case left < right:
			return 1
		default:
			return 0
		}
	})
	names := make([]fleet.Team, 0, len(over))
	for _, tem := range over {
		names = append(names, tem.name)
	}
	return names
}
