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
	// reportPeriod is the time between collections of new observations.
	reportPeriod  = 5 * time.Second
	reportTimeout = 3 * time.Second
	// maxIdleReports bounds the messages per task that report the service as idle. Owners need
	// them only until the cost of the class is known.
	maxIdleReports = 3
)

var (
	reportsSent   = metrics.NewCounter("jacinthpost_interference_messages_total")
	reportsFailed = metrics.NewCounter("jacinthpost_interference_failed_messages_total")
)

// Caller calls net/rpc methods of the owners.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// ownerClient holds what is needed to call the owners of the tasks.
type ownerClient struct {
	base     context.Context // ends the calls when the process stops
	caller   Caller
	instance fleet.InstanceID
}

// EnableReports enables messages about observations to the owners of the tasks until the context
// ends. The seed randomizes the send times, so that agents do not send at the same moment. It must
// be called before Run.
func (grd *Guard[G]) EnableReports(ctx context.Context, cal Caller, ins fleet.InstanceID, seed uint64) {
	grd.owners = ownerClient{base: ctx, caller: cal, instance: ins}
	grd.state.outbox = *interfere.NewOutbox(seed)
}

// ownerUpdate is the content of a message to one owner.
type ownerUpdate struct {
	address string
	obss    []interfere.Observation
	idle    []string
	sizes   []*task
}

// reportToOwners sends observations that are new to the owners of the tasks.
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

// pending returns the updates for the owners to which a message is due. An update may be empty.
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

// add adds the committed resources and the idle report of a task as far as the owner lacks them.
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

// send calls the owner. What the owner has not acknowledged is sent again with the next message.
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
		// Post fails only when the process stops.
		_ = grd.loop.Post(grd.owners.base, control.Func[agentstate.State](func(*agentstate.State, time.Time) {
			grd.state.outbox.Acknowledged(upd.address, upd.obss)
			for pos, tsk := range upd.sizes {
				tsk.reportedSize = sizes[pos]
			}
		}))
	}()
}
