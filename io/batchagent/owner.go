package batchagent

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
)

const (
	dialTimeout = 500 * time.Millisecond
	// unhealthyAfter is how long an owner may report itself as unhealthy before it is suspected.
	unhealthyAfter  = 600 * time.Millisecond
	ownerRetryDelay = 60 * time.Millisecond
)

// ownerConnection is the connection to the owner. It is replaced when the owner changes or a call fails.
type ownerConnection struct {
	mu     sync.Mutex
	addr   string
	client *rpc.Client
}

func (ocn *ownerConnection) get(ctx context.Context, addr string) (*rpc.Client, error) {
	ocn.mu.Lock()
	defer ocn.mu.Unlock()
	if ocn.client != nil && ocn.addr == addr {
		return ocn.client, nil
	}
	ocn.reset()
	dia := net.Dialer{Timeout: dialTimeout}
	con, err := dia.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "owner")
	}
	ocn.addr, ocn.client = addr, rpc.NewClient(con)
	return ocn.client, nil
}

func (ocn *ownerConnection) reset() {
	if ocn.client != nil {
		_ = ocn.client.Close()
		ocn.client = nil
	}
}

// drop closes the connection if cli is still its client.
func (ocn *ownerConnection) drop(cli *rpc.Client) {
	ocn.mu.Lock()
	defer ocn.mu.Unlock()
	if ocn.client == cli {
		ocn.reset()
	}
}

func (ocn *ownerConnection) close() {
	ocn.mu.Lock()
	defer ocn.mu.Unlock()
	ocn.reset()
}

// callOwner makes a remote call. It drops the connection if the call fails or takes longer than limit.
func (agt *Agent) callOwner(ctx context.Context, addr, method string, limit time.Duration, arg, rep any) error {
	cli, err := agt.ownerConn.get(ctx, addr)
	if err != nil {
		return err
	}
	tmr := time.NewTimer(limit)
	defer tmr.Stop()
	cal := cli.Go(method, arg, rep, make(chan *rpc.Call, 1))
	select {
	case <-cal.Done:
		var remote rpc.ServerError
		if cal.Error != nil && !errors.As(cal.Error, &remote) {
			agt.ownerConn.drop(cli)
		}
		return cal.Error
	case <-tmr.C:
		agt.ownerConn.drop(cli)
		return errors.New("owner did not answer in time")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report reports the state of the instance to the owner every reportPeriod, and at once after a change.
func (agt *Agent) report(ctx context.Context) {
	tmr := time.NewTimer(0)
	defer tmr.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-agt.reportNeeded:
		case <-tmr.C:
		}
		wait := reportPeriod
		if !agt.reportOnce(ctx) {
			wait = ownerRetryDelay
		}
		tmr.Reset(wait)
	}
}

func (agt *Agent) reportOnce(ctx context.Context) bool {
	own, found := agt.elector.Current()
	if !found {
		agt.elector.Suspect()
		return false
	}
	arg, ok := agt.reportArgs(ctx, own)
	if !ok {
		return true
	}
	var rep batchrpc.ReportReply
	sent := agt.clock()
	err := agt.callOwner(ctx, own.Address, batchrpc.ReportMethod, reportTimeout, &arg, &rep)
	if err != nil || rep.NotOwner {
		agt.suspectOwner(own, err)
		return false
	}
	agt.recordAnswer(rep.Healthy)
	agt.change(ctx, func(sta *state, _ time.Time) {
		sta.host.Grant(own.Epoch, sent, rep.Grant)
		agt.confirm(sta, own.Epoch, arg.Session, rep.Acked)
	})
	return true
}

func (agt *Agent) reportArgs(ctx context.Context, own batchstore.Owner) (batchrpc.ReportArgs, bool) {
	type answer struct {
		rep batch.Report
		ok  bool
	}
	ans, err := control.Query(ctx, agt.loop, func(sta *state, now time.Time) answer {
		if !sta.host.Announced() || !sta.host.Follow(own.Epoch) || !sta.host.ReadyToReport() {
			return answer{}
		}
		return answer{rep: sta.host.Report(agt.id, now), ok: true}
	})
	if err != nil || !ans.ok {
		return batchrpc.ReportArgs{}, false
	}
	return batchrpc.FromReport(own.Epoch, ans.rep), true
}

func (agt *Agent) confirm(sta *state, epoch, session, acked uint64) {
	before := sta.host.Unconfirmed()
	sta.host.Confirmed(epoch, session, acked)
	if before > 0 && sta.host.Unconfirmed() == 0 {
		signal(agt.holdNeeded)
	}
}

// suspectOwner makes the elector check whether there is another owner.
func (agt *Agent) suspectOwner(own batchstore.Owner, err error) {
	if !agt.ownerLost.Swap(true) {
		agt.log.Warn(string(decision.OwnerLost), zap.String("holder", own.Holder), zap.Uint64("epoch", own.Epoch), zap.Error(err))
	}
	agt.elector.Suspect()
}

// recordAnswer records an answer of the owner. An owner that has not been healthy for unhealthyAfter is
// suspected too.
func (agt *Agent) recordAnswer(healthy bool) {
	now := agt.clock()
	if healthy {
		agt.lastHealthyAt.Store(now.UnixNano())
		if agt.ownerLost.Swap(false) {
			agt.log.Info(string(decision.OwnerRegained))
		}
		return
	}
	if now.UnixNano()-agt.lastHealthyAt.Load() > int64(unhealthyAfter) {
		agt.elector.Suspect()
	}
}

// pollOrders gets orders from the owner by long polls.
func (agt *Agent) pollOrders(ctx context.Context) {
	for ctx.Err() == nil {
		if !agt.pollOrdersOnce(ctx) && control.Pause(ctx, ownerRetryDelay) != nil {
			return
		}
	}
}

func (agt *Agent) pollOrdersOnce(ctx context.Context) bool {
	own, found := agt.elector.Current()
	if !found {
		return false
	}
	arg, err := control.Query(ctx, agt.loop, func(sta *state, _ time.Time) batchrpc.OrdersArgs {
		hst := sta.host
		arg := batchrpc.OrdersArgs{Epoch: own.Epoch, Instance: string(agt.id), Session: hst.Session(), Seen: hst.LastOrder(), Acked: hst.LastConfirmed()}
		if hst.Epoch() != own.Epoch || !hst.Announced() {
			arg.Epoch = 0
		}
		return arg
	})
	if err != nil || arg.Epoch == 0 {
		return false
	}
	var rep batchrpc.OrdersReply
	sent := agt.clock()
	err = agt.callOwner(ctx, own.Address, batchrpc.OrdersMethod, batchrpc.OrdersWait+reportTimeout, &arg, &rep)
	if err != nil || rep.NotOwner {
		agt.suspectOwner(own, err)
		return false
	}
	if rep.Unknown {
		signal(agt.reportNeeded)
		return false
	}
	agt.change(ctx, func(sta *state, now time.Time) {
		before := sta.host.Unconfirmed()
		sta.host.ApplyOrders(own.Epoch, arg.Session, rep.CoreOrders(), sent, now)
		if sta.host.Unconfirmed() > before {
			signal(agt.reportNeeded)
		}
		agt.confirm(sta, own.Epoch, arg.Session, rep.Acked)
	})
	return true
}
