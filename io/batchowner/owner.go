// Package batchowner runs the owner of the jobs of a partition. A process takes part in the elections
// of the partition. While it owns the partition, it follows the jobs that entries have accepted,
// serves the agents, and stores every change before the change has an effect.
//
// The state of one ownership belongs to its control thread, which runs the scheduler. A single writer
// stores the changes in transactions that are conditional on the owner row. The ownership ends when a
// transaction fails because another process has replaced the row.
package batchowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/store"
	"jacinthpost/core/upkeep"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/follow"
	"jacinthpost/io/lead"
)

// Scheduler is the batch scheduler with the policies in use: tasks are ordered by deadline and spread
// over instances.
type Scheduler = batch.Scheduler[batch.DeadlineOrder, batch.SpreadPlacement]

// Times of leases. A worker's lease ends no later than the grant to its agent, and an owner grants
// time only within OwnershipValidity of its last transaction, or within OutageValidity while no other process can have
// taken over.
const (
	// GrantDuration lets work continue while agents cannot reach the owner for a few seconds.
	GrantDuration = 6500 * time.Millisecond
	// OwnershipValidity is longer than the renewal period and a slow transaction. The next owner waits that much longer for
	// instances that don't report to it, such as those that were lost together with the last one.
	OwnershipValidity = lead.Abstention
	// OutageValidity lets an owner continue to grant time during store outages of a few seconds, while all instances that
	// could replace it promise not to.
	OutageValidity = 8 * time.Second
	// LostAfter is how long an agent may be silent before the runs of its worker count as lost. It
	// covers GrantDuration on a worker's clock that is slow by 2%, and a margin for timers.
	LostAfter = GrantDuration*103/100 + 300*time.Millisecond
	// healthyWithin is the maximum age of the last transaction of an owner that reaches the store.
	healthyWithin = time.Second
	// maxDirectivesAge is the maximum age of the view of the operators' directives. No run starts
	// while the view is older.
	maxDirectivesAge = 2 * time.Second
	tickPeriod       = 100 * time.Millisecond
	restoreTimeout   = 3 * time.Second
)

// Directives are the operators' instructions to the owner.
type Directives struct {
	Excluded map[fleet.DataCentre]bool // data centres that get no new work
	Waves    []upkeep.Wave
}

// FollowDirectives returns a follower that calls apply with the directives whenever they change. The
// caller has to run it.
type FollowDirectives func(ctx context.Context, apply func(Directives)) *follow.Follower

// Advisor is the client of the policy service.
type Advisor interface {
	// Advise asks which workers may run a step. It returns the authorizations of those that may, and
	// how long they are valid.
	Advise(ctx context.Context, req batch.PermissionRequest) (authorizations map[batch.Incarnation]string, valid time.Duration, err error)
}

// Config holds the dependencies and settings of an Owner.
type Config struct {
	Table     store.Table
	Feed      store.Feed
	Partition batchstore.Partition
	Elector   *lead.Elector
	Advisor   Advisor // nil if the deployment has no policy service

	Directives         FollowDirectives
	Machines           Machines      // nil if the deployment has no machine service
	UpkeepRequestDelay time.Duration // from an election to the first upkeep request, separates requests of two owners
	Limits             StartLimits
	Own                fleet.InstanceID // the instance on this machine, empty if there is none
	Options            batch.Options
	RowBytes           int              // the most bytes of a row in the store, zero if there is no limit
	Clock              func() time.Time // monotonic, includes the time in which the system is suspended
	WallClock          func() time.Time
	Processor          func() time.Duration // processor time that this process has used, nil if unknown
	Log                *zap.Logger
}

// Owner takes part in the elections of a partition and owns the partition after each one that it wins.
type Owner struct {
	cfg     Config
	current atomic.Pointer[ownership]
	yields  yielder // used by Run
}

// New returns an owner. Its Service must be registered with net/rpc for the agents.
func New(cfg Config) *Owner { return &Owner{cfg: cfg} }

// Run takes part in elections until the context ends, and returns nil then.
func (own *Owner) Run(ctx context.Context) error {
	if own.cfg.Elector.Candidacy().Standby {
		var standby sync.WaitGroup
		defer standby.Wait()
		standby.Go(func() { own.awaitYields(ctx) })
	}
	for ctx.Err() == nil {
		trm, err := own.cfg.Elector.Run(ctx)
		if err != nil {
			return nil // only the end of the context stops an elector
		}
		err = own.serveOrYield(ctx, trm)
		own.current.Store(nil)
		own.cfg.Log.Warn(string(decision.OwnershipEnded), zap.Uint64("epoch", trm.Owner().Epoch), zap.Error(err))
		own.cfg.Elector.Suspect()
	}
	return nil
}

// serveOrYield serves a term, or leaves it to a process on a larger machine if the load needs one.
func (own *Owner) serveOrYield(ctx context.Context, trm lead.Term) error {
	go own.tellFormer(ctx, trm)
	if now := own.cfg.Clock(); trm.Owner().Need > own.cfg.Elector.Candidacy().Share && own.yields.mayYield(now) {
		own.yields.record(now)
		if err := own.releaseAtOnce(ctx, trm); err != nil {
			return err
		}
		return errYielded
	}
	return own.serveTerm(ctx, trm)
}

// serveTerm serves as the owner until the ownership is lost or yielded, or the context ends.
func (own *Owner) serveTerm(ctx context.Context, trm lead.Term) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	osp := newOwnership(own.cfg, trm)
	osp.yields, osp.yield, osp.giveUp = &own.yields, func() { cancel(errYielded) }, func() { cancel(errReplaced) }
	loaded, stop := context.WithTimeout(ctx, restoreTimeout)
	err := osp.restoreStates(loaded)
	stop()
	if err != nil {
		return errors.Wrap(err, "restore the states of jobs")
	}
	osp.life = ctx
	own.current.Store(osp)
	err = osp.run(ctx)
	if errors.Is(context.Cause(ctx), errYielded) {
		own.yields.record(own.cfg.Clock())
		return errYielded
	}
	return err
}

// Service is the net/rpc service for agents.
type Service struct{ owner *Owner }

// Service returns the net/rpc service for agents.
func (own *Owner) Service() *Service { return &Service{owner: own} }

// Report handles the report of an agent.
func (svc *Service) Report(arg batchrpc.ReportArgs, rep *batchrpc.ReportReply) error {
	osp := svc.owner.current.Load()
	if osp == nil || osp.epoch != arg.Epoch {
		svc.owner.refuse(rep)
		return nil
	}
	return osp.report(arg, rep)
}

// News handles the news of an agent.
func (svc *Service) News(arg batchrpc.NewsArgs, rep *batchrpc.ReportReply) error {
	osp := svc.owner.current.Load()
	if osp == nil || osp.epoch != arg.Epoch {
		svc.owner.refuse(rep)
		return nil
	}
	return osp.news(arg, rep)
}

// Orders returns the orders for an agent. Without orders it answers after batchrpc.OrdersWait.
func (svc *Service) Orders(arg batchrpc.OrdersArgs, rep *batchrpc.OrdersReply) error {
	osp := svc.owner.current.Load()
	if osp == nil || osp.epoch != arg.Epoch {
		rep.NotOwner = true
		return nil
	}
	return osp.orders(arg, rep)
}
