// Package report summarizes the jobs of a deployment over a period of hours: how many jobs are in
// each state, and which ones need attention.
//
// Each owner adds the jobs of its partitions to a Report, and the reports of all partitions are
// merged. A report covers the jobs that have not ended and those that ended since its start. Its
// size is bounded: teams and classes beyond RowLimit share one row, and of the jobs that need
// attention the most urgent ones up to ItemLimit are listed and the others counted.
//
// A Report must be used from one goroutine at a time. The zero value covers all jobs that the owners
// still know.
package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
)

// Bounds of a report.
const (
	// RowLimit is the number of pairs of a team and a class with rows of their own, enough for 50 teams
	// with ten classes each. It is needed because callers choose the names of classes.
	RowLimit = 500
	// ItemLimit is the number of listed jobs, about as many as one person can look into.
	ItemLimit = 50
	// otherRow is the team and the class in the key of the row of jobs beyond RowLimit.
	otherRow = "(other)"
)

// Key identifies a row.
type Key struct {
	team  fleet.Team
	class fleet.JobClass
}

// NewKey returns the key of the row of a team and a class.
func NewKey(tea fleet.Team, cls fleet.JobClass) Key { return Key{team: tea, class: cls} }

// Team returns the team.
func (key Key) Team() fleet.Team { return key.team }

// Class returns the job class.
func (key Key) Class() fleet.JobClass { return key.class }

func (key Key) compare(oth Key) int {
	return cmp.Or(cmp.Compare(key.team, oth.team), cmp.Compare(key.class, oth.class))
}

// Column is one of the counts in a row.
type Column int

// Columns. A job counts in the column of its state, and also in Late if it is past its deadline.
const (
	Finished Column = iota
	Cancelled
	Parked
	Running
	Waiting
	Late      // not ended by the deadline, whatever the state
	Evictions // evictions of tasks
	columnCount
)

// Row holds the counts of one team and class. In the zero value they are zero.
type Row struct {
	counts [columnCount]int
}

// With returns the row with the count of a column replaced.
func (row Row) With(col Column, count int) Row {
	row.counts[col] = count
	return row
}

// Count returns the count of a column.
func (row Row) Count(col Column) int { return row.counts[col] }

// plus returns the sum of two rows.
func (row Row) plus(oth Row) Row {
	for col, count := range oth.counts {
		row.counts[col] += count
	}
	return row
}

// Concern is why a job needs attention.
type Concern int

// Concerns, the most urgent one first.
const (
	ConcernParked    Concern = iota // has a parked task, which runs again only when it is released
	ConcernOverdue                  // has not ended by its deadline
	ConcernEndedLate                // ended after its deadline
)

var concernNames = [...]string{ConcernParked: "parked", ConcernOverdue: "overdue", ConcernEndedLate: "endedLate"}

// String returns the name of the concern in messages.
func (con Concern) String() string { return concernNames[con] }

// ParseConcern returns the concern whose String is name, and false if there is none.
func ParseConcern(name string) (Concern, bool) {
	pos := slices.Index(concernNames[:], name)
	return Concern(pos), pos >= 0
}

// Item is a job that needs attention.
type Item struct {
	concern   Concern
	id        job.ID
	key       Key
	workspace fleet.Workspace
	submitted time.Time
	tardiness time.Duration
	detail    string
}

// NewItem returns an item for a job of a workspace.
func NewItem(con Concern, id job.ID, key Key, wsp fleet.Workspace) Item {
	return Item{concern: con, id: id, key: key, workspace: wsp}
}

// WithTimes returns the item with the time of submission and the tardiness of the job.
func (itm Item) WithTimes(submitted time.Time, behind time.Duration) Item {
	itm.submitted, itm.tardiness = submitted, behind
	return itm
}

// WithDetail returns the item with the reason why a task of the job is parked or waits.
func (itm Item) WithDetail(txt string) Item {
	itm.detail = txt
	return itm
}

// Concern returns why the job needs attention.
func (itm Item) Concern() Concern { return itm.concern }

// ID returns the identifier of the job.
func (itm Item) ID() job.ID { return itm.id }

// Key returns the team and the class of the job.
func (itm Item) Key() Key { return itm.key }

// Workspace returns the workspace of the job.
func (itm Item) Workspace() fleet.Workspace { return itm.workspace }

// Submitted returns when the job was submitted.
func (itm Item) Submitted() time.Time { return itm.submitted }

// Tardiness returns how long after its deadline the job ended, or how far it is past it now.
func (itm Item) Tardiness() time.Duration { return itm.tardiness }

// Detail returns why a task of the job is parked or waits, or nothing if that is not known.
func (itm Item) Detail() string { return itm.detail }

// compare orders items by concern, then by falling tardiness, then by time of submission.
func (itm Item) compare(oth Item) int {
	return cmp.Or(cmp.Compare(itm.concern, oth.concern), cmp.Compare(oth.tardiness, itm.tardiness),
		itm.submitted.Compare(oth.submitted), cmp.Compare(itm.id, oth.id))
}

// Report counts the jobs of each team and class and lists those that need attention.
type Report struct {
	since   time.Time
	rows    map[Key]Row
	items   []Item // sorted, at most ItemLimit
	unnamed int
}

// Since returns an empty report for jobs that ended at or after a time or have not ended.
func Since(begin time.Time) *Report { return &Report{since: begin} }

// AddJob adds a job, unless it ended before the start of the report.
func (rpt *Report) AddJob(sum job.Summary, now time.Time) {
	if !sum.Ended().IsZero() && sum.Ended().Before(rpt.since) {
		return
	}
	key := NewKey(sum.Team(), sum.Class())
	row, late := rowOf(sum), sum.Tardiness(now)
	if late > 0 {
		row = row.With(Late, 1)
	}
	rpt.AddRow(key, row)
	if con, concerned := concernOf(sum, late); concerned {
		rpt.AddItem(NewItem(con, sum.ID(), key, sum.Workspace()).WithTimes(sum.Submitted(), late).WithDetail(sum.Detail()))
	}
}

// stateColumns maps the states of a job to columns. Jobs in other states count as running.
var stateColumns = map[job.State]Column{
	job.Finished: Finished, job.Cancelled: Cancelled, job.Parked: Parked, job.Queued: Waiting, job.Offered: Waiting,
}

// rowOf returns a row that counts only this job and its evictions.
func rowOf(sum job.Summary) Row {
	col, found := stateColumns[sum.State()]
	if !found {
		col = Running
	}
	return Row{}.With(col, 1).With(Evictions, sum.Evictions())
}

func concernOf(sum job.Summary, late time.Duration) (Concern, bool) {
	switch {
	case sum.Tasks(job.Parked) > 0:
		return ConcernParked, true
	case late > 0 && sum.Ended().IsZero():
		return ConcernOverdue, true
	case late > 0 && sum.State() == job.Finished:
		return ConcernEndedLate, true
	}
	return 0, false
}

// AddRow adds the counts of a row to those of a team and a class.
func (rpt *Report) AddRow(key Key, row Row) {
	if rpt.rows == nil {
		rpt.rows = make(map[Key]Row)
	}
	if _, found := rpt.rows[key]; !found && len(rpt.rows) >= RowLimit {
		key = NewKey(otherRow, otherRow)
	}
	rpt.rows[key] = rpt.rows[key].plus(row)
}

// AddItem adds a job to the list. If the list exceeds ItemLimit, its least urgent job is removed and
// counted by Unnamed.
func (rpt *Report) AddItem(itm Item) {
	pos, _ := slices.BinarySearchFunc(rpt.items, itm, Item.compare)
	rpt.items = slices.Insert(rpt.items, pos, itm)
	if len(rpt.items) > ItemLimit {
		rpt.items = rpt.items[:ItemLimit]
		rpt.unnamed++
	}
}

// Merge adds the counts and the listed jobs of another report.
func (rpt *Report) Merge(oth *Report) {
	for _, key := range oth.Keys() {
		rpt.AddRow(key, oth.Row(key))
	}
	for _, itm := range oth.items {
		rpt.AddItem(itm)
	}
	rpt.unnamed += oth.unnamed
}

// AddUnnamed adds a number of jobs that need attention but are not listed.
func (rpt *Report) AddUnnamed(count int) { rpt.unnamed += count }

// Keys returns the keys of the rows, ordered by team and class.
func (rpt *Report) Keys() []Key {
	return slices.SortedFunc(maps.Keys(rpt.rows), Key.compare)
}

// Row returns the counts of a team and a class.
func (rpt *Report) Row(key Key) Row { return rpt.rows[key] }

// Items returns the listed jobs, the most urgent one first. The caller must not change the list.
func (rpt *Report) Items() []Item { return rpt.items }

// Unnamed returns the number of jobs that need attention but are not listed.
func (rpt *Report) Unnamed() int { return rpt.unnamed }
