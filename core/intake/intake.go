// Package intake decides whether the service requests of one agent are queued,
// started, refused or answered from the request log, and records their results.
//
// It combines the request log, the queue and the ledger. Each delivery of a request
// gets exactly one decision, immediately or later: that the request is started, after
// which the caller must send it to the endpoint and call Finish, or an outcome
// without a start. A refusal is final: a later delivery of the same ID is not started.
//
// A leaving endpoint or a draining agent gets no new requests. Running requests
// continue, and queued ones may still start within LeaveGrace. After it they are
// refused, so that their callers can try another endpoint. When the endpoint stops
// announcing itself, the queued requests are refused at the next tick.
//
// V is the type of the caller's value for a delivery, A the type of answers. An
// Intake is not safe for concurrent use: only the control goroutine may use it.
package intake

import (
	"time"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/reqlog"
)

// LeaveGrace is how long queued requests may still start after the endpoint announced
// that it leaves or the agent began to drain. An endpoint that leaves must stop
// getting requests within a few seconds.
const LeaveGrace = 2 * time.Second

// Ledger is the interface to the ledger of the instance.
type Ledger interface {
	Admit(rid reqlog.ID, batch bool) (outcome.Outcome, bool)
	CanAdmit(batch bool) (outcome.Outcome, bool)
	ReleaseRequest(rid reqlog.ID)
	RequestCount() int
	Ready() bool
	Capacity() ledger.Capacity
	SetCapacity(cpy ledger.Capacity)
}

// Environment provides information from other parts of the process. Its methods
// read immutable snapshots and do not block.
type Environment interface {
	// RequestsAllowed reports whether requests of a service may start now, and if not, why.
	RequestsAllowed(svc fleet.Service, now time.Time) (outcome.Outcome, bool)
	// Limits returns the queue limits for a service and a workspace.
	Limits(svc fleet.Service, wsp fleet.Workspace) admit.Limits
}

// AdmissionSettings is an optional extension of Environment with the settings from
// the admission ticket of a service.
type AdmissionSettings interface {
	// Permit counts a request of a workspace against its rate, and reports whether it may run.
	Permit(svc fleet.Service, wsp fleet.Workspace, now time.Time) (outcome.Outcome, bool)
	// CriticalSlots returns how many of the slots batch requests may not use, and
	// whether a ticket sets the number.
	CriticalSlots(svc fleet.Service, slots int) (int, bool)
}

// Decision is the decision about a delivery of a request.
type Decision[A any] struct {
	started bool
	address string
	out     outcome.Outcome
	answer  A
}

// Refused returns the decision about a request that was not started.
func Refused[A any](out outcome.Outcome) Decision[A] { return Decision[A]{out: out} }

// Started reports whether the caller must send the request to the endpoint and call Finish.
func (dec Decision[A]) Started() bool { return dec.started }

// Address returns the address of the endpoint for a started request.
func (dec Decision[A]) Address() string { return dec.address }

// Outcome returns the outcome for a request that was not started by this delivery.
func (dec Decision[A]) Outcome() outcome.Outcome { return dec.out }

// Answer returns the answer to an earlier delivery if the outcome is Answered.
func (dec Decision[A]) Answer() A { return dec.answer }

// RequestDecision is a decision together with the caller's value for the delivery.
type RequestDecision[V, A any] struct {
	value    V
	decision Decision[A]
}

// Value returns the value that the caller passed to Submit.
func (rdc RequestDecision[V, A]) Value() V { return rdc.value }

// Decision returns the decision about the delivery.
func (rdc RequestDecision[V, A]) Decision() Decision[A] { return rdc.decision }

// queuedRequest is the queue's record of a request.
type queuedRequest[V any] struct {
	id    reqlog.ID
	value V
}

// activeRequest is a request that is queued or running.
type activeRequest struct {
	request admit.Request
	ticket  admit.Ticket
	started time.Time // zero while it is queued
}

// Intake holds the requests of one agent.
type Intake[V, A any] struct {
	ledger       Ledger
	env          Environment
	queue        *admit.Queue[queuedRequest[V], admit.Policy]
	log          *reqlog.Log[A]
	endpoint     admit.Endpoint
	active       map[reqlog.ID]activeRequest
	draining     bool
	leavingSince time.Time // when the endpoint began to leave or the agent to drain, zero before
}

// DefaultQueueSize is the default number of requests that can wait for a slot. With
// 32 requests for each slot, the last ones would pass a usual deadline anyway.
const DefaultQueueSize = 256

// Options are the settings of an Intake.
type Options struct {
	queue  int
	policy admit.Policy
	limits reqlog.Limits
}

// DefaultOptions returns the options of a production agent.
func DefaultOptions() Options {
	return Options{queue: DefaultQueueSize, policy: admit.CriticalFirst{}, limits: reqlog.DefaultLimits()}
}

// WithQueue returns the options with the given queue size and policy.
func (opt Options) WithQueue(size int, pol admit.Policy) Options {
	opt.queue, opt.policy = size, pol
	return opt
}

// WithLimits returns the options with the given limits of the request log.
func (opt Options) WithLimits(lim reqlog.Limits) Options {
	opt.limits = lim
	return opt
}

// New returns an intake that refuses requests until the endpoint has announced itself.
func New[V, A any](led Ledger, env Environment, opt Options) *Intake[V, A] {
	return &Intake[V, A]{
		ledger: led, env: env,
		queue:  admit.New[queuedRequest[V]](opt.queue, opt.policy),
		log:    reqlog.New[A](opt.limits),
		active: make(map[reqlog.ID]activeRequest),
	}
}

// Submit handles a delivery of a request and returns the resulting decisions, which
// can also concern other requests. If none has the value of this delivery, the
// request is queued.
func (itk *Intake[V, A]) Submit(rid reqlog.ID, req admit.Request, val V, now time.Time) []RequestDecision[V, A] {
	if res := itk.log.Begin(rid, now); res.State() != reqlog.Unseen {
		return []RequestDecision[V, A]{{value: val, decision: repeatedDecision(res)}}
	}
	if out, ok := itk.checkAdmission(req, now); !ok {
		return []RequestDecision[V, A]{itk.refuse(rid, val, out, now)}
	}
	loa := admit.NewLoad(itk.ledger.Capacity().Slots(), itk.ledger.RequestCount())
	lim := itk.env.Limits(req.Service(), req.Workspace())
	dec := itk.queue.Offer(req, queuedRequest[V]{id: rid, value: val}, now, loa, lim)
	if !dec.Accepted() {
		return []RequestDecision[V, A]{itk.refuse(rid, val, dec.Refusal(), now)}
	}
	itk.active[rid] = activeRequest{request: req, ticket: dec.Ticket()}
	out := outcome.NotRun(outcome.ReasonQueueFull, "displaced by a latency-critical request")
	return append(itk.refuseAll(dec.Displaced(), out, now), itk.dispatch(now)...)
}

func (itk *Intake[V, A]) checkAdmission(req admit.Request, now time.Time) (outcome.Outcome, bool) {
	if itk.draining {
		return outcome.NotRun(outcome.ReasonLeaving, "the agent is stopping"), false
	}
	if !itk.ledger.Ready() {
		return outcome.NotRun(outcome.ReasonNotReady, "the worker has not reported yet"), false
	}
	if out, ok := itk.endpoint.Admits(req.Service(), now); !ok {
		return out, false
	}
	if out, ok := itk.env.RequestsAllowed(req.Service(), now); !ok {
		return out, false
	}
	if adm, ok := itk.env.(AdmissionSettings); ok {
		return adm.Permit(req.Service(), req.Workspace(), now)
	}
	return outcome.Outcome{}, true
}

// repeatedDecision returns the decision about a delivery whose ID is in the log.
func repeatedDecision[A any](res reqlog.Result[A]) Decision[A] {
	switch res.State() {
	case reqlog.Answered:
		if ans, kept := res.Answer(); kept {
			return Decision[A]{out: outcome.Answered(), answer: ans}
		}
		return Decision[A]{out: outcome.Unknown(outcome.ReasonTimeout, "the request was answered, but its answer is no longer stored")}
	case reqlog.NotRun:
		return Decision[A]{out: outcome.NotRun(outcome.ReasonFenced, "the request was refused or fenced earlier")}
	case reqlog.Running:
		return Decision[A]{out: outcome.Unknown(outcome.ReasonTimeout, "an earlier delivery of the request is still queued or running")}
	default:
		return Decision[A]{out: outcome.Unknown(outcome.ReasonTimeout, "the request log does not show how the request ended")}
	}
}

// ExpireQueued refuses a request at its deadline if it is still queued. It does not
// affect a request that was started.
func (itk *Intake[V, A]) ExpireQueued(rid reqlog.ID, val V, now time.Time) []RequestDecision[V, A] {
	act, present := itk.active[rid]
	if !present || !act.started.IsZero() || !itk.queue.Cancel(act.ticket) {
		return nil
	}
	delete(itk.active, rid)
	return []RequestDecision[V, A]{itk.refuse(rid, val, queueDeadlinePassed(), now)}
}

// Finish records the outcome of a started request, with its answer if there is one
// and the answer's size in bytes, and returns decisions about queued requests.
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
	itk.ledger.ReleaseRequest(rid)
	itk.queue.Done(act.request)
	return itk.dispatch(now)
}

// Resolve returns the state of a request. A request that never arrived is fenced.
func (itk *Intake[V, A]) Resolve(rid reqlog.ID, now time.Time) reqlog.Result[A] {
	return itk.log.Resolve(rid, now)
}

// RecordAnnouncement updates the capacity from an announcement of the endpoint, and
// reports whether the announcement was accepted.
func (itk *Intake[V, A]) RecordAnnouncement(ann admit.Announcement, now time.Time) ([]RequestDecision[V, A], bool) {
	if !itk.endpoint.Record(ann, now) {
		return nil, false
	}
	cpy := itk.ledger.Capacity().
		WithEndpoint(ann.Slots(), ann.Connections()).
		WithCriticalSlots(itk.criticalSlots(ann))
	itk.ledger.SetCapacity(cpy)
	switch {
	case !ann.Leaving() && !itk.draining:
		itk.leavingSince = time.Time{}
	case itk.leavingSince.IsZero():
		itk.leavingSince = now
	}
	return itk.dispatch(now), true
}

func (itk *Intake[V, A]) criticalSlots(ann admit.Announcement) int {
	if adm, ok := itk.env.(AdmissionSettings); ok {
		if slots, set := adm.CriticalSlots(ann.Service(), ann.Slots()); set {
			return slots
		}
	}
	return defaultCriticalSlots(ann.Slots())
}

// defaultCriticalSlots returns a quarter of the slots, but at least one if there are
// several. Batch requests can then never occupy all slots while latency-critical
// requests wait.
func defaultCriticalSlots(slots int) int {
	if slots < 2 {
		return 0
	}
	return max(1, slots/4)
}

// Tick refuses queued requests whose deadline has passed, or all of them if the
// endpoint is absent or LeaveGrace has ended, and starts others if possible.
func (itk *Intake[V, A]) Tick(now time.Time) []RequestDecision[V, A] {
	switch {
	case itk.queue.Len() == 0:
		return nil
	case !itk.endpoint.Present(now):
		return itk.refuseAll(itk.queue.Clear(), outcome.NotRun(outcome.ReasonNoEndpoint, "the endpoint does not announce itself"), now)
	case !itk.leavingSince.IsZero() && now.Sub(itk.leavingSince) >= LeaveGrace:
		return itk.refuseAll(itk.queue.Clear(), outcome.NotRun(outcome.ReasonLeaving, "the endpoint is leaving"), now)
	}
	return itk.startQueued(now)
}

// Drain refuses all further requests. The drain is complete when Drained reports true.
func (itk *Intake[V, A]) Drain(now time.Time) {
	itk.draining = true
	if itk.leavingSince.IsZero() {
		itk.leavingSince = now
	}
}

// Drained reports whether no request is queued or running.
func (itk *Intake[V, A]) Drained() bool { return len(itk.active) == 0 }

// Endpoint returns the state of the endpoint from its announcements.
func (itk *Intake[V, A]) Endpoint() admit.Endpoint { return itk.endpoint }

// Queued returns the number of queued requests.
func (itk *Intake[V, A]) Queued() int { return itk.queue.Len() }

// MeanServiceTime returns the mean service time of the answered requests.
func (itk *Intake[V, A]) MeanServiceTime() time.Duration { return itk.queue.MeanServiceTime() }

// dispatch starts queued requests as far as the ledger admits them. If it does not
// admit a latency-critical request, it admits no request.
func (itk *Intake[V, A]) dispatch(now time.Time) []RequestDecision[V, A] {
	if _, room := itk.ledger.CanAdmit(false); !room {
		return nil
	}
	return itk.startQueued(now)
}

func (itk *Intake[V, A]) startQueued(now time.Time) []RequestDecision[V, A] {
	var res []RequestDecision[V, A]
	for {
		nxt, found, expired := itk.queue.Next(now, itk.canAdmit)
		res = append(res, itk.refuseAll(expired, queueDeadlinePassed(), now)...)
		if !found {
			return res
		}
		qrq, req := nxt.Value(), nxt.Request()
		if out, ok := itk.env.RequestsAllowed(req.Service(), now); !ok {
			// The configuration changed while the request was queued.
			itk.queue.Done(req)
			res = append(res, itk.refuseAll([]admit.Item[queuedRequest[V]]{nxt}, out, now)...)
			continue
		}
		itk.ledger.Admit(qrq.id, req.Batch())
		itk.active[qrq.id] = activeRequest{request: req, started: now}
		dec := Decision[A]{started: true, address: itk.endpoint.Last().Address()}
		res = append(res, RequestDecision[V, A]{value: qrq.value, decision: dec})
	}
}

func (itk *Intake[V, A]) canAdmit(req admit.Request) bool {
	_, room := itk.ledger.CanAdmit(req.Batch())
	return room
}

func (itk *Intake[V, A]) refuse(rid reqlog.ID, val V, out outcome.Outcome, now time.Time) RequestDecision[V, A] {
	itk.log.RecordRefusal(rid, now)
	return RequestDecision[V, A]{value: val, decision: Decision[A]{out: out}}
}

func (itk *Intake[V, A]) refuseAll(items []admit.Item[queuedRequest[V]], out outcome.Outcome, now time.Time) []RequestDecision[V, A] {
	var res []RequestDecision[V, A]
	for _, itm := range items {
		delete(itk.active, itm.Value().id)
		res = append(res, itk.refuse(itm.Value().id, itm.Value().value, out, now))
	}
	return res
}

func queueDeadlinePassed() outcome.Outcome {
	return outcome.NotRun(outcome.ReasonDeadline, "the deadline passed while the request was queued")
}
