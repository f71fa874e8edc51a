package member

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// joiner is a process that asked this one without knowing anybody.
type joiner struct {
	instance fleet.InstanceID
	address  Address
	sequence uint32
}

// joinerLimit is above the size to design for, so that a whole fleet may wait at one seed.
const joinerLimit = 2048

// repairRate returns the bytes a second of comparisons and profiles.
func (mac *Machine) repairRate() int {
	if mac.lacking {
		return joinRate
	}
	return repairRate
}

// joining reports whether the profiles of more than a quarter of the members were
// missing when the lists were last rebuilt.
func (mac *Machine) joining() bool {
	return mac.unprofiled > mac.roster.Len()/4
}

// spareIntroducer takes the member that answered first off the lists. It may be
// the only one that all joining processes know, and would get the probes, fetches and comparisons of all.
func (mac *Machine) spareIntroducer() {
	same := func(id fleet.InstanceID) bool { return id == mac.introducer }
	mac.near.members = slices.DeleteFunc(mac.near.members, same)
	mac.far.members = slices.DeleteFunc(mac.far.members, same)
}

// newsRate returns the bytes a second of piggybacked news. While a whole fleet
// joins, profiles take longer than news, and the few members that all know
// receive the news of all.
func (mac *Machine) newsRate() int {
	if mac.joining() {
		return joinNewsRate
	}
	return newsRate
}

// probePeriod returns the time between probes, longer while joining for the same reason.
func (mac *Machine) probePeriod() time.Duration {
	if mac.joining() {
		return mac.health.scale(joinProbePeriod)
	}
	return mac.health.scale(ProbePeriod)
}

// trySeeds pings one seed after the other while no live member is known, and
// later one now and then, because fleets that started apart may not know of each
// other. The pings are brief and become rare with each round, because a whole
// fleet may start with one seed, which answers when its allowance permits.
func (mac *Machine) trySeeds(now time.Time) {
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
	// Spread out, because fleets start together and may have few seeds.
	mac.nextSeed = now.Add(wait/2 + time.Duration(mac.random.Int64N(int64(wait))))
	mac.seedNext++
	mac.send(seeds[mac.seedNext%len(seeds)], "", mac.compose(KindPing, mac.nextSequence(), ""))
}

// welcome notes a joining process and answers if the allowance permits it at once.
func (mac *Machine) welcome(src Address, msg Message) {
	from := msg.sender.instance
	known := slices.ContainsFunc(mac.joiners, func(joi joiner) bool { return joi.instance == from })
	if !known && len(mac.joiners) < joinerLimit {
		mac.joiners = append(mac.joiners, joiner{instance: from, address: src, sequence: msg.sequence})
	}
	mac.introduceNext()
}

// introduceNext answers the processes that wait for an introduction.
func (mac *Machine) introduceNext() {
	for len(mac.joiners) > 0 && mac.introduce.left() {
		joi := mac.joiners[0]
		mac.joiners = mac.joiners[1:]
		names := 1 // enough to go on elsewhere
		if len(mac.joiners) == 0 {
			names = HelperCount
		}
		first := append(mac.claimsAbout(joi.instance), mac.introductions(joi.instance, names)...)
		reply := mac.compose(KindAck, joi.sequence, joi.instance).WithUpdates(first)
		mac.introduce.spend(reply.Size())
		mac.send(joi.address, mac.regionOf(joi.instance), reply)
	}
}

// introductions returns some members with their profiles for a joining member.
// Others go before this process, so that it is not the only one that the member asks next.
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
