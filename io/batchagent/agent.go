// Package batchagent runs the agent beside a worker: it renews the worker's lease,
// carries out orders, and reports to the owner of the jobs.
//
// One control thread owns the state (package batchhost). Other goroutines hold
// the worker, report, ask for orders and make calls; each posts what it learned
// as an event and takes its next request from the control thread.
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

// Times of the agent.
const (
	tickPeriod     = 100 * time.Millisecond
	reportPeriod   = 500 * time.Millisecond // without news; the owner's grant is renewed with it
	reportTimeout  = 700 * time.Millisecond // until a connection to the owner counts as silent
	holdWait       = 800 * time.Millisecond // without shared use of the worker; the lease is renewed after it
	sharedWait     = 350 * time.Millisecond // while the pace of filling runs depends on fresh measures
	storeTimeout   = 120 * time.Millisecond // for the owner to store new ends before the worker is held again
	holdRetryDelay = 100 * time.Millisecond
	eventQueueSize = 256
)

// Result is how a call to the worker ended.
type Result struct {
	Outcome   batchhost.CallOutcome
	Reason    string
	Clock     time.Duration // of the worker, zero when unknown
	Fenced    bool          // the worker has seen a higher token
	OtherLife bool          // another life of the worker answers at the address
}

// HoldRequest renews a worker's lease and asks what it runs.
type HoldRequest struct {
	Life        batch.Incarnation
	Token       uint64
	LeaseEnd    time.Duration // zero renews nothing
	Forgettable uint64
	Wait        time.Duration
}

// Worker is the port to the worker.
type Worker interface {
	Start(ctx context.Context, cal batchhost.Call, token uint64) Result
	Stop(ctx context.Context, cal batchhost.Call, token uint64) Result
	Pace(ctx context.Context, cal batchhost.Call, token uint64) Result
	Hold(ctx context.Context, req HoldRequest) (batchhost.Listing, Result)
}

// Announcement is a heartbeat of the worker.
type Announcement struct {
	Worker   batchhost.Worker
	BornAt   int64
	Sequence uint64 // rises with each announcement of a life
	Clock    time.Duration
}

// state is the control state of the agent.
type state struct {
	host     *batchhost.Host
	bornAt   int64
	sequence uint64
	token    uint64
	pausing  bool                       // what fills pauses for a serving run
	departed map[batch.Incarnation]bool // lives that turned out not to be at the address
}

// Agent is the agent of one instance.
type Agent struct {
	id            fleet.InstanceID
	loop          *control.Loop[state]
	worker        Worker
	elector       *lead.Elector
	clock         func() time.Time
	log           *zap.Logger
	reportNeeded  chan struct{} // there is something to report
	holdNeeded    chan struct{} // a worker is known, or its ends were stored
	ownerConn     ownerConnection
	ownerLost     atomic.Bool // the owner does not answer
	lastHealthyAt atomic.Int64
}

// New returns an agent. Sessions start above the given number, which must be
// higher for each process of the instance.
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

// Run works until the context ends.
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

// change applies a change on the control thread and then makes the calls it asks for.
func (agt *Agent) change(ctx context.Context, fun func(sta *state, now time.Time)) {
	changeFor(ctx, agt, func(sta *state, now time.Time) struct{} {
		fun(sta, now)
		return struct{}{}
	})
}

// changeFor is change with a result, which is zero when the context ended first.
func changeFor[R any](ctx context.Context, agt *Agent, fun func(sta *state, now time.Time) R) R {
	type effect struct {
		result R
		calls  []batchhost.Call
		token  uint64
	}
	eff, err := control.Query(ctx, agt.loop, func(sta *state, now time.Time) effect {
		res := fun(sta, now)
		return effect{result: res, calls: sta.host.Calls(), token: sta.token}
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
		if !sta.isNews(ann) {
			return
		}
		fresh := ann.Worker.Life != sta.host.Life() || !sta.host.Announced()
		drains := ann.Worker.Draining
		sta.bornAt, sta.sequence = ann.BornAt, ann.Sequence
		sta.host.Announce(ann.Worker, now)
		if fresh {
			// The worker's clock rises during its life, so the token is above that of any earlier agent.
			sta.token = uint64(ann.Clock.Milliseconds())
			agt.log.Info(string(decision.WorkerAnnounced), zap.String("life", string(ann.Worker.Life)), zap.Uint64("token", sta.token))
		}
		if fresh || drains {
			signal(agt.reportNeeded)
			signal(agt.holdNeeded)
		}
	}))
	return err
}

// accepts reports whether an announcement is news about the worker at the address.
func (sta *state) isNews(ann Announcement) bool {
	if sta.departed[ann.Worker.Life] {
		return false
	}
	if ann.Worker.Life == sta.host.Life() {
		return ann.Sequence > sta.sequence
	}
	return sta.host.Life() == "" || sta.departed[sta.host.Life()] || ann.BornAt >= sta.bornAt
}

// WorkerLeft notes that the worker ends for good, if it is the one that is meant.
func (agt *Agent) WorkerLeft(ctx context.Context, meant func(batchhost.Worker) bool) error {
	return agt.loop.Post(ctx, control.Func[state](func(sta *state, _ time.Time) {
		life := sta.host.Life()
		if life == "" || !meant(batchhost.Worker{Life: life}) {
			return
		}
		agt.log.Info(string(decision.WorkerLeft), zap.String("life", string(life)))
		sta.host.WorkerLeft(life)
		signal(agt.reportNeeded)
	}))
}

// call makes one call to the worker and posts how it ended.
func (agt *Agent) call(ctx context.Context, cal batchhost.Call, token uint64) {
	var res Result
	switch cal.Kind {
	case batchhost.CallStart:
		res = agt.worker.Start(ctx, cal, token)
	case batchhost.CallStop:
		res = agt.worker.Stop(ctx, cal, token)
	case batchhost.CallPace:
		res = agt.worker.Pace(ctx, cal, token)
	}
	if ctx.Err() != nil {
		return
	}
	agt.recordCall(cal, res)
	agt.change(ctx, func(sta *state, now time.Time) {
		sta.applyResult(cal.Life, res)
		switch cal.Kind {
		case batchhost.CallStart:
			sta.host.StartEnded(cal.Life, cal.ID, res.Outcome, res.Reason, now)
			if res.Outcome != batchhost.Accepted {
				signal(agt.reportNeeded)
			}
		case batchhost.CallStop:
			sta.host.StopEnded(cal.Life, cal.ID, res.Outcome, now)
			signal(agt.holdNeeded)
		case batchhost.CallPace:
			sta.host.PaceEnded(cal.Life, cal.ID, res.Outcome)
		}
	})
}

// count counts a call. Starts are logged, and whatever was not accepted.
func (agt *Agent) recordCall(cal batchhost.Call, res Result) {
	name, verdict := callNames[cal.Kind], outcomeNames[res.Outcome]
	metrics.GetOrCreateCounter(`jacinthpost_worker_calls_total{call="` + name + `",verdict="` + verdict + `"}`).Inc()
	run := []zap.Field{zap.String(decision.KeyJob, cal.ID.Task.Job), zap.Stringer(decision.KeyTask, cal.ID.Task), zap.Int(decision.KeyRun, cal.ID.Run)}
	switch {
	case res.Outcome != batchhost.Accepted:
		agt.log.Info(string(decision.CallNotAccepted), append(run, zap.String("call", name), zap.String("verdict", verdict), zap.String(decision.KeyReason, res.Reason))...)
	case cal.Kind == batchhost.CallStart:
		agt.log.Info(string(decision.RunStarted), run...)
	}
}

var (
	callNames    = [...]string{batchhost.CallStart: "start", batchhost.CallStop: "stop", batchhost.CallPace: "pace"}
	outcomeNames = [...]string{batchhost.Accepted: "accepted", batchhost.NotDone: "notDone", batchhost.Retry: "repeat", batchhost.Unknown: "unknown"}
)

// learn raises the token above one that the worker has seen, and drops a life that is gone.
func (sta *state) applyResult(life batch.Incarnation, res Result) {
	if life != sta.host.Life() {
		return
	}
	if res.Fenced {
		sta.token = max(sta.token, uint64(res.Clock.Milliseconds()))
	}
	if res.OtherLife {
		sta.markDeparted(life)
	}
}

const maxDeparted = 32

func (sta *state) markDeparted(life batch.Incarnation) {
	if sta.departed == nil || len(sta.departed) >= maxDeparted {
		sta.departed = make(map[batch.Incarnation]bool)
	}
	sta.departed[life] = true
}

// signal wakes the receiver of a channel if it is not woken already.
func signal(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}
