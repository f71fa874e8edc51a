package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// source is the way in which an update about a third member arrived.
type source int

const (
	sourceGossip source = iota // piggybacked on another datagram
	sourceRepair               // digest comparison or fetch; may be long outdated, and its profiles are not broadcast
)

// Receive processes a datagram that arrived from the address src.
func (mac *Machine) Receive(now time.Time, src Address, msg Message) {
	if msg.to != "" && msg.to != mac.self.instance {
		return // the address belonged to another member before
	}
	if msg.sender.instance == mac.self.instance {
		mac.replaced = mac.replaced || msg.sender.version.incarnation > mac.self.version.incarnation
		return
	}
	if msg.sender.state == StateSuspect || msg.sender.state == StateDead {
		return // no process declares itself suspect or dead
	}
	if msg.kind == KindAck && mac.liveCount() == 1 {
		mac.introducer = msg.sender.instance
	}
	mac.merge(now, msg.sender, sourceGossip)
	from := sourceGossip
	if msg.kind == KindEntries || msg.kind == KindProfiles {
		from = sourceRepair
	}
	for _, upd := range msg.updates {
		mac.merge(now, upd, from)
	}
	if ent, found := mac.roster.Get(msg.sender.instance); found {
		ent.head = msg.head
		mac.recordContact(now, ent)
		if ent.profile == nil && msg.kind == KindPing && msg.to != "" {
			mac.fetchFrom(src, ent)
		}
		ent.underSuspicion = ent.underSuspicion && ent.update.state != StateLeaving
	}
	mac.dispatch(now, src, msg)
}

func (mac *Machine) dispatch(now time.Time, src Address, msg Message) {
	switch msg.kind {
	case KindPing:
		mac.receivePing(src, msg)
	case KindAck:
		mac.receiveAck(now, msg)
	case KindPingRequest:
		mac.receivePingRequest(now, src, msg)
	case KindNack:
		mac.receiveNack(msg)
	case KindSync, KindSyncReply:
		mac.receiveSync(src, msg)
	case KindFetch:
		mac.receiveFetch(src, msg)
	case KindProfiles:
		mac.fetchLimiter.spend(msg.Size())
		mac.unansweredFetches = 0
	}
}

// merge applies an update about a member.
func (mac *Machine) merge(now time.Time, upd Update, src source) {
	if upd.instance == mac.self.instance {
		mac.refute(upd)
		return
	}
	ent, found := mac.roster.Get(upd.instance)
	if !found {
		mac.addMember(now, upd, src)
		return
	}
	mac.mergeProfile(ent, upd, src)
	if !upd.supersedes(ent.update.version, ent.update.state) {
		return
	}
	if upd.state == StateDead && ent.unreachable() {
		return // the sender may not have noticed yet that the whole data centre is unreachable
	}
	if upd.state == StateDead && (ent.update.state == StateAlive || (ent.update.state == StateSuspect && src == sourceRepair)) {
		mac.mergeDeath(now, ent, upd, src)
		return
	}
	if src == sourceRepair {
		mac.syncSoon(now)
	}
	mac.adopt(now, ent, upd, src)
}

// adopt replaces the latest update about a member.
func (mac *Machine) adopt(now time.Time, ent *entry, upd Update, src source) {
	restarted := upd.version.incarnation > ent.update.version.incarnation
	revived := ent.update.state == StateDead && upd.state != StateDead
	ent.update.version = upd.version
	if restarted {
		ent.profile, ent.profileAt = nil, 0
		mac.listsStale = true
	}
	ent.update.profileAt = upd.profileAt
	mac.mayLackProfiles = mac.mayLackProfiles || ent.lacksProfile()
	mac.mergeProfile(ent, upd, src)
	if revived {
		// Other members of its partition may be back too.
		mac.nextDeadRetry = now.Add(time.Duration(mac.random.Int64N(int64(mac.deadPeriod(mac.Count(StateDead))))))
	}
	if upd.state == StateSuspect {
		mac.suspect(now, ent, false)
		return
	}
	mac.setState(now, ent, upd.state)
}

// mergeDeath applies an update that declares a live member dead. The update may be left over from a
// network partition, so the member gets the suspicion period to refute it. Digest comparisons can
// bring many deaths at once; these are queued and verified one by one.
func (mac *Machine) mergeDeath(now time.Time, ent *entry, upd Update, src source) {
	if src == sourceGossip {
		ent.update.version = upd.version
		mac.suspect(now, ent, false)
		return
	}
	known := slices.ContainsFunc(mac.reportedDeaths, func(dth Update) bool { return dth.instance == upd.instance })
	if !known && len(mac.reportedDeaths) < reportedDeathLimit {
		mac.reportedDeaths = append(mac.reportedDeaths, upd.brief())
	}
}

// suspectReportedDead starts a suspicion for the next queued death that was not refuted meanwhile.
func (mac *Machine) suspectReportedDead(now time.Time) {
	for len(mac.reportedDeaths) > 0 {
		dth := mac.reportedDeaths[0]
		mac.reportedDeaths = mac.reportedDeaths[1:]
		ent, found := mac.roster.Get(dth.instance)
		if found && ent.update.state == StateAlive && dth.version.Compare(ent.update.version) >= 0 {
			ent.update.version = dth.version
			mac.suspect(now, ent, true)
			return
		}
	}
}

// refute raises the counter of this process if the update would supersede its own statement.
func (mac *Machine) refute(upd Update) {
	if upd.version.incarnation > mac.self.version.incarnation {
		mac.replaced = true
		return
	}
	if !upd.supersedes(mac.self.version, mac.self.state) {
		return
	}
	mac.updateSelf(upd.version.counter+1, mac.self.state)
	mac.broadcasts.add(mac.self.instance, false)
	mac.health.worsen()
}

func (mac *Machine) addMember(now time.Time, upd Update, src source) {
	if upd.state == StateDead {
		return
	}
	ent := &entry{update: upd.brief(), bucket: bucketOf(upd.instance)}
	ent.update.state = StateAlive
	mac.mergeProfile(ent, upd, src)
	mac.roster.Set(upd.instance, ent)
	mac.rehash(ent)
	mac.mayLackProfiles = true
	mac.changes = append(mac.changes, Change{instance: upd.instance, to: ent.state(), added: true})
	if src == sourceGossip {
		mac.broadcasts.add(upd.instance, false)
	}
	mac.listsStale = true
	if src == sourceRepair || mac.roster.Len() == 1 {
		mac.syncSoon(now)
	}
	switch upd.state {
	case StateSuspect:
		mac.suspect(now, ent, false)
	case StateLeaving:
		mac.setState(now, ent, StateLeaving)
	}
}

// mergeProfile stores a profile that is newer than the known one.
func (mac *Machine) mergeProfile(ent *entry, upd Update, src source) {
	if !upd.Full() || upd.version.incarnation != ent.update.version.incarnation {
		return
	}
	if ent.profile != nil && upd.profileAt <= ent.profileAt {
		return
	}
	ent.profile, ent.profileAt = upd.profile, upd.profileAt
	ent.dataCentre = mac.dataCentreOf(upd.profile.location)
	ent.update.profileAt = max(ent.update.profileAt, upd.profileAt)
	mac.listsStale = true
	if src == sourceGossip {
		mac.broadcasts.add(ent.update.instance, true)
	}
	mac.changes = append(mac.changes, Change{instance: ent.update.instance, from: ent.state(), to: ent.state()})
}

// setState records the state of a member and broadcasts it.
func (mac *Machine) setState(now time.Time, ent *entry, sta State) {
	before, seen := ent.update.state, ent.state()
	ent.update.state = sta
	ent.underSuspicion = sta == StateSuspect
	if sta == StateDead && before != StateDead {
		ent.diedAt = now
	}
	mac.rehash(ent)
	mac.broadcasts.add(ent.update.instance, false)
	if before == sta {
		return
	}
	if seen != ent.state() {
		mac.changes = append(mac.changes, Change{instance: ent.update.instance, from: seen, to: ent.state()})
	}
	mac.listsStale = mac.listsStale || before == StateDead || sta == StateDead
}

// rehash updates the digest of the member's bucket.
func (mac *Machine) rehash(ent *entry) {
	mac.digests[ent.bucket] ^= ent.hash
	ent.hash = ent.update.hash()
	mac.digests[ent.bucket] ^= ent.hash
}

// suspect starts the suspicion period of a member; local is false if this process knows of the
// suspicion only by gossip. A leaving member keeps its state meanwhile and need not refute: any
// datagram from it ends the suspicion.
func (mac *Machine) suspect(now time.Time, ent *entry, local bool) {
	if ent.suspectedLocally = local; !local {
		mac.prioritize(now, ent.dataCentre)
	}
	ent.suspicionEndsAt = now.Add(SuspicionPeriod)
	ent.nextConfirmAt = now
	if !slices.Contains(mac.suspects, ent) {
		mac.suspects = append(mac.suspects, ent)
	}
	if ent.update.state == StateLeaving {
		ent.underSuspicion = true
		mac.rehash(ent)
		return
	}
	mac.setState(now, ent, StateSuspect)
}

// checkSuspects pings suspects again and declares those dead whose suspicion period is over.
func (mac *Machine) checkSuspects(now time.Time) {
	kept := mac.suspects[:0]
	pings := 0
	for _, ent := range mac.suspects {
		if !ent.underSuspicion {
			continue
		}
		if ent.unreachable() {
			ent.suspicionEndsAt, ent.nextConfirmAt = now.Add(SuspicionPeriod), now // nothing from the suspect can arrive
			kept = append(kept, ent)
			continue
		}
		if !now.Before(ent.suspicionEndsAt) && !ent.awaitsDataCentreProbe(now) {
			mac.setState(now, ent, StateDead)
			continue
		}
		kept = append(kept, ent)
		confirms := ent.suspectedLocally || ent.suspicionEndsAt.Sub(now) <= confirmWindow
		if confirms && ent.profile != nil && pings < confirmLimit && !now.Before(ent.nextConfirmAt) {
			pings++
			ent.nextConfirmAt = now.Add(confirmPeriod)
			mac.pingToConfirm(ent)
		}
	}
	mac.suspects = kept
}

// deadPeriod returns the time between pings of this process to dead members. It grows with the
// fleet, so that the fleet as a whole does not ping a few dead members so often that the first one
// to return exceeds its traffic limit.
func (mac *Machine) deadPeriod(dead int) time.Duration {
	return min(maxDeadRetryPeriod, time.Duration(mac.roster.Len()+1)*deadSpacing/time.Duration(max(dead, 1)))
}

// retryDead pings a random dead member, which refutes its death if it is back, and removes the
// members that have been dead for longer than DeadRetention.
func (mac *Machine) retryDead(now time.Time) {
	var dead []*entry
	var expired []fleet.InstanceID
	for id, ent := range mac.roster.All() {
		switch {
		case ent.unreachable() && now.Sub(ent.dataCentre.unreachableSince) > DeadRetention:
			expired = append(expired, id)
		case ent.update.state != StateDead || ent.unreachable(): // see pingUnreachable
		case now.Sub(ent.diedAt) > DeadRetention:
			expired = append(expired, id)
		case ent.profile != nil:
			dead = append(dead, ent)
		}
	}
	for _, id := range expired {
		mac.roster.Delete(id)
		mac.listsStale = true
	}
	if len(dead) > 0 {
		mac.nextDeadRetry = now.Add(max(DeadRetryPeriod, mac.deadPeriod(len(dead))))
		mac.pingToConfirm(dead[mac.random.IntN(len(dead))])
	}
}
