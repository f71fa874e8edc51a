// Package serve handles service requests on the agent: it has the net/rpc methods Serve and Resolve
// and the HTTP handler for announcements of the endpoint.
//
// Each call runs on its own goroutine, posts its events to the control loop and waits for the
// decision. A started request is sent to the endpoint by another goroutine. The caller therefore
// gets "unknown" at its deadline, while the slot stays occupied until the endpoint answers or
// HangTimeout has passed. A late answer is kept for Resolve. All methods are safe for concurrent use.
package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/reqlog"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

// HangTimeout is how long a request may occupy a slot after its deadline. The connection to the
// endpoint is then closed and the outcome stays unknown. Hung connections occupy their slots until
// then, so a longer limit prolongs an outage; a shorter one loses more late answers.
const HangTimeout = 500 * time.Millisecond

// maxRemaining bounds the time to the deadline that a caller can request.
const maxRemaining = 10 * time.Minute

// Request is a request to the endpoint.
type Request struct {
	address string
	id      string
	method  string
	path    string
	body    []byte
}

// Address returns the host:port of the endpoint.
func (req Request) Address() string { return req.address }

// ID returns the request ID, which identifies one attempt.
func (req Request) ID() string { return req.id }

// Method returns the HTTP method.
func (req Request) Method() string { return req.method }

// Path returns the path and query of the URL.
func (req Request) Path() string { return req.path }

// Body returns the request body. It must not be modified.
func (req Request) Body() []byte { return req.body }

// Endpoint calls the co-located endpoint. The outcome NotRun means that the endpoint did not and will
// not run the request; no other outcome does.
type Endpoint interface {
	Call(ctx context.Context, req Request) (status int, body []byte, out outcome.Outcome)
}

// Sample is the measurement of one request.
type Sample struct {
	service fleet.Service
	batch   bool
	queued  time.Duration
	took    time.Duration
	out     outcome.Outcome
}

// NewSample returns the measurement of a request. The duration took includes queued.
func NewSample(svc fleet.Service, batch bool, queued, took time.Duration, out outcome.Outcome) Sample {
	return Sample{service: svc, batch: batch, queued: queued, took: took, out: out}
}

// Service returns the service of the request.
func (smp Sample) Service() fleet.Service { return smp.service }

// Batch reports whether the request was not latency-critical.
func (smp Sample) Batch() bool { return smp.batch }

// Queued returns the time that the request waited for a slot.
func (smp Sample) Queued() time.Duration { return smp.queued }

// Took returns the time from the arrival to the end, including the queue.
func (smp Sample) Took() time.Duration { return smp.took }

// Outcome returns how the request ended.
func (smp Sample) Outcome() outcome.Outcome { return smp.out }

// Service serves requests and resolves their IDs.
type Service struct {
	base         context.Context // canceled when the process stops; net/rpc methods get no context
	loop         agentstate.Loop
	endpoint     Endpoint
	incarnation  fleet.Incarnation
	observe      func(Sample)
	outstanding  atomic.Int64
	drainWaiters []chan struct{} // owned by the control goroutine
}

// New returns a service that works until the context ends. If observe is not nil, it is called with a
// sample of each started request, from several goroutines at once.
func New(ctx context.Context, lop agentstate.Loop, end Endpoint, inc fleet.Incarnation, observe func(Sample)) *Service {
	return &Service{base: ctx, loop: lop, endpoint: end, incarnation: inc, observe: observe}
}

// call is one delivery of a request.
type call struct {
	id      reqlog.ID
	args    message.ServeArgs
	request admit.Request
	arrived time.Time
	waiter  agentstate.Waiter
}

// Serve runs a request at the endpoint. It is a method of net/rpc.
func (svc *Service) Serve(arg message.ServeArgs, rep *message.ServeReply) error {
	rid, ok := reqlog.ParseID(arg.RequestID)
	if !ok {
		return errors.Errorf("request ID %q is not entry/incarnation/counter", arg.RequestID)
	}
	now := time.Now()
	deadline := now.Add(min(time.Duration(arg.RemainingMillis)*time.Millisecond, maxRemaining))
	cal := &call{
		id: rid, args: arg, arrived: now, waiter: make(agentstate.Waiter, 1),
		request: admit.NewRequest(fleet.Service(arg.Service), fleet.Workspace(arg.Workspace), arg.Batch, deadline),
	}
	num := svc.outstanding.Add(1)
	defer svc.outstanding.Add(-1)
	*rep = svc.run(cal)
	rep.RequestID, rep.Incarnation, rep.Outstanding = arg.RequestID, uint64(svc.incarnation), int(num-1)
	rep.BodyLength = len(rep.Body)
	requestCounter(rep.Outcome, rep.Reason).Inc()
	return nil
}

func (svc *Service) run(cal *call) message.ServeReply {
	ctx, cancel := context.WithDeadline(svc.base, cal.request.Deadline())
	defer cancel()
	dec, err := svc.decide(ctx, cal)
	if err != nil {
		return reply(outcome.Unknown(outcome.ReasonPeerLost, "the agent is stopping"))
	}
	if !dec.Started() {
		rep := reply(dec.Outcome())
		rep.Status, rep.Body = dec.Answer().Status(), dec.Answer().Body()
		return rep
	}
	queued := time.Since(cal.arrived)
	done := make(chan message.ServeReply, 1)
	go func() { done <- svc.exchange(cal, dec.Address(), queued) }()
	select {
	case rep := <-done:
		return rep
	case <-ctx.Done():
		return reply(outcome.Unknown(outcome.ReasonTimeout, "the endpoint did not answer before the deadline"))
	}
}

// decide posts the arrival and waits for the decision. At the deadline it posts the expiry, after
// which the loop states whether the request was started.
func (svc *Service) decide(ctx context.Context, cal *call) (agentstate.Decision, error) {
	arrive := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().Submit(cal.id, cal.request, cal.waiter, now))
	})
	if err := svc.loop.Post(ctx, arrive); err != nil {
		// The loop did not get the request, so the request cannot start later.
		return agentstate.Refused(svc.notPosted()), nil
	}
	select {
	case dec := <-cal.waiter:
		return dec, nil
	case <-ctx.Done():
	}
	expire := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().ExpireQueued(cal.id, cal.waiter, now))
	})
	if err := svc.loop.Post(svc.base, expire); err != nil {
		return agentstate.Decision{}, err
	}
	select {
	case dec := <-cal.waiter:
		return dec, nil
	case <-svc.base.Done():
		return agentstate.Decision{}, svc.base.Err()
	}
}

func (svc *Service) notPosted() outcome.Outcome {
	if svc.base.Err() != nil {
		return outcome.NotRun(outcome.ReasonLeaving, "the agent is stopping")
	}
	return outcome.NotRun(outcome.ReasonDeadline, "the deadline passed before the control loop took the request")
}

// deliver delivers verdicts and completes drains. It runs on the control goroutine.
func (svc *Service) deliver(sta *agentstate.State, vers []agentstate.Verdict) {
	sta.Deliver(vers)
	if len(svc.drainWaiters) == 0 || !sta.Intake().Drained() {
		return
	}
	for _, drn := range svc.drainWaiters {
		close(drn)
	}
	svc.drainWaiters = nil
}

// exchange sends a started request to the endpoint and records its outcome.
func (svc *Service) exchange(cal *call, addr string, queued time.Duration) message.ServeReply {
	status, body, out := svc.call(cal, addr)
	ans := agentstate.NewAnswer(status, body)
	finish := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().Finish(cal.id, out, ans, len(body), now))
	})
	// Post fails only when the process stops, which also discards the state of the loop.
	_ = svc.loop.Post(svc.base, finish)
	took := time.Since(cal.arrived)
	latencyHistogram(cal.args.Batch).UpdateDuration(cal.arrived)
	if svc.observe != nil {
		svc.observe(NewSample(cal.request.Service(), cal.args.Batch, queued, took, out))
	}
	rep := reply(out)
	rep.Status, rep.Body = status, body
	rep.QueueMillis = float64(queued) / float64(time.Millisecond)
	return rep
}

func (svc *Service) call(cal *call, addr string) (int, []byte, outcome.Outcome) {
	if !time.Now().Before(cal.request.Deadline()) {
		return 0, nil, outcome.NotRun(outcome.ReasonDeadline, "the deadline passed before the call to the endpoint")
	}
	ctx, cancel := context.WithDeadline(svc.base, cal.request.Deadline().Add(HangTimeout))
	defer cancel()
	return svc.endpoint.Call(ctx, Request{
		address: addr, id: cal.args.RequestID, method: cal.args.Method, path: cal.args.Path, body: cal.args.Body,
	})
}

// Resolve reports the state of a request. A request that has not arrived is fenced: it is refused if
// it arrives later. Resolve is a method of net/rpc.
func (svc *Service) Resolve(arg message.ResolveArgs, rep *message.ResolveReply) error {
	rid, ok := reqlog.ParseID(arg.RequestID)
	if !ok {
		return errors.Errorf("request ID %q is not entry/incarnation/counter", arg.RequestID)
	}
	if arg.Incarnation != uint64(svc.incarnation) {
		rep.State = message.ResolvedUnknown
		return nil
	}
	res, err := agentstate.Ask(svc.base, svc.loop, func(sta *agentstate.State, now time.Time) reqlog.Result[agentstate.Answer] {
		return sta.Intake().Resolve(rid, now)
	})
	if err != nil {
		return errors.Wrap(err, "resolve request")
	}
	svc.setResolveReply(arg.RequestID, res, rep)
	return nil
}

func (svc *Service) setResolveReply(rid string, res reqlog.Result[agentstate.Answer], rep *message.ResolveReply) {
	ans, kept := res.Answer()
	switch {
	case res.State() == reqlog.Answered && kept:
		rep.State = message.ResolvedAnswered
		rep.Answer = reply(outcome.Answered())
		rep.Answer.RequestID, rep.Answer.Incarnation = rid, uint64(svc.incarnation)
		rep.Answer.Status, rep.Answer.Body, rep.Answer.BodyLength = ans.Status(), ans.Body(), len(ans.Body())
	case res.State() == reqlog.Running:
		rep.State = message.ResolvedRunning
	case res.State() == reqlog.NotRun:
		rep.State = message.ResolvedNotRun
	default:
		rep.State = message.ResolvedUnknown
	}
}

// Drain refuses further requests as not run and waits until none is queued or running, or until the
// context ends. Run must be running until then.
func (svc *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	err := svc.loop.Post(ctx, control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		sta.Intake().Drain(now)
		svc.drainWaiters = append(svc.drainWaiters, done)
		svc.deliver(sta, nil)
	}))
	if err != nil {
		return errors.Wrap(err, "drain requests")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests still run")
	}
}

// Run ends queued requests whose endpoint has stopped announcing itself, until the context ends.
func (svc *Service) Run(ctx context.Context) {
	tick := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().Tick(now))
		sta.Publish()
	})
	control.Every(ctx, tickPeriod, func() { svc.loop.TryPost(tick) })
}

// tickPeriod is short compared with the 3 s after which an announcement expires.
const tickPeriod = 250 * time.Millisecond

func reply(out outcome.Outcome) message.ServeReply {
	return message.ServeReply{Outcome: out.Kind().String(), Reason: string(out.Reason()), Detail: out.Detail()}
}

func requestCounter(out, reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_serve_requests_total{outcome="` + out + `",reason="` + reason + `"}`)
}

func latencyHistogram(batch bool) *metrics.Histogram {
	if batch {
		return metrics.GetOrCreateHistogram(`jacinthpost_serve_latency_seconds{class="batch"}`)
	}
	return metrics.GetOrCreateHistogram(`jacinthpost_serve_latency_seconds{class="latencyCritical"}`)
}
