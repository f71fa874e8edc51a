// Package serve is the agent's side of service requests: the net/rpc methods
// Serve and Resolve, and the announcements of the endpoint.
//
// Each call runs on its own goroutine, posts its events to the control loop and
// waits for the decision. A started request is sent to the endpoint by another
// goroutine, so that the caller gets "unknown" at its deadline while the slot
// stays taken until the endpoint answers or HangLimit has passed; a late answer
// is kept for Resolve. All methods are safe for concurrent use.
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

// HangLimit is how long after its deadline a request may occupy a slot. After
// it the connection to the endpoint is closed and the outcome stays unknown.
// Connections that went silent block their slots until then, so a longer limit
// prolongs the outage; a shorter one loses more late answers.
const HangLimit = 500 * time.Millisecond

// maxRemaining bounds the deadline that a caller can ask for.
const maxRemaining = 10 * time.Minute

// Request is what the endpoint gets.
type Request struct {
	address string
	id      string
	method  string
	path    string
	body    []byte
}

// Address returns where the endpoint accepts requests.
func (req Request) Address() string { return req.address }

// ID returns the ID of the request.
func (req Request) ID() string { return req.id }

// Method returns the HTTP method.
func (req Request) Method() string { return req.method }

// Path returns the path and query at the endpoint.
func (req Request) Path() string { return req.path }

// Body returns the body.
func (req Request) Body() []byte { return req.body }

// Endpoint is the port to the co-located endpoint. Only the outcome NotRun
// states that the endpoint did not and will not run the request.
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

// NewSample returns the measurement of a request with its time in the queue and in total.
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

// Outcome returns the end of the request.
func (smp Sample) Outcome() outcome.Outcome { return smp.out }

// Service serves requests and resolves their IDs.
type Service struct {
	base         context.Context // net/rpc methods get no context; it ends their work when the process stops
	loop         agentstate.Loop
	endpoint     Endpoint
	incarnation  fleet.Incarnation
	observe      func(Sample)
	outstanding  atomic.Int64
	drainWaiters []chan struct{} // owned by the control goroutine
}

// New returns a service that works until the context ends. The function observe,
// if set, gets a sample of each request that was started; any goroutine may call it.
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

// decide posts the arrival and waits for the decision. At the deadline it asks
// the loop to give up, which settles whether the request was started.
func (svc *Service) decide(ctx context.Context, cal *call) (agentstate.Decision, error) {
	arrive := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().Submit(cal.id, cal.request, cal.waiter, now))
	})
	if err := svc.loop.Post(ctx, arrive); err != nil {
		// The loop never got the request, so it cannot start later.
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

// exchange sends a started request to the endpoint and records its end.
func (svc *Service) exchange(cal *call, addr string, queued time.Duration) message.ServeReply {
	status, body, out := svc.call(cal, addr)
	ans := agentstate.NewAnswer(status, body)
	finish := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().Finish(cal.id, out, ans, len(body), now))
	})
	// It fails only when the process stops, and the state of the loop with it.
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
	ctx, cancel := context.WithDeadline(svc.base, cal.request.Deadline().Add(HangLimit))
	defer cancel()
	return svc.endpoint.Call(ctx, Request{
		address: addr, id: cal.args.RequestID, method: cal.args.Method, path: cal.args.Path, body: cal.args.Body,
	})
}

// Resolve tells what became of a request, and fences it if it never arrived. It
// is a method of net/rpc.
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

// Drain refuses further requests as not run and waits until none is queued or
// running, or until the context ends. Run has to go on meanwhile.
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

// Run gives up what waits for an endpoint that has stopped announcing itself,
// until the context ends.
func (svc *Service) Run(ctx context.Context) {
	tick := control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		svc.deliver(sta, sta.Intake().Tick(now))
		sta.Publish()
	})
	control.Every(ctx, tickPeriod, func() { svc.loop.TryPost(tick) })
}

// tickPeriod is short against the announcement limit of 3 s.
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
