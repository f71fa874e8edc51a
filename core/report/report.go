// Package report condenses the jobs of a deployment for people who come back to
// it after some hours: what ended, what is under way, and which jobs need attention.
//
// Each owner counts the jobs of its partitions into a Report, and the reports of
// all partitions are merged. A report covers the jobs that have not ended and
// those that ended since its beginning. Its size is bounded: there is one row
// for each team and class up to RowLimit, and up to ConcernLimit jobs are named;
// what is left out is counted.
//
// A Report must be used from one goroutine at a time. The zero value covers all
// jobs that are known.
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
	// RowLimit is the number of teams and classes that are told apart: 50 teams
	// with ten classes each. Callers choose the names of classes.
	RowLimit = 500
	// ConcernLimit is the number of jobs that are named, about what one person can look into.
	ItemLimit = 50
	// otherName stands for the team and class of jobs beyond RowLimit.
	otherName = "(other)"
)

// Key names a row.
type Key struct {
	team  fleet.Team
	class fleet.JobClass
}

// NewKey returns the name of the row of a team and a class.
func NewKey(tea fleet.Team, cls fleet.JobClass) Key { return Key{team: tea, class: cls} }

// Team returns the team.
func (key Key) Team() fleet.Team { return key.team }

// Class returns the job class.
func (key Key) Class() fleet.JobClass { return key.class }

func (key Key) compare(oth Key) int {
	return cmp.Or(cmp.Compare(key.team, oth.team), cmp.Compare(key.class, oth.class))
}

// Column is what a row counts.
type Column int

// Columns. A job counts under one of the states and, past its deadline, under
// Late too.
const (
	Finished Column = iota
	Cancelled
	Parked
	Running
	Waiting
	Late      // past the deadline, ended or not
	Evictions // of tasks
	columnCount
)

// Row counts the jobs of one team and class. The zero value counts none.
type Row struct {
	counts [columnCount]int
}

// With returns the row with a count replaced.
func (row Row) With(col Column, count int) Row {
	row.counts[col] = count
	return row
}

// Count returns the count of a column.
func (row Row) Count(col Column) int { return row.counts[col] }

// plus returns the sums of two rows.
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
	ConcernParked    Concern = iota // does not run again by itself
	ConcernOverdue                  // has not ended by its deadline
	ConcernEndedLate                // ended after its deadline
)

var concernNames = [...]string{ConcernParked: "parked", ConcernOverdue: "overdue", ConcernEndedLate: "endedLate"}

// String returns the name of the concern as used in formats.
func (con Concern) String() string { return concernNames[con] }

// ParseConcern returns the concern with a name.
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
	behind    time.Duration
	detail    string
}

// NewItem returns a job of a workspace that needs attention.
func NewItem(con Concern, id job.ID, key Key, wsp fleet.Workspace) Item {
	return Item{concern: con, id: id, key: key, workspace: wsp}
}

// WithTimes returns the item with the time of the submission and how far the job is behind its deadline.
func (itm Item) WithTimes(submitted time.Time, behind time.Duration) Item {
	itm.submitted, itm.behind = submitted, behind
	return itm
}

// WithDetail returns the item with an explanation.
func (itm Item) WithDetail(txt string) Item {
	itm.detail = txt
	return itm
}

// Concern returns why the job needs attention.
func (itm Item) Concern() Concern { return itm.concern }

// ID returns the job.
func (itm Item) ID() job.ID { return itm.id }

// Key returns the team and the class.
func (itm Item) Key() Key { return itm.key }

// Workspace returns the workspace.
func (itm Item) Workspace() fleet.Workspace { return itm.workspace }

// Submitted returns when the job was submitted.
func (itm Item) Submitted() time.Time { return itm.submitted }

// Behind returns how far the job is or was behind its deadline.
func (itm Item) Tardiness() time.Duration { return itm.behind }

// Detail returns why a task of the job is parked or waits, empty if that is not known.
func (itm Item) Detail() string { return itm.detail }

// compare orders by concern, then the one that is further behind, then the older one.
func (itm Item) compare(oth Item) int {
	return cmp.Or(cmp.Compare(itm.concern, oth.concern), cmp.Compare(oth.behind, itm.behind),
		itm.submitted.Compare(oth.submitted), cmp.Compare(itm.id, oth.id))
}

// Report counts jobs.
type Report struct {
	since    time.Time
	rows     map[Key]Row
	concerns []Item // sorted, at most ConcernLimit
	unnamed  int
}

// Since returns a report of the jobs that ended since a time or have not ended.
func Since(begin time.Time) *Report { return &Report{since: begin} }

// Count adds a job as it is now.
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

// columnOf lists the columns of the states of a job; a job in another state runs.
var columnOf = map[job.State]Column{
	job.Finished: Finished, job.Cancelled: Cancelled, job.Parked: Parked, job.Queued: Waiting, job.Offered: Waiting,
}

// rowOf counts one job by its state.
func rowOf(sum job.Summary) Row {
	col, found := columnOf[sum.State()]
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

// AddRow adds the counts of a row.
func (rpt *Report) AddRow(key Key, row Row) {
	if rpt.rows == nil {
		rpt.rows = make(map[Key]Row)
	}
	if _, found := rpt.rows[key]; !found && len(rpt.rows) >= RowLimit {
		key = NewKey(otherName, otherName)
	}
	rpt.rows[key] = rpt.rows[key].plus(row)
}

// AddItem names a job, unless ConcernLimit jobs that come before it are named.
func (rpt *Report) AddItem(itm Item) {
	pos, _ := slices.BinarySearchFunc(rpt.concerns, itm, Item.compare)
	rpt.concerns = slices.Insert(rpt.concerns, pos, itm)
	if len(rpt.concerns) > ItemLimit {
		rpt.concerns = rpt.concerns[:ItemLimit]
		rpt.unnamed++
	}
}

// Merge adds the counts and the jobs of another report.
func (rpt *Report) Merge(oth *Report) {
	for _, key := range oth.Keys() {
		rpt.AddRow(key, oth.Row(key))
	}
	for _, itm := range oth.concerns {
		rpt.AddItem(itm)
	}
	rpt.unnamed += oth.unnamed
}

// AddUnnamed counts jobs that need attention and are not named.
func (rpt *Report) AddUnnamed(count int) { rpt.unnamed += count }

// Keys returns the names of the rows in order.
func (rpt *Report) Keys() []Key {
	return slices.SortedFunc(maps.Keys(rpt.rows), Key.compare)
}

// Row returns the counts of a team and a class.
func (rpt *Report) Row(key Key) Row { return rpt.rows[key] }

// Items returns the jobs that need attention, the most urgent one first. The
// caller must not change the list.
func (rpt *Report) Items() []Item { return rpt.concerns }

// Unnamed returns how many more jobs need attention.
func (rpt *Report) Unnamed() int { return rpt.unnamed }
