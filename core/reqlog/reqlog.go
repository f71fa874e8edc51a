// Package reqlog remembers what an agent did with request IDs, so that a request
// is started at most once and its end can be asked for later.
//
// Resolve proves "not run" for an ID only if this agent process has never
// started it and never will: it records the ID as fenced, and a later delivery is
// refused. The proof needs complete memory, and memory is bounded, so the log
// keeps for each entry process a low-water mark:
//
//   - Every ID that the log has seen and whose counter is above the mark has a record.
//   - Dropping a record raises the mark of its entry process to its counter.
//   - An ID at or below the mark without a record is forgotten: a delivery is
//     refused and Resolve answers unknown. Such an ID may never have been seen;
//     the answer errs on the safe side.
//
// An entry process counts all of its requests with one counter, of which an agent
// sees a part in any order. When an entry has a newer process, the marks of its
// older ones merge into one "closed" incarnation once their records are gone.
// Memory for entries themselves is bounded too: beyond a number of entries, those
// that were idle for an hour are dropped. From then on IDs of unknown entries
// resolve to unknown, and the first delivery from one sets its mark just below
// it, for each of their processes. That delivery is trusted to be new: the one
// assumption of the scheme is that no frame is delayed for an hour.
//
// Records of running requests are never dropped; their number is bounded by the
// admission queue and the slots. Answers are kept for a shorter time and within a
// budget of bytes, and the record outlives its answer.
//
// A is the type of an answer. The log is owned by the control goroutine.
package reqlog

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Limits bounds the memory of a log.
type Limits struct {
	window       time.Duration
	answerWindow time.Duration
	idle         time.Duration
	records      int
	bytes        int
	entries      int
}

// DefaultLimits returns limits that keep a log below about 32 MB: at 800 requests
// a second the records reach back for 80 s.
func DefaultLimits() Limits {
	return Limits{window: 10 * time.Minute, answerWindow: time.Minute, idle: time.Hour, records: 65536, bytes: 16 << 20, entries: 1024}
}

// WithWindows returns the limits with other ages of records, of answers and of idle entries.
func (lim Limits) WithWindows(records, answers, idle time.Duration) Limits {
	lim.window, lim.answerWindow, lim.idle = records, answers, idle
	return lim
}

// WithSizes returns the limits with other numbers of ended records, answer bytes and entries.
func (lim Limits) WithSizes(records, bytes, entries int) Limits {
	lim.records, lim.bytes, lim.entries = records, bytes, entries
	return lim
}

// State is what the log knows of an ID.
type State int

// States of an ID.
const (
	Unseen        State = iota // never seen
	Running                    // queued or started
	Answered                   // the endpoint answered
	NotRun                     // refused or fenced; it can never start
	EndUnknown                 // started, and its end is unknown
	RecordDropped              // older than the memory of the log
)

// Entry is the result of a look-up.
type Result[A any] struct {
	state  State
	answer A
	kept   bool
}

// State returns the state of the ID.
func (ent Result[A]) State() State { return ent.state }

// Answer returns the answer, and whether it is still kept.
func (ent Result[A]) Answer() (A, bool) { return ent.answer, ent.kept }

// record is what the log keeps of one ID.
type record[A any] struct {
	stream  *stream[A]
	counter uint64
	state   State
	kept    bool
	size    int
	ended   time.Time
	answer  A
}

// stream is what the log keeps of one entry process.
type stream[A any] struct {
	source      *source[A]
	incarnation fleet.Incarnation
	low         uint64
	records     map[uint64]*record[A]
}

// source is what the log keeps of one entry instance.
type source[A any] struct {
	name    fleet.InstanceID
	closed  fleet.Incarnation // every process up to this one is forgotten unless it has records
	streams []*stream[A]      // in order of incarnation
	used    time.Time
	doubted bool // it may have been dropped before, so only IDs above the marks are known to be new
}

// Log is the memory of one agent process.
type Log[A any] struct {
	limits   Limits
	sources  map[fleet.InstanceID]*source[A]
	byAge    []*source[A] // in order of first use
	ended    fifo[*record[A]]
	answers  fifo[*record[A]]
	bytes    int
	dropped  bool // a source was dropped
	unending int
}

// New returns an empty log.
func New[A any](lim Limits) *Log[A] {
	return &Log[A]{limits: lim, sources: make(map[fleet.InstanceID]*source[A])}
}

// Begin registers a delivery. Only Fresh allows the request to run, and makes it
// Running; any other state is that of an earlier delivery.
func (lgr *Log[A]) Begin(rid ID, now time.Time) Result[A] {
	lgr.sweep(now)
	if ent := lgr.lookUp(rid); ent.state != Unseen {
		return ent
	}
	lgr.insert(rid, now).state = Running
	lgr.unending++
	return Result[A]{state: Unseen}
}

// Resolve tells what became of an ID. A fresh one is fenced: it becomes NotRun
// and a later delivery is refused.
func (lgr *Log[A]) Resolve(rid ID, now time.Time) Result[A] {
	lgr.sweep(now)
	ent := lgr.lookUp(rid)
	if ent.state != Unseen {
		return ent
	}
	if lgr.doubtful(rid) {
		return Result[A]{state: RecordDropped}
	}
	lgr.end(lgr.insert(rid, now), NotRun, now)
	return Result[A]{state: NotRun}
}

// Answer records the answer of a running request and its size in bytes.
func (lgr *Log[A]) RecordAnswer(rid ID, ans A, size int, now time.Time) {
	rec := lgr.running(rid)
	if rec == nil {
		return
	}
	rec.answer, rec.size, rec.kept = ans, size, true
	lgr.bytes += size
	lgr.answers.push(rec)
	lgr.unending--
	lgr.end(rec, Answered, now)
}

// Refuse records that a request that was queued was not run and never will be.
func (lgr *Log[A]) RecordRefusal(rid ID, now time.Time) { lgr.close(rid, NotRun, now) }

// Lose records that a request was started and that its end is unknown.
func (lgr *Log[A]) RecordUnknownEnd(rid ID, now time.Time) { lgr.close(rid, EndUnknown, now) }

// Running returns the number of requests that are queued or started.
func (lgr *Log[A]) RunningCount() int { return lgr.unending }

// Len returns the number of records.
func (lgr *Log[A]) Len() int { return lgr.ended.len() + lgr.unending }

// Bytes returns the size of the kept answers.
func (lgr *Log[A]) AnswerBytes() int { return lgr.bytes }

func (lgr *Log[A]) close(rid ID, sta State, now time.Time) {
	if rec := lgr.running(rid); rec != nil {
		lgr.unending--
		lgr.end(rec, sta, now)
	}
}

func (lgr *Log[A]) running(rid ID) *record[A] {
	if rec := lgr.find(rid); rec != nil && rec.state == Running {
		return rec
	}
	return nil
}

func (lgr *Log[A]) find(rid ID) *record[A] {
	src := lgr.sources[rid.entry]
	if src == nil {
		return nil
	}
	if stm := src.stream(rid.incarnation); stm != nil {
		return stm.records[rid.counter]
	}
	return nil
}

func (lgr *Log[A]) lookUp(rid ID) Result[A] {
	if rec := lgr.find(rid); rec != nil {
		return Result[A]{state: rec.state, answer: rec.answer, kept: rec.kept}
	}
	src := lgr.sources[rid.entry]
	if src == nil {
		return Result[A]{state: Unseen}
	}
	stm := src.stream(rid.incarnation)
	if rid.incarnation <= src.closed || stm != nil && rid.counter <= stm.low {
		return Result[A]{state: RecordDropped}
	}
	return Result[A]{state: Unseen}
}

func (lgr *Log[A]) insert(rid ID, now time.Time) *record[A] {
	src := lgr.sources[rid.entry]
	if src == nil {
		src = lgr.addSource(rid, now)
	}
	src.used = now
	stm := src.stream(rid.incarnation)
	if stm == nil {
		stm = src.addStream(rid.incarnation)
		if src.doubted {
			stm.low = rid.counter - 1
		}
	}
	rec := &record[A]{stream: stm, counter: rid.counter}
	stm.records[rid.counter] = rec
	return rec
}

func (lgr *Log[A]) addSource(rid ID, now time.Time) *source[A] {
	lgr.dropIdleSource(now)
	src := &source[A]{name: rid.entry, doubted: lgr.dropped}
	lgr.sources[rid.entry] = src
	lgr.byAge = append(lgr.byAge, src)
	return src
}

// doubtful reports whether a fresh ID may be one of a process that was dropped.
func (lgr *Log[A]) doubtful(rid ID) bool {
	src := lgr.sources[rid.entry]
	if src == nil {
		return lgr.dropped
	}
	return src.doubted && src.stream(rid.incarnation) == nil
}

// dropIdleSource makes room for a new source. Sources that were used recently
// stay, even if the limit is exceeded.
func (lgr *Log[A]) dropIdleSource(now time.Time) {
	if len(lgr.byAge) < lgr.limits.entries {
		return
	}
	oldest := -1
	for ind, src := range lgr.byAge {
		if src.idle() && now.Sub(src.used) >= lgr.limits.idle && (oldest < 0 || src.used.Before(lgr.byAge[oldest].used)) {
			oldest = ind
		}
	}
	if oldest >= 0 {
		delete(lgr.sources, lgr.byAge[oldest].name)
		lgr.byAge = slices.Delete(lgr.byAge, oldest, oldest+1)
		lgr.dropped = true
	}
}

func (lgr *Log[A]) end(rec *record[A], sta State, now time.Time) {
	rec.state, rec.ended = sta, now
	lgr.ended.push(rec)
	lgr.sweep(now)
}

// sweep drops answers and records beyond the limits.
func (lgr *Log[A]) sweep(now time.Time) {
	for lgr.answers.len() > 0 {
		rec := lgr.answers.front()
		if rec.kept && lgr.bytes <= lgr.limits.bytes && now.Sub(rec.ended) <= lgr.limits.answerWindow {
			break
		}
		lgr.answers.pop()
		lgr.dropAnswer(rec)
	}
	for lgr.ended.len() > 0 {
		rec := lgr.ended.front()
		if lgr.ended.len() <= lgr.limits.records && now.Sub(rec.ended) <= lgr.limits.window {
			break
		}
		lgr.ended.pop()
		lgr.dropAnswer(rec)
		rec.stream.drop(rec.counter)
	}
}

func (lgr *Log[A]) dropAnswer(rec *record[A]) {
	if rec.kept {
		var none A
		lgr.bytes -= rec.size
		rec.kept, rec.answer = false, none
	}
}
