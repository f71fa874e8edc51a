package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/partition"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
	"jacinthpost/io/joblog"
)

// state is the control state: all partitions and the members.
type state[P job.Placement] struct {
	owner       *Owner[P]
	config      Config
	place       func(num int) P
	slots       []*slot[P]
	view        *View
	observedAt  time.Time
	hints       []job.Instance
	candidates  []partition.Candidate
	addresses   map[fleet.InstanceID]string
	takenOut    []fleet.DataCentre
	watchedAt   time.Time
	watching    bool // whether a read of the rows is under way
	random      *rand.Rand
	lastTag     job.Tag
	stopping    bool
	renewOrigin time.Time // start of the first window in which agents renew leases
}

// slot is one partition as this process sees it.
type slot[P job.Placement] struct {
	num       int
	ownership *partition.Ownership
	rank      int // number of live candidates preferred over this process
	jitter    time.Duration
	tenure    *tenure[P] // set while the partition is owned
}

// serves reports whether the process may act as the owner now.
func (slt *slot[P]) serves(now time.Time) bool {
	return slt.tenure != nil && slt.tenure.part != nil && !slt.tenure.releasing && slt.ownership.Owns(now)
}

// idleTickPeriod is the time between ticks while no partition waits for an answer
// or an instance. It is much shorter than the leases of partitions and tasks.
const idleTickPeriod = 500 * time.Millisecond

// tick runs the time-driven work of all partitions.
func tick[P job.Placement](sta *state[P], now time.Time) {
	if sta.owner.ctx == nil {
		return // Run has ended
	}
	sta.owner.alarm.Arm(now, control.Align(now, idleTickPeriod))
	sta.observe(now)
	sta.watch(now)
	for _, slt := range sta.slots {
		sta.decide(slt, now)
		if slt.serves(now) {
			sta.updatePartition(slt, now)
			sta.collect(slt, slt.tenure.part.Tick(sta.env(slt, now)), now)
			sta.sendRoomRequests(slt, now)
		}
	}
}

// scheduleEarlyTick schedules the next tick after TickPeriod while the partition is
// opened or handed over or has offers under way, which must time out on time.
func (sta *state[P]) scheduleEarlyTick(slt *slot[P], now time.Time) {
	if ten := slt.tenure; ten != nil && (ten.part == nil || ten.releasing || ten.part.Busy()) {
		sta.owner.alarm.Arm(now, now.Add(job.TickPeriod))
	}
}

func (sta *state[P]) env(slt *slot[P], now time.Time) job.Env {
	return job.NewEnv(now, slt.ownership.LeaseEnd(), sta.owner.ports.settings.StartsAllowed)
}

// observe applies changes of the members and of the data centres taken out of service.
func (sta *state[P]) observe(now time.Time) {
	if now.Sub(sta.observedAt) < observePeriod {
		return
	}
	sta.observedAt = now
	sta.publishMetrics(now)
	if out := sta.owner.ports.settings.TakenOut(); !slices.Equal(out, sta.takenOut) {
		sta.takenOut = slices.Clone(out)
	}
	if viw := sta.owner.ports.view(); viw != nil && viw != sta.view {
		sta.setView(viw)
	}
}

// updatePartition passes changes of the members and of the data centres taken out of service to a partition.
// One that did not serve at the time of a change, because a renewal of its ownership was late, gets it as
// soon as it serves again.
func (sta *state[P]) updatePartition(slt *slot[P], now time.Time) {
	ten := slt.tenure
	if ten.view != sta.view {
		ten.view = sta.view
		sta.collect(slt, ten.part.Observe(sta.env(slt, now), sta.hints), now)
	}
	if !slices.Equal(ten.takenOut, sta.takenOut) {
		ten.takenOut = sta.takenOut
		sta.collect(slt, ten.part.DrainDataCentres(sta.env(slt, now), sta.takenOut), now)
	}
}

func (sta *state[P]) setView(viw *View) {
	sta.view = viw
	sta.hints = nil
	clear(sta.addresses)
	var candidates []partition.Candidate
	for _, mem := range viw.list {
		sta.hints = append(sta.hints, mem.hint)
		sta.addresses[mem.hint.ID()] = mem.address
		if mem.candidate && mem.hint.Health() == job.Alive {
			near := mem.hint.Location().Region() == sta.config.storeRegion
			candidates = append(candidates, partition.NewCandidate(mem.hint.ID(), near))
		}
	}
	// Ranking hashes every candidate for every partition, which at 1,400
	// candidates and 64 partitions costs too much for each change of a hint.
	if !slices.Equal(candidates, sta.candidates) {
		sta.candidates = candidates
		for _, slt := range sta.slots {
			slt.rank = sta.rank(slt.num)
		}
	}
}

// rank returns how many live candidates are preferred over this process. A
// process that is not in its own view, for example before it has announced
// itself, ranks last.
func (sta *state[P]) rank(num int) int {
	for _, can := range sta.candidates {
		if can.Instance() == sta.config.self.Instance() {
			return partition.Rank(num, can, sta.candidates)
		}
	}
	return partition.MaxWatchers
}

// watch reads the rows of the partitions that this process may take over.
func (sta *state[P]) watch(now time.Time) {
	if sta.watching || sta.stopping || now.Sub(sta.watchedAt) < partition.WatchPeriod {
		return
	}
	sta.watchedAt = now
	var nums []int
	for _, slt := range sta.slots {
		if slt.tenure == nil && !slt.ownership.Awaiting() && slt.rank < partition.MaxWatchers {
			nums = append(nums, slt.num)
		}
	}
	if len(nums) == 0 {
		return
	}
	sta.watching = true
	sta.owner.store(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		list, err := sta.config.rows.Read(limited, nums...)
		sta.owner.post(ctx, func(sta *state[P], now time.Time) {
			sta.watching = false
			if err != nil {
				storeErrors.Inc()
				return
			}
			for pos, num := range nums {
				// A row operation that began after this read has newer data.
				if slt := sta.slots[num]; slt.tenure == nil && !slt.ownership.Awaiting() {
					slt.ownership.Observe(now, list[pos])
				}
			}
		})
	})
}

// decide carries out the next action of the ownership state machine of a partition.
func (sta *state[P]) decide(slt *slot[P], now time.Time) {
	if slt.tenure == nil && slt.rank >= partition.MaxWatchers {
		return
	}
	if slt.jitter == 0 {
		slt.jitter = time.Duration(sta.random.Int64N(int64(time.Second))) + 1
	}
	sta.scheduleEarlyTick(slt, now)
	if ten := slt.tenure; ten != nil && ten.releasing && slt.ownership.Owns(now) {
		sta.handOver(slt, now)
		return
	}
	act := slt.ownership.Decide(now, slt.rank, slt.jitter)
	switch act.Kind() {
	case partition.Acquire, partition.Renew:
		sta.write(slt, act)
	case partition.Lost:
		sta.endTenure(slt, "lease ended")
	case partition.Release:
		sta.handOver(slt, now)
	default:
	}
}

// handOver releases a partition once its last records are written. Unless the
// process is stopping, only one partition at a time is handed over.
func (sta *state[P]) handOver(slt *slot[P], now time.Time) {
	ten := slt.tenure
	if ten == nil {
		return
	}
	moving := slices.ContainsFunc(sta.slots, func(oth *slot[P]) bool {
		return oth != slt && oth.tenure != nil && oth.tenure.releasing
	})
	if moving && !sta.stopping {
		return
	}
	if !ten.releasing {
		ten.releasing = true
		sta.flush(slt, now)
	}
	if ten.part != nil && (ten.writing || len(ten.pending) > 0) {
		return
	}
	if act := slt.ownership.BeginRelease(now); act.Kind() == partition.Release {
		sta.write(slt, act)
	}
}

// release starts to hand over all partitions and returns how many are still owned.
func (sta *state[P]) release(now time.Time) int {
	sta.stopping = true
	owned := 0
	for _, slt := range sta.slots {
		slt.ownership.Stop()
		sta.decide(slt, now)
		if slt.tenure != nil || slt.ownership.Awaiting() {
			owned++
		}
	}
	return owned
}

// rowResult is the result of a row operation. The observation is the row as read
// after a write that was refused or got no answer, nil if it was not read.
type rowResult struct {
	version     store.Version
	committed   bool
	answerLost  bool // whether the write ended with an error, so that it may have been applied
	observation *partition.Observation
}

// write writes the row for an ownership action and posts the result.
func (sta *state[P]) write(slt *slot[P], act partition.Action) {
	own, rws, num := sta.owner, sta.config.rows, slt.num
	own.store(func(ctx context.Context) {
		res := writeRow(ctx, rws, num, act)
		own.post(ctx, func(sta *state[P], now time.Time) { sta.rowWritten(slt, res, now) })
	})
}

func writeRow(ctx context.Context, rws *joblog.Rows, num int, act partition.Action) rowResult {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	res, err := rws.Write(limited, num, act)
	cancel()
	rowWrites.Inc()
	if err == nil && res.Committed() {
		return rowResult{version: res.Version(), committed: true}
	}
	if errors.Is(err, store.ErrUnavailable) {
		storeErrors.Inc()
		return rowResult{}
	}
	return rowResult{answerLost: err != nil, observation: readRow(ctx, rws, num)}
}

// readRow reads a row, with retries: if a renewal got no answer, the partition is
// lost unless the row is read before the lease ends.
func readRow(ctx context.Context, rws *joblog.Rows, num int) *partition.Observation {
	limited, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	tkr := time.NewTicker(WritePeriod)
	defer tkr.Stop()
	for {
		list, err := rws.Read(limited, num)
		if err == nil {
			return &list[0]
		}
		storeErrors.Inc()
		select {
		case <-tkr.C:
		case <-limited.Done():
			return nil
		}
	}
}

// rowWritten applies the result of a row operation.
func (sta *state[P]) rowWritten(slt *slot[P], res rowResult, now time.Time) {
	own := slt.ownership
	switch {
	case res.committed:
		sta.confirmed(slt, own.Written(now, res.version), now)
	case res.answerLost && res.observation != nil:
		sta.confirmed(slt, own.Resolve(now, *res.observation), now)
	case own.Refused(now, res.observation):
		sta.endTenure(slt, "row changed")
	}
}

func (sta *state[P]) confirmed(slt *slot[P], knd partition.ActionKind, now time.Time) {
	switch knd {
	case partition.Acquire:
		slt.jitter = 0
		sta.beginTenure(slt, now)
	case partition.Release:
		releases.Inc()
		sta.endTenure(slt, "released")
	case partition.Lost:
		sta.endTenure(slt, "row changed")
	default:
	}
}
