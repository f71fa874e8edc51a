package owner

import (
	"context"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
	"jacinthpost/io/message"
)

// AllocatorPartition is the partition whose owner runs the quota allocator of the fleet.
const AllocatorPartition = 0

// ReportUse passes what teams hold through another process to the allocator; see quota.Allocator.
func (svc *Service[P]) ReportUse(args message.ReportUseArgs, reply *message.ReportUseReply) error {
	return handle(svc, AllocatorPartition, reply, func(req *request[P], done func(message.ReportUseReply)) {
		if req.slot == nil {
			done(message.ReportUseReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		useReports.Inc()
		from := decodeHolder(args.Instance, args.Incarnation)
		if !req.slot.tenure.duplicates.Accept(from, args.Sequence, args.Complete) {
			done(message.ReportUseReply{})
			return
		}
		ans := req.slot.tenure.allocator.Report(from, args.Complete, decodeUses(args.Uses), decodeOptional(args.Granularity), req.now)
		done(encodeAnswer(ans))
	})
}

// ReportUse reports what teams hold through a process to the owner of AllocatorPartition.
func (cli *Client) ReportUse(ctx context.Context, self fleet.Process, complete bool, uses []quota.Use, granularity resource.Vector) (quota.Answer, error) {
	args := message.ReportUseArgs{Partition: AllocatorPartition, Instance: string(self.Instance()), Incarnation: uint64(self.Incarnation()),
		Sequence: cli.reports.Add(1), Complete: complete, Uses: encodeUses(uses)}
	if complete {
		args.Granularity = encodeOptional(granularity)
	}
	rep, _, err := route(ctx, cli, AllocatorPartition, "Owner.ReportUse", args, func(rep *message.ReportUseReply) (bool, string) {
		return rep.NotOwner, rep.OwnerAddress
	})
	if err != nil {
		return quota.Answer{}, errors.Wrap(err, "report use")
	}
	list := make([]quota.Allotment, 0, len(rep.Allotments))
	for _, alm := range rep.Allotments {
		list = append(list, quota.NewAllotment(fleet.Team(alm.Team), decodeVector(alm.Elsewhere), decodeOptional(alm.Limit)))
	}
	return quota.NewAnswer(rep.Known, rep.Settled, list), nil
}

func encodeUses(uses []quota.Use) []message.TeamUse {
	list := make([]message.TeamUse, 0, len(uses))
	for _, use := range uses {
		enc := message.TeamUse{Team: string(use.Team()), Amounts: encodeVector(use.Amounts()), Kept: use.BoundsKnown(), Want: encodeOptional(use.Want())}
		if !use.BoundsKnown() {
			enc.Bound, enc.Limit = encodeOptional(use.Bound()), encodeOptional(use.Limit())
		}
		list = append(list, enc)
	}
	return list
}

func decodeUses(list []message.TeamUse) []quota.Use {
	uses := make([]quota.Use, 0, len(list))
	for _, enc := range list {
		use := quota.NewUse(fleet.Team(enc.Team), decodeVector(enc.Amounts)).
			Bounded(decodeOptional(enc.Bound), decodeOptional(enc.Limit)).Waiting(decodeOptional(enc.Want))
		if enc.Kept {
			use = use.WithBoundsKnown()
		}
		uses = append(uses, use)
	}
	return uses
}

// encodeOptional returns nil for a zero vector.
func encodeOptional(vec resource.Vector) *message.Resources {
	if vec == (resource.Vector{}) {
		return nil
	}
	res := encodeVector(vec)
	return &res
}

func decodeOptional(res *message.Resources) resource.Vector {
	if res == nil {
		return resource.Vector{}
	}
	return decodeVector(*res)
}

func encodeAnswer(ans quota.Answer) message.ReportUseReply {
	rep := message.ReportUseReply{Known: ans.Known(), Settled: ans.Settled()}
	for _, alm := range ans.Allotments() {
		rep.Allotments = append(rep.Allotments, message.TeamAllotment{Team: string(alm.Team()),
			Elsewhere: encodeVector(alm.Elsewhere()), Limit: encodeOptional(alm.Limit())})
	}
	return rep
}
