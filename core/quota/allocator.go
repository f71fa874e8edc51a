package quota

import (
	"maps"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Limits of the reports to an Allocator.
const (
	// ReportPeriod is the least time between two reports of a process. Reports follow
	// each other as quickly when a team that may not borrow waits, when a limit was
	// lowered and after a report without an answer.
	ReportPeriod = 2 * time.Second
	// QuietPeriod is the time between two reports otherwise. With a report every
	// 2 s, 64 processes used a third of the traffic that a node may have.
	QuietPeriod = 6 * time.Second
	// UrgentBurst is the number of reports that a process may send before QuietPeriod
	// is over; one of them is restored every UrgentSpacing. This bounds the traffic
	// while tasks wait in all processes.
	UrgentBurst   = 5
	UrgentSpacing = 32 * time.Second
	// ChangeLimit is the number of teams in a report that is not complete, and in
	// its answer. The others wait for the next one. With five teams that wait for
	// their share in every report of every process, the process with the allocator
	// would exceed the traffic of a node (docs/CAPACITY.md).
	ChangeLimit = 3
	// ReportLifetime is how long a report counts without a further one. A process
	// that sends none for longer has lost its partitions to others, which report
	// their tasks instead. The time allows for QuietPeriod and four repetitions.
	ReportLifetime = 15 * time.Second
	// SettlePeriod is the time for which a new allocator collects reports without
	// granting anything. It suffices for two reports of each process: the first gets
	// the answer that the allocator does not know the process, so that the second is
	// complete. A process without one has lost its tasks to others.
	SettlePeriod = QuietPeriod + 2*ReportPeriod
	// GranularityParts is the divisor of the fleet's capacity that gives the granularity.
	// Leaving out changes within it keeps the messages small.
	GranularityParts = 400
)

// Use is the part of a report about one team: what it holds through the process.
type Use struct {
	team    fleet.Team
	amounts resource.Vector
	bound   resource.Vector
	limit   resource.Vector
	want    resource.Vector
	// unconfirmed is a former, higher limit that the process may still apply, because
	// it has not confirmed the present one. Set by the allocator only.
	unconfirmed resource.Vector
	boundsKnown bool      // the allocator already has bound and limit
	reportedAt  time.Time // set by the reporter only
}

// NewUse returns the amounts that a team holds through a process.
func NewUse(name fleet.Team, amounts resource.Vector) Use { return Use{team: name, amounts: amounts} }

// Bounded returns the use of a team that may not borrow, with its bound in the whole
// fleet and the limit that the process applies.
func (use Use) Bounded(bound, limit resource.Vector) Use {
	use.bound, use.limit = bound, limit
	return use
}

// Waiting returns the use with what the first waiting task of the team needs, zero for none.
func (use Use) Waiting(want resource.Vector) Use {
	use.want = want
	return use
}

// Team returns the team that the use is about.
func (use Use) Team() fleet.Team { return use.team }

// Amounts returns what the team holds through the process.
func (use Use) Amounts() resource.Vector { return use.amounts }

// Bound returns what the team may hold in the fleet, zero if it may borrow.
func (use Use) Bound() resource.Vector { return use.bound }

// Limit returns what the team may hold through the process.
func (use Use) Limit() resource.Vector { return use.limit }

// Want returns what the first waiting task needs, zero if none waits.
func (use Use) Want() resource.Vector { return use.want }

// BoundsKnown reports whether the allocator already has bound and limit from this
// process, so that they need not be sent.
func (use Use) BoundsKnown() bool { return use.boundsKnown }

// WithBoundsKnown returns the use marked as one whose bound and limit the allocator
// already has.
func (use Use) WithBoundsKnown() Use {
	use.boundsKnown = true
	return use
}

// bounded reports whether the team may not borrow.
func (use Use) bounded() bool { return use.bound != resource.Vector{} }

// waits reports whether a task of the team waits.
func (use Use) waits() bool { return use.want != resource.Vector{} }

// urgent reports whether a task may be waiting for a higher limit.
func (use Use) urgent() bool { return use.bounded() && use.waits() }

// reserved returns what counts against the bound of the team.
func (use Use) reserved() resource.Vector { return use.amounts.Max(use.limit).Max(use.unconfirmed) }

// Empty reports whether the use needs no record.
func (use Use) Empty() bool {
	return use.reserved() == resource.Vector{} && !use.waits()
}

// Allotment is the part of an answer about one team: what it holds through other
// processes and, if it may not borrow, what it may hold through this one.
type Allotment struct {
	team      fleet.Team
	elsewhere resource.Vector
	limit     resource.Vector
	sentAt    time.Time // set by the allocator only
}

// NewAllotment returns the allotment of a team.
func NewAllotment(name fleet.Team, elsewhere, limit resource.Vector) Allotment {
	return Allotment{team: name, elsewhere: elsewhere, limit: limit}
}

// Team returns the team that the allotment is about.
func (alm Allotment) Team() fleet.Team { return alm.team }

// Elsewhere returns what the team holds through other processes.
func (alm Allotment) Elsewhere() resource.Vector { return alm.elsewhere }

// Limit returns what the team may hold through the process.
func (alm Allotment) Limit() resource.Vector { return alm.limit }

// Answer is the answer to a report.
type Answer struct {
	known      bool
	settled    bool
	allotments []Allotment
}

// NewAnswer returns an answer with the allotments that have changed. See the methods of
// Answer for known and settled.
func NewAnswer(known, settled bool, allotments []Allotment) Answer {
	return Answer{known: known, settled: settled, allotments: allotments}
}

// Known reports whether the allocator has a complete report of the process. If not,
// the next report must be complete.
func (ans Answer) Known() bool { return ans.known }

// Settled reports whether SettlePeriod is over, so that the allocator knows all
// processes.
func (ans Answer) Settled() bool { return ans.settled }

// Allotments returns what has changed since the last answer.
func (ans Answer) Allotments() []Allotment { return ans.allotments }

// processState is what the allocator knows of one process.
type processState struct {
	process     fleet.Process
	reportedAt  time.Time
	uses        map[fleet.Team]Use
	sent        map[fleet.Team]Allotment
	granularity resource.Vector // changes within it are not sent
}

// total is the sum of the uses of one team over all processes.
type total struct {
	amounts  resource.Vector
	reserved resource.Vector
	waiting  int64
}

func (tot *total) add(use Use, sign int64) {
	tot.amounts = tot.amounts.Plus(use.amounts.Times(sign))
	tot.reserved = tot.reserved.Plus(use.reserved().Times(sign))
	if use.waits() {
		tot.waiting += sign
	}
}

// Allocator adds up the reports of all processes and divides the bound of each team
// that may not borrow among them. One process of the fleet has it, in memory only; if
// it is lost, a new one rebuilds the sums from the next reports. A granted limit counts
// as used, and a lowered limit counts with its former value until the next report
// confirms the new one. Therefore the limits of all processes together stay within the
// bound in whatever order reports arrive and whichever answers are lost. The zero value
// works.
type Allocator struct {
	startedAt time.Time // of the first report
	processes map[fleet.InstanceID]*processState
	totals    map[fleet.Team]*total
}

// Report applies a report of a process, with the uses that have changed or, if it is
// complete, all of them. The answer has the allotments of its teams that have changed by
// more than the granularity of its last complete report. A report that is not complete
// confirms the answer to the previous one.
func (alc *Allocator) Report(from fleet.Process, complete bool, uses []Use, granularity resource.Vector, now time.Time) Answer {
	if alc.processes == nil {
		alc.startedAt, alc.processes, alc.totals = now, make(map[fleet.InstanceID]*processState), make(map[fleet.Team]*total)
	}
	alc.expire(now)
	pst := alc.processes[from.Instance()]
	if complete || pst != nil && pst.process != from {
		alc.removeProcess(from.Instance())
		pst = nil
	}
	if pst == nil && !complete {
		return Answer{}
	}
	if pst == nil {
		pst = &processState{process: from, uses: make(map[fleet.Team]Use), sent: make(map[fleet.Team]Allotment)}
		alc.processes[from.Instance()] = pst
	}
	pst.reportedAt = now
	if complete {
		pst.granularity = granularity
	} else {
		alc.confirm(pst)
	}
	for _, use := range uses {
		if old := pst.uses[use.team]; use.boundsKnown {
			use = use.Bounded(old.bound, old.limit)
		}
		use.boundsKnown = false
		alc.setUse(pst, use)
	}
	if now.Sub(alc.startedAt) < SettlePeriod {
		return Answer{known: true}
	}
	return Answer{known: true, settled: true, allotments: alc.allot(pst, complete)}
}

// confirm discards the former limits of a process that has received the present ones.
func (alc *Allocator) confirm(pst *processState) {
	for _, use := range pst.uses {
		if use.unconfirmed != (resource.Vector{}) {
			use.unconfirmed = resource.Vector{}
			alc.setUse(pst, use)
		}
	}
}

func (alc *Allocator) expire(now time.Time) {
	for id, pst := range alc.processes {
		if now.Sub(pst.reportedAt) > ReportLifetime {
			alc.removeProcess(id)
		}
	}
}

func (alc *Allocator) removeProcess(id fleet.InstanceID) {
	if pst := alc.processes[id]; pst != nil {
		for name := range pst.uses {
			alc.setUse(pst, Use{team: name})
		}
		delete(alc.processes, id)
	}
}

// setUse replaces the use of a team through a process.
func (alc *Allocator) setUse(pst *processState, use Use) {
	tot := alc.totals[use.team]
	if tot == nil {
		tot = &total{}
		alc.totals[use.team] = tot
	}
	tot.add(pst.uses[use.team], -1)
	tot.add(use, 1)
	pst.uses[use.team] = use
	if use.Empty() {
		delete(pst.uses, use.team)
		delete(pst.sent, use.team)
	}
	if *tot == (total{}) {
		delete(alc.totals, use.team)
	}
}

// allot returns the allotments to send to a process: at most ChangeLimit unless its
// report is complete or none was sent before. Teams that wait for their share come
// first, then those whose allotment was sent longest ago.
func (alc *Allocator) allot(pst *processState, complete bool) []Allotment {
	var list []Allotment
	all := complete || len(pst.sent) == 0
	for _, name := range alc.order(pst) {
		if !all && len(list) == ChangeLimit {
			break
		}
		use := pst.uses[name]
		tot := alc.totals[name]
		alm, limit := Allotment{team: name, elsewhere: tot.amounts.Minus(use.amounts)}, use.limit
		if use.bounded() {
			alm.limit = alc.limit(use, tot)
		}
		old, found := pst.sent[name]
		if found && limit == alm.limit && withinGranularity(old.elsewhere, alm.elsewhere, pst.granularity) {
			continue
		}
		if use.bounded() {
			use.limit, use.unconfirmed = alm.limit, use.unconfirmed.Max(limit)
			alc.setUse(pst, use)
		}
		alm.sentAt = pst.reportedAt
		pst.sent[name] = alm
		list = append(list, alm)
	}
	return list
}

// order returns the teams of a process in the order in which allotments are sent.
func (alc *Allocator) order(pst *processState) []fleet.Team {
	names := sortedTeams(pst.uses)
	slices.SortStableFunc(names, func(one, two fleet.Team) int {
		return compareUrgency(pst.uses[one].urgent(), pst.uses[two].urgent(), pst.sent[one].sentAt, pst.sent[two].sentAt)
	})
	return names
}

// compareUrgency orders urgent teams before others, and those of a kind by the time of
// the latest message about them.
func compareUrgency(one, two bool, oneAt, twoAt time.Time) int {
	switch {
	case one && !two:
		return -1
	case two && !one:
		return 1
	default:
		return oneAt.Compare(twoAt)
	}
}

// limit returns what a team may hold through a process: what it holds and an equal
// part of what is left. Only processes with waiting tasks of the team share in it, or
// all if there are none. A part smaller than the waiting task is raised to the task's
// needs if that much is left. A team that holds nothing anywhere may start one task
// even if it exceeds the bound.
func (alc *Allocator) limit(use Use, tot *total) resource.Vector {
	others := tot.reserved.Minus(use.reserved())
	left := use.bound.Minus(others).Minus(use.amounts)
	waits := use.waits()
	switch {
	case !left.Valid():
		return use.amounts.Plus(left.Min(resource.Vector{}).DividedBy(int64(len(alc.processes)))).Max(resource.Vector{})
	case waits && others.Plus(use.amounts) == (resource.Vector{}):
		return left.Max(use.want)
	case waits && use.want.FitsIn(left):
		return use.amounts.Plus(left.DividedBy(tot.waiting).Max(use.want))
	case waits || tot.waiting > 0:
		return use.amounts
	default:
		return use.amounts.Plus(left.DividedBy(int64(len(alc.processes))))
	}
}

func sortedTeams[V any](byName map[fleet.Team]V) []fleet.Team {
	return slices.Sorted(maps.Keys(byName))
}

// unchanged reports whether a use need not be reported again. For a team that may not
// borrow, a change of what the waiting task needs counts too.
func (use Use) unchanged(oth Use, granularity resource.Vector) bool {
	waits := use.waits() == oth.waits()
	if use.bounded() {
		waits = use.want == oth.want
	}
	return waits && use.bound == oth.bound && use.limit == oth.limit && withinGranularity(use.amounts, oth.amounts, granularity)
}

// withinGranularity reports whether two amounts differ by at most the granularity.
func withinGranularity(one, two, granularity resource.Vector) bool {
	return one.Minus(two).FitsIn(granularity) && two.Minus(one).FitsIn(granularity)
}
