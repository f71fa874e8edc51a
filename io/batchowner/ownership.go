package batchowner

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/store"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
	"jacinthpost/io/follow"
	"jacinthpost/io/lead"
)

const (
	eventQueueSize = 1024
	cleanupPeriod  = time.Second
	// permissionPeriod is short compared with the response time of the policy service.
	permissionPeriod = 50 * time.Millisecond
)

// unwantedRuns is the number of runs that serve no purpose any more. They end within seconds.
var unwantedRuns = metrics.NewGauge("jacinthpost_owner_unwanted_runs", nil)

// ownership is the state of the owner from a won election until the ownership is lost.
type ownership struct {
	cfg          Config
	epoch        uint64
	owner        batchstore.Owner
	version      store.Version
	term         lead.Term
	bound        bool // see batch.Succession
	loop         *control.Loop[Scheduler]
	scheduler    *Scheduler                 // used only by the control thread once that runs
	inherited    map[string]batch.JobRecord // stored states of jobs that are not restored yet
	pieces       map[string]int             // of the stored states with several rows, see batchstore.PutState; used by the writer
	unreadable   map[string]bool            // jobs that can't be decoded, or whose stored states can't; starting them could run tasks again
	jobs         *follow.Follower
	directives   *follow.Follower
	ready        chan struct{} // closed when all jobs are restored
	readyOnce    sync.Once
	done         chan struct{}
	life         context.Context // ends with the ownership; calls of net/rpc have no context
	writeNeeded  chan struct{}   // signalled when there is something to plan or to store
	confirmedAt  atomic.Int64    // when the last successful transaction was sent, in ns
	orderSignals signals         // that an instance has got orders
	storeSignals signals         // that events of an instance were stored
	removable    []string        // jobs whose states must be removed; used on the control thread
	grantable    grantableSet
	turns        turnMeter // used on the control thread
	yields       *yielder
	yield        func() // ends the ownership for a larger machine
	giveUp       func() // ends the ownership because another process has taken over
	abstentions  abstentions
	need         atomicShare // see batchstore.Owner

	maintenance *maintenance
}

func newOwnership(cfg Config, trm lead.Term) *ownership {
	now := cfg.Clock()
	opt := cfg.Options
	opt.LostAfter, opt.Validity, opt.MaxValidity = LostAfter, OwnershipValidity, OutageValidity
	osp := &ownership{
		cfg: cfg, epoch: trm.Owner().Epoch, owner: trm.Owner(), version: trm.Version(), term: trm,
		pieces: make(map[string]int), ready: make(chan struct{}), done: make(chan struct{}), writeNeeded: make(chan struct{}, 1),
	}
	osp.maintenance = &maintenance{ownership: osp, startedAt: now}
	osp.confirmedAt.Store(now.UnixNano())
	thr := control.NewThread(eventQueueSize)
	thr.SetClock(cfg.Clock)
	sch := batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, now)
	sch.Hold(true)
	osp.scheduler = sch
	osp.loop = control.NewLoopOn(thr, sch, osp.afterEvent)
	return osp
}

// restoreStates reads the stored states of the jobs and the presence of the instances. The jobs
// themselves come through their follower.
func (osp *ownership) restoreStates(ctx context.Context) error {
	var all store.Changes
	var prs batchstore.Presence
	var kno batch.Knowledge
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() (err error) {
		all, err = osp.cfg.Feed.Snapshot(ctx, osp.cfg.Partition.StatesPrefix())
		return err
	})
	grp.Go(func() (err error) {
		prs, err = osp.readPresence(ctx)
		return err
	})
	grp.Go(func() (err error) {
		kno, err = osp.readLearned(ctx)
		return err
	})
	if err := grp.Wait(); err != nil {
		return err
	}
	// The control thread does not run yet.
	suc := succession(osp.term, osp.cfg.Own, prs)
	osp.bound = suc.Bound
	osp.scheduler.RestorePresence(prs.Core(), suc)
	osp.scheduler.RestoreKnowledge(kno, osp.cfg.Clock())
	osp.inherited = make(map[string]batch.JobRecord, len(all.Rows()))
	osp.unreadable = make(map[string]bool)
	for id, sta := range osp.cfg.Partition.DecodeStates(all.Rows()) {
		if sta.Err != nil {
			osp.cfg.Log.Error("cannot decode the state of a job; the job gets no runs, and those it has are stopped", zap.String("job", id), zap.Error(sta.Err))
			osp.unreadable[id] = true
			continue
		}
		osp.inherited[id] = sta.Record
		if sta.Pieces > 0 {
			osp.pieces[id] = sta.Pieces
		}
	}
	return nil
}

func (osp *ownership) run(ctx context.Context) error {
	defer close(osp.done)
	defer unwantedRuns.Set(0)
	grp, ctx := errgroup.WithContext(ctx)
	osp.jobs = follow.New(osp.cfg.Feed, osp.cfg.Partition.JobsPrefixes(), osp.cfg.Clock, osp.cfg.Log, func(rows []store.Row, _ bool) { osp.applyJobs(ctx, rows) })
	osp.directives = osp.cfg.Directives(ctx, func(dir Directives) {
		osp.post(ctx, func(sch *Scheduler, now time.Time) {
			sch.SetExcluded(dir.Excluded)
			osp.maintenance.setWaves(sch, dir.Waves, now)
		})
	})
	for _, work := range []func(context.Context){osp.loop.Run, osp.jobs.Run, osp.directives.Run, osp.tick, osp.removeExpired, osp.requestPermissions, osp.maintenance.run, osp.watchLoad} {
		grp.Go(func() error {
			work(ctx)
			return nil
		})
	}
	grp.Go(func() error { return osp.write(ctx) })
	return grp.Wait()
}

func (osp *ownership) post(ctx context.Context, fun func(sch *Scheduler, now time.Time)) {
	osp.postTurn(ctx, otherTurn, fun)
}

func (osp *ownership) postTurn(ctx context.Context, knd turnKind, fun func(sch *Scheduler, now time.Time)) {
	evt := timed(osp, knd, func(sch *Scheduler, now time.Time) struct{} {
		fun(sch, now)
		return struct{}{}
	})
	if err := osp.loop.Post(ctx, control.Func[Scheduler](func(sch *Scheduler, now time.Time) { evt(sch, now) })); err != nil && ctx.Err() == nil {
		osp.cfg.Log.Error("cannot post an event to the control thread", zap.Error(err))
	}
}

// applyJobs applies jobs and cancellations that entries have stored. The first call has all of them.
func (osp *ownership) applyJobs(ctx context.Context, rows []store.Row) {
	osp.postTurn(ctx, jobsTurn, func(sch *Scheduler, now time.Time) {
		for _, row := range rows {
			osp.applyJob(sch, row, now)
		}
		osp.readyOnce.Do(func() {
			osp.queueOrphans()
			osp.logRestored(sch.Totals())
			close(osp.ready)
		})
	})
}

// logRestored logs what this owner believes at the takeover.
func (osp *ownership) logRestored(tot batch.Totals) {
	osp.cfg.Log.Info(string(decision.JobsRestored), zap.Uint64("epoch", osp.epoch),
		zap.String(decision.KeyDetail, fmt.Sprintf("jobs=%d active=%d runs=%d unwanted=%d bound=%t", tot.Jobs, tot.Active, tot.Runs, tot.Unwanted, osp.bound)))
}

func (osp *ownership) applyJob(sch *Scheduler, row store.Row, now time.Time) {
	if !row.Exists() {
		return
	}
	id, cancel := osp.cfg.Partition.ParseJobKey(row.Key())
	if osp.unreadable[id] {
		return
	}
	if cancel {
		sch.Cancel(id, now)
		return
	}
	spec, err := batchstore.DecodeJob(row.Value())
	if err != nil {
		osp.cfg.Log.Error("cannot decode an accepted job; its state is kept, and its runs are stopped", zap.String("job", id), zap.Error(err))
		delete(osp.inherited, id) // or its state would be removed, and an owner that can decode the job would run it again
		osp.unreadable[id] = true
		return
	}
	rec, found := osp.inherited[id]
	if !found {
		sch.Submit(spec, now)
		return
	}
	delete(osp.inherited, id)
	sch.Restore(spec, rec, now)
}

// queueOrphans marks the states whose jobs a previous owner has removed for removal.
func (osp *ownership) queueOrphans() {
	for id := range osp.inherited {
		osp.removable = append(osp.removable, id)
	}
}

// removeExpired removes final jobs after their retention. The rows of entries are removed first, and
// the state with the next transaction of the writer.
func (osp *ownership) removeExpired(ctx context.Context) {
	control.Every(ctx, cleanupPeriod, func() { osp.removeExpiredOnce(ctx) })
}

func (osp *ownership) removeExpiredOnce(ctx context.Context) {
	ids, err := control.Query(ctx, osp.loop, func(sch *Scheduler, now time.Time) []string { return sch.Expired(now, maxRemovedJobs) })
	if err != nil {
		return
	}
	for _, id := range ids {
		var txn store.Transaction
		txn.Delete(osp.cfg.Partition.JobKey(id))
		txn.Delete(osp.cfg.Partition.CancelKey(id))
		if _, err := osp.cfg.Table.Commit(ctx, &txn); err != nil {
			osp.cfg.Log.Warn("cannot remove an expired job", zap.String("job", id), zap.Error(err))
			return
		}
		osp.post(ctx, func(sch *Scheduler, _ time.Time) {
			sch.Forget([]string{id})
			osp.removable = append(osp.removable, id)
		})
	}
}

func (osp *ownership) tick(ctx context.Context) {
	control.Every(ctx, tickPeriod, func() {
		osp.postTurn(ctx, tickTurn, func(sch *Scheduler, now time.Time) {
			sch.Hold(!osp.mayStart(now))
			sch.Tick(now, osp.cfg.WallClock())
			if osp.turns.report(now, osp.cfg.Log) {
				unwantedRuns.Set(float64(sch.Totals().Unwanted))
			}
		})
	})
}

// requestPermissions asks the policy service for the permissions that waiting tasks need, with one
// request at a time.
func (osp *ownership) requestPermissions(ctx context.Context) {
	if osp.cfg.Advisor == nil {
		return
	}
	control.Every(ctx, permissionPeriod, func() {
		reqs, err := control.Query(ctx, osp.loop, func(sch *Scheduler, now time.Time) []batch.PermissionRequest { return sch.PermissionRequests(now) })
		if err != nil {
			return
		}
		for _, req := range reqs {
			osp.requestPermission(ctx, req)
		}
	})
}

func (osp *ownership) requestPermission(ctx context.Context, req batch.PermissionRequest) {
	asked := osp.cfg.Clock()
	authorizations, valid, err := osp.cfg.Advisor.Advise(ctx, req)
	if err != nil {
		osp.cfg.Log.Warn("request to the policy service failed", zap.Stringer("step", req.Step), zap.Error(err))
		return
	}
	osp.post(ctx, func(sch *Scheduler, _ time.Time) { sch.SetPermissions(req, authorizations, asked.Add(valid)) })
}

// mayStart reports whether the views of the operators' directives and of the jobs with their cancellations
// are recent enough to plan runs.
func (osp *ownership) mayStart(now time.Time) bool {
	return now.Before(osp.cfg.Limits.plannedUntil(osp.jobs.CurrentAsOf(), osp.directives.CurrentAsOf()))
}

// startsUntil returns the time until which agents may start runs, if their answers are made by the control thread
// after this call: it has then applied all that the views contain now.
func (osp *ownership) startsUntil() time.Time {
	return osp.cfg.Limits.orderedUntil(osp.jobs.CurrentAsOf(), osp.directives.CurrentAsOf())
}

// afterEvent runs on the control thread after each event.
func (osp *ownership) afterEvent(sch *Scheduler, began time.Time) {
	for _, note := range sch.Notes() {
		logNote(osp.cfg.Log, note)
	}
	for _, id := range sch.Ordered() {
		signal(osp.orderSignals.of(id))
	}
	for _, id := range sch.Stored() {
		signal(osp.storeSignals.of(id))
	}
	if sch.UnstoredJobs() > 0 || !sch.Planned() || osp.maintenance.planner.Changed() || sch.Present() != osp.grantable.len() {
		signal(osp.writeNeeded)
	}
	osp.turns.end(osp.cfg.Clock().Sub(began))
}

// signals is a set of signals by instance. The zero value is empty. It is safe for concurrent use.
type signals struct {
	mu    sync.Mutex
	chans map[fleet.InstanceID]chan struct{}
}

// of returns the signal of an instance.
func (sgs *signals) of(id fleet.InstanceID) chan struct{} {
	sgs.mu.Lock()
	defer sgs.mu.Unlock()
	chn := sgs.chans[id]
	if chn == nil {
		if sgs.chans == nil {
			sgs.chans = make(map[fleet.InstanceID]chan struct{})
		}
		chn = make(chan struct{}, 1)
		sgs.chans[id] = chn
	}
	return chn
}

func signal(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}

// requestTimeout limits how long a request of an agent waits until all jobs are restored. It is below the
// agent's own time limit.
const requestTimeout = 500 * time.Millisecond

// awaitReady waits until all jobs are restored. It returns false if the ownership ends first, or after
// requestTimeout.
func (osp *ownership) awaitReady() bool {
	select {
	case <-osp.ready:
		return true
	default:
	}
	tmr := time.NewTimer(requestTimeout)
	defer tmr.Stop()
	select {
	case <-osp.ready:
		return true
	case <-osp.done:
		return false
	case <-tmr.C:
		return false
	}
}

// receipt is the result of a report or news on the control thread.
type receipt struct {
	known bool
	acked uint64 // events up to this one are stored
}

func (osp *ownership) report(arg batchrpc.ReportArgs, rep *batchrpc.ReportReply) error {
	id := fleet.InstanceID(arg.Instance)
	osp.abstentions.record(id, arg.Abstention)
	osp.receive(id, rep, reportTurn, func(sch *Scheduler, now time.Time) receipt {
		sch.ApplyReport(arg.Core(), now)
		return receipt{known: true, acked: sch.StoredEvents(id, arg.Session)}
	})
	osp.awaitStored(id, arg.Session, arg.Events, rep)
	return nil
}

func (osp *ownership) news(arg batchrpc.NewsArgs, rep *batchrpc.ReportReply) error {
	id := fleet.InstanceID(arg.Instance)
	osp.abstentions.record(id, arg.Abstention)
	osp.receive(id, rep, newsTurn, func(sch *Scheduler, now time.Time) receipt {
		known := sch.ApplyNews(arg.Core(), now)
		return receipt{known: known, acked: sch.StoredEvents(id, arg.Session)}
	})
	osp.awaitStored(id, arg.Session, arg.Events, rep)
	return nil
}

// storedWait is how long an answer waits until the events of its message are stored. It is the time of a
// few transactions. Without the wait, each event would need a further answer.
const storedWait = 120 * time.Millisecond

// awaitStored waits until the events of an instance are stored, and acknowledges those that are.
func (osp *ownership) awaitStored(id fleet.InstanceID, session uint64, evts []batch.Event, rep *batchrpc.ReportReply) {
	if rep.NotOwner || rep.Unknown || len(evts) == 0 {
		return
	}
	last := evts[len(evts)-1].Seq
	tmr := time.NewTimer(storedWait)
	defer tmr.Stop()
	for rep.Acked < last {
		select {
		case <-osp.storeSignals.of(id):
		case <-osp.done:
			return
		case <-tmr.C:
			return
		}
		acked, err := control.Query(osp.life, osp.loop, func(sch *Scheduler, _ time.Time) uint64 { return sch.StoredEvents(id, session) })
		if err != nil {
			return // the ownership has ended; the next owner acknowledges the events
		}
		rep.Acked = max(rep.Acked, acked)
	}
}

// receive applies a message of an instance on the control thread and grants the instance time.
func (osp *ownership) receive(id fleet.InstanceID, rep *batchrpc.ReportReply, knd turnKind, apply func(sch *Scheduler, now time.Time) receipt) {
	if !osp.awaitReady() {
		rep.NotOwner = true
		return
	}
	rcp, err := control.Query(osp.life, osp.loop, timed(osp, knd, apply))
	if err != nil {
		rep.NotOwner = true
		return
	}
	if !rcp.known {
		rep.Unknown = true
		return
	}
	granted := osp.grantable.await(osp.life, id)
	now := osp.cfg.Clock()
	rep.Stamp, rep.Healthy = now.UnixNano(), osp.confirmedRecently(now)
	if granted && osp.mayGrant(now) {
		rep.Grant = GrantDuration
	}
	rep.Acked = rcp.acked
}

// confirmedRecently reports whether the last successful transaction is so recent that no other process can have taken
// over and given orders.
func (osp *ownership) confirmedRecently(now time.Time) bool {
	return now.UnixNano()-osp.confirmedAt.Load() < int64(healthyWithin)
}

func (osp *ownership) orders(arg batchrpc.OrdersArgs, rep *batchrpc.OrdersReply) error {
	arrived := osp.cfg.Clock()
	if !osp.awaitReady() {
		rep.NotOwner = true
		return nil
	}
	var tmr *time.Timer
	for last := false; ; {
		known, err := osp.answerOrders(arg, arrived, rep)
		if err != nil {
			rep.NotOwner = true
			return nil
		}
		if last || !known || len(rep.Orders) > 0 {
			return nil
		}
		if tmr == nil {
			tmr = time.NewTimer(batchrpc.OrdersWait)
			defer tmr.Stop()
		}
		select {
		case <-osp.orderSignals.of(fleet.InstanceID(arg.Instance)):
		case <-osp.done:
			last = true
		case <-tmr.C:
			last = true
		}
	}
}

// answerOrders answers a request for orders that arrived at the given time.
func (osp *ownership) answerOrders(arg batchrpc.OrdersArgs, arrived time.Time, rep *batchrpc.OrdersReply) (bool, error) {
	until := osp.startsUntil()
	type answer struct {
		out   batch.Outbox
		known bool
	}
	ans, err := control.Query(osp.life, osp.loop, timed(osp, ordersTurn, func(sch *Scheduler, _ time.Time) answer {
		out, known := sch.Outbox(fleet.InstanceID(arg.Instance), arg.Session, arg.Seen)
		return answer{out: out, known: known}
	}))
	rep.Unknown, rep.Acked, rep.Orders = !ans.known, ans.out.Acked, batchrpc.FromOrders(ans.out.Orders)
	rep.SetStartsFor(until.Sub(arrived))
	if ans.out.NoStarts {
		rep.SetStartsFor(0)
	}
	return ans.known, err
}

// logNote logs a decision of the scheduler.
func logNote(log *zap.Logger, note batch.Note) {
	fields := []zap.Field{zap.String("job", note.Job)}
	if note.ID.Run != 0 {
		fields = append(fields, zap.Stringer("task", note.ID.Task), zap.Int("run", note.ID.Run))
	}
	if note.Instance != "" {
		fields = append(fields, zap.String("instance", string(note.Instance)))
	}
	if note.Image != "" {
		fields = append(fields, zap.String(decision.KeyImage, note.Image))
	}
	if plc := note.Placed; plc != nil {
		fields = append(fields, zap.String(decision.KeyPlaced, string(plc.Reason)), zap.Stringer(decision.KeyUrgency, plc.Urgency),
			zap.Float64(decision.KeyInterference, math.Round(plc.Interference*100)/100), zap.Int(decision.KeyUnmeasured, plc.Unmeasured))
	}
	if note.Detail != "" {
		fields = append(fields, zap.String("detail", note.Detail))
	}
	log.Info(string(note.Kind), fields...)
}
