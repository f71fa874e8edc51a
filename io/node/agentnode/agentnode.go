// Package agentnode implements the agent process: it owns the capacity of one instance,
// serves requests at the endpoint beside it, runs tasks on its worker, and owns
// partitions of jobs.
package agentnode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/admit"
	"jacinthpost/core/intake"
	"jacinthpost/core/interfere"
	"jacinthpost/core/ledger"
	"jacinthpost/core/member"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/clients"
	"jacinthpost/io/control"
	"jacinthpost/io/guard"
	"jacinthpost/io/node"
	"jacinthpost/io/serve"
	"jacinthpost/io/taskhost"
	"jacinthpost/io/worker"
)

const (
	profilePeriod = 500 * time.Millisecond
)

// Agent is the role of an agent process.
type Agent struct {
	node   *node.Node
	state  *agentstate.State
	serve  *serve.Service
	tasks  *taskhost.Host
	owner  *placedOwner
	guard  *guard.Guard[*interfere.Controller]
	worker *worker.Client
	life   context.Context // of the services; cancelled when Run returns
	end    context.CancelFunc
}

// calls are the methods of the net/rpc service "Agent".
type calls struct {
	*serve.Service
	*taskhost.Host
	*explainer
}

// New connects the components of an agent.
func New(nod *node.Node) *Agent {
	set := nod.Settings()
	agt := &Agent{node: nod, worker: worker.New(set.WorkerAddress())}
	agt.life, agt.end = context.WithCancel(context.Background())
	directory := newOwnerDirectory(nod.Rows())
	mbs := newMembers(nod.Gossip().View)
	sit := &site{
		instance: set.Instance(), location: set.Location(), partitions: set.Partitions(),
		config: nod, owners: directory, serving: mbs.serving,
	}
	opt := intake.DefaultOptions().WithQueue(set.QueueLimit(), admit.CriticalFirst{})
	agt.state = agentstate.New(sit, ledger.NewCapacity(ledger.DefaultReservePercent), opt)
	loop := control.NewLoopOn(nod.Thread(), agt.state, func(sta *agentstate.State, _ time.Time) { sta.Publish() })
	agt.tasks = taskhost.New(agt.life, loop, agt.worker, nod.Pools().Jobs(), taskhost.NewIdentity(set.Instance(), nod.Incarnation()))
	agt.guard = guard.New(loop, agt.tasks, interfere.NewController, nod.Logger())
	agt.guard.EnableReports(agt.life, nod.Pools().Jobs(), set.Instance(), uint64(nod.Incarnation()))
	agt.serve = serve.New(agt.life, loop, &serve.HTTPEndpoint{}, nod.Incarnation(), agt.guard.Observe)
	agt.owner = newOwner(nod, mbs)
	nod.Server().Register("Agent", calls{Service: agt.serve, Host: agt.tasks, explainer: &explainer{agent: agt}})
	nod.Server().Register("Owner", agt.owner.partitions.Service(agt.life))
	return agt
}

// Ready implements node.Role: the ledger must have received a worker report first.
func (agt *Agent) Ready() bool { return agt.state.View().Ready() }

// Run implements node.Role.
func (agt *Agent) Run(ctx context.Context) error {
	defer agt.end()
	lsn, err := net.Listen("tcp", agt.node.Settings().LocalAddress())
	if err != nil {
		return errors.Wrap(err, "listen for the endpoint")
	}
	grp, ctx := errgroup.WithContext(ctx)
	cls := clients.New("endpoint", clients.ProbeLimits(), node.ProbeWire(), agt.node.Logger())
	srv := cls.Server(agt.serve.Announcements(), serve.Refuse)
	grp.Go(func() error { return node.ServeHTTP(ctx, cls.Listener(lsn), srv) })
	grp.Go(func() error { agt.serve.Run(ctx); return nil })
	grp.Go(func() error { agt.tasks.Run(ctx); return nil })
	grp.Go(func() error { agt.owner.run(ctx); return nil })
	grp.Go(func() error { agt.guard.Run(ctx); return nil })
	grp.Go(func() error { agt.updateProfile(ctx); return nil })
	return grp.Wait()
}

// Stop implements node.Role. Requests in flight finish while the tasks are
// checkpointed. The partitions are released last, because the owners of the tasks, which
// may include this process, must record the ends of the tasks first.
func (agt *Agent) Stop(ctx context.Context) {
	var wgr sync.WaitGroup
	wgr.Go(func() { agt.warn("requests not drained", agt.serve.Drain(ctx)) })
	wgr.Go(func() { agt.warn("tasks not handed back", agt.tasks.Drain(ctx)) })
	wgr.Wait()
	agt.warn("partitions not released", agt.owner.partitions.Release(ctx))
}

func (agt *Agent) warn(msg string, err error) {
	if err != nil {
		agt.node.Logger().Warn(msg, zap.Error(err))
	}
}

// updateProfile tells the other processes which endpoint is beside this agent
// and how much its tasks can use.
func (agt *Agent) updateProfile(ctx context.Context) {
	last := agt.node.Profile()
	control.Every(ctx, profilePeriod, func() {
		pro := agt.profile(time.Now())
		if pro.Equal(last) {
			return
		}
		if err := agt.node.Gossip().SetProfile(ctx, pro); err != nil {
			agt.warn("profile not accepted", err)
			return
		}
		last = pro
		agt.node.Logger().Info("profile changed", zap.String("service", string(pro.Service())), zap.Stringer("capacity", pro.Capacity()))
	})
}

// profile describes this process as the other processes should see it now.
func (agt *Agent) profile(now time.Time) member.Profile {
	pro, vie := agt.node.Profile(), agt.state.View()
	if vie.Ready() {
		pro = pro.WithCapacity(vie.Capacity().TaskTotal())
	}
	if end := vie.Endpoint(); end.Present(now) && !end.Last().Leaving() {
		pro = pro.WithService(end.Last().Service(), end.Last().Slots(), end.Last().Connections())
	}
	return pro
}
