// Package owner runs the partitions of jobs that a process owns.
//
// One control loop owns the state: for each partition the ownership state
// machine of core/partition and, while the partition is owned, its tenure with
// the job state machine of core/job. Store and network calls run on other
// goroutines and post their results as events. Their number is bounded: each
// partition has at most one row operation, one append and one snapshot under
// way, and calls to agents share callWorkers goroutines.
//
// Records are appended in batches, at most one write per WritePeriod for a
// partition; the first write after an idle period is made at once. Effects and
// replies are held until the records they depend on are durable. An owner that
// loses its partition discards the partition's state; waiting callers get a
// NotOwner reply and repeat their calls, which are idempotent.
//
// The methods of Owner and Service may be called from any goroutine.
package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/partition"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
	"jacinthpost/io/joblog"
)

// Bounds and time-outs.
const (
	// WritePeriod bounds the log writes of a partition to five a second, so that
	// 64 partitions stay within several hundred writes a second.
	WritePeriod = 200 * time.Millisecond

	queueCapacity     = 4096
	callWorkers       = 64
	callCapacity      = 1024
	observePeriod     = 500 * time.Millisecond
	openRetryPause    = 500 * time.Millisecond
	storeTimeout      = 5 * time.Second  // one store call; shorter than the partition lease
	resolveTimeout    = 10 * time.Second // reading a row whose write got no answer
	stopTimeout       = 2 * time.Second  // one Stop or Adopt call
	replyTimeout      = 10 * time.Second // one call of Service
	maxUnsavedRecords = 16 * 256         // records without a snapshot before submissions are refused
	saveRetryPause    = 10 * time.Second // after a failed snapshot
	maxBatchBytes     = 1 << 20          // payloads and results in one log row
	releasePollPeriod = 20 * time.Millisecond
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Settings are the parts of the configuration that the owner needs. The methods
// must not block: the control loop calls them.
type Settings interface {
	// StartsAllowed reports whether the configuration is fresh and allows task starts in a data centre.
	StartsAllowed(dce fleet.DataCentre) bool
	// TakenOut returns the data centres taken out of service, sorted.
	TakenOut() []fleet.DataCentre
	// Complete returns the job with the settings of its class and its workspace.
	Complete(spc job.Spec) job.Spec
}

// Member is an instance known from membership.
type Member struct {
	hint      job.Instance
	address   string
	candidate bool
}

// NewMember returns a member with its peer address; a candidate may own partitions.
func NewMember(hint job.Instance, addr string, candidate bool) Member {
	return Member{hint: hint, address: addr, candidate: candidate}
}

// Hint returns what placements know about the member.
func (mem Member) Hint() job.Instance { return mem.hint }

// Address returns the peer address.
func (mem Member) Address() string { return mem.address }

// Candidate reports whether the member may own partitions.
func (mem Member) Candidate() bool { return mem.candidate }

// View is an immutable list of the members that are not dead, sorted by ID. This
// process competes for partitions only while the view includes it. The list must not
// change after NewView.
type View struct {
	list []Member
}

// NewView returns a view of the members.
func NewView(list []Member) *View { return &View{list: list} }

// Ports holds the interfaces through which an Owner reaches the rest of the process.
type Ports struct {
	table    store.Table
	objects  store.Objects
	caller   Caller
	view     func() *View
	settings Settings
	log      *zap.Logger
	thread   *control.Thread // shared control thread; nil makes the owner run its own
}

// NewPorts returns ports to the durable state, to the configuration in force and,
// through the caller, to Agent.Offer, Agent.Stop and Agent.Adopt.
func NewPorts(tab store.Table, obj store.Objects, cal Caller, set Settings) Ports {
	return Ports{table: tab, objects: obj, caller: cal, settings: set, view: func() *View { return nil }, log: zap.NewNop()}
}

// WithView returns the ports with a function that returns the present members.
// It must not block and returns the same pointer while nothing changes.
func (prt Ports) WithView(view func() *View) Ports {
	prt.view = view
	return prt
}

// WithLog returns the ports with a logger for changes of ownership.
func (prt Ports) WithLog(log *zap.Logger) Ports {
	prt.log = log
	return prt
}

// WithThread returns the ports with the control thread of the process, which must
// run for as long as Run does.
func (prt Ports) WithThread(thr *control.Thread) Ports {
	prt.thread = thr
	return prt
}

// Config names the process and the partitions.
type Config struct {
	self        fleet.Peer
	rows        *joblog.Rows
	storeRegion fleet.Region
	seed        uint64
}

// NewConfig returns the configuration of a process: its identity, the ownership of
// the partitions, the region of the store, whose instances are preferred as owners,
// and the seed of the takeover jitter.
func NewConfig(self fleet.Peer, rws *joblog.Rows, reg fleet.Region, seed uint64) Config {
	return Config{self: self, rows: rws, storeRegion: reg, seed: seed}
}

// Owner is the owner role of one process under the placement policy P.
type Owner[P job.Placement] struct {
	ports Ports
	loop  *control.Loop[state[P]]
	calls chan func(ctx context.Context)
	// client calls the owners of other partitions.
	client *Client
	ctx    context.Context // of Run, nil before it; used on the control goroutine only
	group  sync.WaitGroup
	alarm  *control.Alarm[state[P]] // for the next tick
}

// New returns an owner that owns nothing until Run. The function place returns the
// placement of a partition.
func New[P job.Placement](cfg Config, prt Ports, place func(num int) P) *Owner[P] {
	own := &Owner[P]{ports: prt, calls: make(chan func(context.Context), callCapacity), client: NewClient(cfg.rows, prt.caller)}
	sta := &state[P]{owner: own, config: cfg, place: place, view: &View{}, addresses: map[fleet.InstanceID]string{},
		random: rand.New(rand.NewPCG(cfg.seed, uint64(cfg.self.Incarnation())))}
	for num := range cfg.rows.Count() {
		sta.slots = append(sta.slots, &slot[P]{num: num, rank: partition.MaxWatchers, ownership: partition.NewOwnership(cfg.self)})
	}
	own.loop = control.NewLoop(sta, queueCapacity, nil)
	if prt.thread != nil {
		own.loop = control.NewLoopOn(prt.thread, sta, nil)
	}
	own.alarm = control.NewAlarm(own.loop, tick[P])
	return own
}

// Run owns partitions until the context ends. It must be called once. After a
// Run without Release the partitions are taken over when their leases have ended.
func (own *Owner[P]) Run(ctx context.Context) {
	own.post(ctx, func(sta *state[P], now time.Time) {
		own.ctx, sta.renewOrigin = ctx, now
		own.alarm.Arm(now, now.Add(job.TickPeriod))
	})
	for range callWorkers {
		own.group.Go(func() { own.serveCalls(ctx) })
	}
	if own.ports.thread == nil {
		own.loop.Run(ctx)
	} else {
		<-ctx.Done()
		own.close()
	}
	own.group.Wait()
	own.alarm.Stop()
}

// close keeps later events on the shared thread from starting store operations and ticks.
func (own *Owner[P]) close() {
	closed := make(chan struct{})
	own.post(context.Background(), func(*state[P], time.Time) {
		own.ctx = nil
		close(closed)
	})
	<-closed
}

func (own *Owner[P]) serveCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-own.calls:
			call(ctx)
		}
	}
}

// call queues a call to another process. If the queue is full, the call is dropped:
// offers then time out, and stop orders and adoptions are repeated.
func (own *Owner[P]) call(fun func(ctx context.Context)) {
	select {
	case own.calls <- fun:
	default:
		callsDropped.Inc()
	}
}

// store runs a store operation on its own goroutine. The caller makes sure that
// a partition has at most one of each kind under way.
func (own *Owner[P]) store(fun func(ctx context.Context)) {
	if ctx := own.ctx; ctx != nil {
		own.group.Go(func() { fun(ctx) })
	}
}

// post queues an event; it is lost only when the context or the loop ends.
func (own *Owner[P]) post(ctx context.Context, fun func(sta *state[P], now time.Time)) {
	_ = own.loop.Post(ctx, control.Func[state[P]](fun))
}

// postAfter posts an event after a delay.
func (own *Owner[P]) postAfter(dur time.Duration, fun func(sta *state[P], now time.Time)) {
	own.store(func(ctx context.Context) {
		if control.Pause(ctx, dur) == nil {
			own.post(ctx, fun)
		}
	})
}

// Release hands all partitions over: it stops granting leases, writes the last records
// and marks the rows as released, so that other owners take over at once. It
// returns when no partition is owned any more or the context ends.
func (own *Owner[P]) Release(ctx context.Context) error {
	tkr := time.NewTicker(releasePollPeriod)
	defer tkr.Stop()
	for {
		owned, err := control.Query(ctx, own.loop, func(sta *state[P], now time.Time) int { return sta.release(now) })
		if err != nil {
			return errors.Wrap(err, "release partitions")
		}
		if owned == 0 {
			return nil
		}
		select {
		case <-tkr.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "release partitions")
		}
	}
}

// Owned returns the partitions that the process serves now.
func (own *Owner[P]) Owned(ctx context.Context) ([]int, error) {
	return control.Query(ctx, own.loop, func(sta *state[P], now time.Time) []int {
		var nums []int
		for _, slt := range sta.slots {
			if slt.serves(now) {
				nums = append(nums, slt.num)
			}
		}
		return nums
	})
}

// Inspect runs a function on the control goroutine, for example on a placement
// that the partitions share.
func (own *Owner[P]) Inspect(ctx context.Context, fun func(now time.Time)) error {
	_, err := control.Query(ctx, own.loop, func(_ *state[P], now time.Time) struct{} {
		fun(now)
		return struct{}{}
	})
	return err
}
