package owner

import (
	"context"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/io/message"
)

// send carries out an effect: a reply goes to the caller that waits for it, any
// other effect to an agent.
func (sta *state[P]) send(slt *slot[P], ten *tenure[P], eff job.Effect) {
	if slt.tenure != ten {
		return
	}
	switch eff := eff.(type) {
	case job.Offer:
		sta.sendOffer(slt, ten, eff)
	case job.Stop:
		sta.sendStop(slt, eff)
	case job.Adopt:
		sta.sendAdopt(slt, ten, eff)
	case job.ClaimReply:
		ten.reply(eff.Tag(), eff)
	case job.RenewReply:
		ten.reply(eff.Tag(), eff)
	case job.ReportReply:
		ten.reply(eff.Tag(), eff)
	case job.Reply:
		ten.reply(eff.Tag(), eff)
	}
}

// reply answers the caller that waits under a tag.
func (ten *tenure[P]) reply(tag job.Tag, eff job.Effect) {
	if done := ten.waiting[tag]; done != nil {
		delete(ten.waiting, tag)
		done(eff)
	}
}

func (sta *state[P]) sendOffer(slt *slot[P], ten *tenure[P], off job.Offer) {
	args := message.OfferArgs{Partition: slt.num, OwnerAddress: sta.config.self.Address(), Task: encodeTask(off.Task())}
	applyTerms(ten.part.Placement(), off.Task(), &args.Task)
	own, addr, ref, ins := sta.owner, sta.addresses[off.To().Instance()], off.Task().Ref(), off.To().Instance()
	offersSent.Inc()
	own.call(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, job.AnswerTimeout)
		defer cancel()
		var rep message.OfferReply
		ans := job.NoAnswer(ref, ins)
		if err := own.ports.caller.Call(limited, addr, "Agent.Offer", args, &rep); err == nil {
			ans = job.NewAnswer(ref, ins, rep.Accepted, rep.Reason, decodeVector(rep.Free)).WithIdle(rep.Idle)
		}
		countAnswer(ans)
		own.post(ctx, func(sta *state[P], now time.Time) {
			if slt.tenure == ten && slt.serves(now) {
				sta.collect(slt, ten.part.Answered(sta.env(slt, now), ans), now)
			}
		})
	})
}

func countAnswer(ans job.Answer) {
	switch {
	case ans.Failed():
		offersFailed.Inc()
	case !ans.Accepted():
		offersRefused.Inc()
	}
}

// sendStop sends stop orders once. A lost order is repeated by the next renewal.
func (sta *state[P]) sendStop(slt *slot[P], stp job.Stop) {
	args := message.StopArgs{Partition: slt.num, Orders: encodeStops(stp.Orders())}
	own, addr := sta.owner, sta.addresses[stp.To()]
	own.call(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		_ = own.ports.caller.Call(limited, addr, "Agent.Stop", args, &message.StopReply{})
	})
}

func (sta *state[P]) sendAdopt(slt *slot[P], ten *tenure[P], ado job.Adopt) {
	args := message.AdoptArgs{Partition: slt.num, Epoch: slt.ownership.Epoch(), OwnerAddress: sta.config.self.Address()}
	own, addr, ins := sta.owner, sta.addresses[ado.To()], ado.To()
	if addr == "" {
		return // the instance is no longer a member; its leases expire
	}
	own.call(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		var rep message.AdoptReply
		if err := own.ports.caller.Call(limited, addr, "Agent.Adopt", args, &rep); err != nil {
			return
		}
		hol := fleet.NewProcess(ins, fleet.Incarnation(rep.Incarnation))
		refs := make([]job.Ref, 0, len(rep.Tasks))
		for _, tsk := range rep.Tasks {
			refs = append(refs, decodeRef(tsk.Ref))
		}
		own.post(ctx, func(sta *state[P], now time.Time) {
			if slt.tenure == ten && slt.serves(now) {
				sta.collect(slt, ten.part.Adopted(sta.env(slt, now), hol, rep.Ready, refs), now)
				for _, tsk := range rep.Tasks {
					resize(ten.part.Placement(), tsk.Ref, tsk.Committed, now)
				}
			}
		})
	})
}
