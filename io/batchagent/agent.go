// Package batchagent implements the agent of an instance for batch jobs. It renews the lease of the
// worker on the instance, executes the owner's orders and reports to the owner of the jobs.
//
// A control thread owns the state, a batchhost.Host. Other goroutines send hold requests to the worker,
// report to the owner, poll for orders and call the worker. They get their requests from the control
// thread and post the results to it as events.
package batchagent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/batch"
	"jacinthpost/core/batchhost"
	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/io/control"
	"jacinthpost/io/lead"
)

// Periods and time limits of the agent.
const (
	tickPeriod    = 100 * time.Millisecond
	reportPeriod  = 500 * time.Millisecond // between reports without changes; each renews the owner's grant
	reportSlack   = 20 * time.Millisecond  // by which a report may be early
	reportTimeout = 700 * time.Millisecond // for the owner's answer to a report
	// abstentionPeriod is the time between messages with promises to take nothing over. Each is valid for lead.Abstention from
	// the answer before it.
	abstentionPeriod = 300 * time.Millisecond
	holdWait         = 800 * time.Millisecond // of a hold request, unless serving and filling runs share the worker
	sharedWait       = 350 * time.Millisecond // of a hold request if they do: the pace depends on recent latencies
	storeTimeout     = 120 * time.Millisecond // for the owner to store new ends before the next hold request
	holdRetryDelay   = 100 * time.Millisecond
	eventQueueSize   = 256
	// reasonStaleCall is the reason of a start that this process sent too late, after a pause.
	reasonStaleCall = "stale call"
)

// Result is the result of a call to the worker.
type Result struct {
	Outcome          batchhost.CallOutcome
	Reason           string
	Clock            time.Duration // of the worker, zero when unknown
	Fenced           bool          // the worker has seen a higher token than that of the call
	Unreachable      bool          // no connection could be made
	OtherIncarnation bool          // another incarnation of the worker answers at the address
}

// HoldRequest renews a worker's lease and requests a listing of its runs. The worker answers when a run
// has ended, or after Wait.
type HoldRequest struct {
	Incarnation batch.Incarnation
	Token       uint64
	LeaseEnd    time.Duration // in the worker's clock, zero to renew nothing
	Forgettable uint64        // the worker may forget ends up to this one
	Wait        time.Duration
}

// Worker calls the worker of the instance. A start reaches no other incarnation than that of the call: it ends with
// that incarnation even while it is under way.
type Worker interface {
	Start(ctx context.Context, cal batchhost.Call, token uint64) Result
	Stop(ctx context.Context, cal batchhost.Call, token uint64) Result
	Pace(ctx context.Context, cal batchhost.Call, token uint64) Result
	Hold(ctx context.Context, req HoldRequest) (batchhost.Listing, Result)
}

// Announcement is a heartbeat of the worker. It identifies and describes the worker.
type Announcement struct {
	Worker   batchhost.Worker
	BornAt   int64
	Sequence uint64 // increases with each announcement of an incarnation
	Clock    time.Duration
}

// state is the state of the agent that belongs to the control thread.
type state struct {
	host     *batchhost.Host
	bornAt   int64
	sequence uint64
	fence    batchhost.Fence
	pausing  bool                       // filling runs are paused to protect a serving run
	departed map[batch.Incarnation]bool // lives that are no longer at the worker's address
	reports  reportSchedule
	stamp    ownerStamp
}

// Agent is the agent of one instance.
type Agent struct {
	id            fleet.InstanceID
	loop          *control.Loop[state]
	worker        Worker
	elector       *lead.Elector
	clock         func() time.Time
	log           *zap.Logger
	reportNeeded  chan struct{} // signalled when there is something to report
	holdNeeded    chan struct{} // signalled when a worker has announced itself, a stop has ended or all ends are stored
	ownerConn     ownerConnection
	ownerLost     atomic.Bool // the owner was suspected and has not answered as healthy since
	lastHealthyAt atomic.Int64
}

// New returns an agent. The numbers of its sessions start above session, which must grow with each
// process of the instance.
func New(id fleet.InstanceID, wrk Worker, ele *lead.Elector, opt batchhost.Options, session uint64, clk func() time.Time, log *zap.Logger) *Agent {
	agt := &Agent{
		id: id, worker: wrk, elector: ele, clock: clk, log: log,
		reportNeeded: make(chan struct{}, 1), holdNeeded: make(chan struct{}, 1),
	}
	thr := control.NewThread(eventQueueSize)
	thr.SetClock(clk)
	agt.loop = control.NewLoopOn(thr, &state{host: batchhost.New(opt, session)}, nil)
	return agt
}

// Run runs the agent until the context ends.
func (agt *Agent) Run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	for _, work := range []func(context.Context){agt.loop.Run, agt.hold, agt.report, agt.pollOrders, agt.tick} {
		grp.Go(func() error {
			work(ctx)
			return nil
		})
	}
	defer agt.ownerConn.close()
	return grp.Wait()
}

func (agt *Agent) tick(ctx context.Context) {
	control.Every(ctx, tickPeriod, func() {
		agt.change(ctx, func(sta *state, now time.Time) { sta.host.Tick(now) })
	})
}

// change runs a function on the control thread and starts the calls to the worker that result from it.
func (agt *Agent) change(ctx context.Context, fun func(sta *state, now time.Time)) {
	changeFor(ctx, agt, func(sta *state, now time.Time) struct{} {
		fun(sta, now)
		return struct{}{}
	})
}

// changeFor is like change and returns the result of the function, or zero if the context ended first.
func changeFor[R any](ctx context.Context, agt *Agent, fun func(sta *state, now time.Time) R) R {
	type effect struct {
		result R
		calls  []batchhost.Call
		token  uint64
	}
	eff, err := control.Query(ctx, agt.loop, func(sta *state, now time.Time) effect {
		res := fun(sta, now)
		return effect{result: res, calls: sta.host.Calls(), token: sta.fence.Token()}
	})
	if err != nil {
		return eff.result
	}
	for _, cal := range eff.calls {
		go agt.call(ctx, cal, eff.token)
	}
	return eff.result
}

// Announce applies a heartbeat of the worker.
func (agt *Agent) Announce(ctx context.Context, ann Announcement) error {
	err := agt.loop.Post(ctx, control.Func[state](func(sta *state, now time.Time) {
		if !sta.isNewer(ann) {
			return
		}
		newIncarnation := ann.Worker.Incarnation != sta.host.Incarnation() || !sta.host.Announced()
		draining := ann.Worker.Draining
		sta.bornAt, sta.sequence = ann.BornAt, ann.Sequence
		sta.host.Announce(ann.Worker, now)
		if newIncarnation {
			sta.fence.Begin(ann.BornAt, ann.Clock)
			agt.log.Info(string(decision.WorkerAnnounced), zap.String("life", string(ann.Worker.Incarnation)), zap.Uint64("token", sta.fence.Token()))
		}
		if newIncarnation || draining {
			sta.reports.due = true
			signal(agt.reportNeeded)
			signal(agt.holdNeeded)
		}
	}))
	return err
}

// isNewer reports whether an announcement is newer than the last one that was applied. It returns false
// for an incarnation that has departed.
func (sta *state) isNewer(ann Announcement) bool {
	if sta.departed[ann.Worker.Incarnation] {
		return false
	}
	if ann.Worker.Incarnation == sta.host.Incarnation() {
		return ann.Sequence > sta.sequence
	}
	return sta.host.Incarnation() == "" || sta.departed[sta.host.Incarnation()] || ann.BornAt >= sta.bornAt
}

// WorkerLeft records that the worker has ended and does not return, if meant returns true for it. It does nothing for
// a worker that has not announced that it is draining: the message is then of a former incarnation with the same id.
func (agt *Agent) WorkerLeft(ctx context.Context, meant func(batchhost.Worker) bool) error {
	return agt.loop.Post(ctx, control.Func[state](func(sta *state, _ time.Time) {
		inc := sta.host.Incarnation()
		if inc == "" || !sta.host.Draining() || !meant(batchhost.Worker{Incarnation: inc}) {
			return
		}
		agt.log.Info(string(decision.WorkerLeft), zap.String("life", string(inc)))
		sta.host.WorkerLeft(inc)
		signal(agt.reportNeeded)
	}))
}

// call makes a call to the worker and posts its result.
func (agt *Agent) call(ctx context.Context, cal batchhost.Call, token uint64) {
	var res Result
	switch {
	case cal.Stale(agt.clock()):
		res = Result{Outcome: batchhost.NotDone, Reason: reasonStaleCall}
	case cal.Kind == batchhost.CallStart:
		res = agt.start(ctx, cal, token)
	case cal.Kind == batchhost.CallStop:
		res = agt.worker.Stop(ctx, cal, token)
	case cal.Kind == batchhost.CallPace:
		res = agt.worker.Pace(ctx, cal, token)
	}
	if ctx.Err() != nil {
		return
	}
	agt.recordCall(cal, res)
	agt.change(ctx, func(sta *state, now time.Time) {
		sta.applyResult(cal.Incarnation, token, res, now)
		switch cal.Kind {
		case batchhost.CallStart:
			sta.host.StartEnded(cal.Incarnation, cal.ID, res.Outcome, res.Reason, now)
			if res.Outcome != batchhost.Accepted {
				signal(agt.reportNeeded)
			}
		case batchhost.CallStop:
			sta.host.StopEnded(cal.Incarnation, cal.ID, res.Outcome, now)
			signal(agt.holdNeeded)
		case batchhost.CallPace:
			sta.host.PaceEnded(cal.Incarnation, cal.ID, res.Outcome)
		}
	})
}

// start makes a start call, which ends when the start may not be made any more.
func (agt *Agent) start(ctx context.Context, cal batchhost.Call, token uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, cal.NotAfter.Sub(agt.clock()))
	defer cancel()
	return agt.worker.Start(ctx, cal, token)
}

// recordCall counts a call and logs it if it was a start, a stop or was not accepted.
func (agt *Agent) recordCall(cal batchhost.Call, res Result) {
	name, verdict := callNames[cal.Kind], outcomeNames[res.Outcome]
	metrics.GetOrCreateCounter(`jacinthpost_worker_calls_total{call="` + name + `",verdict="` + verdict + `"}`).Inc()
	run := []zap.Field{zap.String(decision.KeyJob, cal.ID.Task.Job), zap.Stringer(decision.KeyTask, cal.ID.Task), zap.Int(decision.KeyRun, cal.ID.Run)}
	switch {
	case res.Outcome != batchhost.Accepted:
		agt.log.Info(string(decision.CallNotAccepted), append(run, zap.String("call", name), zap.String("verdict", verdict), zap.String(decision.KeyReason, res.Reason))...)
	case cal.Kind == batchhost.CallStart:
		agt.log.Info(string(decision.RunStarted), run...)
	case cal.Kind == batchhost.CallStop:
		agt.log.Info(string(decision.StopConfirmed), run...)
	}
}

var (
	callNames    = [...]string{batchhost.CallStart: "start", batchhost.CallStop: "stop", batchhost.CallPace: "pace"}
	outcomeNames = [...]string{batchhost.Accepted: "accepted", batchhost.NotDone: "notDone", batchhost.Retry: "repeat", batchhost.Unknown: "unknown"}
)

// applyResult raises the token after a call that the worker has fenced, and marks the incarnation
// as departed if another one answered.
func (sta *state) applyResult(inc batch.Incarnation, token uint64, res Result, now time.Time) {
	if inc != sta.host.Incarnation() {
		return
	}
	if res.Fenced {
		sta.fence.Refused(token)
	}
	if res.Unreachable {
		sta.host.CallFailed(inc)
	}
	if res.OtherIncarnation {
		sta.markDeparted(inc)
		sta.host.Departed(inc, now)
	}
}

// maxDeparted limits state.departed, which is cleared when it is full.
const maxDeparted = 32

func (sta *state) markDeparted(inc batch.Incarnation) {
	if sta.departed == nil || len(sta.departed) >= maxDeparted {
		sta.departed = make(map[batch.Incarnation]bool)
	}
	sta.departed[inc] = true
}

// signal sends to a channel of capacity one unless a signal is pending.
func signal(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}
