// Package guard connects the interference control of core/interfere to the
// requests, the tasks and the worker of one instance.
//
// Model: traffic goroutines hand over samples through a bounded channel and never
// wait; a sample that finds it full is counted and dropped. Once a Period the
// control goroutine takes the samples and the changes of the tasks, lets the
// guard decide and carries out its actions through the runner. The worker takes
// a checkpoint as part of the stop order of an eviction, so a checkpoint that the
// guard asks for counts as confirmed, and the eviction follows in the next period
// if its cause persists.
//
// What the guard learns goes to the owners of the tasks on the instance, at
// most one message to each in half a minute and none when nothing is new. It
// also tells them what the ledger has committed to a task, if that has changed.
// What owners know of a class comes with their offers.
//
// The guard is made anew when the service or the capacity of the instance
// changes; what it has learned is then lost, and so it is with the process.
// Throttle orders can be lost on the way to the worker, so they are repeated.
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
	// Period is the time between decisions. A burst is seen in two of them, and
	// each holds enough requests for a mean at the rates of the deployments.
	Period = 500 * time.Millisecond
	// repeatPeriod is the time after which a throttle order is repeated.
	repeatPeriod = 10 * time.Second
	// sampleCapacity is the number of requests of one period that are kept.
	sampleCapacity = 4096
	// classLimit is the number of job classes that are told apart; callers choose their names.
	classLimit = 256
	otherClass = fleet.JobClass("(other)")
)

var (
	throttles      = metrics.NewCounter("jacinthpost_interference_throttles_total")
	evictions      = metrics.NewCounter("jacinthpost_interference_evictions_total")
	droppedSamples = metrics.NewCounter("jacinthpost_interference_dropped_samples_total")
	throttled      = metrics.NewGauge("jacinthpost_interference_throttle_percent", nil)
)

// Host carries out the effects of the runner. It is called on the control goroutine.
type Host interface {
	Perform(sta *agentstate.State, efs []runner.Effect)
}

// Maker returns the guard of an instance on which tasks may use the capacity beside the services.
type Maker[G interfere.Guard] func(capacity resource.Vector, svcs ...interfere.Service) G

// Guard runs a guard of type G. The zero value is not usable; see New.
type Guard[G interfere.Guard] struct {
	loop    agentstate.Loop
	host    Host
	maker   Maker[G]
	logger  *zap.Logger
	samples chan serve.Sample
	owners  ownerClient
	state   state[G] // owned by the control goroutine
}

// state is what the control goroutine keeps.
type state[G interfere.Guard] struct {
	created    bool
	guard      G
	service    fleet.Service
	capacity   resource.Vector
	tasks      []*task // in the order of worker.Ref
	classes    map[fleet.JobClass]struct{}
	log        explain.Log
	throttling bool // some task is throttled
	outbox     interfere.Outbox
	lastReport time.Time // when the guard was last asked what it has learned
}

// New returns a guard that acts through the host on the state of the loop.
func New[G interfere.Guard](lop agentstate.Loop, hst Host, mak Maker[G], log *zap.Logger) *Guard[G] {
	return &Guard[G]{loop: lop, host: hst, maker: mak, logger: log, samples: make(chan serve.Sample, sampleCapacity)}
}

// Observe takes in the measurement of a request. Any goroutine may call it.
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

// Run decides once a period until the context ends.
func (grd *Guard[G]) Run(ctx context.Context) {
	decide := control.Func[agentstate.State](grd.Decide)
	control.Every(ctx, Period, func() { grd.loop.TryPost(decide) })
}

// Lines returns what was decided about the tasks that run now.
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

// Decide ends a period. Only the control goroutine may call it; Run posts it.
func (grd *Guard[G]) Decide(sta *agentstate.State, now time.Time) {
	grd.ensureGuard(sta, now)
	sta.Served(len(grd.samples), now)
	if !grd.state.created {
		grd.discardSamples()
		return
	}
	grd.followTasks(sta, now)
	grd.observeSamples()
	defer grd.reportToOwners(sta, now)
	for _, act := range grd.state.guard.Decide(now) {
		grd.apply(sta, act, now)
	}
	grd.repeatThrottles(sta, now)
	grd.publishThrottle()
}

// adapt makes the guard once the capacity and the service are known, and again when they change.
func (grd *Guard[G]) ensureGuard(sta *agentstate.State, now time.Time) {
	svc, capacity := sta.Intake().Endpoint().Last().Service(), sta.Ledger().Capacity().TaskTotal()
	sti := &grd.state
	if !sta.Ledger().Ready() || svc == "" || sti.created && svc == sti.service && capacity == sti.capacity {
		return
	}
	sti.guard, sti.created = grd.maker(capacity, interfere.NewService(svc, 0)), true
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

// takeSamples hands the requests of the period over without their time in the
// queue, which depends on the load and not on the tasks.
func (grd *Guard[G]) observeSamples() {
	for range len(grd.samples) {
		smp := <-grd.samples
		grd.state.guard.ObserveLatency(smp.Service(), smp.Took()-smp.Queued())
	}
}

// act carries out one action.
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

// order tells the worker the speed of a task.
func (grd *Guard[G]) throttle(sta *agentstate.State, tsk *task, now time.Time) {
	tsk.lastOrder = now
	grd.host.Perform(sta, sta.Runner().Throttle(tsk.ref, 100-tsk.throttlePercent))
}

// repeat sends throttle orders again, and the first one for a task that may
// have been throttled by an earlier process or guard.
func (grd *Guard[G]) repeatThrottles(sta *agentstate.State, now time.Time) {
	for _, tsk := range grd.state.tasks {
		if tsk.lastOrder.IsZero() || tsk.throttlePercent > 0 && now.Sub(tsk.lastOrder) >= repeatPeriod {
			grd.throttle(sta, tsk, now)
		}
	}
}

// publish sets the gauge to the mean throttle and logs when throttling begins and ends.
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
