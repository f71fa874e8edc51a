package batchowner

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/io/batchstore"
)

// readPresence reads the presence of instances that the previous owner stored.
func (osp *ownership) readPresence(ctx context.Context) (batchstore.Presence, error) {
	rows, err := osp.cfg.Table.Read(ctx, osp.cfg.Partition.PresenceKey())
	if err != nil || !rows[0].Exists() {
		return batchstore.Presence{}, err
	}
	prs, err := batchstore.DecodePresence(rows[0].Value())
	if err != nil {
		// Without a presence no instance counts as silent, so the longest wait applies to all.
		osp.cfg.Log.Error("cannot decode the presence of the instances", zap.Error(err))
		return batchstore.Presence{}, nil
	}
	return prs, nil
}

// encodePresence returns the value of the presence row.
func (osp *ownership) encodePresence(prs batch.Presence) []byte {
	return batchstore.Encode(batchstore.FromPresence(osp.epoch, prs))
}

// changedPresence returns the presence to store, nil if it equals the stored one.
func (wrt *writer) changedPresence(sch *Scheduler, now time.Time) *batch.Presence {
	if !wrt.presenceDue && !sch.PresenceChanged(now) {
		return nil
	}
	prs := sch.Presence(now)
	wrt.presenceDue = !bytes.Equal(wrt.encodePresence(prs), wrt.presence)
	if !wrt.presenceDue {
		return nil
	}
	return &prs
}

// grantWait is how long the answer to a report waits until the presence of the instance is stored. It
// is the time of a few transactions. If it passes, a later report gets the grant.
const grantWait = 200 * time.Millisecond

// grantableSet is the set of instances that may be granted time because the stored presence contains
// them, so that the next owner knows of them. The zero value is empty. It is safe for concurrent use.
type grantableSet struct {
	mu      sync.Mutex
	ids     map[fleet.InstanceID]bool
	named   map[fleet.InstanceID]bool // by a presence that may be the stored one, see offer
	changed chan struct{}
}

// offer records that a presence is about to be stored. Until set is called, the stored one may be this or an earlier
// one. An instance that does not report by one of them may not be granted time.
func (gst *grantableSet) offer(prs batch.Presence) {
	gst.mu.Lock()
	defer gst.mu.Unlock()
	if gst.named == nil {
		gst.named = make(map[fleet.InstanceID]bool)
	}
	maps.Copy(gst.named, setOf(prs.Named(LostAfter)))
	now := setOf(prs.Reported)
	maps.DeleteFunc(gst.ids, func(id fleet.InstanceID, _ bool) bool { return !now[id] })
}

func setOf(ids []fleet.InstanceID) map[fleet.InstanceID]bool {
	out := make(map[fleet.InstanceID]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// set records that a presence is stored.
func (gst *grantableSet) set(prs batch.Presence) {
	gst.mu.Lock()
	defer gst.mu.Unlock()
	gst.ids, gst.named = setOf(prs.Reported), setOf(prs.Named(LostAfter))
	if gst.changed != nil {
		close(gst.changed)
		gst.changed = nil
	}
}

// successors returns the instances whose processes a stored presence may name, so that they wait for a short time only if
// they take over.
func (gst *grantableSet) successors() []fleet.InstanceID {
	gst.mu.Lock()
	defer gst.mu.Unlock()
	return slices.Collect(maps.Keys(gst.named))
}

func (gst *grantableSet) len() int {
	gst.mu.Lock()
	defer gst.mu.Unlock()
	return len(gst.ids)
}

// check reports whether an instance may be granted time, and returns a channel that is closed at the
// next call of set.
func (gst *grantableSet) check(id fleet.InstanceID) (bool, <-chan struct{}) {
	gst.mu.Lock()
	defer gst.mu.Unlock()
	if gst.changed == nil {
		gst.changed = make(chan struct{})
	}
	return gst.ids[id], gst.changed
}

// await waits up to grantWait until an instance may be granted time, and reports whether it may.
func (gst *grantableSet) await(ctx context.Context, id fleet.InstanceID) bool {
	found, changed := gst.check(id)
	if found {
		return true
	}
	tmr := time.NewTimer(grantWait)
	defer tmr.Stop()
	for !found {
		select {
		case <-changed:
			found, changed = gst.check(id)
		case <-tmr.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}
