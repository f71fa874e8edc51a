package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// source is how a statement about a third member arrived.
type source int

const (
	sourceGossip source = iota // piggybacked news
	sourceRepair               // comparison of digests or fetch: possibly long outdated; its profiles are not spread further
)

// Receive processes a datagram that came from an address.
func (mac *Machine) Receive(now time.Time, src Address, msg Message) {
	if msg.to != "" && msg.to != mac.self.instance {
		return // the address was used by another member before
	}
	if msg.sender.instance == mac.self.instance {
		mac.replaced = mac.replaced || msg.sender.version.incarnation > mac.self.version.incarnation
		return
	}
	if msg.sender.state == StateSuspect || msg.sender.state == StateDead {
		return // nobody says so about itself
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
		mac.heard(now, ent)
		if ent.profile == nil && msg.kind == KindPing && msg.to != "" {
			mac.fetchFrom(src, ent)
		}
		ent.doubted = ent.doubted && ent.update.state != StateLeaving
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
		mac.fetching.spend(msg.Size())
		mac.fetchTries = 0
	}
}

// merge takes a statement about a member into account.
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
		return // whoever says so may not have noticed yet that the whole data centre is silent
	}
	if upd.state == StateDead && (ent.update.state == StateAlive || (ent.update.state == StateSuspect && src == sourceRepair)) {
		mac.doubtDeath(now, ent, upd, src)
		return
	}
	if src == sourceRepair {
		mac.learned(now)
	}
	mac.adopt(now, ent, upd, src)
}

// adopt replaces the statement about a member.
func (mac *Machine) adopt(now time.Time, ent *entry, upd Update, src source) {
	restarted := upd.version.incarnation > ent.update.version.incarnation
	revived := ent.update.state == StateDead && upd.state != StateDead
	ent.update.version = upd.version
	if restarted {
		ent.profile, ent.profileAt = nil, 0
		mac.stale = true
	}
	ent.update.profileAt = upd.profileAt
	mac.lacking = mac.lacking || ent.lacksProfile()
	mac.mergeProfile(ent, upd, src)
	if revived {
		// Others of its partition may be back too.
		mac.nextDead = now.Add(time.Duration(mac.random.Int64N(int64(mac.deadPeriod(mac.Count(StateDead))))))
	}
	if upd.state == StateSuspect {
		mac.suspect(now, ent, false)
		return
	}
	mac.setState(now, ent, upd.state)
}

// doubtDeath treats the claim that a live member is dead. The claim may be left
// over from a network partition, so the member gets the suspicion period to
// refute it. Claims from comparisons can be many at once and are checked one by one.
func (mac *Machine) doubtDeath(now time.Time, ent *entry, upd Update, src source) {
	if src == sourceGossip {
		ent.update.version = upd.version
		mac.suspect(now, ent, false)
		return
	}
	known := slices.ContainsFunc(mac.claims, func(clm Update) bool { return clm.instance == upd.instance })
	if !known && len(mac.claims) < claimLimit {
		mac.claims = append(mac.claims, upd.brief())
	}
}

// checkClaim starts a suspicion for one claim that is still not refuted.
func (mac *Machine) checkClaim(now time.Time) {
	for len(mac.claims) > 0 {
		clm := mac.claims[0]
		mac.claims = mac.claims[1:]
		ent, found := mac.roster.Get(clm.instance)
		if found && ent.update.state == StateAlive && clm.version.Compare(ent.update.version) >= 0 {
			ent.update.version = clm.version
			mac.suspect(now, ent, true)
			return
		}
	}
}

// refute answers a statement about this process that is not its own.
func (mac *Machine) refute(upd Update) {
	if upd.version.incarnation > mac.self.version.incarnation {
		mac.replaced = true
		return
	}
	if !upd.supersedes(mac.self.version, mac.self.state) {
		return
	}
	mac.restate(upd.version.counter+1, mac.self.state)
	mac.news.add(mac.self.instance, false)
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
	mac.lacking = true
	mac.changes = append(mac.changes, Change{instance: upd.instance, to: ent.state(), added: true})
	if src == sourceGossip {
		mac.news.add(upd.instance, false)
	}
	mac.stale = true
	if src == sourceRepair || mac.roster.Len() == 1 {
		mac.learned(now)
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
	ent.centre = mac.centreOf(upd.profile.location)
	ent.update.profileAt = max(ent.update.profileAt, upd.profileAt)
	mac.stale = true
	if src == sourceGossip {
		mac.news.add(ent.update.instance, true)
	}
	mac.changes = append(mac.changes, Change{instance: ent.update.instance, from: ent.state(), to: ent.state()})
}

// setState records a state and spreads it.
func (mac *Machine) setState(now time.Time, ent *entry, sta State) {
	before, seen := ent.update.state, ent.state()
	ent.update.state = sta
	ent.doubted = sta == StateSuspect
	if sta == StateDead && before != StateDead {
		ent.diedAt = now
	}
	mac.rehash(ent)
	mac.news.add(ent.update.instance, false)
	if before == sta {
		return
	}
	if seen != ent.state() {
		mac.changes = append(mac.changes, Change{instance: ent.update.instance, from: seen, to: ent.state()})
	}
	mac.stale = mac.stale || before == StateDead || sta == StateDead
}

// rehash updates the digest of the bucket of a member.
func (mac *Machine) rehash(ent *entry) {
	mac.digests[ent.bucket] ^= ent.hash
	ent.hash = ent.update.hash()
	mac.digests[ent.bucket] ^= ent.hash
}

// suspect starts the suspicion period of a member. A leaving member keeps its
// state meanwhile: it has no need to refute, any datagram from it will do.
func (mac *Machine) suspect(now time.Time, ent *entry, accused bool) {
	if ent.accused = accused; !accused {
		mac.check(now, ent.centre)
	}
	ent.expiresAt = now.Add(SuspicionPeriod)
	ent.confirmAt = now
	if !slices.Contains(mac.suspects, ent) {
		mac.suspects = append(mac.suspects, ent)
	}
	if ent.update.state == StateLeaving {
		ent.doubted = true
		mac.rehash(ent)
		return
	}
	mac.setState(now, ent, StateSuspect)
}

// tickSuspects pings suspects again and declares those dead whose suspicion period is over.
func (mac *Machine) tickSuspects(now time.Time) {
	kept := mac.suspects[:0]
	pings := 0
	for _, ent := range mac.suspects {
		if !ent.doubted {
			continue
		}
		if ent.unreachable() {
			ent.expiresAt, ent.confirmAt = now.Add(SuspicionPeriod), now // nothing from it can arrive
			kept = append(kept, ent)
			continue
		}
		if !now.Before(ent.expiresAt) && !ent.undecided(now) {
			mac.setState(now, ent, StateDead)
			continue
		}
		kept = append(kept, ent)
		asks := ent.accused || ent.expiresAt.Sub(now) <= confirmWindow
		if asks && ent.profile != nil && pings < confirmLimit && !now.Before(ent.confirmAt) {
			pings++
			ent.confirmAt = now.Add(confirmPeriod)
			mac.challenge(ent)
		}
	}
	mac.suspects = kept
}

// deadPeriod spaces the pings to the dead, so that a few dead members are not
// pinged by the whole fleet at once: that would cost the first that returns more than its share of traffic.
func (mac *Machine) deadPeriod(dead int) time.Duration {
	return min(deadRetryLimit, time.Duration(mac.roster.Len()+1)*deadSpacing/time.Duration(max(dead, 1)))
}

// retryDead pings one dead member, which refutes if it is back, and forgets old ones.
func (mac *Machine) retryDead(now time.Time) {
	var dead []*entry
	var expired []fleet.InstanceID
	for id, ent := range mac.roster.All() {
		switch {
		case ent.unreachable() && now.Sub(ent.centre.silentAt) > DeadRetention:
			expired = append(expired, id)
		case ent.update.state != StateDead || ent.unreachable(): // silent data centres are tried by themselves
		case now.Sub(ent.diedAt) > DeadRetention:
			expired = append(expired, id)
		case ent.profile != nil:
			dead = append(dead, ent)
		}
	}
	for _, id := range expired {
		mac.roster.Delete(id)
		mac.stale = true
	}
	if len(dead) > 0 {
		mac.nextDead = now.Add(max(DeadRetryPeriod, mac.deadPeriod(len(dead))))
		mac.challenge(dead[mac.random.IntN(len(dead))])
	}
}
