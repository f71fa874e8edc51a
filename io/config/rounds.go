package config

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/core/ticket"
)

// readResult is the result of one read of the table.
type readResult struct {
	sentAt  time.Time
	have    ticket.Number // head of the node when the read began
	head    ticket.Number
	tickets []ticket.Ticket
	loaded  ticket.State
	err     error
}

// startRead reads the head row and, if it has moved, what the node lacks.
func (nod *Node) startRead(now time.Time) {
	nod.state.reading = true
	res := readResult{sentAt: now, have: nod.state.config.Head()}
	nod.background(func(ctx context.Context) func(time.Time) {
		res.err = nod.read(ctx, &res)
		return func(now time.Time) { nod.finishRead(now, res) }
	})
}

func (nod *Node) read(ctx context.Context, res *readResult) error {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := nod.table.head(limited)
	if err != nil || head <= res.have {
		res.head = head
		return err
	}
	res.head = head
	if head-res.have > replayLimit {
		loading, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		res.loaded, err = load(loading, nod.table)
		return err
	}
	res.tickets, err = readTickets(limited, nod.table, res.have, head)
	return err
}

func (nod *Node) finishRead(now time.Time, res readResult) {
	sta := &nod.state
	sta.reading = false
	switch {
	case res.err != nil:
		nod.readFailed(now, res)
	case res.head < res.have:
		// The table may have been restored from an older copy. The node keeps what
		// it has, and a table that contradicts it counts as down.
		metrics.GetOrCreateCounter("jacinthpost_config_older_heads_total").Inc()
		nod.readFailed(now, res)
	default:
		sta.downSince = time.Time{}
		nod.adoptState(res.loaded)
		nod.adopt(res.tickets)
		if sta.config.Head() >= res.head {
			sta.freshness = sta.freshness.Observe(ticket.NewConfirmation(res.sentAt, 0))
		}
	}
	nod.publishAndNudge()
}

func (nod *Node) readFailed(now time.Time, res readResult) {
	sta := &nod.state
	metrics.GetOrCreateCounter("jacinthpost_config_failed_reads_total").Inc()
	if sta.downSince.IsZero() {
		sta.downSince = res.sentAt
	}
	// A reader that is cut off can't reach the store either, so its own failures
	// are no evidence of a store outage while it can ask other readers.
	if len(sta.sources) == 0 {
		sta.freshness = sta.freshness.Observe(ticket.NewUnconfirmed(now).WithStoreDown(now.Sub(sta.downSince)))
	}
}

// pullResult is the result of one pull.
type pullResult struct {
	sentAt  time.Time
	reply   PullReply
	tickets []ticket.Ticket
	loaded  ticket.State
	err     error
}

// startPull pulls from the current source.
func (nod *Node) startPull(now time.Time) {
	sta := &nod.state
	if len(sta.sources) == 0 {
		return
	}
	if now.Sub(sta.sourceChangedAt) > fallbackPeriod {
		sta.source = 0
	}
	nod.pullFrom(now, sta.sources[sta.source%len(sta.sources)])
}

func (nod *Node) pullFrom(now time.Time, per Peer) {
	nod.state.pulling = true
	res := pullResult{sentAt: now}
	have := nod.state.config.Head()
	nod.background(func(ctx context.Context) func(time.Time) {
		res.err = nod.pull(ctx, per, have, &res)
		return func(now time.Time) { nod.finishPull(now, res) }
	})
}

func (nod *Node) pull(ctx context.Context, per Peer, have ticket.Number, res *pullResult) error {
	org := peerOrigin{node: nod, peer: per}
	reply, err := org.pull(ctx, have)
	if err != nil {
		return err
	}
	res.reply = reply
	if !reply.Behind {
		res.tickets, err = decodeTickets(have, reply.Tickets)
		return err
	}
	loading, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if res.loaded, err = load(loading, org); err != nil {
		res.loaded, err = load(loading, nod.table)
	}
	return err
}

func decodeTickets(after ticket.Number, raws [][]byte) ([]ticket.Ticket, error) {
	tickets := make([]ticket.Ticket, 0, len(raws))
	for idx, raw := range raws {
		tic, err := decodeTicketRow(after+1+ticket.Number(idx), raw)
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, tic)
	}
	return tickets, nil
}

func (nod *Node) finishPull(now time.Time, res pullResult) {
	sta := &nod.state
	sta.pulling = false
	if res.err != nil {
		metrics.GetOrCreateCounter("jacinthpost_config_failed_pulls_total").Inc()
		nod.nextSource(now)
	} else {
		nod.adoptState(res.loaded)
		nod.adopt(res.tickets)
		nod.observe(now, res)
	}
	nod.publishAndNudge()
	nod.continuePull(now, res)
}

// observe takes the confirmation of a reply into account. It counts only once
// the node has everything that the answering node had.
func (nod *Node) observe(now time.Time, res pullResult) {
	sta := &nod.state
	rep := res.reply
	con := ticket.NewUnconfirmed(res.sentAt)
	age := time.Duration(rep.AgeMillis) * time.Millisecond
	if rep.Confirmed && sta.config.Head() >= ticket.Number(rep.Head) {
		con = ticket.NewConfirmation(res.sentAt, age)
	}
	if rep.StoreDown {
		con = con.WithStoreDown(time.Duration(rep.StoreDownMillis) * time.Millisecond)
	}
	sta.freshness = sta.freshness.Observe(con)
	// One reader that can't reach the store must not keep the node from asking one that can.
	if rep.StoreDown || !rep.Confirmed || age > maxSourceAge {
		nod.nextSource(now)
	}
}

func (nod *Node) nextSource(now time.Time) {
	nod.state.source++
	nod.state.sourceChangedAt = now
}

// continuePull pulls again at once when there is more to get.
func (nod *Node) continuePull(now time.Time, res pullResult) {
	sta := &nod.state
	if per := sta.pullNext; per != nil {
		sta.pullNext = nil
		nod.pullFrom(now, *per)
		return
	}
	if res.err == nil && len(res.tickets) > 0 && sta.config.Head() < ticket.Number(res.reply.Head) {
		nod.startPull(now)
	}
}

// peerOrigin reads the configuration from another node.
type peerOrigin struct {
	node *Node
	peer Peer
}

func (org peerOrigin) call(ctx context.Context, method string, args, reply any) error {
	limited, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return wrapped(org.node.caller.Call(limited, org.peer.address, method, args, reply), "call "+method+" of "+string(org.peer.id))
}

func (org peerOrigin) pull(ctx context.Context, have ticket.Number) (PullReply, error) {
	args := PullArgs{Instance: string(org.node.self.id), Have: uint64(have)}
	var reply PullReply
	if err := org.call(ctx, methodPull, args, &reply); err != nil {
		return PullReply{}, err // the reply may still be written to
	}
	return reply, nil
}

// head implements origin. It asks for no tickets.
func (org peerOrigin) head(ctx context.Context) (ticket.Number, error) {
	reply, err := org.pull(ctx, math.MaxUint64)
	return ticket.Number(reply.Head), err
}

// tickets implements origin.
func (org peerOrigin) tickets(ctx context.Context, after, head ticket.Number) ([]ticket.Ticket, error) {
	reply, err := org.pull(ctx, after)
	if err != nil {
		return nil, err
	}
	if reply.Behind {
		return nil, errors.Errorf("%s no longer keeps ticket %d", org.peer.id, after+1)
	}
	tickets, err := decodeTickets(after, reply.Tickets)
	tickets = slices.DeleteFunc(tickets, func(tic ticket.Ticket) bool { return tic.Number() > head })
	return tickets, err
}

// records implements origin.
func (org peerOrigin) records(ctx context.Context, after string) ([]ticket.Record, string, error) {
	var reply ObjectsReply
	if err := org.call(ctx, methodObjects, ObjectsArgs{After: after}, &reply); err != nil {
		return nil, "", err
	}
	records := make([]ticket.Record, 0, len(reply.Records))
	for _, raw := range reply.Records {
		rec, err := decodeRecord(raw)
		if err != nil {
			return nil, "", err
		}
		records = append(records, rec)
	}
	return records, reply.Next, nil
}
