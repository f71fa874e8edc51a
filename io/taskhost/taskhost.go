// Package taskhost is the agent's task role: it runs core/runner on the control
// loop of io/agentstate, performs its effects at the worker and at the owners of
// the partitions, and serves the net/rpc methods Offer, Stop and Adopt.
//
// Every effect is performed by its own goroutine under a time limit, and its
// answer returns to the loop as an event. The worker is asked for its state once
// a second with one request at a time. All methods but Perform are safe for
// concurrent use.
package taskhost

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/runner"
	"jacinthpost/core/worker"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/control"
)

// PollPeriod is the time between reports of the worker.
const PollPeriod = time.Second

// Time limits of calls. A call whose answer is lost is repeated after its limit.
const (
	claimLimit  = 5 * time.Second        // the owner writes to the store before it answers
	startLimit  = runner.StartWindow / 3 // a second order on a new connection still takes effect
	stopLimit   = 5 * time.Second        // covers most checkpoints; repeating a stop is safe
	workerLimit = 2 * time.Second
	ownerLimit  = 3 * time.Second
)

// Caller is the port to the net/rpc methods of the owners.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Identity is how an agent names itself to owners.
type Identity struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// NewIdentity returns the identity of an agent process.
func NewIdentity(ins fleet.InstanceID, inc fleet.Incarnation) Identity {
	return Identity{instance: ins, incarnation: inc}
}

// Instance returns the instance.
func (idy Identity) Instance() fleet.InstanceID { return idy.instance }

// Incarnation returns the incarnation of the agent process.
func (idy Identity) Incarnation() fleet.Incarnation { return idy.incarnation }

// Host runs the tasks of one instance.
type Host struct {
	base     context.Context // net/rpc methods get no context; it ends their work when the process stops
	loop     agentstate.Loop
	worker   worker.Worker
	owners   Caller
	identity Identity
	alarm    *control.Alarm[agentstate.State] // for the next tick
	drains   []chan struct{}                  // owned by the control goroutine
	stopping bool                             // Drain was called; owned by the control goroutine
}

// New returns a host that works until the context ends; the loop must run as long.
func New(ctx context.Context, lop agentstate.Loop, wkr worker.Worker, own Caller, idy Identity) *Host {
	hst := &Host{base: ctx, loop: lop, worker: wkr, owners: own, identity: idy}
	hst.alarm = control.NewAlarm(lop, hst.tick)
	return hst
}

// Run polls the worker and drives the retries until the context ends. Calls under
// way end with the context given to New.
func (hst *Host) Run(ctx context.Context) {
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		hst.poll(ctx)
	}()
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect { return run.Tick(now) })
	<-ctx.Done()
	hst.alarm.Stop()
	<-polled
}

// tick lets time pass at the tasks.
func (hst *Host) tick(sta *agentstate.State, now time.Time) {
	hst.followEndpoint(sta, now)
	hst.Perform(sta, sta.Runner().Tick(now))
	sta.Publish()
}

// followEndpoint hands the tasks back when the endpoint leaves, because its
// instance leaves with it, and takes offers again when a new endpoint is ready.
func (hst *Host) followEndpoint(sta *agentstate.State, now time.Time) {
	leaving := sta.Intake().Endpoint().Last().Leaving()
	switch run := sta.Runner(); {
	case leaving && !run.Draining():
		hst.Perform(sta, run.Drain(now))
	case !leaving && !hst.stopping && run.Draining():
		run.Resume()
	}
}

func (hst *Host) poll(ctx context.Context) {
	hst.pollOnce(ctx)
	control.Every(ctx, PollPeriod, func() { hst.pollOnce(ctx) })
}

// pollOnce waits until the loop has taken the report, so that reports stay in order.
func (hst *Host) pollOnce(ctx context.Context) {
	ask, cancel := context.WithTimeout(ctx, workerLimit)
	defer cancel()
	sent := time.Now()
	rep, err := hst.worker.State(ask)
	if err != nil {
		failed("state").Inc()
		return
	}
	// An error means that the process stops.
	_, _ = agentstate.Ask(ctx, hst.loop, func(sta *agentstate.State, now time.Time) struct{} {
		hst.Perform(sta, sta.Runner().ApplyReport(rep, sent, now))
		return struct{}{}
	})
}

// post returns an answer to the loop and performs what follows from it.
func (hst *Host) post(act func(run *runner.Runner, now time.Time) []runner.Effect) {
	// An error means that the process stops.
	_ = hst.loop.Post(hst.base, control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		hst.Perform(sta, act(sta.Runner(), now))
	}))
}

// Perform starts the goroutines that perform effects, and completes drains. It
// must be called on the control goroutine, for example with the effects of
// Runner.Evict and Runner.Throttle.
func (hst *Host) Perform(sta *agentstate.State, efs []runner.Effect) {
	for _, eff := range efs {
		go hst.perform(eff)
	}
	if now := time.Now(); hst.base.Err() == nil {
		hst.alarm.Arm(now, hst.next(sta, now))
	}
	if len(hst.drains) == 0 || sta.Runner().Unrecorded() > 0 {
		return
	}
	for _, drn := range hst.drains {
		close(drn)
	}
	hst.drains = nil
}

// leastPause bounds the rate of ticks.
const leastPause = 10 * time.Millisecond

// next returns when the next tick is due. One without a deadline comes together
// with the other periodic work of the process.
func (hst *Host) next(sta *agentstate.State, now time.Time) time.Time {
	next, quiet := sta.Runner().NextTick(now), control.Align(now, runner.MaxTickPeriod)
	if quiet.Before(next) {
		return quiet
	}
	if least := now.Add(leastPause); next.Before(least) {
		return least
	}
	return next
}

// Evict stops a task with a checkpoint so that its owner places it again. It
// reports whether the task was running.
func (hst *Host) Evict(ctx context.Context, ref worker.Ref, reason string) (bool, error) {
	return agentstate.Ask(ctx, hst.loop, func(sta *agentstate.State, now time.Time) bool {
		efs, evicted := sta.Runner().Evict(ref, reason, now)
		hst.Perform(sta, efs)
		return evicted
	})
}

// Throttle limits a running task to a percentage of its full speed.
func (hst *Host) Throttle(ctx context.Context, ref worker.Ref, percent int) error {
	_, err := agentstate.Ask(ctx, hst.loop, func(sta *agentstate.State, _ time.Time) struct{} {
		hst.Perform(sta, sta.Runner().Throttle(ref, percent))
		return struct{}{}
	})
	return err
}

// Drain refuses further offers, checkpoints all tasks and hands them back, which
// needs Run. It returns when the owners have recorded all ends, or when the context ends.
func (hst *Host) Drain(ctx context.Context) error {
	done := make(chan struct{})
	err := hst.loop.Post(ctx, control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		hst.stopping = true
		hst.drains = append(hst.drains, done)
		hst.Perform(sta, sta.Runner().Drain(now))
	}))
	if err != nil {
		return errors.Wrap(err, "drain tasks")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "tasks are not handed back")
	}
}

func failed(call string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_taskhost_failed_calls_total{call="` + call + `"}`)
}

// countEnds counts the ends that the owner recorded, so that repetitions count once.
func countEnds(ends []runner.End, recorded []worker.Ref) {
	for _, end := range ends {
		if !slices.Contains(recorded, end.Ref()) {
			continue
		}
		metrics.GetOrCreateCounter(`jacinthpost_taskhost_ends_total{end="` + string(end.Kind()) + `"}`).Inc()
		if end.Evicted() {
			evictions.Inc()
		}
	}
}

var evictions = metrics.NewCounter("jacinthpost_taskhost_evictions_total")

func offers(out outcome.Outcome, accepted bool) *metrics.Counter {
	if accepted {
		return metrics.GetOrCreateCounter(`jacinthpost_taskhost_offers_total{result="accepted"}`)
	}
	return metrics.GetOrCreateCounter(`jacinthpost_taskhost_offers_total{result="` + string(out.Reason()) + `"}`)
}
