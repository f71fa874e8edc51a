package owner

import (
	"context"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
	"jacinthpost/io/message"
)

// CensusPartition is the partition whose owner adds up what the teams hold.
const CensusPartition = 0

// ReportUse takes in what teams hold through another process; see quota.Census.
func (svc *Service[P]) ReportUse(args message.ReportUseArgs, reply *message.ReportUseReply) error {
	return exchange(svc, CensusPartition, reply, func(trn *turn[P], done func(message.ReportUseReply)) {
		if trn.slot == nil {
			done(message.ReportUseReply{NotOwner: true, OwnerAddress: trn.owner})
			return
		}
		useReports.Inc()
		ans := trn.slot.tenure.census.Report(decodeHolder(args.Instance, args.Incarnation), args.Complete,
			decodeUses(args.Uses), decodeVector(args.Granularity), trn.now)
		done(encodeAnswer(ans))
	})
}

// ReportUse reports what teams hold through a process to the owner of the census.
func (cli *Client) ReportUse(ctx context.Context, self fleet.Process, complete bool, uses []quota.Use, granularity resource.Vector) (quota.Answer, error) {
	args := message.ReportUseArgs{Partition: CensusPartition, Instance: string(self.Instance()), Incarnation: uint64(self.Incarnation()),
		Complete: complete, Granularity: encodeVector(granularity), Uses: encodeUses(uses)}
	rep, _, err := route(ctx, cli, CensusPartition, "Owner.ReportUse", args, func(rep *message.ReportUseReply) (bool, string) {
		return rep.NotOwner, rep.OwnerAddress
	})
	if err != nil {
		return quota.Answer{}, errors.Wrap(err, "report use")
	}
	list := make([]quota.Allotment, 0, len(rep.Allotments))
	for _, alm := range rep.Allotments {
		list = append(list, quota.NewAllotment(fleet.Team(alm.Team), decodeVector(alm.Elsewhere), decodeVector(alm.Limit)))
	}
	return quota.NewAnswer(rep.Known, rep.Settled, list), nil
}

func encodeUses(uses []quota.Use) []message.TeamUse {
	list := make([]message.TeamUse, 0, len(uses))
	for _, use := range uses {
		list = append(list, message.TeamUse{Team: string(use.Team()), Amounts: encodeVector(use.Amounts()),
			Bound: encodeVector(use.Bound()), Limit: encodeVector(use.Limit()), Want: encodeVector(use.Want())})
	}
	return list
}

func decodeUses(list []message.TeamUse) []quota.Use {
	uses := make([]quota.Use, 0, len(list))
	for _, use := range list {
		uses = append(uses, quota.NewUse(fleet.Team(use.Team), decodeVector(use.Amounts)).
			Bounded(decodeVector(use.Bound), decodeVector(use.Limit)).Waiting(decodeVector(use.Want)))
	}
	return uses
}

func encodeAnswer(ans quota.Answer) message.ReportUseReply {
	rep := message.ReportUseReply{Known: ans.Known(), Settled: ans.Settled()}
	for _, alm := range ans.Allotments() {
		rep.Allotments = append(rep.Allotments, message.TeamAllotment{Team: string(alm.Team()),
			Elsewhere: encodeVector(alm.Elsewhere()), Limit: encodeVector(alm.Limit())})
	}
	return rep
}
