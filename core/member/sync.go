package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// startSync sends the digests of all buckets to one random member.
func (mac *Machine) startSync() {
	if ent := mac.randomTarget(); ent != nil && mac.repairLimiter.permits() {
		msg := mac.compose(KindSync, mac.nextSequence(), ent.update.instance).WithDigests(mac.digestList())
		mac.repairLimiter.spend(msg.Size())
		mac.sendTo(ent, msg)
	}
}

func (mac *Machine) digestList() []uint32 { return slices.Clone(mac.digests[:]) }

// syncSoon moves the next digest comparison forward, because there may be more differences.
func (mac *Machine) syncSoon(now time.Time) {
	soon := now.Add(SyncRepeat)
	if mac.joining() {
		soon = now.Add(joinSyncRepeat) // most of what a comparison would bring is broadcast anyway
	}
	if soon.Before(mac.nextSync) {
		mac.nextSync = soon
	}
}

// receiveSync sends the entries of the buckets that differ and asks for those of the sender. It
// starts at a random bucket, so that repeated comparisons reach all of them.
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
	if sent > 0 && msg.kind == KindSync && mac.repairLimiter.permits() {
		reply := mac.compose(KindSyncReply, msg.sequence, from).WithDigests(mac.digestList())
		mac.repairLimiter.spend(reply.Size())
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
			updates = append(updates, ent.unsuspected())
		}
	}
	return updates
}

// unsuspected returns the update about the member without a suspicion, as digests also count
// suspects as alive. A suspicion sent in a comparison could reach members after it has ended, for
// example when the link between regions is restored, and each of them would ping the suspect.
func (ent *entry) unsuspected() Update {
	upd := ent.update
	if upd.state == StateSuspect {
		upd.state = StateAlive
	}
	return upd
}

// sendAll sends the updates in as many datagrams as they need, as far as the rate limit permits.
func (mac *Machine) sendAll(knd MessageKind, to Address, id fleet.InstanceID, updates []Update) {
	for len(updates) > 0 && mac.repairLimiter.permits() {
		msg := mac.compose(knd, mac.nextSequence(), id)
		room := MaxDatagram - msg.Size()
		num := 0
		for num < len(updates) && updates[num].Size() <= room {
			room -= updates[num].Size()
			num++
		}
		if num == 0 {
			num = 1 // profiles are checked to fit into a datagram; io/gossip drops a longer one
		}
		msg = msg.WithUpdates(updates[:num])
		mac.repairLimiter.spend(msg.Size())
		mac.send(to, mac.regionOf(id), msg)
		updates = updates[num:]
	}
}

// fetch asks a random member for missing profiles. While this process joins and gets no answers it
// asks less often, because in a joining fleet a few members are asked by many.
func (mac *Machine) fetch(now time.Time) {
	if !mac.mayLackProfiles || !mac.fetchLimiter.permits() {
		return
	}
	wanted := mac.membersWithoutProfile()
	if len(wanted) == 0 {
		mac.mayLackProfiles = false
		return
	}
	if ent := mac.randomTarget(); ent != nil {
		msg := mac.compose(KindFetch, mac.nextSequence(), ent.update.instance)
		msg = msg.WithWanted(truncateIDs(wanted, MaxDatagram-msg.Size()))
		mac.fetchLimiter.spend(msg.Size())
		if mac.joining() {
			mac.unansweredFetches++
			mac.nextFetch = now.Add(FetchPeriod << min(mac.unansweredFetches, fetchBackoff))
		}
		mac.sendTo(ent, msg)
	}
}

// fetchFrom asks a member for its own profile at the address that it sent from. While a fleet
// joins, no other member may have it.
func (mac *Machine) fetchFrom(src Address, ent *entry) {
	if !mac.fetchLimiter.permits() {
		return
	}
	msg := mac.compose(KindFetch, mac.nextSequence(), ent.update.instance).WithWanted([]fleet.InstanceID{ent.update.instance})
	mac.fetchLimiter.spend(msg.Size())
	mac.send(src, "", msg)
}

// membersWithoutProfile returns up to fetchLimit members whose profile is missing or outdated. It
// starts at a random one, because the member that is asked may lack the same profiles.
func (mac *Machine) membersWithoutProfile() []fleet.InstanceID {
	var wanted []fleet.InstanceID
	size := mac.roster.Len()
	first := mac.random.IntN(max(size, 1))
	for off := 0; off < size && len(wanted) < fetchLimit; off++ {
		id, ent := mac.roster.At((first + off) % size)
		if ent.update.state != StateDead && ent.lacksProfile() {
			wanted = append(wanted, id)
		}
	}
	return wanted
}

// truncateIDs returns the first identities whose encoded form fits into room bytes.
func truncateIDs(ids []fleet.InstanceID, room int) []fleet.InstanceID {
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
	asker, known := mac.roster.Get(msg.sender.instance)
	if len(msg.wanted) >= fetchLimit || !known || asker.profile == nil {
		updates = append(updates, mac.sampleProfiles(fetchLimit-len(updates))...)
	}
	mac.sendAll(KindProfiles, src, msg.sender.instance, updates)
}

// sampleProfiles returns up to num known profiles, starting at a random one. A member that joins
// together with many others lacks most profiles, and few members know those that it asked for. A
// member that has only just started may know no member but the seed to ask for.
func (mac *Machine) sampleProfiles(num int) []Update {
	var updates []Update
	size := mac.roster.Len()
	first := mac.random.IntN(max(size, 1))
	for off := 0; off < size && len(updates) < num; off++ {
		if _, ent := mac.roster.At((first + off) % size); !ent.lacksProfile() && ent.update.state != StateDead {
			updates = append(updates, ent.full())
		}
	}
	return updates
}
