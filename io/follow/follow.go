// Package follow keeps a view of a table of the store up to date through its feed.
//
// A Follower reads the table once and then takes changes by long polls. When the
// history is gone, it reads the table anew. It tells how old its view may be, so
// that its user can stop what a newer row could forbid.
package follow

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/decision"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
)

const (
	pollWait      = time.Second            // a silent connection is noticed within this and the client's slack
	minRetryDelay = 50 * time.Millisecond  // after a failed call
	maxRetryDelay = 400 * time.Millisecond // an outage ends with one call per follower in this time
)

// Follower follows the rows of a table whose keys have one of some prefixes.
type Follower struct {
	feed        store.Feed
	prefixes    []string
	apply       func(rows []store.Row, whole bool)
	clock       func() time.Time
	log         *zap.Logger
	currentAsOf atomic.Int64
}

// New returns a follower that calls apply with changed rows, or with all rows
// (whole) after it has read the table. Apply is called from one goroutine.
func New(fee store.Feed, prefixes []string, clk func() time.Time, log *zap.Logger, apply func(rows []store.Row, whole bool)) *Follower {
	return &Follower{feed: fee, prefixes: prefixes, apply: apply, clock: clk, log: log}
}

// Confirmed returns the time of which the view is certainly not older, zero before the first reading.
func (fol *Follower) CurrentAsOf() time.Time {
	if val := fol.currentAsOf.Load(); val != 0 {
		return time.Unix(0, val)
	}
	return time.Time{}
}

// Run follows until the context ends.
func (fol *Follower) Run(ctx context.Context) {
	retry := minRetryDelay
	lost := false
	for ctx.Err() == nil {
		err := fol.follow(ctx, func() {
			if lost {
				fol.log.Info(string(decision.FeedRegained), zap.String("rows", fol.prefixes[0]))
			}
			lost, retry = false, minRetryDelay
		})
		if ctx.Err() != nil {
			return
		}
		if !lost && !errors.Is(err, store.ErrCompacted) {
			fol.log.Warn(string(decision.FeedLost), zap.String("rows", fol.prefixes[0]), zap.Error(err))
			lost = true
		}
		if control.Pause(ctx, retry) != nil {
			return
		}
		retry = min(maxRetryDelay, 2*retry)
	}
}

func (fol *Follower) follow(ctx context.Context, reached func()) error {
	asked := fol.clock()
	all, err := fol.snapshot(ctx)
	if err != nil {
		return errors.Wrap(err, "read table")
	}
	reached()
	fol.apply(all.Rows(), true)
	fol.currentAsOf.Store(asked.UnixNano())
	table, _, _ := strings.Cut(fol.prefixes[0], "/")
	failures := 0
	for after := all.Version(); ; {
		asked = fol.clock()
		chg, err := fol.feed.Changes(ctx, table, after, pollWait)
		if errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
			return err
		}
		if err != nil {
			// The view stays; only the history may be gone when the store is back.
			if failures++; failures == 1 {
				fol.log.Warn(string(decision.FeedInterrupted), zap.String("rows", fol.prefixes[0]), zap.Error(err))
			}
			if err := control.Pause(ctx, min(maxRetryDelay, minRetryDelay<<min(failures, 4))); err != nil {
				return err
			}
			continue
		}
		failures = 0
		fol.currentAsOf.Store(asked.UnixNano())
		after = max(after, chg.Version())
		if rows := fol.matching(chg.Rows()); len(rows) > 0 {
			fol.apply(rows, false)
		}
	}
}

// snapshot reads all prefixes at once and continues from the oldest reading.
func (fol *Follower) snapshot(ctx context.Context) (store.Changes, error) {
	parts := make([]store.Changes, len(fol.prefixes))
	grp, ctx := errgroup.WithContext(ctx)
	for num, prefix := range fol.prefixes {
		grp.Go(func() error {
			chg, err := fol.feed.Snapshot(ctx, prefix)
			parts[num] = chg
			return err
		})
	}
	if err := grp.Wait(); err != nil {
		return store.Changes{}, err
	}
	var rows []store.Row
	ver := parts[0].Version()
	for _, part := range parts {
		rows = append(rows, part.Rows()...)
		ver = min(ver, part.Version())
	}
	return store.NewChanges(rows, ver), nil
}

func (fol *Follower) matching(rows []store.Row) []store.Row {
	out := make([]store.Row, 0, len(rows))
	for _, row := range rows {
		for _, prefix := range fol.prefixes {
			if strings.HasPrefix(row.Key(), prefix) {
				out = append(out, row)
				break
			}
		}
	}
	return out
}
