package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
	"jacinthpost/internal/harness"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
	"jacinthpost/io/jobaccess"
	"jacinthpost/platform"
	"jacinthpost/platform/standin/deployment"
	"jacinthpost/platform/standin/rowstore"
)

// The load on an owner of jobs, for each instance. It is that of the largest deployment of the users'
// platform, 240 instances.
const (
	checksPerInstance = 25.9 / 240 // jobs of short tasks a second
	buildsPerInstance = 5.24 / 240 // jobs of best-effort tasks a second
	watchesEach       = 28.0 / 240 // long-running jobs at the start
	agentShare        = 24.0       // percent of a core that the platform gives to an agent
	storeTime         = 8 * time.Millisecond
	agentReportPeriod = 500 * time.Millisecond
	jobOwnerLimit     = 15 * time.Minute
	jobOwnerWarmUp    = 12 * time.Second
	jobOwnerZone      = "z"
	jobOwnerService   = "s"
	jobOwnerPart      = batchstore.Partition("p0")
)

// measureJobOwner measures the process that owns the jobs of the users' platform. Its agents and callers
// are light ones in this process.
func measureJobOwner(rep *report, opt options) error {
	sizes := []int{11, 55, 120, 240}
	if opt.quick {
		sizes = sizes[:2]
	}
	if len(opt.sizes) > 0 {
		sizes = opt.sizes
	}
	return inScratch("jobowner", jobOwnerLimit, opt.logs, func(ctx context.Context, scr scratch) error {
		for _, size := range sizes {
			if err := measureOwnerOf(ctx, rep, opt, scr, size); err != nil {
				return errors.Wrapf(err, "%d agents", size)
			}
		}
		return nil
	})
}

func measureOwnerOf(ctx context.Context, rep *report, opt options, scr scratch, size int) error {
	ctx, end := context.WithCancel(ctx)
	grp, ctx := errgroup.WithContext(ctx)
	defer func() {
		end()
		_ = grp.Wait() // ends with the context
	}()
	name := fmt.Sprintf("jobowner.%d-agents", size)
	rows := &rowstore.Server{}
	deployment.Configure(rows, "bench.example", jobOwnerService)
	srv := httptest.NewServer(&slowStore{rows: rows})
	defer srv.Close()
	store := platform.NewStore(srv.Listener.Addr().String(), 0)
	own, err := startJobOwner(ctx, scr, name, srv.Listener.Addr().String())
	if err != nil {
		return err
	}
	defer own.stop()
	addr, epoch, err := awaitOwner(ctx, store)
	if err != nil {
		return err
	}
	swm := &jobSwarm{addr: addr, epoch: epoch}
	for num := range size {
		grp.Go(func() error { return newJobAgent(swm, num).run(ctx) })
	}
	grp.Go(func() error { return submitLoad(ctx, jobaccess.New(store, jobOwnerPart, zap.NewNop()), size) })
	if err := control.Pause(ctx, jobOwnerWarmUp); err != nil {
		return err
	}
	return observeOwner(ctx, rep, opt, name, own, swm)
}

// observeOwner prints what the owner uses over an interval.
func observeOwner(ctx context.Context, rep *report, opt options, name string, own *jobOwner, swm *jobSwarm) error {
	before, err := own.usage(ctx)
	if err != nil {
		return err
	}
	started, reports, since := swm.started.Load(), swm.reports.Load(), time.Now()
	if opt.profiles != "" {
		if err := own.profile(ctx, opt.observe, filepath.Join(opt.profiles, name+".pprof")); err != nil {
			return err
		}
	}
	if err := control.Pause(ctx, opt.observe-time.Since(since)); err != nil {
		return err
	}
	after, err := own.usage(ctx)
	if err != nil {
		return err
	}
	secs := time.Since(since).Seconds()
	rep.value(name+".starts", float64(swm.started.Load()-started)/secs, "starts/s")
	rep.value(name+".reports-and-news", float64(swm.reports.Load()-reports)/secs, "calls/s")
	rep.value(name+".failed-calls", float64(swm.failed.Load()), "calls")
	rep.atMost(name+".memory", float64(after.Memory())/(1<<20), memoryLimit, "MB")
	rep.atMost(name+".processor", 100*(after.Processor()-before.Processor()).Seconds()/secs, agentShare, "% of a core")
	return nil
}

// slowStore answers transactions after the time that the users' store takes.
type slowStore struct {
	rows *rowstore.Server
}

// ServeHTTP implements http.Handler.
func (sto *slowStore) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPost {
		time.Sleep(storeTime)
	}
	sto.rows.ServeHTTP(wrt, req)
}

// jobOwner is the measured process.
type jobOwner struct {
	cmd     *exec.Cmd
	metrics string
	log     *os.File
}

func startJobOwner(ctx context.Context, scr scratch, name, store string) (*jobOwner, error) {
	ports := make([]int, 3)
	for num := range ports {
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a port")
		}
		ports[num] = lsn.Addr().(*net.TCPAddr).Port
		defer func() { _ = lsn.Close() }()
	}
	first, last := min(ports[0], ports[1]), max(ports[0], ports[1])
	set, err := deployment.Process{
		Name: "owner", IP: "127.0.0.1", Zone: jobOwnerZone, Zones: []string{jobOwnerZone}, InternalPorts: []int{first, last},
		Control: fmt.Sprintf("127.0.0.1:%d", ports[2]), Worker: "127.0.0.1:9", Store: store, GraceSeconds: 3,
	}.Settings()
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(scr.folder, name+".json")
	if err := os.WriteFile(path, set, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	cmd := exec.CommandContext(ctx, filepath.Join(scr.binaries(), "jacinthpost"), "platform", "agent")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start the owner")
	}
	return &jobOwner{cmd: cmd, metrics: fmt.Sprintf("127.0.0.1:%d", last), log: log}, nil
}

func (own *jobOwner) stop() {
	_ = own.cmd.Process.Kill() // it may have ended
	_ = own.cmd.Wait()
	_ = own.log.Close()
}

func (own *jobOwner) usage(ctx context.Context) (harness.Usage, error) {
	return harness.ProcessUsage(ctx, own.cmd.Process.Pid, own.metrics)
}

// profile writes a processor profile.
func (own *jobOwner) profile(ctx context.Context, dur time.Duration, file string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", own.metrics, int(dur.Seconds())), nil)
	if err != nil {
		return errors.Wrap(err, "profile")
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "profile")
	}
	defer func() { _ = rsp.Body.Close() }()
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "profile")
	}
	defer func() { _ = out.Close() }()
	if _, err := out.ReadFrom(rsp.Body); err != nil {
		return errors.Wrap(err, "profile")
	}
	return nil
}

func awaitOwner(ctx context.Context, store *platform.Store) (addr string, epoch uint64, err error) {
	for {
		rows, err := store.Read(ctx, jobOwnerPart.OwnerKey())
		if err == nil && rows[0].Exists() {
			own, err := batchstore.DecodeOwner(rows[0].Value())
			return own.Address, own.Epoch, err
		}
		if err := control.Pause(ctx, 100*time.Millisecond); err != nil {
			return "", 0, errors.Wrap(err, "no owner")
		}
	}
}

// jobSwarm is what the light agents have in common.
type jobSwarm struct {
	addr    string
	epoch   uint64
	started atomic.Int64
	reports atomic.Int64
	failed  atomic.Int64
}

// jobAgent is a light agent with a worker that runs what it is told.
type jobAgent struct {
	*jobSwarm
	id     string
	client *rpc.Client
	news   chan struct{}
	rng    *rand.Rand

	mu     sync.Mutex
	runs   map[batch.RunID]batch.RunState
	events []batch.Event
	seq    uint64
	seen   uint64
	acked  uint64
}

func newJobAgent(swm *jobSwarm, num int) *jobAgent {
	return &jobAgent{
		jobSwarm: swm, id: fmt.Sprintf("side-%03d", num), news: make(chan struct{}, 1), runs: make(map[batch.RunID]batch.RunState),
		rng: rand.New(rand.NewPCG(uint64(num), 1)),
	}
}

func (agt *jobAgent) run(ctx context.Context) error {
	cli, err := rpc.Dial("tcp", agt.addr)
	if err != nil {
		return errors.Wrap(err, "call the owner")
	}
	agt.client = cli
	stop := context.AfterFunc(ctx, func() { _ = cli.Close() })
	defer stop()
	// Agents start at any time of the period.
	if err := control.Pause(ctx, time.Duration(agt.rng.Int64N(int64(agentReportPeriod)))); err != nil {
		return nil
	}
	agt.report(ctx)
	go agt.pollOrders(ctx)
	tkr := time.NewTicker(agentReportPeriod)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-agt.news:
			agt.sendNews(ctx)
		case <-tkr.C:
			agt.report(ctx)
		}
	}
}

func (agt *jobAgent) report(ctx context.Context) {
	agt.mu.Lock()
	arg := batchrpc.ReportArgs{
		Epoch: agt.epoch, Instance: agt.id, Life: agt.id + "@1", Service: jobOwnerService, Region: "r", DataCentre: jobOwnerZone, Session: 1, OrdersSeen: agt.seen,
		Labels: []string{"a", "rack"}, Capacity: batchrpc.Vector{CPU: 36_000, Memory: 128_000},
	}
	for _, sta := range agt.runs {
		arg.Runs = append(arg.Runs, sta)
	}
	arg.Events = append(arg.Events, agt.events...)
	agt.mu.Unlock()
	agt.call(ctx, batchrpc.ReportMethod, &arg)
}

func (agt *jobAgent) sendNews(ctx context.Context) {
	agt.mu.Lock()
	arg := batchrpc.NewsArgs{Epoch: agt.epoch, Instance: agt.id, Session: 1, OrdersSeen: agt.seen}
	arg.Events = append(arg.Events, agt.events...)
	agt.mu.Unlock()
	agt.call(ctx, batchrpc.NewsMethod, &arg)
}

func (agt *jobAgent) call(ctx context.Context, method string, arg any) {
	var rep batchrpc.ReportReply
	agt.reports.Add(1)
	if err := agt.client.Call(method, arg, &rep); err != nil || rep.NotOwner || rep.Unknown {
		if ctx.Err() == nil {
			agt.failed.Add(1)
		}
		return
	}
	agt.confirm(rep.Acked)
}

func (agt *jobAgent) confirm(acked uint64) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.acked = max(agt.acked, acked)
	for len(agt.events) > 0 && agt.events[0].Seq <= acked {
		agt.events = agt.events[1:]
	}
}

func (agt *jobAgent) pollOrders(ctx context.Context) {
	for ctx.Err() == nil {
		agt.mu.Lock()
		arg := batchrpc.OrdersArgs{Epoch: agt.epoch, Instance: agt.id, Session: 1, Seen: agt.seen, Acked: agt.acked}
		agt.mu.Unlock()
		var rep batchrpc.OrdersReply
		if err := agt.client.Call(batchrpc.OrdersMethod, &arg, &rep); err != nil || rep.NotOwner || rep.Unknown {
			if ctx.Err() == nil {
				agt.failed.Add(1)
				_ = control.Pause(ctx, 100*time.Millisecond) // the loop ends with the context
			}
			continue
		}
		agt.confirm(rep.Acked)
		for _, ord := range rep.CoreOrders() {
			agt.apply(ord)
		}
	}
}

// apply starts or stops a run. The name of the queue's kind of job is in the payload, as the duration of
// its tasks.
func (agt *jobAgent) apply(ord batch.Order) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.seen = max(agt.seen, ord.Seq)
	switch ord.Kind {
	case batch.StartRun:
		agt.started.Add(1)
		sta := batch.RunState{ID: ord.ID, Working: true, Percent: 100, Share: 100, Figure: float64(ord.MilliCPU)}
		if ord.LongRunning {
			sta.Figure, sta.Share = 6+2*agt.rng.Float64(), -1
			agt.runs[ord.ID] = sta
			return
		}
		agt.runs[ord.ID] = sta
		took, err := time.ParseDuration(ord.Payload)
		if err != nil {
			panic("jobowner: payload " + ord.Payload)
		}
		took = time.Duration(float64(took) * math.Exp(0.3*agt.rng.NormFloat64()))
		time.AfterFunc(took, func() { agt.end(ord.ID) })
	case batch.StopRun:
		if _, found := agt.runs[ord.ID]; found {
			go agt.end(ord.ID)
		}
	}
}

func (agt *jobAgent) end(rid batch.RunID) {
	agt.mu.Lock()
	delete(agt.runs, rid)
	agt.seq++
	agt.events = append(agt.events, batch.Event{Seq: agt.seq, ID: rid, Cause: batch.EndDone})
	agt.mu.Unlock()
	select {
	case agt.news <- struct{}{}:
	default:
	}
}

// submitLoad submits the jobs of a fleet of a size until the context ends.
func submitLoad(ctx context.Context, clt *jobaccess.Client, size int) error {
	rng := rand.New(rand.NewPCG(uint64(size), 2))
	num := 0
	submit := func(priority int, stps ...workload.StepParams) {
		num++
		job, err := workload.New(workload.JobParams{
			ID: fmt.Sprintf("%016x", num), Queue: fmt.Sprint("q", priority), Service: jobOwnerService, Payload: []string{"640ms", "0s", "2200ms"}[priority],
			Steps: stps, Priority: priority, MaxAttempts: 3, Stretch: 2, TargetLatencyMillis: 400, AcceptedMillis: time.Now().UnixMilli(),
		})
		if err != nil {
			panic("jobowner: " + err.Error())
		}
		go clt.Submit(ctx, job)
	}
	for range int(math.Ceil(watchesEach * float64(size))) {
		submit(1, workload.StepParams{Count: 24, MilliCPU: 6400, MemoryMB: 13_000, LongRunning: true, TargetMillis: 18, Image: fmt.Sprint("serving-", rng.IntN(16))})
	}
	const period = 50 * time.Millisecond
	for control.Pause(ctx, period) == nil {
		for rng.Float64() < checksPerInstance*float64(size)*period.Seconds()/2 {
			stp := workload.StepParams{Count: 1 + rng.IntN(25), MilliCPU: 1300, MemoryMB: 2600, EstimateMillis: 640}
			submit(0, chain(stp, 1+rng.IntN(2))...)
		}
		for rng.Float64() < buildsPerInstance*float64(size)*period.Seconds() {
			stp := workload.StepParams{
				Count: 10 + rng.IntN(60), MilliCPU: 3500, MemoryMB: 6400, EstimateMillis: 2200, BestEffort: true, Checkpointing: true, Image: fmt.Sprint("filling-", rng.IntN(30)),
			}
			submit(2, chain(stp, 2)...)
		}
	}
	return nil
}

// chain returns steps of which each depends on the one before.
func chain(stp workload.StepParams, num int) []workload.StepParams {
	out := make([]workload.StepParams, num)
	for idx := range out {
		out[idx] = stp
		if idx > 0 {
			out[idx].Dependencies = []int{idx - 1}
		}
	}
	return out
}
