package batchowner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"jacinthpost/core/decision"
	"jacinthpost/core/store"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/control"
	"jacinthpost/io/follow"
	"jacinthpost/io/lead"
)

// An owner that has no processor time to spare releases the partition to a process on a larger machine,
// if there is one. The need stays in the owner row, so that an owner on a smaller machine, which has
// taken over after a failure, does so at once.
const (
	loadPeriodOwner = time.Second // between two measurements of the processor time
	// yieldLoad is the fraction of its share of a core from which on an owner is overloaded. Beyond it,
	// agents wait for answers.
	yieldLoad = 0.7
	// yieldPeriods is the number of measurements in a row that show an overload.
	yieldPeriods = 2
	// yieldFactor is by how much a larger machine must be larger.
	yieldFactor = 1.5
	// firstYieldPause is the time until a process that has got the partition back yields again. It
	// doubles with each yield, because no larger machine may be left.
	firstYieldPause = 30 * time.Second
	registerRetry   = time.Second
	// yieldPollWait limits how long a candidate does not notice that its connection is silent.
	yieldPollWait = 20 * time.Second
)

var errYielded = errors.New("the owner needs a larger machine")

// yielder decides when this process may yield. Owner.Run records yields while no ownership uses it.
type yielder struct {
	pause    time.Duration
	notUntil time.Time
}

// mayYield reports whether a yield is not too soon after the last one.
func (yld *yielder) mayYield(now time.Time) bool { return !now.Before(yld.notUntil) }

// record records a yield.
func (yld *yielder) record(now time.Time) {
	yld.pause = max(firstYieldPause, 2*yld.pause)
	yld.notUntil = now.Add(yld.pause)
}

// overload measures the processor time of the process and reports an overload.
type overload struct {
	processor func() time.Duration
	share     float64
	used      time.Duration
	at        time.Time
	periods   int
}

// measure reports whether the process has been overloaded for some periods.
func (ovl *overload) measure(now time.Time) bool {
	used := ovl.processor()
	if !ovl.at.IsZero() && now.After(ovl.at) {
		load := (used - ovl.used).Seconds() / (ovl.share * now.Sub(ovl.at).Seconds())
		ovl.periods++
		if load < yieldLoad {
			ovl.periods = 0
		}
	}
	ovl.used, ovl.at = used, now
	return ovl.periods >= yieldPeriods
}

// watchLoad ends the ownership when this process is overloaded and there is a larger machine.
func (osp *ownership) watchLoad(ctx context.Context) {
	share := osp.cfg.Elector.Candidacy().Share
	if osp.cfg.Processor == nil || share <= 0 {
		return
	}
	ovl := overload{processor: osp.cfg.Processor, share: share}
	control.Every(ctx, loadPeriodOwner, func() {
		if !ovl.measure(osp.cfg.Clock()) || !osp.yields.mayYield(osp.cfg.Clock()) {
			return
		}
		ovl.periods = 0
		found, err := osp.largerCandidate(ctx, yieldFactor*share)
		if err != nil || !found {
			osp.cfg.Log.Warn(string(decision.OwnerOverloaded), zap.Bool("largerMachine", found), zap.Error(err))
			return
		}
		osp.need.Store(yieldFactor * share)
		osp.yield()
	})
}

// largerCandidate reports whether a candidate has at least the given share of a core.
func (osp *ownership) largerCandidate(ctx context.Context, share float64) (bool, error) {
	all, err := osp.cfg.Feed.Snapshot(ctx, osp.cfg.Partition.CandidatesPrefix())
	if err != nil {
		return false, err
	}
	for _, row := range all.Rows() {
		cdt, err := batchstore.DecodeCandidate(row.Value())
		if err != nil {
			osp.cfg.Log.Warn("cannot decode the row of a candidate", zap.String("key", row.Key()), zap.Error(err))
			continue
		}
		if cdt.Share >= share {
			return true, nil
		}
	}
	return false, nil
}

// atomicShare is a share of a core that is read and written by different goroutines.
type atomicShare struct{ val atomic.Pointer[float64] }

// Load returns the share, zero before the first call of Store.
func (ash *atomicShare) Load() float64 {
	if val := ash.val.Load(); val != nil {
		return *val
	}
	return 0
}

// Store sets the share.
func (ash *atomicShare) Store(val float64) { ash.val.Store(&val) }

// awaitYields registers this process as a candidate and makes its elector look at the owner row whenever
// an owner yields. It returns when the context ends.
func (own *Owner) awaitYields(ctx context.Context) {
	cfg := own.cfg
	row := batchstore.Encode(batchstore.Candidate{Share: cfg.Elector.Candidacy().Share})
	for {
		var txn store.Transaction
		txn.Put(cfg.Partition.CandidateKey(cfg.Elector.Holder()), row)
		_, err := cfg.Table.Commit(ctx, &txn)
		if err == nil {
			break
		}
		cfg.Log.Warn("cannot register as a candidate", zap.Error(err))
		if control.Pause(ctx, registerRetry) != nil {
			return
		}
	}
	fol := follow.New(cfg.Feed, []string{cfg.Partition.YieldKey()}, cfg.Clock, cfg.Log, func([]store.Row, bool) { cfg.Elector.Suspect() })
	fol.SetPollWait(yieldPollWait)
	fol.Run(ctx)
}

// releaseAtOnce releases the partition of a term that this process does not serve, because its machine is
// too small.
func (own *Owner) releaseAtOnce(ctx context.Context, trm lead.Term) error {
	row := trm.Owner()
	row.Sequence++
	row.QuietMillis = own.cfg.Clock().Sub(trm.QuietSince()).Milliseconds()
	var txn store.Transaction
	txn.Require(own.cfg.Partition.OwnerKey(), trm.Version())
	putRelease(&txn, own.cfg.Partition, row)
	if _, err := own.cfg.Table.Commit(ctx, &txn); err != nil {
		return errors.Wrap(err, "release the partition")
	}
	return nil
}

// putRelease adds the release of the partition to a transaction.
func putRelease(txn *store.Transaction, part batchstore.Partition, own batchstore.Owner) {
	own.Released = true
	txn.Put(part.OwnerKey(), batchstore.Encode(own))
	if own.Need > 0 {
		txn.Put(part.YieldKey(), batchstore.Encode(batchstore.Yield{Epoch: own.Epoch}))
	}
}
