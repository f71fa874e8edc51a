package quota

import (
	"maps"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Timing of the census.
const (
	// ReportPeriod is how often each process may report: when a team that may not
	// borrow waits, when a limit was lowered, and after a report without an answer.
	ReportPeriod = 2 * time.Second
	// QuietPeriod is how often a process reports otherwise. With reports each
	// 2 s, 64 processes used a third of the traffic that a node may have.
	QuietPeriod = 6 * time.Second
	// UrgentBurst is the number of reports that a process may make before their
	// quiet time, one of which comes back each UrgentSpacing. It bounds the traffic
	// when all processes wait all the time.
	UrgentBurst   = 5
	UrgentSpacing = 32 * time.Second
	// ChangeLimit is the number of teams in a report that is not complete, and in
	// its answer. The others wait for the next one. With five teams that wait for
	// their share in every report of every process, the owner of the census would
	// exceed the traffic of a node (docs/CAPACITY.md).
	ChangeLimit = 3
	// ReportLife is how long a report counts without a further one. A process
	// that is silent for longer has lost its partitions to others, which report
	// their tasks instead. It leaves time for a quiet report and four repetitions.
	ReportLifetime = 15 * time.Second
	// SettlePeriod is how long a new census only listens. All processes have
	// reported by then, unless their tasks have passed to others: the first report
	// of each is not known, and the next one is complete.
	SettlePeriod = QuietPeriod + 2*ReportPeriod
	// GranularityParts is the part of the fleet below which changes are not told, which
	// keeps the messages small.
	GranularityParts = 400
)

// Use is what a team holds through one process.
type Use struct {
	team    fleet.Team
	amounts resource.Vector
	bound   resource.Vector
	limit   resource.Vector
	want    resource.Vector
	// held is a higher limit that the process may still keep to, because it has
	// not confirmed the present one. Known to the census only.
	held resource.Vector
	kept bool      // bound and limit are those that the census knows
	at   time.Time // of the report; known to the reporter only
}

// NewUse returns the amounts that a team holds through a process.
func NewUse(name fleet.Team, amounts resource.Vector) Use { return Use{team: name, amounts: amounts} }

// Bounded returns the use of a team that may not borrow: its bound in the whole
// fleet and the limit that the process keeps to.
func (use Use) Bounded(bound, limit resource.Vector) Use {
	use.bound, use.limit = bound, limit
	return use
}

// Waiting returns the use with what the first waiting task of the team needs, zero for none.
func (use Use) Waiting(want resource.Vector) Use {
	use.want = want
	return use
}

// Team returns the team.
func (use Use) Team() fleet.Team { return use.team }

// Amounts returns what the team holds.
func (use Use) Amounts() resource.Vector { return use.amounts }

// Bound returns what the team may hold in the fleet, zero if it may borrow.
func (use Use) Bound() resource.Vector { return use.bound }

// Limit returns what the team may hold through the process.
func (use Use) Limit() resource.Vector { return use.limit }

// Want returns what the first waiting task needs.
func (use Use) Want() resource.Vector { return use.want }

// Kept reports whether bound and limit are those that the census has from this
// process, so that they need not be sent.
func (use Use) BoundsKnown() bool { return use.kept }

// Keeping returns the use of a team whose bound and limit the census knows.
func (use Use) WithBoundsKnown() Use {
	use.kept = true
	return use
}

// bounded reports whether the team may not borrow.
func (use Use) bounded() bool { return use.bound != resource.Vector{} }

// waits reports whether a task of the team waits.
func (use Use) waits() bool { return use.want != resource.Vector{} }

// urgent reports whether a task waits for what the census grants.
func (use Use) urgent() bool { return use.bounded() && use.waits() }

// reserved returns what counts against the bound of the team.
func (use Use) reserved() resource.Vector { return use.amounts.Max(use.limit).Max(use.held) }

// Empty reports whether the use needs no record.
func (use Use) Empty() bool {
	return use.reserved() == resource.Vector{} && !use.waits()
}

// Allotment tells a process about a team: what other processes hold and, for a
// team that may not borrow, what it may hold through this process.
type Allotment struct {
	team      fleet.Team
	elsewhere resource.Vector
	limit     resource.Vector
	at        time.Time // when it was told; known to the census only
}

// NewAllotment returns the allotment of a team.
func NewAllotment(name fleet.Team, elsewhere, limit resource.Vector) Allotment {
	return Allotment{team: name, elsewhere: elsewhere, limit: limit}
}

// Team returns the team.
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

// NewAnswer returns an answer with the allotments that changed.
func NewAnswer(known, settled bool, allotments []Allotment) Answer {
	return Answer{known: known, settled: settled, allotments: allotments}
}

// Known reports whether the census has a complete report of the process. If not,
// the next report must be complete.
func (ans Answer) Known() bool { return ans.known }

// Settled reports whether the census knows the whole fleet.
func (ans Answer) Settled() bool { return ans.settled }

// Allotments returns what has changed since the last answer.
func (ans Answer) Allotments() []Allotment { return ans.allotments }

// report is the last known state of one process.
type report struct {
	process     fleet.Process
	at          time.Time
	uses        map[fleet.Team]Use
	told        map[fleet.Team]Allotment
	granularity resource.Vector // of the changes to tell
}

// total is the sum over all processes for one team.
type total struct {
	amounts   resource.Vector
	reserved  resource.Vector
	claimants int64
}

func (tot *total) add(use Use, sign int64) {
	tot.amounts = tot.amounts.Plus(use.amounts.Times(sign))
	tot.reserved = tot.reserved.Plus(use.reserved().Times(sign))
	if use.waits() {
		tot.claimants += sign
	}
}

// Census adds up what the processes of the fleet report and divides the bound
// of each team that may not borrow among them. One process keeps it, in memory
// only: the sums are rebuilt from the next reports. What was granted counts as
// used, and a limit that was lowered counts until the next report shows that the
// process has heard of it, so the limits of all processes together stay within the
// bound, whatever the order of the reports and whichever answers are lost. The
// zero value works.
type Allocator struct {
	since   time.Time // of the first report
	reports map[fleet.InstanceID]*report
	totals  map[fleet.Team]*total
}

// Report takes in the uses of a process that have changed, or all of them when
// complete, and answers with what concerns its teams. Changes below the granularity
// of its last complete report are not told. A report that is not complete confirms
// the answer to the one before it.
func (cen *Allocator) Report(from fleet.Process, complete bool, uses []Use, granularity resource.Vector, now time.Time) Answer {
	if cen.reports == nil {
		cen.since, cen.reports, cen.totals = now, make(map[fleet.InstanceID]*report), make(map[fleet.Team]*total)
	}
	cen.expire(now)
	rep := cen.reports[from.Instance()]
	if complete || rep != nil && rep.process != from {
		cen.forget(from.Instance())
		rep = nil
	}
	if rep == nil && !complete {
		return Answer{}
	}
	if rep == nil {
		rep = &report{process: from, uses: make(map[fleet.Team]Use), told: make(map[fleet.Team]Allotment)}
		cen.reports[from.Instance()] = rep
	}
	rep.at = now
	if complete {
		rep.granularity = granularity
	} else {
		cen.confirm(rep)
	}
	for _, use := range uses {
		if old := rep.uses[use.team]; use.kept {
			use = use.Bounded(old.bound, old.limit)
		}
		use.kept = false
		cen.set(rep, use)
	}
	if now.Sub(cen.since) < SettlePeriod {
		return Answer{known: true}
	}
	return Answer{known: true, settled: true, allotments: cen.allot(rep, complete)}
}

// confirm drops the limits that the process no longer keeps to.
func (cen *Allocator) confirm(rep *report) {
	for _, use := range rep.uses {
		if use.held != (resource.Vector{}) {
			use.held = resource.Vector{}
			cen.set(rep, use)
		}
	}
}

func (cen *Allocator) expire(now time.Time) {
	for id, rep := range cen.reports {
		if now.Sub(rep.at) > ReportLifetime {
			cen.forget(id)
		}
	}
}

func (cen *Allocator) forget(id fleet.InstanceID) {
	if rep := cen.reports[id]; rep != nil {
		for name := range rep.uses {
			cen.set(rep, Use{team: name})
		}
		delete(cen.reports, id)
	}
}

// set replaces the use of a team through a process.
func (cen *Allocator) set(rep *report, use Use) {
	tot := cen.totals[use.team]
	if tot == nil {
		tot = &total{}
		cen.totals[use.team] = tot
	}
	tot.add(rep.uses[use.team], -1)
	tot.add(use, 1)
	rep.uses[use.team] = use
	if use.Empty() {
		delete(rep.uses, use.team)
		delete(rep.told, use.team)
	}
	if *tot == (total{}) {
		delete(cen.totals, use.team)
	}
}

// allot returns what a process has to be told: at most ChangeLimit teams unless
// its report is complete or nothing was told before. Teams that wait for their share go first, then those
// that were told longest ago.
func (cen *Allocator) allot(rep *report, complete bool) []Allotment {
	var list []Allotment
	all := complete || len(rep.told) == 0
	for _, name := range cen.order(rep) {
		if !all && len(list) == ChangeLimit {
			break
		}
		use := rep.uses[name]
		tot := cen.totals[name]
		alm, limit := Allotment{team: name, elsewhere: tot.amounts.Minus(use.amounts)}, use.limit
		if use.bounded() {
			alm.limit = cen.limit(use, tot)
		}
		old, told := rep.told[name]
		if told && limit == alm.limit && near(old.elsewhere, alm.elsewhere, rep.granularity) {
			continue
		}
		if use.bounded() {
			use.limit, use.held = alm.limit, use.held.Max(limit)
			cen.set(rep, use)
		}
		alm.at = rep.at
		rep.told[name] = alm
		list = append(list, alm)
	}
	return list
}

// order returns the teams of a process in the order in which they are told.
func (cen *Allocator) order(rep *report) []fleet.Team {
	names := sortedTeams(rep.uses)
	slices.SortStableFunc(names, func(one, two fleet.Team) int {
		return byUrgency(rep.uses[one].urgent(), rep.uses[two].urgent(), rep.told[one].at, rep.told[two].at)
	})
	return names
}

// byUrgency orders urgent teams before others, and those of a kind by the time
// at which they were told.
func byUrgency(one, two bool, oneAt, twoAt time.Time) int {
	switch {
	case one && !two:
		return -1
	case two && !one:
		return 1
	default:
		return oneAt.Compare(twoAt)
	}
}

// limit returns what a team may hold through a process: what it holds and an
// equal part of what is left among the processes with waiting tasks, or among
// all if none waits. A part too small for the waiting task is rounded up to it
// if that much is left, and a team that holds nothing may start one task.
func (cen *Allocator) limit(use Use, tot *total) resource.Vector {
	others := tot.reserved.Minus(use.reserved())
	left := use.bound.Minus(others).Minus(use.amounts)
	waits := use.waits()
	switch {
	case !left.Valid():
		return use.amounts.Plus(left.Min(resource.Vector{}).Over(int64(len(cen.reports)))).Max(resource.Vector{})
	case waits && others.Plus(use.amounts) == (resource.Vector{}):
		return left.Max(use.want)
	case waits && use.want.FitsIn(left):
		return use.amounts.Plus(left.Over(tot.claimants).Max(use.want))
	case waits || tot.claimants > 0:
		return use.amounts
	default:
		return use.amounts.Plus(left.Over(int64(len(cen.reports))))
	}
}

func sortedTeams[V any](byName map[fleet.Team]V) []fleet.Team {
	return slices.Sorted(maps.Keys(byName))
}

// similar reports whether a use need not be reported again.
func (use Use) similar(oth Use, granularity resource.Vector) bool {
	waits := use.waits() == oth.waits()
	if use.bounded() {
		waits = use.want == oth.want
	}
	return waits && use.bound == oth.bound && use.limit == oth.limit && near(use.amounts, oth.amounts, granularity)
}

// near reports whether two amounts differ by at most the granularity.
func near(one, two, granularity resource.Vector) bool {
	return one.Minus(two).FitsIn(granularity) && two.Minus(one).FitsIn(granularity)
}
