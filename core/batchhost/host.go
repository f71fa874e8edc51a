// Package batchhost implements the state machine by which an agent controls the batch runs of one
// worker: it applies the owner's orders, interprets the worker's answers and renews its lease.
//
// A Host is the only caller of its worker and enforces the worker's capacity: it refuses a start
// that does not fit, even if the owner of the jobs expects it to fit. Calls to the worker may be
// lost or executed seconds later, and answers may arrive out of order. A run therefore counts as
// ended only when
//
//   - the worker lists its end,
//   - a listing requested after the answer to a stop call does not contain the run,
//   - two listings in a row, requested after the start was confirmed, do not contain the run, or
//   - the worker's lease has expired, allowing for the drift of its clock.
//
// One lease covers all runs on the worker. The host renews it in short steps and never beyond
// the time granted by the owner.
//
// A Host must be used from one goroutine at a time. The zero value is ready to use.
package batchhost

import (
	"slices"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
)

// Options holds the time limits of a Host. A zero field selects its default.
type Options struct {
	Lease         time.Duration // maximum duration of one renewal
	MaxLease      time.Duration // longest lease that the worker grants for any call
	MinStartLease time.Duration // starts are refused if the owner's grant ends sooner
	StartTimeout  time.Duration // a start that is not confirmed within this time is replaced by a stop
	MaxViolation  time.Duration // tolerated time of a tail latency over its target; pacing has the default
}

// Default options and fixed limits.
const (
	defaultLease         = 4 * time.Second
	defaultMaxLease      = 10 * time.Second
	defaultMinStartLease = 500 * time.Millisecond
	defaultStartTimeout  = 4 * time.Second
	// maxClockLagPercent is the maximum rate at which the clock of a worker falls behind.
	maxClockLagPercent = 2
	expiryMargin       = 150 * time.Millisecond  // covers rounding and delay of the worker's timers
	silentAfter        = 1200 * time.Millisecond // without an answer, a worker counts as silent
	paceRepeatInterval = 2 * time.Second         // after it, a pace call is repeated
	unknownShare       = -1                      // no share was requested, or the last request failed
	// startRetryDelay applies from the second retry on. A worker that is starting resets connections
	// at once, so retries without a delay would form a tight loop.
	startRetryDelay   = 100 * time.Millisecond
	maxMissedListings = 2 // consecutive listings without a started run before it counts as lost
)

// Worker describes a worker, as announced by itself.
type Worker struct {
	Incarnation batch.Incarnation // a new incarnation has none of the runs of the former one
	Service     fleet.Service
	Location    fleet.Location
	Labels      []string
	Capacity    resource.Vector
	Draining    bool
	Remaining   time.Duration // a draining worker may leave after this time
}

// run is the state of a run that has been ordered or listed and has not ended.
type run struct {
	order          batch.Order
	described      bool // order holds the needs of the run
	orderedAt      time.Time
	startPending   bool      // a start call is in flight or due for a retry
	mayStartLate   bool      // an earlier start call may still be executed
	retried        bool      // at least one retry was made
	retryAt        time.Time // time of the next retry, zero while a call is in flight
	startedAt      time.Time
	listed         bool
	stopping       bool
	stopInFlight   bool
	stopAnsweredAt time.Time // zero until a stop call is answered
	missedListings int
	state          batch.RunState
	share          int       // last requested percentage of full speed
	pacedAt        time.Time // time of the last pace request, zero if there was none
}

// event is the end of a run, kept until the owner confirms that it is stored.
type event struct {
	batch.Event
	workerSeq uint64
}

// Host controls the batch runs of one worker.
type Host struct {
	options      Options
	session      uint64
	worker       Worker
	announced    bool
	hasListing   bool      // a listing of the current incarnation was received
	endsCut      bool      // the last one did not have all ends
	succeeds     bool      // this process has called a former incarnation of the worker
	departed     bool      // another incarnation answers at the worker's address
	lifeCertain  bool      // no call has failed since the last listing of the current incarnation
	leavesAt     time.Time // earliest time at which a draining worker leaves
	runs         map[batch.RunID]*run
	events       []event
	eventSeq     uint64
	lastEnd      uint64 // sequence number of the last listed end that was turned into an event
	forgettable  uint64 // the worker may forget ends up to this sequence number
	forgotten    uint64 // the worker has forgotten ends up to this sequence number
	lastOrder    uint64 // sequence number of the last order applied
	epoch        uint64 // of the current owner
	grantedUntil time.Time
	startsUntil  time.Time // no start call may be made later; zero until the owner has answered in this session
	clock        clock
	maxLeaseEnd  time.Duration // latest end ever requested, in the worker's clock
	answeredAt   time.Time     // last answer of the worker
	pace         pacing.Controller
	violations   []pacing.Change // not yet returned by Violations
	calls        []Call
}

// clock is a reading of the worker's clock. Extrapolations are lower bounds, apart from drift,
// because the reading was taken before the answer with it arrived.
type clock struct {
	value time.Duration
	at    time.Time
}

func (clk clock) now(now time.Time) time.Duration { return clk.value + now.Sub(clk.at) }

// New returns a host whose session numbers start above session. The number must grow with each
// process of the agent.
func New(opt Options, session uint64) *Host {
	return &Host{options: opt.withDefaults(), session: session}
}

func (opt Options) withDefaults() Options {
	if opt.Lease == 0 {
		opt.Lease = defaultLease
	}
	if opt.MaxLease == 0 {
		opt.MaxLease = defaultMaxLease
	}
	if opt.MinStartLease == 0 {
		opt.MinStartLease = defaultMinStartLease
	}
	if opt.StartTimeout == 0 {
		opt.StartTimeout = defaultStartTimeout
	}
	return opt
}

// CallKind is the kind of a call to the worker.
type CallKind int

// The kinds of calls. CallPace sets the speed of a run.
const (
	CallStart CallKind = iota
	CallStop
	CallPace
)

// Call is a call that the adapter has to make to the worker.
type Call struct {
	Kind        CallKind
	ID          batch.RunID
	Order       batch.Order
	Incarnation batch.Incarnation
	LeaseEnd    time.Duration // requested end of the lease, in the worker's clock
	NotAfter    time.Time     // set for starts: the latest time at which the call may be on its way
	Percent     int
	decidedAt   time.Time // set for starts
}

// maxStartDelay is the time within which a start must be sent after it was decided. After a longer pause of the
// process the worker would refuse it because of LeaseEnd, but a new incarnation, whose clock starts again, would not.
const maxStartDelay = defaultMinStartLease

// Stale reports whether the call must not be sent any more.
func (cal Call) Stale(now time.Time) bool {
	return cal.Kind == CallStart && (now.Sub(cal.decidedAt) > maxStartDelay || !now.Before(cal.NotAfter))
}

// Calls removes and returns the pending calls.
func (hst *Host) Calls() []Call {
	out := hst.calls
	hst.calls = nil
	return out
}

// Announced reports whether a worker has announced itself.
func (hst *Host) Announced() bool { return hst.announced }

// Session returns the number of the current session. Reports and orders of other sessions do not
// apply.
func (hst *Host) Session() uint64 { return hst.session }

// Incarnation returns the current incarnation of the worker, empty after it has left.
func (hst *Host) Incarnation() batch.Incarnation { return hst.worker.Incarnation }

// Draining reports whether the worker has announced that it is draining.
func (hst *Host) Draining() bool { return hst.worker.Draining }

// Announce applies an announcement of the worker. A new incarnation starts a new session.
func (hst *Host) Announce(wrk Worker, now time.Time) {
	if !hst.announced || wrk.Incarnation != hst.worker.Incarnation {
		hst.startSession()
		hst.succeeds = hst.announced
	}
	hst.worker, hst.announced = wrk, true
	hst.leavesAt = now.Add(wrk.Remaining)
}

// WorkerLeft records that the given incarnation of the worker has ended and will not be followed by
// another one. It does nothing if the incarnation is not the current one.
func (hst *Host) WorkerLeft(inc batch.Incarnation) {
	if !hst.announced || hst.worker.Incarnation != inc {
		return
	}
	hst.startSession()
	hst.worker.Incarnation, hst.worker.Draining = "", true
}

func (hst *Host) startSession() {
	hst.session++
	hst.runs = nil
	hst.hasListing, hst.endsCut, hst.departed, hst.lifeCertain = false, false, false, false
	hst.events, hst.eventSeq = nil, 0
	hst.lastEnd, hst.forgettable, hst.forgotten, hst.lastOrder = 0, 0, 0, 0
	hst.startsUntil = time.Time{}
	hst.clock, hst.maxLeaseEnd = clock{}, 0
	hst.answeredAt = time.Time{}
	hst.pace, hst.violations = pacing.New(hst.options.MaxViolation), nil
	hst.calls = nil
}

// Follow switches to the owner of the given epoch. It returns false if the epoch is older than the
// current one.
func (hst *Host) Follow(epoch uint64) bool {
	if epoch < hst.epoch {
		return false
	}
	if epoch > hst.epoch {
		hst.epoch = epoch
		hst.session++
		hst.lastOrder = 0
		hst.startsUntil = time.Time{}
		hst.renumberEvents()
	}
	return true
}

// renumberEvents renumbers the unconfirmed events from 1 for a new session.
func (hst *Host) renumberEvents() {
	hst.eventSeq = 0
	for num := range hst.events {
		hst.eventSeq++
		hst.events[num].Seq = hst.eventSeq
	}
}

// Epoch returns the epoch of the current owner.
func (hst *Host) Epoch() uint64 { return hst.epoch }

// Grant allows the host to renew the worker's lease until dur after sentAt, the time at which the
// request for the grant was sent. Grants of other epochs are ignored.
func (hst *Host) Grant(epoch uint64, sentAt time.Time, dur time.Duration) {
	if epoch != hst.epoch {
		return
	}
	if end := sentAt.Add(dur); end.After(hst.grantedUntil) {
		hst.grantedUntil = end
	}
}

// LeaseEnd returns the end of the lease to request from the worker, in the worker's clock. It returns
// false if the lease must not be renewed.
func (hst *Host) LeaseEnd(now time.Time) (time.Duration, bool) {
	left := min(hst.options.Lease, hst.grantedUntil.Sub(now))
	if left <= 0 || hst.clock.at.IsZero() || hst.silent(now) || hst.departed {
		// The lease of a silent worker must expire; otherwise its runs could never be reported
		// as ended.
		return 0, false
	}
	end := hst.clock.now(now) + left
	hst.maxLeaseEnd = max(hst.maxLeaseEnd, end)
	return end, true
}

// LastOrder returns the sequence number of the last order applied.
func (hst *Host) LastOrder() uint64 { return hst.lastOrder }

// LastConfirmed returns the sequence number up to which the owner has stored all events.
func (hst *Host) LastConfirmed() uint64 {
	if len(hst.events) > 0 {
		return hst.events[0].Seq - 1
	}
	return hst.eventSeq
}

// ReadyToReport reports whether the current incarnation of the worker has listed its runs or has
// ended. The owner would take runs that are missing in an earlier report for lost.
func (hst *Host) ReadyToReport() bool { return hst.hasListing || hst.worker.Incarnation == "" }

// Forgettable returns the sequence number up to which the worker may forget further ends of runs, zero if there are
// none. It is also zero from a failed call to the next listing: meanwhile a new incarnation may have begun, which
// numbers its ends from one again and would forget ends that were never listed. For the same reason a request that
// makes the worker forget ends must not wait for others, and is not repeated.
func (hst *Host) Forgettable() uint64 {
	if !hst.lifeCertain || hst.forgettable <= hst.forgotten {
		return 0
	}
	return hst.forgettable
}

// LifeCertain reports whether the worker has listed its runs since the last failed call. Otherwise a new incarnation
// may have begun, and the lease must not be renewed: its end is a time on the clock of the known one.
func (hst *Host) LifeCertain() bool { return hst.lifeCertain }

// CallFailed records that a call to the given incarnation got no answer from it.
func (hst *Host) CallFailed(inc batch.Incarnation) {
	if inc == hst.worker.Incarnation {
		hst.lifeCertain = false
	}
}

// Departed records that another incarnation answers at the address of the given one. Starts that were meant for
// the given one may run in the other one, under a lease that the worker limits to MaxLease.
func (hst *Host) Departed(inc batch.Incarnation, now time.Time) {
	if !hst.announced || inc != hst.worker.Incarnation || hst.departed {
		return
	}
	hst.departed, hst.lifeCertain = true, false
	if !hst.clock.at.IsZero() {
		hst.maxLeaseEnd = max(hst.maxLeaseEnd, hst.clock.now(now)+hst.options.MaxLease)
	}
}

// Report returns the complete state of the worker and its runs for the owner.
func (hst *Host) Report(id fleet.InstanceID, now time.Time) batch.Report {
	rep := batch.Report{
		Instance: id, Session: hst.session, Incarnation: hst.worker.Incarnation, Service: hst.worker.Service,
		Location: hst.worker.Location, Labels: hst.worker.Labels, Capacity: hst.worker.Capacity,
		Draining: hst.worker.Draining, Remaining: max(0, hst.leavesAt.Sub(now)),
		Unready: hst.silent(now), Partial: hst.endsCut, AckedOrders: hst.lastOrder,
	}
	for _, rn := range hst.runs {
		sta := rn.state
		sta.Share, sta.Stopping = rn.share, rn.stopping
		rep.Runs = append(rep.Runs, sta)
	}
	slices.SortFunc(rep.Runs, func(fst, snd batch.RunState) int { return compareRunIDs(fst.ID, snd.ID) })
	for _, evt := range hst.events {
		rep.Events = append(rep.Events, evt.Event)
	}
	return rep
}

// News returns the ends of runs that the owner has not confirmed.
func (hst *Host) News(id fleet.InstanceID) batch.News {
	nws := batch.News{Instance: id, Session: hst.session, AckedOrders: hst.lastOrder}
	for _, evt := range hst.events {
		nws.Events = append(nws.Events, evt.Event)
	}
	return nws
}

func (hst *Host) silent(now time.Time) bool {
	return hst.answeredAt.IsZero() || now.Sub(hst.answeredAt) > silentAfter
}

// Confirmed drops the events up to seq, which the owner has stored. Confirmations of other epochs
// and sessions are ignored.
func (hst *Host) Confirmed(epoch, session, seq uint64) {
	if epoch != hst.epoch || session != hst.session {
		return
	}
	for len(hst.events) > 0 && hst.events[0].Seq <= seq {
		hst.forgettable = max(hst.forgettable, hst.events[0].workerSeq)
		hst.events = hst.events[1:]
	}
}

// emit numbers an event and keeps it until the owner confirms it.
func (hst *Host) emit(evt batch.Event, workerSeq uint64) {
	hst.eventSeq++
	evt.Seq = hst.eventSeq
	hst.events = append(hst.events, event{Event: evt, workerSeq: workerSeq})
}
