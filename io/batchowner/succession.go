package batchowner

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/lead"
)

var errReplaced = errors.New("another process has told that it took over")

// tellTimeout limits the message to a former owner, which may be gone.
const tellTimeout = time.Second

// succession returns what a new owner knows of the grants of the owner that stored the presence. To grant time for longer
// than OwnershipValidity, that one needed the abstention of each process whose instance its presence names, and a
// process that takes over does not abstain. So the new owner is bound if it is such a process, or if one took over
// in between and granted nothing, which is why the presence is not its own. It is bound too if the ownership was released.
func succession(trm lead.Term, own fleet.InstanceID, prs batchstore.Presence) batch.Succession {
	old, suc := trm.Former(), batch.Succession{QuietSince: trm.QuietSince()}
	stored := prs.Core()
	named := func(id fleet.InstanceID) bool { return id != "" && stored.Names(id, LostAfter) }
	switch {
	case prs.Epoch == old.Epoch:
		suc.Bound = old.Released || named(own)
	case named(fleet.InstanceID(old.Holder)):
		suc.Bound = true
		suc.QuietSince = suc.QuietSince.Add(-time.Duration(old.QuietMillis) * time.Millisecond)
	default:
		suc.Bound = named(own)
	}
	return suc
}

// Counters of grants by why they were made, or were not.
var (
	confirmedGrants = metrics.NewCounter(`jacinthpost_owner_grants_total{basis="transaction"}`)
	outageGrants    = metrics.NewCounter(`jacinthpost_owner_grants_total{basis="abstentions"}`)
	refusedGrants   = metrics.NewCounter(`jacinthpost_owner_grants_total{basis="none"}`)
)

// mayGrant reports whether the owner may grant time: no other process can have taken over and given up waiting for its
// grants.
func (osp *ownership) mayGrant(now time.Time) bool {
	since := time.Duration(now.UnixNano() - osp.confirmedAt.Load())
	switch {
	case since < OwnershipValidity:
		confirmedGrants.Inc()
		return true
	case since < OutageValidity && osp.abstentions.cover(osp.grantable.successors(), osp.cfg.Own, now):
		outageGrants.Inc()
		return true
	default:
		refusedGrants.Inc()
		return false
	}
}

// abstentions holds until when the processes of instances have promised to take nothing over. The zero value holds
// none. It is safe for concurrent use.
type abstentions struct {
	mu    sync.Mutex
	until map[fleet.InstanceID]time.Time
}

// record records the promise in a message. It counts from an answer that the agent had got before it gave the promise, on
// this process's own clock.
func (abs *abstentions) record(id fleet.InstanceID, abn batchrpc.Abstention) {
	if !abn.Given {
		return
	}
	abs.mu.Lock()
	defer abs.mu.Unlock()
	if abs.until == nil {
		abs.until = make(map[fleet.InstanceID]time.Time)
	}
	abs.until[id] = time.Unix(0, abn.Stamp).Add(lead.Abstention)
}

// cover reports whether all instances but the own one have promised to take nothing over now.
func (abs *abstentions) cover(ids []fleet.InstanceID, own fleet.InstanceID, now time.Time) bool {
	abs.mu.Lock()
	defer abs.mu.Unlock()
	return !slices.ContainsFunc(ids, func(id fleet.InstanceID) bool { return id != own && !now.Before(abs.until[id]) })
}

// refuse answers an agent that follows another owner or a former epoch.
func (own *Owner) refuse(rep *batchrpc.ReportReply) {
	rep.NotOwner = true
	if now, found := own.cfg.Elector.Current(); found {
		rep.Newer = batchrpc.Owner{Epoch: now.Epoch, Holder: now.Holder, Address: now.Address}
	}
}

// tellFormer tells the former owner of the takeover. If it can't reach the store, it would go on serving agents that can't
// reach it either and don't learn of the new owner.
func (own *Owner) tellFormer(ctx context.Context, trm lead.Term) {
	old, now := trm.Former(), trm.Owner()
	if old.Address == "" || old.Released || old.Holder == now.Holder {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := tellReplaced(ctx, old.Address, batchrpc.Owner{Epoch: now.Epoch, Holder: now.Holder, Address: now.Address}); err != nil {
		own.cfg.Log.Info("the former owner can't be told of the takeover", zap.String("former", old.Holder), zap.Error(err))
	}
}

func tellReplaced(ctx context.Context, addr string, now batchrpc.Owner) error {
	var dia net.Dialer
	con, err := dia.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "former owner")
	}
	cli := rpc.NewClient(con)
	defer func() { _ = cli.Close() }() // the call has ended or is given up
	cal := cli.Go(batchrpc.ReplacedMethod, now, &batchrpc.ReplacedReply{}, make(chan *rpc.Call, 1))
	select {
	case <-cal.Done:
		return cal.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Replaced handles the message of a process that has taken over.
func (svc *Service) Replaced(arg batchrpc.Owner, rep *batchrpc.ReplacedReply) error {
	svc.owner.cfg.Elector.Learn(batchstore.Owner{Epoch: arg.Epoch, Holder: arg.Holder, Address: arg.Address})
	if osp := svc.owner.current.Load(); osp != nil && osp.epoch < arg.Epoch {
		osp.giveUp()
		rep.Known = true
	}
	return nil
}
