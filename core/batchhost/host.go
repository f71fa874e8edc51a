// Package batchhost decides for the runs of one worker: which orders it gets, what
// its answers mean, and how long its lease lasts.
//
// A Host is the state of the agent beside the worker. It is the worker's only
// caller and the keeper of its capacity: a start that does not fit is refused,
// whatever the owner of the jobs believes. Calls to the worker may be lost, may be
// carried out seconds later, and answers may overtake each other, so a run counts
// as gone only when the worker listed its end, when a stop was answered before a
// later list lacks the run, or when the worker's lease has certainly expired.
//
// The lease covers everything on the worker. The host renews it in short steps
// and never beyond the time that the owner granted.
//
// A Host must be used from one goroutine at a time; the zero value works.
package batchhost

import (
	"slices"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

// Options are the times that the host counts on.
type Options struct {
	Lease         time.Duration // of one renewal
	MinStartLease time.Duration // a start with less granted time is refused
	MaxOrderAge   time.Duration // an order that took longer to arrive is refused
	StartTimeout  time.Duration // a start without an answer for so long is turned into a stop
	MaxViolation  time.Duration // users bear a tail over its target for so long; zero is the default
}

// Defaults of the options.
const (
	defaultLease       = 4 * time.Second
	defaultMinimumLeft = 500 * time.Millisecond
	defaultStaleOrder  = 3 * time.Second
	defaultGiveUpStart = 4 * time.Second
	// clockSlowPercent bounds how slow a worker's clock may run.
	clockSlowPercent = 2
	lapseMargin      = 150 * time.Millisecond // for the rounding and the delay of the worker's timers
	silentAfter      = 1200 * time.Millisecond
	paceRepeat       = 2 * time.Second
	unknownShare     = -1
	startRetry       = 100 * time.Millisecond // between tries of a start after the second; a worker that comes up resets connections at once
	missingLists     = 2                      // lists in a row that lack a run that was started
)

// Worker is what a worker says of itself.
type Worker struct {
	Life      batch.Incarnation
	Service   fleet.Service
	Location  fleet.Location
	Labels    []string
	Capacity  resource.Vector
	Draining  bool
	Remaining time.Duration
}

// run is one run that the host knows of.
type run struct {
	order     batch.Order
	described bool
	takenAt   time.Time
	calling   bool      // a start call is in flight or to be repeated
	uncertain bool      // a try to start may be carried out later
	repeated  bool      // the start was tried more than once
	repeatAt  time.Time // when the start is tried again, zero while a call is in flight
	answered  time.Time
	working   bool
	stopping  bool
	stopCall  bool
	stopped   time.Time // when a stop was answered
	missing   int
	state     batch.RunState
	share     int       // percentage asked for last
	pacedAt   time.Time // when it was asked for, zero when never
}

// event is an end that the owner has not confirmed yet.
type event struct {
	batch.Event
	workerSeq uint64
}

// Host is the state of an agent.
type Host struct {
	options   Options
	session   uint64
	worker    Worker
	known     bool
	lists     bool      // the worker has told what it runs
	remaining time.Time // when a draining worker may leave
	runs      map[batch.RunID]*run
	events    []event
	eventSeq  uint64
	listed    uint64 // ends of the worker up to this one became events
	noted     uint64 // ends of the worker up to this one may be forgotten
	seen      uint64 // orders of the owner up to this one were taken over
	epoch     uint64
	granted   time.Time
	clock     clock
	leaseEnd  time.Duration // latest end ever sent, in the worker's clock
	answered  time.Time
	pace      pacing.Controller
	calls     []Call
}

// clock estimates the worker's clock from below.
type clock struct {
	value time.Duration
	at    time.Time
}

func (clk clock) now(now time.Time) time.Duration { return clk.value + now.Sub(clk.at) }

// New returns a host whose sessions start above the given number.
func New(opt Options, session uint64) *Host {
	return &Host{options: opt.withDefaults(), session: session}
}

func (opt Options) withDefaults() Options {
	if opt.Lease == 0 {
		opt.Lease = defaultLease
	}
	if opt.MinStartLease == 0 {
		opt.MinStartLease = defaultMinimumLeft
	}
	if opt.MaxOrderAge == 0 {
		opt.MaxOrderAge = defaultStaleOrder
	}
	if opt.StartTimeout == 0 {
		opt.StartTimeout = defaultGiveUpStart
	}
	return opt
}

// CallKind is what a call to the worker does.
type CallKind int

// Kinds of calls.
const (
	CallStart CallKind = iota
	CallStop
	CallPace
)

// Call is a call that the adapter makes to the worker.
type Call struct {
	Kind     CallKind
	ID       batch.RunID
	Order    batch.Order
	Life     batch.Incarnation
	LeaseEnd time.Duration // end of the lease in the worker's clock
	Percent  int
}

// Calls returns the calls to make since the last time.
func (hst *Host) Calls() []Call {
	out := hst.calls
	hst.calls = nil
	return out
}

// Known reports whether a worker has announced itself.
func (hst *Host) Announced() bool { return hst.known }

// Session returns the present session.
func (hst *Host) Session() uint64 { return hst.session }

// Life returns the present life of the worker.
func (hst *Host) Life() batch.Incarnation { return hst.worker.Life }

// Announce applies what the worker says of itself. A new life starts a new session.
func (hst *Host) Announce(wrk Worker, now time.Time) {
	if !hst.known || wrk.Life != hst.worker.Life {
		hst.open()
	}
	hst.worker, hst.known = wrk, true
	hst.remaining = now.Add(wrk.Remaining)
}

// Leave notes that the worker has gone for good.
func (hst *Host) WorkerLeft(life batch.Incarnation) {
	if !hst.known || hst.worker.Life != life {
		return
	}
	hst.open()
	hst.worker.Life, hst.worker.Draining = "", true
}

func (hst *Host) open() {
	hst.session++
	hst.runs = nil
	hst.lists = false
	hst.events, hst.eventSeq = nil, 0
	hst.listed, hst.noted, hst.seen = 0, 0, 0
	hst.clock, hst.leaseEnd = clock{}, 0
	hst.answered = time.Time{}
	hst.pace = pacing.New(hst.options.MaxViolation)
	hst.calls = nil
}

// Follow adopts the owner of an epoch and reports whether it is not older than the present one.
func (hst *Host) Follow(epoch uint64) bool {
	if epoch < hst.epoch {
		return false
	}
	if epoch > hst.epoch {
		hst.epoch = epoch
		hst.session++
		hst.seen = 0
		hst.renumber()
	}
	return true
}

// renumber gives the unconfirmed events numbers of the new session.
func (hst *Host) renumber() {
	hst.eventSeq = 0
	for num := range hst.events {
		hst.eventSeq++
		hst.events[num].Seq = hst.eventSeq
	}
}

// Epoch returns the epoch of the owner that the host follows.
func (hst *Host) Epoch() uint64 { return hst.epoch }

// Grant extends the time up to which the host may renew the worker's lease. The
// duration counts from the moment the request was sent.
func (hst *Host) Grant(epoch uint64, sentAt time.Time, dur time.Duration) {
	if epoch != hst.epoch {
		return
	}
	if end := sentAt.Add(dur); end.After(hst.granted) {
		hst.granted = end
	}
}

// Until returns the end of the lease to ask the worker for, in its clock, and whether there is one.
func (hst *Host) LeaseEnd(now time.Time) (time.Duration, bool) {
	left := min(hst.options.Lease, hst.granted.Sub(now))
	if left <= 0 || hst.clock.at.IsZero() || hst.silent(now) {
		// The lease of a worker that does not answer must be left to end, or its
		// runs could never be given up.
		return 0, false
	}
	end := hst.clock.now(now) + left
	hst.leaseEnd = max(hst.leaseEnd, end)
	return end, true
}

// ClockKnown reports whether the worker's clock is known.
func (hst *Host) ClockKnown() bool { return !hst.clock.at.IsZero() }

// Seen returns the last order that was taken over.
func (hst *Host) LastOrder() uint64 { return hst.seen }

// LastConfirmed returns the event up to which the owner has stored everything.
func (hst *Host) LastConfirmed() uint64 {
	if len(hst.events) > 0 {
		return hst.events[0].Seq - 1
	}
	return hst.eventSeq
}

// Listed reports whether the present life of the worker has told what it runs, or has ended.
// Before that, a report would call its runs lost.
func (hst *Host) ReadyToReport() bool { return hst.lists || hst.worker.Life == "" }

// Noted returns the number up to which the worker may forget its ends.
func (hst *Host) Forgettable() uint64 { return hst.noted }

// Report returns the complete state for the owner.
func (hst *Host) Report(id fleet.InstanceID, now time.Time) batch.Report {
	rep := batch.Report{
		Instance: id, Session: hst.session, Incarnation: hst.worker.Life, Service: hst.worker.Service,
		Location: hst.worker.Location, Labels: hst.worker.Labels, Capacity: hst.worker.Capacity,
		Draining: hst.worker.Draining, Remaining: max(0, hst.remaining.Sub(now)),
		Unready: hst.silent(now), AckedOrders: hst.seen,
	}
	for _, rn := range hst.runs {
		sta := rn.state
		sta.Share = rn.share
		rep.Runs = append(rep.Runs, sta)
	}
	slices.SortFunc(rep.Runs, func(fst, snd batch.RunState) int { return compareRuns(fst.ID, snd.ID) })
	for _, evt := range hst.events {
		rep.Events = append(rep.Events, evt.Event)
	}
	return rep
}

func (hst *Host) silent(now time.Time) bool {
	return hst.answered.IsZero() || now.Sub(hst.answered) > silentAfter
}

// Confirmed drops the events that the owner has stored.
func (hst *Host) Confirmed(epoch, session, seq uint64) {
	if epoch != hst.epoch || session != hst.session {
		return
	}
	for len(hst.events) > 0 && hst.events[0].Seq <= seq {
		hst.noted = max(hst.noted, hst.events[0].workerSeq)
		hst.events = hst.events[1:]
	}
}

func (hst *Host) emit(rid batch.RunID, cause batch.EndCause, checkpoint, reason string, workerSeq uint64) {
	hst.eventSeq++
	hst.events = append(hst.events, event{
		Event:     batch.Event{Seq: hst.eventSeq, ID: rid, Cause: cause, Checkpoint: checkpoint, Reason: reason},
		workerSeq: workerSeq,
	})
}
