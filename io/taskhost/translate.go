package taskhost

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
	"jacinthpost/io/message"
)

func millis(num int64) time.Duration { return time.Duration(num) * time.Millisecond }

func refMessage(ref worker.Ref) message.TaskRef {
	tok := message.Token{Epoch: ref.Token().Epoch(), Sequence: ref.Token().Sequence()}
	return message.TaskRef{Job: ref.Job(), Index: ref.Index(), Token: tok}
}

func refFrom(msg message.TaskRef) worker.Ref {
	return worker.NewRef(msg.Job, msg.Index, token.New(msg.Token.Epoch, msg.Token.Sequence))
}

func resourcesMessage(vec resource.Vector) message.Resources {
	return message.Resources{MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()}
}

func resourcesFrom(msg message.Resources) resource.Vector {
	return resource.New(msg.MilliCPU, msg.MemoryMB, msg.Accelerators)
}

func specFrom(args message.OfferArgs) runner.Spec {
	tsk := args.Task
	return runner.NewSpec(refFrom(tsk.Ref), args.Partition, args.OwnerAddress).
		WithClass(tsk.Kind, fleet.JobClass(tsk.Class), tsk.Urgent).
		WithResources(resourcesFrom(tsk.Resources)).
		WithPayload(tsk.Payload, tsk.Checkpoint).
		WithCheckpoints(!tsk.Restarts).
		WithPrior(tsk.Cost, tsk.CostWeight)
}

// heldMessages returns statuses for a new owner. They include the committed resources, which a new
// owner does not know.
func heldMessages(stas []runner.Status) []message.TaskStatus {
	res := statusMessages(stas)
	for pos, sta := range stas {
		res[pos].Committed = resourcesMessage(sta.Resources())
	}
	return res
}

func statusMessages(stas []runner.Status) []message.TaskStatus {
	res := make([]message.TaskStatus, 0, len(stas))
	for _, sta := range stas {
		res = append(res, message.TaskStatus{
			Ref: refMessage(sta.Ref()), ProgressPercent: sta.Progress(),
			Checkpoint: sta.Checkpoint(), Usage: resourcesMessage(sta.Peak()),
		})
	}
	return res
}

func endMessages(ends []runner.End) []message.TaskEnd {
	res := make([]message.TaskEnd, 0, len(ends))
	for _, end := range ends {
		res = append(res, message.TaskEnd{
			Ref: refMessage(end.Ref()), End: endNames[end.Kind()], Checkpoint: end.Checkpoint(),
			Result: end.Result(), Detail: end.Detail(), Evicted: end.Evicted(),
		})
	}
	return res
}

var endNames = map[runner.EndKind]string{
	runner.EndFinished:     message.EndFinished,
	runner.EndFailed:       message.EndFailed,
	runner.EndCheckpointed: message.EndCheckpointed,
	runner.EndStopped:      message.EndStopped,
	runner.EndNotStarted:   message.EndNotStarted,
	runner.EndLost:         message.EndLost,
}

// grants pairs the renewed tasks with their leases. A task without a lease in the reply is left out,
// so that a malformed reply does not extend it.
func grants(rep message.RenewReply) []runner.Grant {
	num := min(len(rep.Granted), len(rep.LeaseMillis))
	res := make([]runner.Grant, 0, num)
	for ind := range num {
		res = append(res, runner.NewGrant(refFrom(rep.Granted[ind]), millis(rep.LeaseMillis[ind])))
	}
	return res
}

func stopOrders(stops []message.StopOrder) []runner.StopOrder {
	res := make([]runner.StopOrder, 0, len(stops))
	for _, stp := range stops {
		res = append(res, runner.NewStopOrder(refFrom(stp.Ref), stp.Checkpoint, stp.Reason))
	}
	return res
}
