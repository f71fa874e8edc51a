package agentnode

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"jacinthpost/core/dispatch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/ticket"
	"jacinthpost/io/control"
	"jacinthpost/io/node"
	"jacinthpost/io/owner"
)

// ticketSyncPeriod is the interval at which new tickets reach the dispatcher, well within the 3 s after
// which a ticket must be in force.
const ticketSyncPeriod = 500 * time.Millisecond

// placedOwner is the owner role with the dispatcher that its partitions share.
// Only the control goroutine of the partitions may use the dispatcher.
type placedOwner struct {
	partitions *owner.Owner[*dispatch.Placement[place.Scored]]
	dispatcher *dispatch.Dispatcher[place.Scored]
	config     Configuration
	client     *owner.Client // of the owner that runs the quota allocator
	self       fleet.Process
}

func newOwner(nod *node.Node, mbs *members) *placedOwner {
	set := nod.Settings()
	self := fleet.NewPeer(set.Instance(), nod.Incarnation(), set.PeerAddress())
	cfg := owner.NewConfig(self, nod.Rows(), set.StoreRegion(), uint64(nod.Incarnation()))
	prt := owner.NewPorts(nod.Table(), nod.Objects(), nod.Pools().Jobs(), ownerSettings{config: nod}).
		WithView(mbs.view).WithLog(nod.Logger()).WithThread(nod.Thread())
	dsp := dispatch.New(place.Scored{}, uint64(nod.Incarnation()), set.Partitions())
	return &placedOwner{
		partitions: owner.New(cfg, prt, dsp.Placement), dispatcher: dsp, config: nod,
		client: owner.NewClient(nod.Rows(), nod.Pools().Jobs()),
		self:   fleet.NewProcess(set.Instance(), nod.Incarnation()),
	}
}

func (pow *placedOwner) run(ctx context.Context) {
	var grp errgroup.Group
	grp.Go(func() error { pow.partitions.Run(ctx); return nil })
	grp.Go(func() error { pow.syncTickets(ctx); return nil })
	grp.Go(func() error { pow.report(ctx); return nil })
	_ = grp.Wait() // no part returns an error
}

// syncTickets passes tickets about teams and data centres to the dispatcher.
func (pow *placedOwner) syncTickets(ctx context.Context) {
	last, passed := ticket.Number(0), false
	control.Every(ctx, ticketSyncPeriod, func() {
		sta := pow.config.State()
		if passed && sta.Head() == last {
			return
		}
		shares, out := shares(sta), ownerSettings{config: pow.config}.TakenOut()
		err := pow.partitions.Inspect(ctx, func(now time.Time) {
			pow.dispatcher.SetShares(shares)
			pow.dispatcher.SetOutOfService(out, now)
		})
		last, passed = sta.Head(), err == nil
	})
}

// shares returns the quotas of all teams.
func shares(sta ticket.State) []dispatch.Share {
	var list []dispatch.Share
	for _, rec := range sta.Records("", sta.Len()) {
		if tea, ok := rec.Object().(ticket.Team); ok {
			list = append(list, dispatch.NewShare(fleet.Team(rec.Key().Name()), tea.CPUShare(), tea.MayBorrow()).
				WithMemoryAndAccelerators(tea.MemoryShare(), tea.AcceleratorShare()))
		}
	}
	return list
}

// explain describes the decisions of this owner about an instance, a line each.
func (pow *placedOwner) explain(ctx context.Context, id fleet.InstanceID) []string {
	var lines []string
	if err := pow.partitions.Inspect(ctx, func(time.Time) { lines = pow.dispatcher.ExplainInstance(id) }); err != nil {
		return nil
	}
	return lines
}
