// Package taskhost is the task part of the agent. It runs core/runner on the control loop of
// io/agentstate, executes the runner's effects as calls to the worker and to the partition owners,
// and serves the net/rpc methods Offer, Stop and Adopt.
//
// Every effect is executed by its own goroutine with a timeout, and its result returns to the loop as
// an event. The worker is asked for its state once per PollPeriod, with one request at a time. All
// methods except Perform are safe for concurrent use.
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

// PollPeriod is the time between two requests for the worker's state.
const PollPeriod = time.Second

// Timeouts of calls. A call whose reply is lost is repeated after its timeout.
const (
	claimTimeout  = 5 * time.Second        // the owner writes to the store before it answers
	startTimeout  = runner.StartWindow / 3 // leaves time for a second start on a new connection within the window
	stopTimeout   = 5 * time.Second        // covers most checkpoints; repeating a stop is safe
	workerTimeout = 2 * time.Second
	ownerTimeout  = 3 * time.Second
)

// Caller calls the net/rpc methods of partition owners.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Identity identifies an agent process in calls to partition owners.
type Identity struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// NewIdentity returns the identity of an agent process.
func NewIdentity(ins fleet.InstanceID, inc fleet.Incarnation) Identity {
	return Identity{instance: ins, incarnation: inc}
}

// Instance returns the instance that the agent runs on.
func (idy Identity) Instance() fleet.InstanceID { return idy.instance }

// Incarnation returns the incarnation of the agent process.
func (idy Identity) Incarnation() fleet.Incarnation { return idy.incarnation }

// Host runs the tasks of one instance.
type Host struct {
	base         context.Context // ends calls when the process stops; net/rpc methods receive no context
	loop         agentstate.Loop
	worker       worker.Worker
	owners       Caller
	identity     Identity
	alarm        *control.Alarm[agentstate.State] // calls tick when it is due next
	drainWaiters []chan struct{}                  // closed when all ends are recorded; owned by the control goroutine
	drainCalled  bool                             // prevents followEndpoint from resuming; owned by the control goroutine
}

// New returns a host whose calls end with ctx. The loop must run until ctx ends.
func New(ctx context.Context, lop agentstate.Loop, wkr worker.Worker, own Caller, idy Identity) *Host {
	hst := &Host{base: ctx, loop: lop, worker: wkr, owners: own, identity: idy}
	hst.alarm = control.NewAlarm(lop, hst.tick)
	return hst
}

// Run polls the worker and schedules the runner's ticks until ctx ends. Calls in progress end with
// the context given to New.
func (hst *Host) Run(ctx context.Context) {
	pollDone := make(chan struct{})
	go func() {
		defer close(pollDone)
		hst.poll(ctx)
	}()
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect { return run.Tick(now) })
	<-ctx.Done()
	hst.alarm.Stop()
	<-pollDone
}

// tick applies the current time to the runner: retries, lease ends and reports that are due.
func (hst *Host) tick(sta *agentstate.State, now time.Time) {
	hst.followEndpoint(sta, now)
	hst.Perform(sta, sta.Runner().Tick(now))
	sta.Publish()
}

// followEndpoint drains the tasks when the endpoint announces that it is leaving, because the instance
// leaves with it, and accepts offers again once the endpoint no longer does.
func (hst *Host) followEndpoint(sta *agentstate.State, now time.Time) {
	leaving := sta.Intake().Endpoint().Last().Leaving()
	switch run := sta.Runner(); {
	case leaving && !run.Draining():
		hst.Perform(sta, run.Drain(now))
	case !leaving && !hst.drainCalled && run.Draining():
		run.Resume()
	}
}

func (hst *Host) poll(ctx context.Context) {
	hst.pollOnce(ctx)
	control.Every(ctx, PollPeriod, func() { hst.pollOnce(ctx) })
}

// pollOnce returns after the loop has applied the report, so that reports are applied in order.
func (hst *Host) pollOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	sent := time.Now()
	rep, err := hst.worker.State(callCtx)
	if err != nil {
		failedCalls("state").Inc()
		return
	}
	// The only errors are those of a process that is stopping.
	_, _ = agentstate.Ask(ctx, hst.loop, func(sta *agentstate.State, now time.Time) struct{} {
		hst.Perform(sta, sta.Runner().ApplyReport(rep, sent, now))
		return struct{}{}
	})
}

// post runs act on the control goroutine and performs the effects that it returns.
func (hst *Host) post(act func(run *runner.Runner, now time.Time) []runner.Effect) {
	// The only errors are those of a process that is stopping.
	_ = hst.loop.Post(hst.base, control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		hst.Perform(sta, act(sta.Runner(), now))
	}))
}

// Perform starts a goroutine for each effect, sets the alarm for the next tick, and completes drains
// once no end is left to record. It must be called on the control goroutine, for example with the
// effects of Runner.Evict and Runner.Throttle.
func (hst *Host) Perform(sta *agentstate.State, efs []runner.Effect) {
	for _, eff := range efs {
		go hst.perform(eff)
	}
	if now := time.Now(); hst.base.Err() == nil {
		hst.alarm.Arm(now, hst.nextTick(sta, now))
	}
	if len(hst.drainWaiters) == 0 || sta.Runner().Unrecorded() > 0 {
		return
	}
	for _, drn := range hst.drainWaiters {
		close(drn)
	}
	hst.drainWaiters = nil
}

// minTickInterval limits the rate of ticks when the runner asks for one at once.
const minTickInterval = 10 * time.Millisecond

// nextTick returns when the next tick is due. A tick without an earlier deadline is aligned with
// the other periodic work of the process.
func (hst *Host) nextTick(sta *agentstate.State, now time.Time) time.Time {
	next, aligned := sta.Runner().NextTick(now), control.Align(now, runner.MaxTickPeriod)
	if aligned.Before(next) {
		return aligned
	}
	if earliest := now.Add(minTickInterval); next.Before(earliest) {
		return earliest
	}
	return next
}

// Evict stops a task with a checkpoint so that its owner places it again. It reports whether the
// task was running.
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

// Drain refuses further offers, stops all tasks with a checkpoint and reports their ends to the
// owners. It returns when the owners have recorded all ends, or with an error when ctx ends. Run must
// be active, since it repeats failed calls.
func (hst *Host) Drain(ctx context.Context) error {
	done := make(chan struct{})
	err := hst.loop.Post(ctx, control.Func[agentstate.State](func(sta *agentstate.State, now time.Time) {
		hst.drainCalled = true
		hst.drainWaiters = append(hst.drainWaiters, done)
		hst.Perform(sta, sta.Runner().Drain(now))
	}))
	if err != nil {
		return errors.Wrap(err, "drain tasks")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for owners to record the ends of drained tasks")
	}
}

func failedCalls(call string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_taskhost_failed_calls_total{call="` + call + `"}`)
}

// countEnds counts only the ends that the owner has recorded, so that a repeated report counts once.
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

func offerCounter(out outcome.Outcome, accepted bool) *metrics.Counter {
	if accepted {
		return metrics.GetOrCreateCounter(`jacinthpost_taskhost_offers_total{result="accepted"}`)
	}
	return metrics.GetOrCreateCounter(`jacinthpost_taskhost_offers_total{result="` + string(out.Reason()) + `"}`)
}
