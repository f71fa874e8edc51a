package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/member"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/token"
	"jacinthpost/io/control"
	"jacinthpost/io/gossip"
	"jacinthpost/io/message"
	"jacinthpost/io/peer"
)

const (
	lightIncarnation = 1
	lightQueue       = 256
	ownerLimit       = 3 * time.Second // one call to an owner, as in io/taskhost
)

// lightRoom has room for one of the tasks of lightTask, which fits on no other instance.
var (
	lightRoom = resource.New(64_000, 8_192, 0)
	lightTask = message.Resources{MilliCPU: 40_000, MemoryMB: 4_096}
)

// swarm is what the light agents of a measurement share.
type swarm struct {
	held atomic.Int64 // tasks whose lease was granted
	news atomic.Bool  // each renewal tells something new of its task
	lost atomic.Int64 // renewals that failed or were not agreed to
}

// lightAgent takes part in the membership like an agent and holds one task without
// a worker: it accepts an offer, claims the task and renews its lease as
// io/taskhost and core/runner do, first by list and then by set.
type lightAgent struct {
	swarm *swarm
	name  string
	pool  *peer.Pool
	life  context.Context
	once  sync.Once

	mu      sync.Mutex
	owner   string
	claimed []message.TaskRef // the task once its lease was granted
}

// Offer is a method of net/rpc.
func (lag *lightAgent) Offer(args message.OfferArgs, rep *message.OfferReply) error {
	rep.Reason, rep.Capacity = "capacity", message.Resources{MilliCPU: lightRoom.MilliCPU(), MemoryMB: lightRoom.MemoryMB()}
	lag.once.Do(func() {
		rep.Accepted, rep.Reason, rep.Tasks = true, "", 1
		go lag.hold(args)
	})
	return nil
}

// Stop is a method of net/rpc. No task is stopped in these measurements.
func (lag *lightAgent) Stop(message.StopArgs, *message.StopReply) error { return nil }

// Adopt is a method of net/rpc.
func (lag *lightAgent) Adopt(args message.AdoptArgs, rep *message.AdoptReply) error {
	lag.mu.Lock()
	defer lag.mu.Unlock()
	lag.owner = args.OwnerAddress
	rep.Ready, rep.Incarnation = true, lightIncarnation
	for _, ref := range lag.claimed {
		rep.Tasks = append(rep.Tasks, message.TaskStatus{Ref: ref, Committed: lightTask})
	}
	return nil
}

// call makes a call to the owner.
func (lag *lightAgent) call(method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(lag.life, ownerLimit)
	defer cancel()
	lag.mu.Lock()
	addr := lag.owner
	lag.mu.Unlock()
	return lag.pool.Call(ctx, addr, method, args, reply)
}

// keep notes the owner of an offered task, and the task once its lease was granted.
func (lag *lightAgent) keep(owner string, claimed ...message.TaskRef) {
	lag.mu.Lock()
	defer lag.mu.Unlock()
	lag.owner, lag.claimed = owner, claimed
}

// hold claims a task and renews its lease until the measurement ends.
func (lag *lightAgent) hold(off message.OfferArgs) {
	ref := off.Task.Ref
	lag.keep(off.OwnerAddress)
	clm := message.ClaimArgs{Partition: off.Partition, Ref: ref, Instance: lag.name, Incarnation: lightIncarnation}
	for {
		var rep message.ClaimReply
		if err := lag.call("Owner.Claim", &clm, &rep); err == nil && rep.Granted {
			break
		}
		if control.Pause(lag.life, runner.RetryPeriod) != nil {
			return
		}
	}
	lag.keep(off.OwnerAddress, ref)
	lag.swarm.held.Add(1)
	set := (lease.Set{}).With(ref.Job, ref.Index, token.New(ref.Token.Epoch, ref.Token.Sequence))
	agreed, wait := false, runner.RenewPeriod
	for progress := 1; control.Pause(lag.life, wait) == nil; progress++ {
		args := message.RenewArgs{Partition: off.Partition, Instance: lag.name, Incarnation: lightIncarnation}
		if agreed {
			args.HeldCount, args.HeldDigest = set.Count(), set.Digest()
		}
		if !agreed || lag.swarm.news.Load() {
			args.Tasks = []message.TaskStatus{{Ref: ref, ProgressPercent: progress % 100,
				Checkpoint: fmt.Sprintf("checkpoint/%s/%d", ref.Job, progress), Usage: lightTask}}
		}
		var rep message.RenewReply
		err := lag.call("Owner.Renew", &args, &rep)
		if err != nil || !rep.Agreed && len(rep.Granted) == 0 {
			lag.swarm.lost.Add(1)
		}
		agreed = err == nil && (rep.Agreed || len(rep.Granted) > 0)
		wait = runner.RenewPeriod
		if next := time.Duration(rep.NextMillis) * time.Millisecond; err == nil && next > 0 {
			wait = min(wait, max(next, runner.RenewPeriod-runner.RenewWindow))
		}
	}
}

// startLight starts a light agent and returns its gossip address. It is in a region
// of its own, so that it owns no partition and no other process reads its
// configuration. One region for all would send an eighth of all probes to the few
// real processes, ten times what a process of an even fleet gets.
func startLight(ctx context.Context, swm *swarm, num int, seeds ...member.Address) (member.Address, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the owner")
	}
	con, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		_ = lsn.Close()
		return "", errors.Wrap(err, "listen for gossip")
	}
	addr := member.Address(con.LocalAddr().String())
	lag := &lightAgent{swarm: swm, name: fmt.Sprintf("light-%04d", num), pool: peer.NewPool("jobs"), life: ctx}
	srv := peer.NewServer()
	srv.Register("Agent", lag)
	go func() { _ = srv.Serve(ctx, lsn) }()
	place := fmt.Sprint("bench-", num)
	loc := fleet.NewLocation(fleet.Region(place), fleet.DataCentre(place), fleet.Rack(place))
	pro := member.NewProfile(member.RoleAgent, member.Address(lsn.Addr().String()), addr, loc).WithCapacity(lightRoom)
	thr := control.NewThread(lightQueue)
	gos, err := gossip.New(gossip.NewSettings(fleet.InstanceID(lag.name), lightIncarnation, pro, seeds...), con, &storefake.Store{}, thr)
	if err != nil {
		return "", errors.Wrap(err, "join membership")
	}
	go thr.Run(ctx)
	go func() { _ = gos.Run(ctx) }()
	context.AfterFunc(ctx, lag.pool.Close)
	return addr, nil
}
