package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// joiner is a process that sent a ping to this one without knowing any member.
type joiner struct {
	instance fleet.InstanceID
	address  Address
	sequence uint32
}

// joinerLimit exceeds the fleet size that the protocol is designed for, so that a whole fleet may
// wait at one seed.
const joinerLimit = 2048

// repairRate returns the limit, in bytes per second, of digest comparisons and profiles.
func (mac *Machine) repairRate() int {
	if mac.mayLackProfiles {
		return joinRate
	}
	return repairRate
}

// joining reports whether the profiles of more than a quarter of the members were missing when the
// lists of probe targets were last rebuilt.
func (mac *Machine) joining() bool {
	return mac.missingProfiles > mac.roster.Len()/4
}

// excludeIntroducer removes the introducer from the lists of probe targets. It may be the only
// member that all joining processes know, and would receive the probes, fetches and digest
// comparisons of all.
func (mac *Machine) excludeIntroducer() {
	same := func(id fleet.InstanceID) bool { return id == mac.introducer }
	mac.ownRegion.members = slices.DeleteFunc(mac.ownRegion.members, same)
	mac.otherRegions.members = slices.DeleteFunc(mac.otherRegions.members, same)
}

// gossipRate returns the limit, in bytes per second, of piggybacked updates. It is lower while a
// whole fleet joins: sending profiles is then what takes longest, and the few members that all
// others know receive the updates of all.
func (mac *Machine) gossipRate() int {
	if mac.joining() {
		return joinGossipRate
	}
	return gossipRate
}

// probePeriod returns the time between probes. It is longer while joining, because the few members
// that all others know are probed by all.
func (mac *Machine) probePeriod() time.Duration {
	if mac.joining() {
		return mac.health.scale(joinProbePeriod)
	}
	return mac.health.scale(ProbePeriod)
}

// pingSeed pings the next seed and schedules the one after it. The pings are frequent while no live
// member is known and rare afterwards, when they find fleets that started separately. They carry no
// updates and become rarer with each round, because a whole fleet may start with one seed, which
// answers within its rate limit.
func (mac *Machine) pingSeed(now time.Time) {
	seeds := slices.DeleteFunc(slices.Clone(mac.seeds), func(adr Address) bool { return adr == mac.self.profile.gossipAddress })
	if len(seeds) == 0 {
		return
	}
	wait := MaxSeedPeriod
	if mac.liveCount() > 1 {
		mac.seedTries = 0
	} else {
		wait = min(SeedPeriod<<min(2*(mac.seedTries/len(seeds)), 5), MaxSeedPeriod)
		mac.seedTries++
	}
	// The wait is random, because processes that start together may share a few seeds.
	mac.nextSeed = now.Add(wait/2 + time.Duration(mac.random.Int64N(int64(wait))))
	mac.seedIndex++
	mac.send(seeds[mac.seedIndex%len(seeds)], "", mac.compose(KindPing, mac.nextSequence(), ""))
}

// receiveJoin queues a joining process and answers it at once if the rate limit permits.
func (mac *Machine) receiveJoin(src Address, msg Message) {
	from := msg.sender.instance
	known := slices.ContainsFunc(mac.joiners, func(joi joiner) bool { return joi.instance == from })
	if !known && len(mac.joiners) < joinerLimit {
		mac.joiners = append(mac.joiners, joiner{instance: from, address: src, sequence: msg.sequence})
	}
	mac.answerJoiners()
}

// answerJoiners answers the queued joining processes as far as the rate limit permits.
func (mac *Machine) answerJoiners() {
	for len(mac.joiners) > 0 && mac.introductionLimiter.permits() {
		joi := mac.joiners[0]
		mac.joiners = mac.joiners[1:]
		names := 1 // enough to ask another member next
		if len(mac.joiners) == 0 {
			names = HelperCount
		}
		first := append(mac.claimsAbout(joi.instance), mac.introductions(joi.instance, names)...)
		reply := mac.compose(KindAck, joi.sequence, joi.instance).WithUpdates(first)
		mac.introductionLimiter.spend(reply.Size())
		mac.send(joi.address, mac.regionOf(joi.instance), reply)
	}
}

// introductions returns up to num members with their profiles for a joining member. Others are
// preferred to this process, so that it is not the only one to which the joining member turns next.
func (mac *Machine) introductions(to fleet.InstanceID, num int) []Update {
	var updates []Update
	for _, ent := range mac.sample(num, nil) {
		if ent.update.instance != to {
			updates = append(updates, ent.full())
		}
	}
	if len(updates) < num {
		updates = append(updates, mac.self)
	}
	return updates
}
