// Package reqlog records the states of the requests that an agent received, so that
// each request is started at most once and its result can be queried later.
//
// Resolve returns NotRun for an ID only if this agent process has never started the
// request and never will: it records the ID as fenced, and a later delivery is
// refused. That needs a record of every ID, but memory is bounded, so the log keeps a
// low-water mark for each entry process:
//
//   - Every ID that the log has seen and whose counter is above the mark has a record.
//   - Dropping a record raises the mark of its entry process to its counter.
//   - An ID at or below the mark without a record is in the state RecordDropped: a
//     delivery is not started, and Resolve returns that state. The log may never have seen
//     such an ID, but not starting it is the safe choice.
//
// An entry process numbers all of its requests with one counter. An agent receives
// some of them, in any order. When an entry has a newer process, older processes are
// replaced by a single incarnation, closedUpTo, once their records are dropped.
//
// The number of entries is bounded too: above a limit, entries that were idle for an
// hour are dropped. After that, IDs of unknown entries resolve to RecordDropped, and
// the first delivery from each of their processes sets the low-water mark to just
// below its counter. The log treats that delivery as new, which assumes that no frame
// is delayed by an hour.
//
// Records of running requests are never dropped. Their number is bounded by the
// admission queue and the slots. Answers are kept for a shorter time than records and
// within a limit of bytes.
//
// A is the type of an answer. A Log is not safe for concurrent use: only the control
// goroutine may use it.
package reqlog

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Limits bounds the memory of a log.
type Limits struct {
	recordWindow time.Duration
	answerWindow time.Duration
	idleWindow   time.Duration
	records      int
	answerBytes  int
	entries      int
}

// DefaultLimits returns limits that keep a log below about 32 MB. At 800 requests
// per second, the records cover the last 80 s.
func DefaultLimits() Limits {
	return Limits{recordWindow: 10 * time.Minute, answerWindow: time.Minute, idleWindow: time.Hour, records: 65536, answerBytes: 16 << 20, entries: 1024}
}

// WithWindows returns the limits with the times for which records, answers and idle
// entries are kept.
func (lim Limits) WithWindows(records, answers, idle time.Duration) Limits {
	lim.recordWindow, lim.answerWindow, lim.idleWindow = records, answers, idle
	return lim
}

// WithSizes returns the limits with the largest numbers of ended records, of bytes of
// answers and of entries.
func (lim Limits) WithSizes(records, bytes, entries int) Limits {
	lim.records, lim.answerBytes, lim.entries = records, bytes, entries
	return lim
}

// State is the state of a request ID in the log.
type State int

// States of an ID.
const (
	Unseen        State = iota // the log has not seen the ID
	Running                    // queued or started
	Answered                   // the endpoint answered
	NotRun                     // refused or fenced, so it will never start
	EndUnknown                 // started, with an unknown end
	RecordDropped              // at or below the low-water mark, without a record
)

// Result is the result of looking up an ID.
type Result[A any] struct {
	state  State
	answer A
	kept   bool
}

// State returns the state of the ID.
func (res Result[A]) State() State { return res.state }

// Answer returns the answer and whether it is available: the request was answered,
// and the answer has not been dropped.
func (res Result[A]) Answer() (A, bool) { return res.answer, res.kept }

// record is the record of one ID.
type record[A any] struct {
	process    *process[A]
	counter    uint64
	state      State
	answerKept bool
	answerSize int
	endedAt    time.Time
	answer     A
}

// process contains the records of one entry process.
type process[A any] struct {
	entry        *entry[A]
	incarnation  fleet.Incarnation
	lowWaterMark uint64
	records      map[uint64]*record[A]
}

// entry contains the records of one entry, in all of its processes.
type entry[A any] struct {
	name         fleet.InstanceID
	closedUpTo   fleet.Incarnation // processes up to this one have no records, except those in processes
	processes    []*process[A]     // in order of incarnation
	lastUsed     time.Time
	maybeDropped bool // the entry may have been dropped before, so only IDs above the marks are new
}

// Log records the requests of one agent process.
type Log[A any] struct {
	limits       Limits
	entries      map[fleet.InstanceID]*entry[A]
	byFirstUse   []*entry[A] // in order of first use
	ended        fifo[*record[A]]
	answers      fifo[*record[A]]
	bytes        int
	entryDropped bool // an entry was dropped, so an unknown entry may not be new
	runningCount int
}

// New returns an empty log.
func New[A any](lim Limits) *Log[A] {
	return &Log[A]{limits: lim, entries: make(map[fleet.InstanceID]*entry[A])}
}

// Begin records a delivery. If it returns Unseen, the request may be started, and its
// state becomes Running. Any other state is that of an earlier delivery or a fence.
func (lgr *Log[A]) Begin(rid ID, now time.Time) Result[A] {
	lgr.enforceLimits(now)
	if res := lgr.lookUp(rid); res.state != Unseen {
		return res
	}
	lgr.insert(rid, now).state = Running
	lgr.runningCount++
	return Result[A]{state: Unseen}
}

// Resolve returns the state of an ID. An unseen ID is fenced: its state becomes NotRun,
// and a later delivery is refused.
func (lgr *Log[A]) Resolve(rid ID, now time.Time) Result[A] {
	lgr.enforceLimits(now)
	res := lgr.lookUp(rid)
	if res.state != Unseen {
		return res
	}
	if lgr.maybeDropped(rid) {
		return Result[A]{state: RecordDropped}
	}
	lgr.end(lgr.insert(rid, now), NotRun, now)
	return Result[A]{state: NotRun}
}

// RecordAnswer records the answer to a running request and the answer's size in bytes.
func (lgr *Log[A]) RecordAnswer(rid ID, ans A, size int, now time.Time) {
	rec := lgr.findRunning(rid)
	if rec == nil {
		return
	}
	rec.answer, rec.answerSize, rec.answerKept = ans, size, true
	lgr.bytes += size
	lgr.answers.push(rec)
	lgr.runningCount--
	lgr.end(rec, Answered, now)
}

// RecordRefusal records that a queued request was refused and will never be started.
func (lgr *Log[A]) RecordRefusal(rid ID, now time.Time) { lgr.endWithoutAnswer(rid, NotRun, now) }

// RecordUnknownEnd records that a started request ended in an unknown way.
func (lgr *Log[A]) RecordUnknownEnd(rid ID, now time.Time) {
	lgr.endWithoutAnswer(rid, EndUnknown, now)
}

// RunningCount returns the number of requests that are queued or started.
func (lgr *Log[A]) RunningCount() int { return lgr.runningCount }

// Len returns the number of records, including those of running requests.
func (lgr *Log[A]) Len() int { return lgr.ended.len() + lgr.runningCount }

// AnswerBytes returns the total size of the stored answers.
func (lgr *Log[A]) AnswerBytes() int { return lgr.bytes }

func (lgr *Log[A]) endWithoutAnswer(rid ID, sta State, now time.Time) {
	if rec := lgr.findRunning(rid); rec != nil {
		lgr.runningCount--
		lgr.end(rec, sta, now)
	}
}

func (lgr *Log[A]) findRunning(rid ID) *record[A] {
	if rec := lgr.find(rid); rec != nil && rec.state == Running {
		return rec
	}
	return nil
}

func (lgr *Log[A]) find(rid ID) *record[A] {
	ent := lgr.entries[rid.entry]
	if ent == nil {
		return nil
	}
	if prc := ent.process(rid.incarnation); prc != nil {
		return prc.records[rid.counter]
	}
	return nil
}

func (lgr *Log[A]) lookUp(rid ID) Result[A] {
	if rec := lgr.find(rid); rec != nil {
		return Result[A]{state: rec.state, answer: rec.answer, kept: rec.answerKept}
	}
	ent := lgr.entries[rid.entry]
	if ent == nil {
		return Result[A]{state: Unseen}
	}
	prc := ent.process(rid.incarnation)
	if rid.incarnation <= ent.closedUpTo || prc != nil && rid.counter <= prc.lowWaterMark {
		return Result[A]{state: RecordDropped}
	}
	return Result[A]{state: Unseen}
}

func (lgr *Log[A]) insert(rid ID, now time.Time) *record[A] {
	ent := lgr.entries[rid.entry]
	if ent == nil {
		ent = lgr.addEntry(rid, now)
	}
	ent.lastUsed = now
	prc := ent.process(rid.incarnation)
	if prc == nil {
		prc = ent.addProcess(rid.incarnation)
		if ent.maybeDropped {
			prc.lowWaterMark = rid.counter - 1
		}
	}
	rec := &record[A]{process: prc, counter: rid.counter}
	prc.records[rid.counter] = rec
	return rec
}

func (lgr *Log[A]) addEntry(rid ID, now time.Time) *entry[A] {
	lgr.dropIdleEntry(now)
	ent := &entry[A]{name: rid.entry, maybeDropped: lgr.entryDropped}
	lgr.entries[rid.entry] = ent
	lgr.byFirstUse = append(lgr.byFirstUse, ent)
	return ent
}

// maybeDropped reports whether an unseen ID may belong to an entry that was dropped.
func (lgr *Log[A]) maybeDropped(rid ID) bool {
	ent := lgr.entries[rid.entry]
	if ent == nil {
		return lgr.entryDropped
	}
	return ent.maybeDropped && ent.process(rid.incarnation) == nil
}

// dropIdleEntry drops the least recently used entry if the limit is reached. Entries
// that have records or were used recently stay, even if the limit is exceeded.
func (lgr *Log[A]) dropIdleEntry(now time.Time) {
	if len(lgr.byFirstUse) < lgr.limits.entries {
		return
	}
	oldest := -1
	for ind, ent := range lgr.byFirstUse {
		if ent.hasNoRecords() && now.Sub(ent.lastUsed) >= lgr.limits.idleWindow && (oldest < 0 || ent.lastUsed.Before(lgr.byFirstUse[oldest].lastUsed)) {
			oldest = ind
		}
	}
	if oldest >= 0 {
		delete(lgr.entries, lgr.byFirstUse[oldest].name)
		lgr.byFirstUse = slices.Delete(lgr.byFirstUse, oldest, oldest+1)
		lgr.entryDropped = true
	}
}

func (lgr *Log[A]) end(rec *record[A], sta State, now time.Time) {
	rec.state, rec.endedAt = sta, now
	lgr.ended.push(rec)
	lgr.enforceLimits(now)
}

// enforceLimits drops the oldest answers and records that exceed the limits.
func (lgr *Log[A]) enforceLimits(now time.Time) {
	for lgr.answers.len() > 0 {
		rec := lgr.answers.front()
		if rec.answerKept && lgr.bytes <= lgr.limits.answerBytes && now.Sub(rec.endedAt) <= lgr.limits.answerWindow {
			break
		}
		lgr.answers.pop()
		lgr.dropAnswer(rec)
	}
	for lgr.ended.len() > 0 {
		rec := lgr.ended.front()
		if lgr.ended.len() <= lgr.limits.records && now.Sub(rec.endedAt) <= lgr.limits.recordWindow {
			break
		}
		lgr.ended.pop()
		lgr.dropAnswer(rec)
		rec.process.dropRecord(rec.counter)
	}
}

func (lgr *Log[A]) dropAnswer(rec *record[A]) {
	if rec.answerKept {
		var none A
		lgr.bytes -= rec.answerSize
		rec.answerKept, rec.answer = false, none
	}
}
