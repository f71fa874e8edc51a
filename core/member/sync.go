package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// startSync sends the digests of all buckets to one random member.
func (mac *Machine) startSync() {
	if ent := mac.partner(); ent != nil {
		mac.sendTo(ent, mac.compose(KindSync, mac.nextSequence(), ent.update.instance).WithDigests(mac.digestList()))
	}
}

func (mac *Machine) digestList() []uint32 { return slices.Clone(mac.digests[:]) }

// learned makes the next comparison come soon, because there may be more to learn.
func (mac *Machine) learned(now time.Time) {
	if soon := now.Add(SyncRepeat); soon.Before(mac.nextSync) {
		mac.nextSync = soon
	}
}

// receiveSync sends the entries of buckets that differ, starting at a random
// one so that repeated comparisons reach all, and asks for those of the sender.
func (mac *Machine) receiveSync(src Address, msg Message) {
	if len(msg.digests) != SyncBuckets {
		return
	}
	from := msg.sender.instance
	first, sent := mac.random.IntN(SyncBuckets), 0
	for off := range SyncBuckets {
		bucket := (first + off) % SyncBuckets
		if msg.digests[bucket] != mac.digests[bucket] && sent < syncBucketLimit {
			sent++
			mac.sendAll(KindEntries, src, from, mac.bucketUpdates(bucket))
		}
	}
	if sent > 0 && msg.kind == KindSync {
		reply := mac.compose(KindSyncReply, msg.sequence, from).WithDigests(mac.digestList())
		mac.send(src, mac.regionOf(from), reply)
	}
}

func (mac *Machine) bucketUpdates(bucket int) []Update {
	var updates []Update
	if bucketOf(mac.self.instance) == bucket {
		updates = append(updates, mac.self.brief())
	}
	for _, ent := range mac.roster.All() {
		if ent.bucket == bucket {
			updates = append(updates, ent.update)
		}
	}
	return updates
}

// sendAll sends the updates in as many datagrams as they need.
func (mac *Machine) sendAll(knd MessageKind, to Address, id fleet.InstanceID, updates []Update) {
	for len(updates) > 0 {
		msg := mac.compose(knd, mac.nextSequence(), id)
		room := MaxDatagram - msg.Size()
		num := 0
		for num < len(updates) && updates[num].Size() <= room {
			room -= updates[num].Size()
			num++
		}
		if num == 0 {
			num = 1 // never happens while profiles are checked; the adapter drops what is too long
		}
		mac.send(to, mac.regionOf(id), msg.WithUpdates(updates[:num]))
		updates = updates[num:]
	}
}

// fetch asks a random member for profiles that this process lacks.
func (mac *Machine) fetch() {
	if !mac.lacking {
		return
	}
	var wanted []fleet.InstanceID
	for id, ent := range mac.roster.All() {
		if ent.update.state != StateDead && ent.lacksProfile() && len(wanted) < fetchLimit {
			wanted = append(wanted, id)
		}
	}
	if len(wanted) == 0 {
		mac.lacking = false
		return
	}
	if ent := mac.partner(); ent != nil {
		msg := mac.compose(KindFetch, mac.nextSequence(), ent.update.instance)
		mac.sendTo(ent, msg.WithWanted(fitting(wanted, MaxDatagram-msg.Size())))
	}
}

// fitting returns the first identities whose encoded form fits into the room in bytes.
func fitting(ids []fleet.InstanceID, room int) []fleet.InstanceID {
	for pos, id := range ids {
		if room -= len(id) + len(`"",`); room < 0 {
			return ids[:pos]
		}
	}
	return ids
}

func (mac *Machine) receiveFetch(src Address, msg Message) {
	var updates []Update
	for _, id := range msg.wanted[:min(len(msg.wanted), fetchLimit)] {
		if id == mac.self.instance {
			updates = append(updates, mac.self)
		}
		if ent, found := mac.roster.Get(id); found && !ent.lacksProfile() {
			updates = append(updates, ent.full())
		}
	}
	mac.sendAll(KindProfiles, src, msg.sender.instance, updates)
}
