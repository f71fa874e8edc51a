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

var errNoAnswer = errors.New("owner did not answer in time")

// Reasons for which an agent gives an owner up.
const (
	lossNoAnswer    = "noAnswer"
	lossRefused     = "refused" // the process does not own the jobs, or no longer
	lossUnreachable = "unreachable"
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
		return errNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reportSchedule tells when a whole report is due. Between reports the agent sends news, which are small.
type reportSchedule struct {
	due     bool      // the description of the worker has changed, or the owner has asked for a report
	session uint64    // of the last report that the owner has answered
	sentAt  time.Time // of that report
}

// isDue reports whether the next message in a session must be a report.
func (sdl *reportSchedule) isDue(session uint64, now time.Time) bool {
	return sdl.due || sdl.session != session || now.Sub(sdl.sentAt) >= reportPeriod-reportSlack
}

// report reports the state of the instance to the owner every reportPeriod, and sends news at once.
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
		tmr.Reset(agt.reportOnce(ctx))
	}
}

// reportOnce sends a report or news, and returns the time until the next report.
func (agt *Agent) reportOnce(ctx context.Context) time.Duration {
	own, found := agt.elector.Current()
	if !found {
		agt.elector.Suspect()
		return ownerRetryDelay
	}
	msg, ok := agt.nextMessage(ctx, own)
	if !ok {
		return reportPeriod
	}
	var rep batchrpc.ReportReply
	sent := agt.clock()
	err := msg.send(ctx, agt, own, &rep)
	if err != nil || rep.NotOwner || rep.Unknown {
		agt.change(ctx, func(sta *state, _ time.Time) { sta.reports.due = true })
	}
	var remote rpc.ServerError
	if rep.Unknown || !msg.whole && errors.As(err, &remote) {
		return 0 // an owner of an earlier version knows no news
	}
	if err != nil || rep.NotOwner {
		if rep.Newer.Epoch > own.Epoch {
			agt.elector.Learn(batchstore.Owner{Epoch: rep.Newer.Epoch, Holder: rep.Newer.Holder, Address: rep.Newer.Address})
		}
		agt.suspectOwner(own, err)
		return ownerRetryDelay
	}
	agt.recordAnswer(rep.Healthy)
	return changeFor(ctx, agt, func(sta *state, now time.Time) time.Duration {
		sta.host.Grant(own.Epoch, sent, rep.Grant)
		agt.confirm(sta, own.Epoch, msg.session, rep.Acked)
		sta.stamp = ownerStamp{epoch: own.Epoch, value: rep.Stamp}
		if msg.whole {
			sta.reports.session, sta.reports.sentAt = msg.session, sent
		}
		wait := max(0, sta.reports.sentAt.Add(reportPeriod).Sub(now))
		if msg.abstention.Given {
			wait = min(wait, abstentionPeriod)
		}
		return wait
	})
}

// ownerStamp is the stamp of the last answer of an owner.
type ownerStamp struct {
	epoch uint64
	value int64
}

// abstention returns a promise to take nothing over for the next message to the owner of an epoch, if this process can
// give one.
func (agt *Agent) abstention(stp ownerStamp, epoch uint64) batchrpc.Abstention {
	if stp.epoch != epoch || stp.value == 0 || !agt.elector.Abstain(agt.clock()) {
		return batchrpc.Abstention{}
	}
	return batchrpc.Abstention{Given: true, Stamp: stp.value}
}

// message is a report or news.
type message struct {
	whole      bool // a report
	session    uint64
	report     batch.Report
	news       batch.News
	abstention batchrpc.Abstention
}

// nextMessage returns the message to send now. It returns false if there is nothing to tell yet.
func (agt *Agent) nextMessage(ctx context.Context, own batchstore.Owner) (message, bool) {
	type answer struct {
		msg message
		ok  bool
	}
	ans, err := control.Query(ctx, agt.loop, func(sta *state, now time.Time) answer {
		hst := sta.host
		if !hst.Announced() || !hst.Follow(own.Epoch) || !hst.ReadyToReport() {
			return answer{}
		}
		msg := message{session: hst.Session(), whole: sta.reports.isDue(hst.Session(), now), abstention: agt.abstention(sta.stamp, own.Epoch)}
		if msg.whole {
			msg.report, sta.reports.due = hst.Report(agt.id, now), false
		} else {
			msg.news = hst.News(agt.id)
		}
		return answer{msg: msg, ok: true}
	})
	return ans.msg, err == nil && ans.ok
}

func (msg message) send(ctx context.Context, agt *Agent, own batchstore.Owner, rep *batchrpc.ReportReply) error {
	if msg.whole {
		arg := batchrpc.FromReport(own.Epoch, msg.report)
		arg.Abstention = msg.abstention
		return agt.callOwner(ctx, own.Address, batchrpc.ReportMethod, reportTimeout, &arg, rep)
	}
	arg := batchrpc.FromNews(own.Epoch, msg.news)
	arg.Abstention = msg.abstention
	return agt.callOwner(ctx, own.Address, batchrpc.NewsMethod, reportTimeout, &arg, rep)
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
		reason := lossRefused
		switch {
		case errors.Is(err, errNoAnswer):
			reason = lossNoAnswer
		case err != nil:
			reason = lossUnreachable
		}
		agt.log.Warn(string(decision.OwnerLost), zap.String("holder", own.Holder), zap.Uint64("epoch", own.Epoch), zap.String(decision.KeyReason, reason), zap.Error(err))
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
		agt.change(ctx, func(sta *state, _ time.Time) { sta.reports.due = true })
		signal(agt.reportNeeded)
		return false
	}
	agt.change(ctx, func(sta *state, now time.Time) {
		before := sta.host.Unconfirmed()
		sta.host.ApplyOrders(own.Epoch, arg.Session, rep.CoreOrders(), rep.StartsUntil(sent), now)
		if sta.host.Unconfirmed() > before {
			signal(agt.reportNeeded)
		}
		agt.confirm(sta, own.Epoch, arg.Session, rep.Acked)
	})
	return true
}
