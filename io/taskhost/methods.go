package taskhost

import (
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/runner"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/message"
)

// Offer reserves capacity for a task, or refuses it with a reason. It is served by net/rpc.
func (hst *Host) Offer(args message.OfferArgs, rep *message.OfferReply) error {
	spc := specFrom(args)
	res, err := agentstate.Ask(hst.base, hst.loop, func(sta *agentstate.State, now time.Time) message.OfferReply {
		out, accepted, efs := sta.Runner().Offer(spc, now)
		hst.Perform(sta, efs)
		offerCounter(out, accepted).Inc()
		led := sta.Ledger()
		return message.OfferReply{
			Accepted: accepted, Reason: string(out.Reason()), Detail: out.Detail(),
			Free:     resourcesMessage(led.Free()),
			Capacity: resourcesMessage(led.Capacity().TaskTotal()),
			Tasks:    led.TaskCount(),
			Idle:     sta.Idle(now),
		}
	})
	if err != nil {
		return errors.Wrap(err, "offer")
	}
	*rep = res
	return nil
}

// Stop carries out an owner's orders to stop tasks. It is served by net/rpc.
func (hst *Host) Stop(args message.StopArgs, _ *message.StopReply) error {
	ords := stopOrders(args.Orders)
	_, err := agentstate.Ask(hst.base, hst.loop, func(sta *agentstate.State, now time.Time) struct{} {
		for _, ord := range ords {
			hst.Perform(sta, sta.Runner().Stop(args.Partition, ord, now))
		}
		return struct{}{}
	})
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	return nil
}

// ErrOutdatedOwner reports that the agent already knows an owner of the partition with a higher epoch.
var ErrOutdatedOwner = errors.New("the partition has a newer owner")

// adoption carries the result of Runner.Adopt from the control goroutine.
type adoption struct {
	held     []runner.Status
	accepted bool
	ready    bool
}

// Adopt records the new owner of a partition and answers with the tasks held for that partition. It is
// served by net/rpc.
func (hst *Host) Adopt(args message.AdoptArgs, rep *message.AdoptReply) error {
	res, err := agentstate.Ask(hst.base, hst.loop, func(sta *agentstate.State, now time.Time) adoption {
		held, accepted := sta.Runner().Adopt(args.Partition, args.Epoch, args.OwnerAddress, now)
		return adoption{held: held, accepted: accepted, ready: sta.Runner().Ready()}
	})
	if err != nil {
		return errors.Wrap(err, "adopt")
	}
	if !res.accepted {
		return ErrOutdatedOwner
	}
	rep.Ready, rep.Tasks = res.ready, heldMessages(res.held)
	return nil
}
