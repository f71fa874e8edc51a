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
	dialLimit = 500 * time.Millisecond
	// unhealthyAfter is how long an owner may fail before another one is looked for.
	unhealthyAfter = 600 * time.Millisecond
	linkRetry      = 60 * time.Millisecond
)

// link is the connection to the owner. It is replaced when the owner changes or a call fails.
type link struct {
	mu     sync.Mutex
	addr   string
	client *rpc.Client
}

func (lnk *link) get(ctx context.Context, addr string) (*rpc.Client, error) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.client != nil && lnk.addr == addr {
		return lnk.client, nil
	}
	lnk.reset()
	dia := net.Dialer{Timeout: dialLimit}
	con, err := dia.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "owner")
	}
	lnk.addr, lnk.client = addr, rpc.NewClient(con)
	return lnk.client, nil
}

func (lnk *link) reset() {
	if lnk.client != nil {
		_ = lnk.client.Close()
		lnk.client = nil
	}
}

// drop closes the connection if it is still the given one.
func (lnk *link) drop(cli *rpc.Client) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.client == cli {
		lnk.reset()
	}
}

func (lnk *link) close() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.reset()
}

// ask makes a remote call. A connection whose call fails or takes too long is dropped.
func (agt *Agent) ask(ctx context.Context, addr, method string, limit time.Duration, arg, rep any) error {
	cli, err := agt.link.get(ctx, addr)
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
			agt.link.drop(cli)
		}
		return cal.Error
	case <-tmr.C:
		agt.link.drop(cli)
		return errors.New("no answer")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report tells the owner the state of the instance, at once when there is news.
func (agt *Agent) report(ctx context.Context) {
	tmr := time.NewTimer(0)
	defer tmr.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-agt.news:
		case <-tmr.C:
		}
		wait := reportPeriod
		if !agt.reportOnce(ctx) {
			wait = linkRetry
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
	err := agt.ask(ctx, own.Address, batchrpc.ReportMethod, reportLimit, &arg, &rep)
	if err != nil || rep.NotOwner {
		agt.doubt(own, err)
		return false
	}
	agt.trust(rep.Healthy)
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
		signal(agt.wake)
	}
}

// doubt makes the elector look for another owner.
func (agt *Agent) doubt(own batchstore.Owner, err error) {
	if !agt.trouble.Swap(true) {
		agt.log.Warn(string(decision.OwnerLost), zap.String("holder", own.Holder), zap.Uint64("epoch", own.Epoch), zap.Error(err))
	}
	agt.elector.Suspect()
}

// trust notes an answer of the owner. One that has not reached the store for a while is doubted too.
func (agt *Agent) trust(healthy bool) {
	now := agt.clock()
	if healthy {
		agt.lastGood.Store(now.UnixNano())
		if agt.trouble.Swap(false) {
			agt.log.Info(string(decision.OwnerRegained))
		}
		return
	}
	if now.UnixNano()-agt.lastGood.Load() > int64(unhealthyAfter) {
		agt.elector.Suspect()
	}
}

// takeOrders asks the owner for orders by long poll.
func (agt *Agent) takeOrders(ctx context.Context) {
	for ctx.Err() == nil {
		if !agt.takeOnce(ctx) && control.Pause(ctx, linkRetry) != nil {
			return
		}
	}
}

func (agt *Agent) takeOnce(ctx context.Context) bool {
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
	err = agt.ask(ctx, own.Address, batchrpc.OrdersMethod, batchrpc.OrdersWait+reportLimit, &arg, &rep)
	if err != nil || rep.NotOwner {
		agt.doubt(own, err)
		return false
	}
	if rep.Unknown {
		signal(agt.news)
		return false
	}
	agt.change(ctx, func(sta *state, now time.Time) {
		before := sta.host.Unconfirmed()
		sta.host.ApplyOrders(own.Epoch, arg.Session, rep.CoreOrders(), sent, now)
		if sta.host.Unconfirmed() > before {
			signal(agt.news)
		}
		agt.confirm(sta, own.Epoch, arg.Session, rep.Acked)
	})
	return true
}
