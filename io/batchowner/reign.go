package batchowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/store"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
	"jacinthpost/io/follow"
	"jacinthpost/io/lead"
)

const (
	queueEvents = 1024
	cleanPeriod = time.Second
	// advicePeriod is short against the time that the policy service takes for a decision.
	advicePeriod = 50 * time.Millisecond
)

// reign is one ownership of the partition.
type reign struct {
	cfg       Config
	epoch     uint64
	owner     batchstore.Owner
	version   store.Version
	loop      *control.Loop[Scheduler]
	scheduler *Scheduler                 // owned by the control thread once it runs
	inherited map[string]batch.JobRecord // states of jobs that were not restored yet
	jobs      *follow.Follower
	outs      *follow.Follower
	ready     chan struct{} // closed when the jobs are restored
	once      sync.Once
	done      chan struct{}
	writes    chan struct{} // there is something to plan or to store
	confirmed atomic.Int64  // when the newest stored transaction was sent
	mu        sync.Mutex
	waiters   map[fleet.InstanceID]chan struct{}
	removed   []string // jobs whose states are to be removed, on the control thread
	granted   grants

	maintenance *maintenance
}

func newReign(cfg Config, trm lead.Term) *reign {
	now := cfg.Clock()
	opt := cfg.Options
	opt.LostAfter = LostAfter
	opt.InheritedAfter = OwnershipValidity + LostAfter
	rgn := &reign{
		cfg: cfg, epoch: trm.Owner().Epoch, owner: trm.Owner(), version: trm.Version(),
		ready: make(chan struct{}), done: make(chan struct{}), writes: make(chan struct{}, 1),
		waiters: make(map[fleet.InstanceID]chan struct{}),
	}
	rgn.maintenance = &maintenance{reign: rgn, began: now}
	rgn.confirmed.Store(now.UnixNano())
	thr := control.NewThread(queueEvents)
	thr.SetClock(cfg.Clock)
	sch := batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, now)
	sch.Hold(true)
	rgn.scheduler = sch
	rgn.loop = control.NewLoopOn(thr, sch, rgn.after)
	return rgn
}

// load reads the stored states. The jobs themselves come through their follower.
func (rgn *reign) load(ctx context.Context) error {
	var all store.Changes
	var prs batch.Presence
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() (err error) {
		all, err = rgn.cfg.Feed.Snapshot(ctx, rgn.cfg.Partition.StatesPrefix())
		return err
	})
	grp.Go(func() (err error) {
		prs, err = rgn.readPresence(ctx)
		return err
	})
	if err := grp.Wait(); err != nil {
		return err
	}
	rgn.scheduler.RestorePresence(prs) // the control thread does not run yet
	rgn.inherited = make(map[string]batch.JobRecord, len(all.Rows()))
	for _, row := range all.Rows() {
		rec, err := batchstore.DecodeState(row.Value())
		if err != nil {
			return errors.Wrap(err, row.Key())
		}
		rgn.inherited[rgn.cfg.Partition.ParseStateKey(row.Key())] = rec
	}
	return nil
}

func (rgn *reign) run(ctx context.Context) error {
	defer close(rgn.done)
	grp, ctx := errgroup.WithContext(ctx)
	rgn.jobs = follow.New(rgn.cfg.Feed, rgn.cfg.Partition.JobsPrefixes(), rgn.cfg.Clock, rgn.cfg.Log, func(rows []store.Row, _ bool) { rgn.applyJobs(ctx, rows) })
	rgn.outs = rgn.cfg.Directives(ctx, func(dir Directives) {
		rgn.post(ctx, func(sch *Scheduler, now time.Time) {
			sch.SetExcluded(dir.Excluded)
			rgn.maintenance.setWaves(sch, dir.Waves, now)
		})
	})
	for _, work := range []func(context.Context){rgn.loop.Run, rgn.jobs.Run, rgn.outs.Run, rgn.tick, rgn.clean, rgn.advise, rgn.maintenance.run} {
		grp.Go(func() error {
			work(ctx)
			return nil
		})
	}
	grp.Go(func() error { return rgn.write(ctx) })
	return grp.Wait()
}

func (rgn *reign) post(ctx context.Context, fun func(sch *Scheduler, now time.Time)) {
	if err := rgn.loop.Post(ctx, control.Func[Scheduler](fun)); err != nil && ctx.Err() == nil {
		rgn.cfg.Log.Error("event lost", zap.Error(err))
	}
}

// applyJobs takes what entries stored: jobs and cancellations.
func (rgn *reign) applyJobs(ctx context.Context, rows []store.Row) {
	rgn.post(ctx, func(sch *Scheduler, now time.Time) {
		for _, row := range rows {
			rgn.applyJob(sch, row, now)
		}
		rgn.once.Do(func() {
			rgn.removeOrphans()
			close(rgn.ready)
		})
	})
}

func (rgn *reign) applyJob(sch *Scheduler, row store.Row, now time.Time) {
	if !row.Exists() {
		return
	}
	id, cancel := rgn.cfg.Partition.ParseJobKey(row.Key())
	if cancel {
		sch.Cancel(id, now)
		return
	}
	spec, err := batchstore.DecodeJob(row.Value())
	if err != nil {
		rgn.cfg.Log.Error("accepted job can't be read", zap.String("job", id), zap.Error(err))
		return
	}
	rec, found := rgn.inherited[id]
	if !found {
		sch.Submit(spec, now)
		return
	}
	delete(rgn.inherited, id)
	sch.Restore(spec, rec, now)
}

// removeOrphans queues the states whose jobs were removed by a former owner.
func (rgn *reign) removeOrphans() {
	for id := range rgn.inherited {
		rgn.removed = append(rgn.removed, id)
	}
}

// clean removes final jobs after their retention: first what the entries wrote,
// then, with the next transaction of the owner, the state.
func (rgn *reign) clean(ctx context.Context) {
	control.Every(ctx, cleanPeriod, func() { rgn.cleanOnce(ctx) })
}

func (rgn *reign) cleanOnce(ctx context.Context) {
	ids, err := control.Query(ctx, rgn.loop, func(sch *Scheduler, now time.Time) []string { return sch.Expired(now, removedJobs) })
	if err != nil {
		return
	}
	for _, id := range ids {
		var txn store.Transaction
		txn.Delete(rgn.cfg.Partition.JobKey(id))
		txn.Delete(rgn.cfg.Partition.CancelKey(id))
		if _, err := rgn.cfg.Table.Commit(ctx, &txn); err != nil {
			rgn.cfg.Log.Warn("expired job not removed", zap.String("job", id), zap.Error(err))
			return
		}
		rgn.post(ctx, func(sch *Scheduler, _ time.Time) {
			sch.Forget([]string{id})
			rgn.removed = append(rgn.removed, id)
		})
	}
}

func (rgn *reign) tick(ctx context.Context) {
	control.Every(ctx, tickPeriod, func() {
		rgn.post(ctx, func(sch *Scheduler, now time.Time) {
			sch.Hold(!rgn.mayStart(now))
			sch.Tick(now, rgn.cfg.WallClock())
		})
	})
}

// advise asks the policy service for what waiting tasks need, one request at a time.
func (rgn *reign) advise(ctx context.Context) {
	if rgn.cfg.Advisor == nil {
		return
	}
	control.Every(ctx, advicePeriod, func() {
		reqs, err := control.Query(ctx, rgn.loop, func(sch *Scheduler, now time.Time) []batch.PermissionRequest { return sch.PermissionRequests(now) })
		if err != nil {
			return
		}
		for _, req := range reqs {
			rgn.adviseOne(ctx, req)
		}
	})
}

func (rgn *reign) adviseOne(ctx context.Context, req batch.PermissionRequest) {
	asked := rgn.cfg.Clock()
	tickets, valid, err := rgn.cfg.Advisor.Advise(ctx, req)
	if err != nil {
		rgn.cfg.Log.Warn("policy service failed", zap.Stringer("step", req.Step), zap.Error(err))
		return
	}
	rgn.post(ctx, func(sch *Scheduler, _ time.Time) { sch.SetPermissions(req, tickets, asked.Add(valid)) })
}

// mayStart reports whether the operators' decisions are known well enough for starts.
func (rgn *reign) mayStart(now time.Time) bool {
	conf := rgn.outs.CurrentAsOf()
	return !conf.IsZero() && now.Sub(conf) < freshFor
}

// after runs after each event on the control thread.
func (rgn *reign) after(sch *Scheduler, _ time.Time) {
	for _, note := range sch.Notes() {
		logNote(rgn.cfg.Log, note)
	}
	for _, id := range sch.Changed() {
		signal(rgn.waiter(id))
	}
	if sch.UnstoredJobs() > 0 || !sch.Planned() || rgn.maintenance.planner.Changed() || sch.ReportedInstances() > rgn.granted.len() {
		signal(rgn.writes)
	}
}

func (rgn *reign) waiter(id fleet.InstanceID) chan struct{} {
	rgn.mu.Lock()
	defer rgn.mu.Unlock()
	chn := rgn.waiters[id]
	if chn == nil {
		chn = make(chan struct{}, 1)
		rgn.waiters[id] = chn
	}
	return chn
}

func signal(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}

// awaitReady waits for the restored jobs and reports whether the reign serves.
func (rgn *reign) awaitReady(ctx context.Context) bool {
	select {
	case <-rgn.ready:
		return true
	case <-rgn.done:
		return false
	case <-ctx.Done():
		return false
	}
}

const serveLimit = 500 * time.Millisecond // for one request of an agent, less than the agent's patience

func (rgn *reign) report(arg batchrpc.ReportArgs, rep *batchrpc.ReportReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveLimit)
	defer cancel()
	if !rgn.awaitReady(ctx) {
		rep.NotOwner = true
		return nil
	}
	id := fleet.InstanceID(arg.Instance)
	acked, err := control.Query(ctx, rgn.loop, func(sch *Scheduler, now time.Time) uint64 {
		sch.ApplyReport(arg.Core(), now)
		out, _ := sch.Outbox(id, arg.Session, arg.OrdersSeen)
		return out.Acked
	})
	if err != nil {
		rep.NotOwner = true
		return nil
	}
	granted := rgn.granted.await(ctx, id)
	since := time.Duration(rgn.cfg.Clock().UnixNano() - rgn.confirmed.Load())
	rep.Healthy = since < healthyFor
	if since < OwnershipValidity && granted {
		rep.Grant = GrantDuration
	}
	rep.Acked = acked
	return nil
}

func (rgn *reign) orders(arg batchrpc.OrdersArgs, rep *batchrpc.OrdersReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), batchrpc.OrdersWait+serveLimit)
	defer cancel()
	if !rgn.awaitReady(ctx) {
		rep.NotOwner = true
		return nil
	}
	tmr := time.NewTimer(batchrpc.OrdersWait)
	defer tmr.Stop()
	for last := false; ; {
		known, err := rgn.answerOrders(ctx, arg, rep)
		if err != nil {
			rep.NotOwner = true
			return nil
		}
		if last || !known || len(rep.Orders) > 0 || rep.Acked != arg.Acked {
			return nil
		}
		select {
		case <-rgn.waiter(fleet.InstanceID(arg.Instance)):
		case <-rgn.done:
			last = true
		case <-tmr.C:
			last = true
		}
	}
}

func (rgn *reign) answerOrders(ctx context.Context, arg batchrpc.OrdersArgs, rep *batchrpc.OrdersReply) (bool, error) {
	type answer struct {
		out   batch.Outbox
		known bool
	}
	ans, err := control.Query(ctx, rgn.loop, func(sch *Scheduler, _ time.Time) answer {
		out, known := sch.Outbox(fleet.InstanceID(arg.Instance), arg.Session, arg.Seen)
		return answer{out: out, known: known}
	})
	rep.Unknown, rep.Acked, rep.Orders = !ans.known, ans.out.Acked, batchrpc.FromOrders(ans.out.Orders)
	return ans.known, err
}

// logNote writes a decision of the scheduler.
func logNote(log *zap.Logger, note batch.Note) {
	fields := []zap.Field{zap.String("job", note.Job)}
	if note.ID.Run != 0 {
		fields = append(fields, zap.Stringer("task", note.ID.Task), zap.Int("run", note.ID.Run))
	}
	if note.Instance != "" {
		fields = append(fields, zap.String("instance", string(note.Instance)))
	}
	if note.Detail != "" {
		fields = append(fields, zap.String("detail", note.Detail))
	}
	log.Info(string(note.Kind), fields...)
}
