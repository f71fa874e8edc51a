package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

// maxWeight bounds the weight of one measurement, so that one agent alone does not
// determine the learned cost.
const maxWeight = 8.0

// Learner is an optional interface of a placement. It receives the co-location costs
// that agents measure. The partitions of a process share what they learn, so each
// message goes to only one of them.
type Learner interface {
	CostMeasured(svc fleet.Service, cls fleet.JobClass, cost, weight float64, now time.Time)
	// ServiceIdle notes that a class runs beside a service that gets almost no requests.
	ServiceIdle(svc fleet.Service, cls fleet.JobClass, now time.Time)
}

// Resizer is an optional interface of a placement. It receives the amounts that an
// agent has committed to a task.
type Resizer interface {
	Resized(ref job.Ref, committed resource.Vector, now time.Time)
}

// Sizer is an optional interface of a placement. It determines the amounts that are
// offered for a task and estimates the cost of the task's class to the service on the
// same instance.
type Sizer interface {
	Terms(tsk job.Task) (size resource.Vector, cost, weight float64)
}

// Learn applies what an agent has learned. The message names no partition and its
// reply is empty. What concerns partitions that have moved is dropped: the agent informs
// their new owners itself.
func (svc *Service[P]) Learn(args message.LearnArgs, _ *message.LearnReply) error {
	ctx, cancel := context.WithTimeout(svc.ctx, replyTimeout)
	defer cancel()
	err := svc.owner.loop.Post(ctx, control.Func[state[P]](func(sta *state[P], now time.Time) { sta.applyLearned(args, now) }))
	if err != nil {
		return errors.Wrap(err, "queue message for the control loop")
	}
	return nil
}

func (sta *state[P]) applyLearned(args message.LearnArgs, now time.Time) {
	learned := false
	for _, slt := range sta.slots {
		if learned || !slt.serves(now) {
			continue
		}
		if lrn, ok := any(slt.tenure.part.Placement()).(Learner); ok {
			learned = true
			updateLearner(lrn, args, now)
		}
	}
	for _, siz := range args.Sizes[:min(len(args.Sizes), message.MaxSizes)] {
		num := job.PartitionOf(job.ID(siz.Ref.Job), len(sta.slots))
		if slt := sta.slots[num]; slt.serves(now) {
			resize(slt.tenure.part.Placement(), siz.Ref, siz.Committed, now)
		}
	}
}

func updateLearner(lrn Learner, args message.LearnArgs, now time.Time) {
	for _, pai := range args.Pairings[:min(len(args.Pairings), message.MaxPairings)] {
		if pai.Weight > 0 {
			pairingsLearned.Inc()
			lrn.CostMeasured(fleet.Service(args.Service), fleet.JobClass(pai.Class), pai.Cost, min(maxWeight, pai.Weight), now)
		}
	}
	for _, cls := range args.Idle[:min(len(args.Idle), message.MaxPairings)] {
		lrn.ServiceIdle(fleet.Service(args.Service), fleet.JobClass(cls), now)
	}
}

func resize(plc job.Placement, ref message.TaskRef, committed message.Resources, now time.Time) {
	if res, ok := plc.(Resizer); ok && committed != (message.Resources{}) {
		res.Resized(decodeRef(ref), decodeVector(committed), now)
	}
}

// applyTerms sets the amounts and the cost of an offer that the placement determined.
func applyTerms(plc job.Placement, tsk job.Task, spc *message.TaskSpec) {
	if siz, ok := plc.(Sizer); ok {
		size, cost, weight := siz.Terms(tsk)
		spc.Resources, spc.Cost, spc.CostWeight = encodeVector(size), cost, weight
	}
}
