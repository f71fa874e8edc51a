// Package intake decides about the service requests of one agent: whether a
// request is queued, started, refused or answered from memory, and what became
// of it later.
//
// It puts the request log, the queue and the ledger together. Each request that
// arrives gets exactly one decision, at once or later: started, which allows
// its caller to send it to the endpoint and obliges it to call Finish, or an end
// without a start. A request that was refused stays refused: another delivery of
// the same ID does not start it.
//
// A leaving endpoint and a draining agent get no new requests. Running ones go on,
// and queued ones may still start within LeaveGrace; after it they are refused,
// so that their callers can try elsewhere. When the endpoint stops announcing
// itself, the queued ones are refused at the next tick.
//
// V is the caller's value of a request, A the type of answers. An Intake is not
// safe for concurrent use: the control goroutine owns it.
package intake

import (
	"time"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/reqlog"
)

// LeaveGrace is how long queued requests may start after a leave was announced. An
// endpoint has to be without new work within a few seconds.
const LeaveGrace = 2 * time.Second

// Account is the port to the ledger of the instance.
type Ledger interface {
	Admit(rid reqlog.ID, batch bool) (outcome.Outcome, bool)
	CanAdmit(batch bool) (outcome.Outcome, bool)
	ReleaseRequest(rid reqlog.ID)
	RequestCount() int
	Ready() bool
	Capacity() ledger.Capacity
	SetCapacity(cpy ledger.Capacity)
}

// Site is the port to what other parts of the process know. Its functions read
// immutable snapshots and return at once.
type Environment interface {
	// RequestsAllowed reports whether requests of a service may start now, and if not, why.
	RequestsAllowed(svc fleet.Service, now time.Time) (outcome.Outcome, bool)
	// Limits returns the limits for a service and a workspace.
	Limits(svc fleet.Service, wsp fleet.Workspace) admit.Limits
}

// Admission is an optional part of a Site: the settings that tickets make for a service.
type AdmissionSettings interface {
	// Permit counts a request of a workspace against its rate, and reports whether it may run.
	Permit(svc fleet.Service, wsp fleet.Workspace, now time.Time) (outcome.Outcome, bool)
	// CriticalSlots returns how many of the slots batch requests may not use, false when no ticket says so.
	CriticalSlots(svc fleet.Service, slots int) (int, bool)
}

// Decision is what happens with a request.
type Decision[A any] struct {
	started bool
	address string
	out     outcome.Outcome
	answer  A
}

// Refused returns the decision about a request that was not started.
func Refused[A any](out outcome.Outcome) Decision[A] { return Decision[A]{out: out} }

// Started reports whether the caller has to send the request to the endpoint.
func (dec Decision[A]) Started() bool { return dec.started }

// Address returns where the endpoint accepts a started request.
func (dec Decision[A]) Address() string { return dec.address }

// Outcome returns the end of a request that was not started by this delivery.
func (dec Decision[A]) Outcome() outcome.Outcome { return dec.out }

// Answer returns the answer to an earlier delivery when the outcome is answered.
func (dec Decision[A]) Answer() A { return dec.answer }

// Verdict is the decision about the request with the caller's value.
type RequestDecision[V, A any] struct {
	value    V
	decision Decision[A]
}

// Value returns the caller's value.
func (ver RequestDecision[V, A]) Value() V { return ver.value }

// Decision returns the decision.
func (ver RequestDecision[V, A]) Decision() Decision[A] { return ver.decision }

// waiting is a queued request.
type waiting[V any] struct {
	id    reqlog.ID
	value V
}

// active is a request that is queued or running.
type active struct {
	request admit.Request
	ticket  admit.Ticket
	started time.Time // zero while it is queued
}

// Intake is the state of the requests of one agent.
type Intake[V, A any] struct {
	account  Ledger
	site     Environment
	queue    *admit.Queue[waiting[V], admit.Policy]
	log      *reqlog.Log[A]
	endpoint admit.Endpoint
	active   map[reqlog.ID]active
	draining bool
	leftAt   time.Time // when the endpoint or the agent began to leave
}

// DefaultQueue is the number of requests that wait for a slot. Thirty-two
// requests a slot are more than any of them can wait for at usual deadlines.
const DefaultQueueSize = 256

// Options are the parameters of an Intake.
type Options struct {
	queue  int
	policy admit.Policy
	limits reqlog.Limits
}

// DefaultOptions returns the options of a production agent.
func DefaultOptions() Options {
	return Options{queue: DefaultQueueSize, policy: admit.CriticalFirst{}, limits: reqlog.DefaultLimits()}
}

// WithQueue returns the options with another queue size and policy.
func (opt Options) WithQueue(size int, pol admit.Policy) Options {
	opt.queue, opt.policy = size, pol
	return opt
}

// WithLimits returns the options with other limits of the request log.
func (opt Options) WithLimits(lim reqlog.Limits) Options {
	opt.limits = lim
	return opt
}

// New returns an intake that has not heard from its endpoint.
func New[V, A any](acc Ledger, sit Environment, opt Options) *Intake[V, A] {
	return &Intake[V, A]{
		account: acc, site: sit,
		queue:  admit.New[waiting[V]](opt.queue, opt.policy),
		log:    reqlog.New[A](opt.limits),
		active: make(map[reqlog.ID]active),
	}
}

// Arrive decides about a delivery. The verdicts can also concern other requests.
// No verdict with this value means that the request is queued.
func (itk *Intake[V, A]) Submit(rid reqlog.ID, req admit.Request, val V, now time.Time) []RequestDecision[V, A] {
	if ent := itk.log.Begin(rid, now); ent.State() != reqlog.Unseen {
		return []RequestDecision[V, A]{{value: val, decision: repeated(ent)}}
	}
	if out, ok := itk.allowed(req, now); !ok {
		return []RequestDecision[V, A]{itk.refuse(rid, val, out, now)}
	}
	loa := admit.NewLoad(itk.account.Capacity().Slots(), itk.account.RequestCount())
	lim := itk.site.Limits(req.Service(), req.Workspace())
	dec := itk.queue.Offer(req, waiting[V]{id: rid, value: val}, now, loa, lim)
	if !dec.Accepted() {
		return []RequestDecision[V, A]{itk.refuse(rid, val, dec.Refusal(), now)}
	}
	itk.active[rid] = active{request: req, ticket: dec.Ticket()}
	out := outcome.NotRun(outcome.ReasonQueueFull, "displaced by a latency-critical request")
	return append(itk.refuseAll(dec.Displaced(), out, now), itk.dispatch(now)...)
}

func (itk *Intake[V, A]) allowed(req admit.Request, now time.Time) (outcome.Outcome, bool) {
	if itk.draining {
		return outcome.NotRun(outcome.ReasonLeaving, "the agent is stopping"), false
	}
	if !itk.account.Ready() {
		return outcome.NotRun(outcome.ReasonNotReady, "the worker has not reported yet"), false
	}
	if out, ok := itk.endpoint.Admits(req.Service(), now); !ok {
		return out, false
	}
	if out, ok := itk.site.RequestsAllowed(req.Service(), now); !ok {
		return out, false
	}
	if adm, ok := itk.site.(AdmissionSettings); ok {
		return adm.Permit(req.Service(), req.Workspace(), now)
	}
	return outcome.Outcome{}, true
}

// repeated is the decision about a delivery whose ID is known.
func repeated[A any](ent reqlog.Result[A]) Decision[A] {
	switch ent.State() {
	case reqlog.Answered:
		if ans, kept := ent.Answer(); kept {
			return Decision[A]{out: outcome.Answered(), answer: ans}
		}
		return Decision[A]{out: outcome.Unknown(outcome.ReasonTimeout, "the request ran and its answer is no longer kept")}
	case reqlog.NotRun:
		return Decision[A]{out: outcome.NotRun(outcome.ReasonFenced, "the request was refused or fenced before")}
	case reqlog.Running:
		return Decision[A]{out: outcome.Unknown(outcome.ReasonTimeout, "the request runs by another delivery")}
	default:
		return Decision[A]{out: outcome.Unknown(outcome.ReasonTimeout, "the request is older than this agent remembers")}
	}
}

// GiveUp ends the wait of a queued request at its deadline. A request that was
// started before is not affected.
func (itk *Intake[V, A]) ExpireQueued(rid reqlog.ID, val V, now time.Time) []RequestDecision[V, A] {
	act, present := itk.active[rid]
	if !present || !act.started.IsZero() || !itk.queue.Cancel(act.ticket) {
		return nil
	}
	delete(itk.active, rid)
	return []RequestDecision[V, A]{itk.refuse(rid, val, pastDeadline(), now)}
}

// Finish takes the end of a started request with its answer, if it was answered,
// and the answer's size in bytes.
func (itk *Intake[V, A]) Finish(rid reqlog.ID, out outcome.Outcome, ans A, size int, now time.Time) []RequestDecision[V, A] {
	act, present := itk.active[rid]
	if !present || act.started.IsZero() {
		return nil
	}
	switch out.Kind() {
	case outcome.KindAnswered:
		itk.log.RecordAnswer(rid, ans, size, now)
		itk.queue.Observe(now.Sub(act.started))
	case outcome.KindNotRun:
		itk.log.RecordRefusal(rid, now)
	default:
		itk.log.RecordUnknownEnd(rid, now)
	}
	delete(itk.active, rid)
	itk.account.ReleaseRequest(rid)
	itk.queue.Done(act.request)
	return itk.dispatch(now)
}

// Resolve tells what became of a request, and fences it if it never arrived.
func (itk *Intake[V, A]) Resolve(rid reqlog.ID, now time.Time) reqlog.Result[A] {
	return itk.log.Resolve(rid, now)
}

// Hear takes an announcement of the endpoint and reports whether it was accepted.
func (itk *Intake[V, A]) RecordAnnouncement(ann admit.Announcement, now time.Time) ([]RequestDecision[V, A], bool) {
	if !itk.endpoint.Record(ann, now) {
		return nil, false
	}
	cpy := itk.account.Capacity().
		WithEndpoint(ann.Slots(), ann.Connections()).
		WithCriticalSlots(itk.criticalSlots(ann))
	itk.account.SetCapacity(cpy)
	switch {
	case !ann.Leaving() && !itk.draining:
		itk.leftAt = time.Time{}
	case itk.leftAt.IsZero():
		itk.leftAt = now
	}
	return itk.dispatch(now), true
}

func (itk *Intake[V, A]) criticalSlots(ann admit.Announcement) int {
	if adm, ok := itk.site.(AdmissionSettings); ok {
		if slots, set := adm.CriticalSlots(ann.Service(), ann.Slots()); set {
			return slots
		}
	}
	return criticalSlots(ann.Slots())
}

// criticalSlots leaves a quarter of the slots, and at least one of several, to
// latency-critical requests, so that they never wait for batch requests alone.
func criticalSlots(slots int) int {
	if slots < 2 {
		return 0
	}
	return max(1, slots/4)
}

// Tick refuses queued requests that passed their deadline or whose endpoint is
// missing or has left.
func (itk *Intake[V, A]) Tick(now time.Time) []RequestDecision[V, A] {
	switch {
	case itk.queue.Len() == 0:
		return nil
	case !itk.endpoint.Present(now):
		return itk.refuseAll(itk.queue.Clear(), outcome.NotRun(outcome.ReasonNoEndpoint, "the endpoint does not announce itself"), now)
	case !itk.leftAt.IsZero() && now.Sub(itk.leftAt) >= LeaveGrace:
		return itk.refuseAll(itk.queue.Clear(), outcome.NotRun(outcome.ReasonLeaving, "the endpoint is leaving"), now)
	}
	return itk.startQueued(now)
}

// Drain refuses all further requests. It is done when Drained reports true.
func (itk *Intake[V, A]) Drain(now time.Time) {
	itk.draining = true
	if itk.leftAt.IsZero() {
		itk.leftAt = now
	}
}

// Drained reports whether no request is queued or running.
func (itk *Intake[V, A]) Drained() bool { return len(itk.active) == 0 }

// Endpoint returns the presence of the endpoint.
func (itk *Intake[V, A]) Endpoint() admit.Endpoint { return itk.endpoint }

// Queued returns the number of queued requests.
func (itk *Intake[V, A]) Queued() int { return itk.queue.Len() }

// MeanService returns the mean of the observed service times.
func (itk *Intake[V, A]) MeanServiceTime() time.Duration { return itk.queue.MeanServiceTime() }

// dispatch starts queued requests while there is room for them. Without room for
// a latency-critical request there is none for any other.
func (itk *Intake[V, A]) dispatch(now time.Time) []RequestDecision[V, A] {
	if _, room := itk.account.CanAdmit(false); !room {
		return nil
	}
	return itk.startQueued(now)
}

func (itk *Intake[V, A]) startQueued(now time.Time) []RequestDecision[V, A] {
	var res []RequestDecision[V, A]
	for {
		nxt, found, expired := itk.queue.Next(now, itk.room)
		res = append(res, itk.refuseAll(expired, pastDeadline(), now)...)
		if !found {
			return res
		}
		wtg, req := nxt.Value(), nxt.Request()
		if out, ok := itk.site.RequestsAllowed(req.Service(), now); !ok {
			// The configuration changed while the request was queued.
			itk.queue.Done(req)
			res = append(res, itk.refuseAll([]admit.Item[waiting[V]]{nxt}, out, now)...)
			continue
		}
		itk.account.Admit(wtg.id, req.Batch())
		itk.active[wtg.id] = active{request: req, started: now}
		dec := Decision[A]{started: true, address: itk.endpoint.Last().Address()}
		res = append(res, RequestDecision[V, A]{value: wtg.value, decision: dec})
	}
}

func (itk *Intake[V, A]) room(req admit.Request) bool {
	_, room := itk.account.CanAdmit(req.Batch())
	return room
}

func (itk *Intake[V, A]) refuse(rid reqlog.ID, val V, out outcome.Outcome, now time.Time) RequestDecision[V, A] {
	itk.log.RecordRefusal(rid, now)
	return RequestDecision[V, A]{value: val, decision: Decision[A]{out: out}}
}

func (itk *Intake[V, A]) refuseAll(items []admit.Item[waiting[V]], out outcome.Outcome, now time.Time) []RequestDecision[V, A] {
	var res []RequestDecision[V, A]
	for _, itm := range items {
		delete(itk.active, itm.Value().id)
		res = append(res, itk.refuse(itm.Value().id, itm.Value().value, out, now))
	}
	return res
}

func pastDeadline() outcome.Outcome {
	return outcome.NotRun(outcome.ReasonDeadline, "the deadline passed in the queue")
}
