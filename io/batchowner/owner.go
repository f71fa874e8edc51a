// Package batchowner runs the owner of the jobs of a partition: it takes part in
// elections and, while it holds the partition, follows what entries accept, serves
// the agents and stores every change before it has an effect.
//
// A reign is the time of one ownership. Its control thread owns the scheduler. One
// writer stores the changes, a batch at a time, each conditional on the owner row;
// the first transaction that fails on it ends the reign.
package batchowner

import (
	"context"
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

// Scheduler is the scheduler with the policies of the product.
type Scheduler = batch.Scheduler[batch.DeadlineOrder, batch.SpreadPlacement]

// Times of leases. A worker's lease ends at the latest when the grant to its agent
// ends, and an owner grants only within Validity of its last transaction.
const (
	// Grant outlasts the cuts of some seconds between agents and the owner, so that work goes on through them.
	GrantDuration = 6500 * time.Millisecond
	// Validity outlasts outages of the store of some seconds.
	OwnershipValidity = 8 * time.Second
	// LostAfter is the grant on a worker's clock that is 2% slow, with a margin for timers.
	LostAfter = GrantDuration*103/100 + 300*time.Millisecond
	// healthyFor is how long after its last transaction an owner counts as in touch with the store.
	healthyWithin = time.Second
	// freshFor bounds the age of the operators' decisions that starts rely on.
	maxDirectivesAge = 2 * time.Second
	tickPeriod       = 100 * time.Millisecond
	restoreTimeout   = 3 * time.Second
)

// Directives are what the operators ask of the owner.
type Directives struct {
	Excluded map[fleet.DataCentre]bool // data centres that must get no new work
	Waves    []upkeep.Wave
}

// Follow follows what the operators ask.
type FollowDirectives func(ctx context.Context, apply func(Directives)) *follow.Follower

// Advisor asks the policy service which workers may run a step. The answer holds
// their tickets and how long they are valid.
type Advisor interface {
	Advise(ctx context.Context, req batch.PermissionRequest) (tickets map[batch.Incarnation]string, valid time.Duration, err error)
}

// Config is what an owner needs.
type Config struct {
	Table     store.Table
	Feed      store.Feed
	Partition batchstore.Partition
	Elector   *lead.Elector
	Advisor   Advisor // nil when the deployment has no policy service

	Directives         FollowDirectives
	Machines           Machines      // nil when the deployment has no service for machines
	UpkeepRequestDelay time.Duration // between requests of two owners for one machine
	Options            batch.Options
	Clock              func() time.Time // steady, counts suspended time
	WallClock          func() time.Time
	Log                *zap.Logger
}

// Owner takes part in elections and reigns when it wins.
type Owner struct {
	cfg     Config
	current atomic.Pointer[ownership]
}

// New returns an owner. Register its Service to serve agents.
func New(cfg Config) *Owner { return &Owner{cfg: cfg} }

// Run takes part in elections until the context ends.
func (own *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		trm, err := own.cfg.Elector.Run(ctx)
		if err != nil {
			return nil // only the end of the context stops an elector
		}
		err = own.serveTerm(ctx, trm)
		own.current.Store(nil)
		own.cfg.Log.Warn(string(decision.OwnershipEnded), zap.Uint64("epoch", trm.Owner().Epoch), zap.Error(err))
		own.cfg.Elector.Suspect()
	}
	return nil
}

// hold reigns until the ownership is lost or the context ends.
func (own *Owner) serveTerm(ctx context.Context, trm lead.Term) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	osp := newOwnership(own.cfg, trm)
	loaded, stop := context.WithTimeout(ctx, restoreTimeout)
	err := osp.restoreStates(loaded)
	stop()
	if err != nil {
		return errors.Wrap(err, "load jobs")
	}
	own.current.Store(osp)
	return osp.run(ctx)
}

// Service is the net/rpc service for agents.
type Service struct{ owner *Owner }

// Service returns the net/rpc service for agents.
func (own *Owner) Service() *Service { return &Service{owner: own} }

// Report takes the report of an agent.
func (svc *Service) Report(arg batchrpc.ReportArgs, rep *batchrpc.ReportReply) error {
	osp := svc.owner.current.Load()
	if osp == nil || osp.epoch != arg.Epoch {
		rep.NotOwner = true
		return nil
	}
	return osp.report(arg, rep)
}

// Orders answers with the orders for an agent, when there are some or after a while.
func (svc *Service) Orders(arg batchrpc.OrdersArgs, rep *batchrpc.OrdersReply) error {
	osp := svc.owner.current.Load()
	if osp == nil || osp.epoch != arg.Epoch {
		rep.NotOwner = true
		return nil
	}
	return osp.orders(arg, rep)
}
