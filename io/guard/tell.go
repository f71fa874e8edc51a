package guard

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

const (
	// reportPeriod is how often the guard is asked what it has learned.
	reportPeriod  = 5 * time.Second
	reportTimeout = 3 * time.Second
	// idleMessages bounds the messages about one task that say that the service
	// beside it is idle. They matter only until its class is known.
	maxIdleReports = 3
)

var (
	reportsSent   = metrics.NewCounter("jacinthpost_interference_messages_total")
	reportsFailed = metrics.NewCounter("jacinthpost_interference_failed_messages_total")
)

// Caller is the port to the net/rpc methods of the owners.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// owners is the way to the owners of the tasks.
type ownerClient struct {
	base     context.Context // ends the calls when the process stops
	caller   Caller
	instance fleet.InstanceID
}

// Tell makes the guard tell the owners of the tasks what it learns, until the
// context ends. The seed spreads the messages of different agents. It must be
// called before Run.
func (grd *Guard[G]) Tell(ctx context.Context, cal Caller, ins fleet.InstanceID, seed uint64) {
	grd.owners = ownerClient{base: ctx, caller: cal, instance: ins}
	grd.state.outbox = *interfere.NewOutbox(seed)
}

// news is a message to one owner.
type ownerUpdate struct {
	address string
	obss    []interfere.Observation
	idle    []string
	sizes   []*task
}

// tell sends what is new to the owners of the tasks.
func (grd *Guard[G]) reportToOwners(sta *agentstate.State, now time.Time) {
	sti := &grd.state
	if grd.owners.caller == nil || now.Sub(sti.lastReport) < reportPeriod {
		return
	}
	sti.lastReport = now
	sti.outbox.Add(sti.guard.TakeObservations(), now)
	for _, upd := range sti.pending(sta, now) {
		if len(upd.obss)+len(upd.idle)+len(upd.sizes) == 0 {
			continue
		}
		sti.outbox.Sent(upd.address, now)
		grd.send(upd, upd.message(grd.owners.instance, sti.service))
	}
}

// pending returns what is new to each owner to which a message is due.
func (sti *state[G]) pending(sta *agentstate.State, now time.Time) []ownerUpdate {
	var list []ownerUpdate
	for _, addr := range sti.outbox.DueReceivers(now) {
		upd := ownerUpdate{address: addr, obss: sti.outbox.Unsent(addr, sti.service, message.MaxPairings)}
		for _, tsk := range sti.tasks {
			if sta.Runner().OwnerAddress(tsk.ref) == addr {
				upd.add(tsk, sta.Idle(now))
			}
		}
		list = append(list, upd)
	}
	return list
}

// add adds what is new about one task.
func (upd *ownerUpdate) add(tsk *task, idle bool) {
	if tsk.reportedSize != tsk.size && len(upd.sizes) < message.MaxSizes {
		upd.sizes = append(upd.sizes, tsk)
	}
	known := tsk.prior.Known() || tsk.idleReports >= maxIdleReports || slices.Contains(upd.idle, string(tsk.class))
	if idle && !known && len(upd.idle) < message.MaxPairings {
		tsk.idleReports++
		upd.idle = append(upd.idle, string(tsk.class))
	}
}

func (upd ownerUpdate) message(ins fleet.InstanceID, svc fleet.Service) message.LearnArgs {
	args := message.LearnArgs{Instance: string(ins), Service: string(svc), Idle: upd.idle}
	for _, obs := range upd.obss {
		args.Pairings = append(args.Pairings, message.Pairing{Class: string(obs.Class()), Cost: obs.Cost(), Weight: obs.Weight()})
	}
	for _, tsk := range upd.sizes {
		tok := message.Token{Epoch: tsk.ref.Token().Epoch(), Sequence: tsk.ref.Token().Sequence()}
		args.Sizes = append(args.Sizes, message.TaskSize{
			Ref:       message.TaskRef{Job: tsk.ref.Job(), Index: tsk.ref.Index(), Token: tok},
			Committed: message.Resources{MilliCPU: tsk.size.MilliCPU(), MemoryMB: tsk.size.MemoryMB(), Accelerators: tsk.size.Accelerators()},
		})
	}
	return args
}

// send calls the owner. What has not arrived is sent again with the next message.
func (grd *Guard[G]) send(upd ownerUpdate, args message.LearnArgs) {
	sizes := make([]resource.Vector, 0, len(upd.sizes))
	for _, tsk := range upd.sizes {
		sizes = append(sizes, tsk.size)
	}
	go func() {
		ctx, cancel := context.WithTimeout(grd.owners.base, reportTimeout)
		defer cancel()
		if err := grd.owners.caller.Call(ctx, upd.address, "Owner.Learn", &args, &message.LearnReply{}); err != nil {
			reportsFailed.Inc()
			return
		}
		reportsSent.Inc()
		// An error means that the process stops.
		_ = grd.loop.Post(grd.owners.base, control.Func[agentstate.State](func(*agentstate.State, time.Time) {
			grd.state.outbox.Acknowledged(upd.address, upd.obss)
			for pos, tsk := range upd.sizes {
				tsk.reportedSize = sizes[pos]
			}
		}))
	}()
}
