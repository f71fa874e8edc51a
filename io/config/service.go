package config

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/ticket"
)

// Service is the RPC side of a node. Register it on the peer server under ServiceName.
type Service struct{ node *Node }

// Service returns the RPC service of the node.
func (nod *Node) Service() *Service { return &Service{node: nod} }

// Pull answers from the published view, so that the control goroutine is not involved.
func (svc *Service) Pull(args PullArgs, reply *PullReply) error {
	nod := svc.node
	rep, err := nod.View().reply(ticket.Number(args.Have), time.Now())
	if err != nil {
		return errors.Wrap(err, "answer pull")
	}
	*reply = rep
	if head := ticket.Number(args.Have); head <= nod.View().State().Head() {
		nod.exec.TryExecute(func(now time.Time) { nod.state.seen[args.Instance] = headSeen{head: head, at: now} })
	}
	return nil
}

// Nudge makes the node pull from the sender if that has a newer head.
func (svc *Service) Nudge(args NudgeArgs, _ *NudgeReply) error {
	nod := svc.node
	if ticket.Number(args.Head) > nod.View().State().Head() {
		nod.exec.TryExecute(func(now time.Time) { nod.nudgedBy(now, args) })
	}
	return nil
}

func (nod *Node) nudgedBy(now time.Time, args NudgeArgs) {
	sta := &nod.state
	peers := nod.peers()
	pos := slices.IndexFunc(peers, func(per Peer) bool { return per.id == fleet.InstanceID(args.Instance) })
	if sta.ctx == nil || pos < 0 || ticket.Number(args.Head) <= sta.config.Head() {
		return // no connection is opened to a sender that is not a known peer
	}
	if sta.pulling {
		sta.pullNext = &peers[pos]
		return
	}
	nod.pullFrom(now, peers[pos])
}

// Objects answers a page of the published configuration.
func (svc *Service) Objects(args ObjectsArgs, reply *ObjectsReply) error {
	sta := svc.node.View().State()
	reply.Head = uint64(sta.Head())
	records := sta.Records(args.After, objectPage)
	size := 0
	for _, rec := range records {
		raw, err := encodeRecord(rec)
		if err != nil {
			return errors.Wrap(err, "answer objects")
		}
		if size += len(raw); size > replyLimit && len(reply.Records) > 0 {
			return nil
		}
		reply.Records = append(reply.Records, raw)
		reply.Next = rec.Key().String()
	}
	if len(records) < objectPage {
		reply.Next = ""
	}
	return nil
}

// Heads answers the heads of the nodes that pulled from this one lately.
func (svc *Service) Heads(_ HeadsArgs, reply *HeadsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	reply.Heads = svc.node.ConfirmedHeads(ctx)
	return nil
}

// ConfirmedHeads returns the head of this node and of the nodes that pulled from it within a minute.
func (nod *Node) ConfirmedHeads(ctx context.Context) []HeadSeen {
	done := make(chan []HeadSeen, 1)
	err := nod.exec.Execute(ctx, func(now time.Time) {
		heads := []HeadSeen{{Instance: string(nod.self.id), Head: uint64(nod.state.config.Head())}}
		for id, hed := range nod.state.seen {
			heads = append(heads, HeadSeen{Instance: id, Head: uint64(hed.head), AgeMillis: roundUp(now.Sub(hed.at))})
		}
		done <- sortedHeads(heads)
	})
	if err != nil {
		return nil
	}
	select {
	case heads := <-done:
		return heads
	case <-ctx.Done():
		return nil
	}
}

// CollectHeads asks every reader for the heads it has seen and returns the
// highest of each node. A node that is missing has not pulled within a minute from a reader
// that answered; a missing reader did not answer either.
func (nod *Node) CollectHeads(ctx context.Context) []HeadSeen {
	heads := nod.ConfirmedHeads(ctx)
	readers := slices.Concat(readersByCentre(nod.peers())...)
	replies := make([]HeadsReply, len(readers))
	var calls sync.WaitGroup
	for idx, per := range readers {
		if per.id == nod.self.id {
			continue
		}
		calls.Go(func() {
			var reply HeadsReply
			if (peerOrigin{node: nod, peer: per}).call(ctx, methodHeads, HeadsArgs{}, &reply) == nil {
				replies[idx] = reply
			}
		})
	}
	calls.Wait()
	for _, rep := range replies {
		heads = append(heads, rep.Heads...)
	}
	return sortedHeads(heads)
}

// sortedHeads orders heads by instance and keeps the highest of each.
func sortedHeads(heads []HeadSeen) []HeadSeen {
	slices.SortFunc(heads, func(one, two HeadSeen) int {
		if one.Instance != two.Instance {
			return strings.Compare(one.Instance, two.Instance)
		}
		return int(int64(two.Head) - int64(one.Head))
	})
	return slices.CompactFunc(heads, func(one, two HeadSeen) bool { return one.Instance == two.Instance })
}
