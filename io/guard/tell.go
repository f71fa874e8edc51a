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
	reportPeriod = 5 * time.Second
	tellLimit    = 3 * time.Second
	// idleMessages bounds the messages about one task that say that the service
	// beside it is idle. They matter only until its class is known.
	idleMessages = 3
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
type owners struct {
	base     context.Context // ends the calls when the process stops
	caller   Caller
	instance fleet.InstanceID
}

// Tell makes the guard tell the owners of the tasks what it learns, until the
// context ends. The seed spreads the messages of different agents. It must be
// called before Run.
func (grd *Guard[G]) Tell(ctx context.Context, cal Caller, ins fleet.InstanceID, seed uint64) {
	grd.owners = owners{base: ctx, caller: cal, instance: ins}
	grd.state.outbox = *interfere.NewOutbox(seed)
}

// news is a message to one owner.
type news struct {
	to    string
	obss  []interfere.Observation
	idle  []string
	sizes []*task
}

// tell sends what is new to the owners of the tasks.
func (grd *Guard[G]) tell(sta *agentstate.State, now time.Time) {
	sti := &grd.state
	if grd.owners.caller == nil || now.Sub(sti.reported) < reportPeriod {
		return
	}
	sti.reported = now
	sti.outbox.Add(sti.guard.TakeObservations(), now)
	for _, nws := range sti.pending(sta, now) {
		if len(nws.obss)+len(nws.idle)+len(nws.sizes) == 0 {
			continue
		}
		sti.outbox.Sent(nws.to, now)
		grd.send(nws, nws.message(grd.owners.instance, sti.service))
	}
}

// pending returns what is new to each owner to which a message is due.
func (sti *state[G]) pending(sta *agentstate.State, now time.Time) []news {
	var list []news
	for _, addr := range sti.outbox.DueReceivers(now) {
		nws := news{to: addr, obss: sti.outbox.Unsent(addr, sti.service, message.MaxPairings)}
		for _, tsk := range sti.tasks {
			if sta.Runner().OwnerAddress(tsk.ref) == addr {
				nws.add(tsk, sta.Idle(now))
			}
		}
		list = append(list, nws)
	}
	return list
}

// add adds what is new about one task.
func (nws *news) add(tsk *task, idle bool) {
	if tsk.told != tsk.size && len(nws.sizes) < message.MaxSizes {
		nws.sizes = append(nws.sizes, tsk)
	}
	known := tsk.prior.Known() || tsk.idles >= idleMessages || slices.Contains(nws.idle, string(tsk.class))
	if idle && !known && len(nws.idle) < message.MaxPairings {
		tsk.idles++
		nws.idle = append(nws.idle, string(tsk.class))
	}
}

func (nws news) message(ins fleet.InstanceID, svc fleet.Service) message.LearnArgs {
	args := message.LearnArgs{Instance: string(ins), Service: string(svc), Idle: nws.idle}
	for _, obs := range nws.obss {
		args.Pairings = append(args.Pairings, message.Pairing{Class: string(obs.Class()), Cost: obs.Cost(), Weight: obs.Weight()})
	}
	for _, tsk := range nws.sizes {
		tok := message.Token{Epoch: tsk.ref.Token().Epoch(), Sequence: tsk.ref.Token().Sequence()}
		args.Sizes = append(args.Sizes, message.TaskSize{
			Ref:       message.TaskRef{Job: tsk.ref.Job(), Index: tsk.ref.Index(), Token: tok},
			Committed: message.Resources{MilliCPU: tsk.size.MilliCPU(), MemoryMB: tsk.size.MemoryMB(), Accelerators: tsk.size.Accelerators()},
		})
	}
	return args
}

// send calls the owner. What has not arrived is sent again with the next message.
func (grd *Guard[G]) send(nws news, args message.LearnArgs) {
	sizes := make([]resource.Vector, 0, len(nws.sizes))
	for _, tsk := range nws.sizes {
		sizes = append(sizes, tsk.size)
	}
	go func() {
		ctx, cancel := context.WithTimeout(grd.owners.base, tellLimit)
		defer cancel()
		if err := grd.owners.caller.Call(ctx, nws.to, "Owner.Learn", &args, &message.LearnReply{}); err != nil {
			reportsFailed.Inc()
			return
		}
		reportsSent.Inc()
		// An error means that the process stops.
		_ = grd.loop.Post(grd.owners.base, control.Func[agentstate.State](func(*agentstate.State, time.Time) {
			grd.state.outbox.Acknowledged(nws.to, nws.obss)
			for pos, tsk := range nws.sizes {
				tsk.told = sizes[pos]
			}
		}))
	}()
}
