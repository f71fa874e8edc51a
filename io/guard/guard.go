// Package guard connects the interference control of core/interfere to the requests, the tasks and
// the worker of one instance.
//
// Model: traffic goroutines pass samples through a bounded channel and never block; a sample that
// finds the channel full is counted and dropped. Once per Period the control goroutine passes the
// samples and the changes of the tasks to the interfere.Guard, calls its Decide and performs the
// actions through the runner. The worker takes a checkpoint as part of the stop order of an
// eviction. Therefore a checkpoint that the interfere.Guard requests is confirmed at once, and the
// eviction follows in the next period if its cause persists.
//
// Observed costs are sent to the owners of the tasks on the instance, at most one message to each
// owner in 30 s and none without new information. The messages also contain the resources that the
// ledger has committed to a task, if they have changed. The owners' estimates for a class arrive
// with their offers.
//
// A new interfere.Guard is created when the service or the capacity of the instance changes. What
// the previous one has learned is then lost, as it is when the process ends. Throttle orders can be
// lost on the way to the worker, so they are repeated.
package guard

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/control"
	"jacinthpost/io/serve"
)

const (
	// Period is the time between decisions. A burst is observed in two periods, and each has enough
	// requests for a mean at the request rates of the deployments.
	Period = 500 * time.Millisecond
	// repeatPeriod is the time after which a throttle order is sent again.
	repeatPeriod = 10 * time.Second
	// sampleCapacity bounds the samples that are buffered until the next decision.
	sampleCapacity = 4096
	// classLimit bounds the job classes with a record of their own, because callers choose the
	// names. Further classes share otherClass.
	classLimit = 256
	otherClass = fleet.JobClass("(other)")
)

var (
	throttles      = metrics.NewCounter("jacinthpost_interference_throttles_total")
	evictions      = metrics.NewCounter("jacinthpost_interference_evictions_total")
	droppedSamples = metrics.NewCounter("jacinthpost_interference_dropped_samples_total")
	throttled      = metrics.NewGauge("jacinthpost_interference_throttle_percent", nil)
)

// Host performs the effects of the runner. Perform is called on the control goroutine.
type Host interface {
	Perform(sta *agentstate.State, efs []runner.Effect)
}

// Factory returns a new interfere.Guard for an instance that runs the services and on which tasks may
// use the capacity.
type Factory[G interfere.Guard] func(capacity resource.Vector, svcs ...interfere.Service) G

// Guard runs an interfere.Guard of type G. The zero value is not usable; see New.
type Guard[G interfere.Guard] struct {
	loop    agentstate.Loop
	host    Host
	factory Factory[G]
	logger  *zap.Logger
	samples chan serve.Sample
	owners  ownerClient
	state   state[G] // owned by the control goroutine
}

// state is the data that only the control goroutine accesses.
type state[G interfere.Guard] struct {
	created    bool
	guard      G
	service    fleet.Service
	capacity   resource.Vector
	tasks      []*task // in the order of worker.Ref
	classes    map[fleet.JobClass]struct{}
	log        explain.Log
	throttling bool // whether any task is throttled
	outbox     interfere.Outbox
	lastReport time.Time // when observations were last taken from the guard
}

// New returns a guard that works on the state of the loop and performs its actions through the host.
func New[G interfere.Guard](lop agentstate.Loop, hst Host, fac Factory[G], log *zap.Logger) *Guard[G] {
	return &Guard[G]{loop: lop, host: hst, factory: fac, logger: log, samples: make(chan serve.Sample, sampleCapacity)}
}

// Observe records the sample of an answered latency-critical request and ignores others. Any
// goroutine may call it.
func (grd *Guard[G]) Observe(smp serve.Sample) {
	if smp.Batch() || smp.Outcome().Kind() != outcome.KindAnswered {
		return
	}
	select {
	case grd.samples <- smp:
	default:
		droppedSamples.Inc()
	}
}

// Run posts Decide once per Period until the context ends.
func (grd *Guard[G]) Run(ctx context.Context) {
	decide := control.Func[agentstate.State](grd.Decide)
	control.Every(ctx, Period, func() { grd.loop.TryPost(decide) })
}

// Lines returns the reasons of the actions on the tasks that are running, one line each.
func (grd *Guard[G]) Lines(ctx context.Context) ([]string, error) {
	return agentstate.Ask(ctx, grd.loop, func(*agentstate.State, time.Time) []string {
		var lines []string
		for _, tsk := range grd.state.tasks {
			for _, rsn := range grd.state.log.Reasons(tsk.id) {
				lines = append(lines, rsn.At().UTC().Format("2006-01-02 15:04:05.000")+" "+rsn.String())
			}
		}
		return lines
	})
}

// Decide ends a period: it evaluates the samples and performs the resulting actions. Only the
// control goroutine may call it.
func (grd *Guard[G]) Decide(sta *agentstate.State, now time.Time) {
	grd.ensureGuard(sta, now)
	sta.Served(len(grd.samples), now)
	grd.followTasks(sta, now)
	if !grd.state.created {
		// A former agent process may have throttled the tasks for an endpoint that has gone.
		grd.discardSamples()
		grd.repeatThrottles(sta, now)
		return
	}
	grd.observeSamples()
	defer grd.reportToOwners(sta, now)
	for _, act := range grd.state.guard.Decide(now) {
		grd.apply(sta, act, now)
	}
	grd.repeatThrottles(sta, now)
	grd.publishThrottle()
}

// ensureGuard creates the interfere.Guard once the capacity and the service are known, and a new one
// when either changes.
func (grd *Guard[G]) ensureGuard(sta *agentstate.State, now time.Time) {
	svc, capacity := sta.Intake().Endpoint().Last().Service(), sta.Ledger().Capacity().TaskTotal()
	sti := &grd.state
	if !sta.Ledger().Ready() || svc == "" || sti.created && svc == sti.service && capacity == sti.capacity {
		return
	}
	sti.guard, sti.created = grd.factory(capacity, interfere.NewService(svc, 0)), true
	sti.service, sti.capacity = svc, capacity
	for _, tsk := range sti.tasks {
		tsk.throttlePercent, tsk.lastOrder = 0, time.Time{}
		sti.setPrior(tsk)
		sti.guard.Started(tsk.descriptor(), now)
	}
}

func (grd *Guard[G]) discardSamples() {
	for len(grd.samples) > 0 {
		<-grd.samples
	}
}

// observeSamples passes on the latencies of the period without the time in the queue, which depends
// on the load and not on the tasks.
func (grd *Guard[G]) observeSamples() {
	for range len(grd.samples) {
		smp := <-grd.samples
		grd.state.guard.ObserveLatency(smp.Service(), smp.Took()-smp.Queued())
	}
}

// apply performs an action of the interfere.Guard.
func (grd *Guard[G]) apply(sta *agentstate.State, act interfere.Action, now time.Time) {
	tsk := grd.state.find(act.Task())
	if tsk == nil {
		return
	}
	grd.state.log.Update(act.Reason())
	switch act.Kind() {
	case interfere.Throttle:
		throttles.Inc()
		tsk.throttlePercent = act.Percent()
		grd.throttle(sta, tsk, now)
	case interfere.Checkpoint:
		grd.state.guard.Checkpointed(tsk.id, now)
	case interfere.Evict:
		grd.evict(sta, tsk, act.Reason(), now)
	}
}

func (grd *Guard[G]) evict(sta *agentstate.State, tsk *task, rsn explain.Reason, now time.Time) {
	efs, evicted := sta.Runner().Evict(tsk.ref, rsn.String(), now)
	if !evicted {
		return
	}
	evictions.Inc()
	grd.logger.Info("task evicted", zap.String("task", tsk.id), zap.Stringer("reason", rsn))
	grd.host.Perform(sta, efs)
}

// throttle orders the worker to run a task at 100 minus throttlePercent of its full speed.
func (grd *Guard[G]) throttle(sta *agentstate.State, tsk *task, now time.Time) {
	tsk.lastOrder = now
	grd.host.Perform(sta, sta.Runner().Throttle(tsk.ref, 100-tsk.throttlePercent))
}

// repeatThrottles sends throttle orders again after repeatPeriod, those for full speed until the worker has
// confirmed them. It also sends the first order for a task, which an earlier process or interfere.Guard
// may have throttled.
func (grd *Guard[G]) repeatThrottles(sta *agentstate.State, now time.Time) {
	for _, tsk := range grd.state.tasks {
		unsure := tsk.throttlePercent > 0 || !tsk.speedConfirmed
		if tsk.lastOrder.IsZero() || unsure && now.Sub(tsk.lastOrder) >= repeatPeriod {
			grd.throttle(sta, tsk, now)
		}
	}
}

// publishThrottle sets the gauge to the mean throttle and logs when throttling begins and ends.
func (grd *Guard[G]) publishThrottle() {
	sum := 0
	for _, tsk := range grd.state.tasks {
		sum += tsk.throttlePercent
	}
	throttled.Set(float64(sum) / float64(max(1, len(grd.state.tasks))))
	if throttling := sum > 0; throttling != grd.state.throttling {
		grd.state.throttling = throttling
		grd.logger.Info("throttling of tasks changed", zap.Bool("throttling", throttling),
			zap.String("service", string(grd.state.service)), zap.Int("tasks", len(grd.state.tasks)))
	}
}
