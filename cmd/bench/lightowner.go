package main

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/lease"
	"jacinthpost/core/runner"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
	"jacinthpost/io/peer"
)

const (
	lightPartition = 1000 // above all partitions that real owners have
	lightLease     = 15 * time.Second
	offerPause     = 300 * time.Millisecond
)

// lightOwner owns a partition whose tasks all are on one real agent. It grants
// every claim and agrees to every set, with the time of the next call in seconds
// of its own, as io/owner does.
type lightOwner struct {
	origin time.Time
	held   atomic.Int64
}

// Claim is a method of net/rpc.
func (low *lightOwner) Claim(_ message.ClaimArgs, rep *message.ClaimReply) error {
	rep.Granted, rep.LeaseMillis = true, lightLease.Milliseconds()
	low.held.Add(1)
	return nil
}

// Renew is a method of net/rpc.
func (low *lightOwner) Renew(args message.RenewArgs, rep *message.RenewReply) error {
	rep.Agreed = args.HeldCount > 0
	rep.NextMillis = lease.NextRenewal(time.Now(), low.origin, runner.RenewPeriod, runner.RenewWindow).Milliseconds()
	for _, sta := range args.Tasks {
		rep.Granted = append(rep.Granted, sta.Ref)
		rep.LeaseMillis = append(rep.LeaseMillis, lightLease.Milliseconds())
	}
	return nil
}

// Report is a method of net/rpc.
func (low *lightOwner) Report(args message.ReportArgs, rep *message.ReportReply) error {
	for _, end := range args.Ends {
		rep.Recorded = append(rep.Recorded, end.Ref)
	}
	return nil
}

// Learn is a method of net/rpc. What the agent has learned is not used.
func (low *lightOwner) Learn(message.LearnArgs, *message.LearnReply) error { return nil }

// startOwner starts a light owner and makes it offer tasks to the agent until as
// many are claimed.
func startOwner(ctx context.Context, agent string, num, tasks int) error {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the agent")
	}
	low := &lightOwner{origin: time.Now().Add(-time.Duration(num) * 77 * time.Millisecond)}
	srv := peer.NewServer()
	srv.Register("Owner", low)
	go func() { _ = srv.Serve(ctx, lsn) }()
	cli, err := rpc.Dial("tcp", agent)
	if err != nil {
		return errors.Wrap(err, "call the agent")
	}
	context.AfterFunc(ctx, func() { _ = cli.Close() })
	for seq := 1; low.held.Load() < int64(tasks); seq++ {
		off := message.OfferArgs{Partition: lightPartition + num, OwnerAddress: lsn.Addr().String(), Task: message.TaskSpec{
			Ref:  message.TaskRef{Job: fmt.Sprintf("light-job-%d-%d", num, seq), Token: message.Token{Epoch: 1, Sequence: uint64(seq)}},
			Kind: "watch", Class: "bench", Team: "default", Workspace: "bench", LeaseMillis: lightLease.Milliseconds(),
			Resources: message.Resources{MilliCPU: 500, MemoryMB: 256}, Payload: []byte(`{"neverFinishes":true}`),
		}}
		var rep message.OfferReply
		if err := cli.Call("Agent.Offer", &off, &rep); err != nil {
			return errors.Wrap(err, "offer")
		}
		if err := control.Pause(ctx, offerPause); err != nil {
			return errors.Wrapf(err, "tasks not claimed, last refusal %q %s", rep.Reason, rep.Detail)
		}
	}
	return nil
}
