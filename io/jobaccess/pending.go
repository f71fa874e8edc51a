package jobaccess

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/io/batchstore"
)

const (
	// countPeriod bounds how often a client reads all jobs while nobody publishes the numbers of waiting ones.
	countPeriod = PendingValidity / 2
	listLimit   = 500 // rows of a list, the most that the platform returns at once
)

// counter keeps the last count of the waiting jobs. The zero value has none.
type counter struct {
	mu        sync.Mutex
	countedAt time.Time
	numbers   map[string]int // by queue
}

// pending returns the waiting jobs by queue as counted within countPeriod. It lets one caller count at a time.
func (cnt *counter) pending(ctx context.Context, count func(context.Context) (map[string]int, error)) (map[string]int, error) {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	if cnt.numbers != nil && time.Since(cnt.countedAt) < countPeriod {
		return cnt.numbers, nil
	}
	begun := time.Now()
	nums, err := count(ctx)
	if err != nil {
		return nil, err
	}
	cnt.countedAt, cnt.numbers = begun, nums
	return nums, nil
}

// countPending counts the accepted jobs that are not cancelled and have no run, by queue.
func (clt *Client) countPending(ctx context.Context) (map[string]int, error) {
	started := make(map[string]bool)
	err := clt.eachRow(ctx, clt.part.StatesPrefix(), func(_ string, val []byte) {
		rec, err := batchstore.DecodeState(val)
		if err != nil {
			return // a piece of a state of several rows, or a state that no owner can use
		}
		started[clt.part.StateKey(rec.ID)] = rec.State != batch.JobQueued
	})
	if err != nil {
		return nil, err
	}
	queues := make(map[string]string) // by job
	for _, prefix := range clt.part.JobsPrefixes() {
		err := clt.eachRow(ctx, prefix, func(key string, val []byte) {
			id, cancel := clt.part.ParseJobKey(key)
			if cancel {
				delete(queues, id) // its row sorts before that of the cancellation
				return
			}
			job, err := batchstore.DecodeJob(val)
			if err != nil {
				clt.log.Warn("cannot decode an accepted job", zap.String("job", id), zap.Error(err))
				return
			}
			if !started[clt.part.StateKey(id)] {
				queues[id] = job.Queue()
			}
		})
		if err != nil {
			return nil, err
		}
	}
	nums := make(map[string]int)
	for _, queue := range queues {
		nums[queue]++
	}
	return nums, nil
}

// eachRow visits all rows with a prefix in the order of their keys.
func (clt *Client) eachRow(ctx context.Context, prefix string, visit func(key string, val []byte)) error {
	for after := ""; ; {
		rows, err := clt.table.List(ctx, prefix, after, listLimit)
		if err != nil {
			return err
		}
		for _, row := range rows {
			visit(row.Key(), row.Value())
		}
		if len(rows) < listLimit {
			return nil
		}
		after = rows[len(rows)-1].Key()
	}
}
