package batchowner

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/core/upkeep"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
)

// Times of maintenance waves.
const (
	upkeepPeriod = 200 * time.Millisecond
	listPeriod   = 600 * time.Millisecond // between two lists of the machines; each list is billed
)

// Machines is the client of the platform's machine service.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]upkeep.Machine, error)
	// RequestUpkeep requests the upkeep of a machine, which takes it down. Holder and token identify
	// the owner that makes the request.
	RequestUpkeep(ctx context.Context, req upkeep.Request, holder string, token uint64) (upkeep.RequestOutcome, error)
	// ReportWave reports the state of a wave to the operators.
	ReportWave(ctx context.Context, wave int, complete bool) error
	// WorkerName returns the name that a worker has in the list of machines.
	WorkerName(life batch.Incarnation) string
}

// maintenance executes maintenance waves during an ownership. Only the control thread uses its planner.
type maintenance struct {
	*ownership
	planner    upkeep.Planner
	restored   bool
	startedAt  time.Time
	listedAt   time.Time
	unreported map[int]bool // stored progress to report to the operators: whether the wave is complete, by wave
}

// loadSource returns the load of workers from the scheduler.
type loadSource struct {
	scheduler *Scheduler
	machines  Machines
}

// Load implements upkeep.LoadSource.
func (src loadSource) Load(worker string) upkeep.Load {
	return src.scheduler.Load(func(life batch.Incarnation) bool { return life != "" && src.machines.WorkerName(life) == worker })
}

func (mnt *maintenance) run(ctx context.Context) {
	if mnt.cfg.Machines == nil {
		return
	}
	control.Every(ctx, upkeepPeriod, func() {
		active, err := control.Query(ctx, mnt.loop, func(*Scheduler, time.Time) bool { return mnt.planner.Active() || len(mnt.unreported) > 0 })
		if err == nil && active && mnt.restore(ctx) {
			mnt.advance(ctx)
		}
	})
}

// setWaves runs on the control thread. Machines of a wave that operators have cancelled stay in use.
func (mnt *maintenance) setWaves(sch *Scheduler, wavs []upkeep.Wave, now time.Time) {
	mnt.planner.SetWaves(wavs, now)
	if !mnt.planner.Active() {
		sch.SetEvacuating(func(batch.Incarnation) bool { return false })
	}
}

// restore reads the stored progress, unless an earlier call did, and reports whether it is known.
func (mnt *maintenance) restore(ctx context.Context) bool {
	if mnt.restored {
		return true
	}
	all, err := mnt.cfg.Feed.Snapshot(ctx, mnt.cfg.Partition.WavesPrefix())
	if err != nil {
		mnt.cfg.Log.Warn("cannot read the progress of waves", zap.Error(err))
		return false
	}
	stored := make(map[int]upkeep.Stored)
	for _, row := range all.Rows() {
		var sto upkeep.Stored
		num, err := strconv.Atoi(strings.TrimPrefix(row.Key(), mnt.cfg.Partition.WavesPrefix()))
		if err == nil {
			sto, err = decodeWave(row.Value())
		}
		if err != nil {
			// The list of machines and the service's answers to repeated requests tell what was done.
			mnt.cfg.Log.Error("cannot decode the progress of a wave", zap.String("key", row.Key()), zap.Error(err))
			continue
		}
		stored[num] = sto
	}
	mnt.post(ctx, func(_ *Scheduler, now time.Time) { mnt.planner.Restore(stored, now) })
	mnt.restored = true
	return true
}

// advance lists the machines if listPeriod has passed, plans, makes the requests that are due and
// reports the progress to the operators.
func (mnt *maintenance) advance(ctx context.Context) {
	if now := mnt.cfg.Clock(); now.Sub(mnt.listedAt) >= listPeriod {
		mnt.listedAt = now
		macs, err := mnt.cfg.Machines.List(ctx)
		if err != nil {
			mnt.cfg.Log.Warn("cannot list machines", zap.Error(err))
			return
		}
		mnt.post(ctx, func(*Scheduler, time.Time) { mnt.planner.UpdateMachines(macs, now) })
	}
	reqs, err := control.Query(ctx, mnt.loop, mnt.plan)
	if err != nil {
		return
	}
	for _, req := range reqs {
		if !mnt.confirmedRecently(mnt.cfg.Clock()) {
			break // another owner may have made requests meanwhile; the others are due again later
		}
		mnt.request(ctx, req)
	}
	mnt.reportWaves(ctx)
}

// plan runs on the control thread and returns the requests to make.
func (mnt *maintenance) plan(sch *Scheduler, now time.Time) []upkeep.Request {
	src := loadSource{scheduler: sch, machines: mnt.cfg.Machines}
	leaving := mnt.planner.Draining(src, now)
	sch.SetEvacuating(func(life batch.Incarnation) bool { return leaving[mnt.cfg.Machines.WorkerName(life)] })
	mnt.planner.Plan(src, now)
	// Requests of the previous owner and of this one must be UpkeepRequestDelay apart, and an owner
	// that may have lost the ownership must make none.
	apart := now.Sub(mnt.startedAt) >= mnt.cfg.UpkeepRequestDelay
	if !apart || !mnt.confirmedRecently(now) {
		return nil
	}
	return mnt.planner.Requests(now)
}

func (mnt *maintenance) request(ctx context.Context, req upkeep.Request) {
	out, err := mnt.cfg.Machines.RequestUpkeep(ctx, req, mnt.owner.Holder, mnt.epoch)
	mnt.cfg.Log.Info(string(decision.UpkeepRequested), zap.Int("wave", req.Wave), zap.String("machine", string(req.Machine)),
		zap.Stringer(decision.KeyOutcome, out), zap.Error(err))
	mnt.post(ctx, func(_ *Scheduler, now time.Time) { mnt.planner.RequestEnded(req, out, now) })
}

// stored runs on the control thread after changes have been stored.
func (mnt *maintenance) stored(chgs []upkeep.Change) {
	mnt.planner.ChangesStored(chgs)
	for _, chg := range chgs {
		if mnt.unreported == nil {
			mnt.unreported = make(map[int]bool)
		}
		mnt.unreported[chg.Wave] = chg.Complete
	}
}

func (mnt *maintenance) reportWaves(ctx context.Context) {
	news, err := control.Query(ctx, mnt.loop, func(*Scheduler, time.Time) map[int]bool {
		out := mnt.unreported
		mnt.unreported = nil
		return out
	})
	if err != nil {
		return
	}
	for num, complete := range news {
		if err := mnt.cfg.Machines.ReportWave(ctx, num, complete); err != nil {
			mnt.cfg.Log.Warn("cannot report a wave to the operators", zap.Int("wave", num), zap.Error(err))
			mnt.post(ctx, func(*Scheduler, time.Time) {
				if mnt.unreported == nil {
					mnt.unreported = make(map[int]bool)
				}
				mnt.unreported[num] = mnt.unreported[num] || complete
			})
			continue
		}
		mnt.cfg.Log.Info(string(decision.WaveTold), zap.Int("wave", num), zap.Bool("complete", complete))
	}
}

// waveRow is the row of a wave.
type waveRow struct {
	Machines      upkeep.Progress `json:"machines"`
	ElapsedMillis int64           `json:"elapsedMillis"`
}

// encodeProgress returns the value of the row of a wave.
func encodeProgress(chg upkeep.Change) []byte {
	return batchstore.Encode(waveRow{Machines: chg.Progress, ElapsedMillis: chg.Elapsed.Milliseconds()})
}

// decodeWave decodes the row of a wave. Earlier versions stored the phases of the machines alone.
func decodeWave(data []byte) (upkeep.Stored, error) {
	var row waveRow
	if err := json.Unmarshal(data, &row); err == nil && row.Machines != nil {
		return upkeep.Stored{Progress: row.Machines, Elapsed: time.Duration(row.ElapsedMillis) * time.Millisecond}, nil
	}
	var prg upkeep.Progress
	err := json.Unmarshal(data, &prg)
	return upkeep.Stored{Progress: prg}, err
}
