package batchowner

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/io/batchstore"
)

// learnedPeriod is the time between two writes of what the owner has learned. Within it, few pairs of
// images are measured for the first time.
const learnedPeriod = 2 * time.Second

// Limits of the row. The store takes rows of 64 KiB, and rejects the whole transaction otherwise.
const (
	maxLearnedBytes   = 32 << 10
	maxLearnedEffects = 1024
)

// readLearned reads what the previous owner had learned.
func (osp *ownership) readLearned(ctx context.Context) (batch.Knowledge, error) {
	rows, err := osp.cfg.Table.Read(ctx, osp.cfg.Partition.LearnedKey())
	if err != nil || !rows[0].Exists() {
		return batch.Knowledge{}, err
	}
	lrn, err := batchstore.DecodeLearned(rows[0].Value())
	if err != nil {
		osp.cfg.Log.Error("cannot decode what the former owner had learned; it is learned again", zap.Error(err))
		return batch.Knowledge{}, nil
	}
	return lrn.Core(), nil
}

// learnedPublisher decides when to store what the owner has learned.
type learnedPublisher struct {
	data       []byte // as last stored
	computedAt time.Time
	excess     uint // by how many powers of two the number of effects is below its limit
}

// next returns the encoded row to store, nil if the stored one is still valid.
func (pub *learnedPublisher) next(sch *Scheduler, now time.Time) []byte {
	if now.Sub(pub.computedAt) < learnedPeriod {
		return nil
	}
	pub.computedAt = now
	for limit := maxLearnedEffects >> pub.excess; ; limit /= 2 {
		data := batchstore.Encode(batchstore.FromKnowledge(sch.Knowledge(limit)))
		switch {
		case len(data) <= maxLearnedBytes && !bytes.Equal(data, pub.data):
			return data
		case len(data) <= maxLearnedBytes || limit == 0:
			return nil
		}
		pub.excess++
	}
}
