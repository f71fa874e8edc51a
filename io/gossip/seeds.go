package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/store"
)

const rowPrefix = "member/"

// Timing and limits of seed rows. At 1,400 processes the hourly refresh causes less than one write
// in two seconds.
const (
	rowRefresh   = time.Hour
	rowExpiry    = 3 * time.Hour // a process that runs refreshes its row within this time
	rowRetry     = 5 * time.Second
	rowTimeout   = 3 * time.Second
	rowSample    = 500 // rows read to choose seeds from
	seedCount    = 16
	expiredLimit = 8 // rows deleted after one listing
)

// seedBody is the JSON value of the seed row of a process.
type seedBody struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	PeerAddress   string `json:"peerAddress"`
	GossipAddress string `json:"gossipAddress"`
	WrittenMillis int64  `json:"writtenUnixMillis"`
}

// seedRows writes the seed row of this process and reads those of others.
type seedRows struct {
	table    store.Table
	instance fleet.InstanceID
	inc      fleet.Incarnation
	changed  chan struct{}
	mu       sync.Mutex
	profile  member.Profile
	version  store.Version // of the row as this process wrote it
	left     bool
}

func newSeedRows(tab store.Table, set Settings) *seedRows {
	return &seedRows{table: tab, instance: set.instance, inc: set.incarnation, profile: set.profile, changed: make(chan struct{}, 1)}
}

func (sed *seedRows) key() string { return rowPrefix + string(sed.instance) }

// set replaces the profile, and has the row rewritten if an address changed.
func (sed *seedRows) set(pro member.Profile) {
	sed.mu.Lock()
	same := sed.profile.PeerAddress() == pro.PeerAddress() && sed.profile.GossipAddress() == pro.GossipAddress()
	sed.profile = pro
	sed.mu.Unlock()
	if same {
		return
	}
	select {
	case sed.changed <- struct{}{}:
	default: // a change is pending already
	}
}

// run writes and refreshes the row until the context ends. While the process knows no other live
// member, it also reads the rows of others and passes their addresses to found.
func (sed *seedRows) run(ctx context.Context, isolated func() bool, found func(seeds []member.Address)) {
	written := false
	for ctx.Err() == nil {
		if !written {
			written = sed.write(ctx)
		}
		alone := isolated()
		if alone {
			if seeds := sed.list(ctx); len(seeds) > 0 {
				found(seeds)
			}
		}
		wait := rowRefresh
		if alone || !written {
			wait = rowRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-sed.changed:
			written = false
		case <-time.After(wait):
			written = written && wait != rowRefresh
		}
	}
}

// write stores the row. It needs no condition: only this process writes it, and
// a later incarnation under the same identity is meant to replace it.
func (sed *seedRows) write(ctx context.Context) bool {
	sed.mu.Lock()
	pro, left := sed.profile, sed.left
	sed.mu.Unlock()
	if left {
		return true
	}
	raw, err := json.Marshal(seedBody{Instance: string(sed.instance), Incarnation: uint64(sed.inc),
		PeerAddress: string(pro.PeerAddress()), GossipAddress: string(pro.GossipAddress()), WrittenMillis: time.Now().UnixMilli()})
	if err != nil {
		return false
	}
	var txn store.Transaction
	txn.Put(sed.key(), raw)
	ver := sed.commit(ctx, &txn)
	sed.mu.Lock()
	defer sed.mu.Unlock()
	sed.version = ver
	return ver != 0
}

// commit returns the version of the rows written, zero if that is not certain.
func (sed *seedRows) commit(ctx context.Context, txn *store.Transaction) store.Version {
	limited, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	res, err := sed.table.Commit(limited, txn)
	if err != nil {
		metrics.GetOrCreateCounter("jacinthpost_gossip_failed_row_writes_total").Inc()
	}
	return res.Version()
}

// leave deletes the row, so that starting processes don't try this one. The row
// of a later process with the same identity stays.
func (sed *seedRows) leave(ctx context.Context) {
	sed.mu.Lock()
	sed.left = true
	ver := sed.version
	sed.mu.Unlock()
	var txn store.Transaction
	txn.Require(sed.key(), ver)
	txn.Delete(sed.key())
	sed.commit(ctx, &txn)
}

// list returns random seeds from the rows that follow the own one in key order, so that processes
// choose different seeds. If few rows follow, it adds the first rows.
func (sed *seedRows) list(ctx context.Context) []member.Address {
	limited, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	rows, err := sed.table.List(limited, rowPrefix, sed.key(), rowSample)
	if err != nil {
		return nil
	}
	if len(rows) < seedCount {
		first, err := sed.table.List(limited, rowPrefix, "", rowSample)
		if err != nil {
			return nil
		}
		rows = append(rows, first...)
	}
	var seeds []member.Address
	var expired []store.Row
	oldest := time.Now().Add(-rowExpiry).UnixMilli()
	for _, row := range rows {
		var bod seedBody
		switch err := json.Unmarshal(row.Value(), &bod); {
		case err != nil || strings.TrimPrefix(row.Key(), rowPrefix) == string(sed.instance):
		case bod.WrittenMillis < oldest:
			expired = append(expired, row)
		default:
			seeds = append(seeds, member.Address(bod.GossipAddress))
		}
	}
	rand.Shuffle(len(seeds), func(one, two int) { seeds[one], seeds[two] = seeds[two], seeds[one] })
	sed.remove(ctx, expired)
	return seeds[:min(len(seeds), seedCount)]
}

// remove deletes a few expired rows unless they have changed since.
func (sed *seedRows) remove(ctx context.Context, expired []store.Row) {
	for _, row := range expired[:min(len(expired), expiredLimit)] {
		var txn store.Transaction
		txn.Require(row.Key(), row.Version())
		txn.Delete(row.Key())
		if sed.commit(ctx, &txn) == 0 {
			return
		}
	}
}
