// Package follow keeps a view of a table of the store up to date through the store's feed.
//
// A Follower reads the table once and then gets changes by long polls. If the feed no longer has the
// changes since its last poll, it reads the table again. It also returns the time as of which the view
// is current, so that callers can refrain from actions that a newer row might forbid.
package follow

import (
	"cmp"
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
	pollWait      = time.Second            // a dead connection is detected after this time and the client's margin
	minRetryDelay = 50 * time.Millisecond  // after the first failed call
	maxRetryDelay = 400 * time.Millisecond // limits the calls of a follower during an outage
)

// Follower follows the rows of a table whose keys have one of its prefixes.
type Follower struct {
	feed        store.Feed
	prefixes    []string
	apply       func(rows []store.Row, whole bool)
	clock       func() time.Time
	log         *zap.Logger
	currentAsOf atomic.Int64
	pollWait    time.Duration // zero selects the default
}

// SetPollWait sets how long a poll waits for changes, instead of a second. It must be called before Run.
func (fol *Follower) SetPollWait(wait time.Duration) { fol.pollWait = wait }

// New returns a follower. It calls apply with all rows and whole set after it has read the table, and
// with the changed rows otherwise. Run makes these calls from its own goroutine. The prefixes must
// belong to one table.
func New(fee store.Feed, prefixes []string, clk func() time.Time, log *zap.Logger, apply func(rows []store.Row, whole bool)) *Follower {
	return &Follower{feed: fee, prefixes: prefixes, apply: apply, clock: clk, log: log}
}

// CurrentAsOf returns a time up to which the view has all changes, zero before the first read. They have been passed
// to apply.
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
		chg, err := fol.feed.Changes(ctx, table, after, cmp.Or(fol.pollWait, pollWait))
		if errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
			return err
		}
		if err != nil {
			// The view stays valid. It is read again only if the feed no longer has the changes since.
			if failures++; failures == 1 {
				fol.log.Warn(string(decision.FeedInterrupted), zap.String("rows", fol.prefixes[0]), zap.Error(err))
			}
			if err := control.Pause(ctx, min(maxRetryDelay, minRetryDelay<<min(failures, 4))); err != nil {
				return err
			}
			continue
		}
		failures = 0
		after = max(after, chg.Version())
		if rows := fol.matching(chg.Rows()); len(rows) > 0 {
			fol.apply(rows, false)
		}
		fol.currentAsOf.Store(asked.UnixNano())
	}
}

// snapshot reads all prefixes concurrently. The result has the lowest version of these reads, so that
// no change after any of them is missed.
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

// matching returns the rows whose keys have one of the prefixes.
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
