package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// entry is the state that the machine holds about another member.
type entry struct {
	update           Update   // brief
	profile          *Profile // nil until it arrives
	profileAt        uint32
	head             uint64
	dataCentre       *dataCentre // nil until the profile arrives
	bucket           int
	hash             uint32
	underSuspicion   bool // until the suspicion ends or is refuted
	suspectedLocally bool // this process started the suspicion; false if it came by gossip
	suspicionEndsAt  time.Time
	nextConfirmAt    time.Time // time of the next direct ping to the suspect
	diedAt           time.Time
}

func (ent *entry) lacksProfile() bool {
	return ent.profile == nil || ent.profileAt < ent.update.profileAt
}

func (ent *entry) member() Member {
	return Member{instance: ent.update.instance, version: ent.update.version, state: ent.state(),
		profile: ent.profile, head: ent.head}
}

// Machine is the state machine of the membership protocol in one process. Construct it with New.
type Machine struct {
	self                Update // full
	head                uint64
	roster              IndexedMap[fleet.InstanceID, *entry]
	dataCentres         IndexedMap[fleet.Location, *dataCentre]
	gossipLimiter       rateLimiter
	repairLimiter       rateLimiter
	confirmLimiter      rateLimiter
	fetchLimiter        rateLimiter
	introductionLimiter rateLimiter
	joiners             []joiner
	introducer          fleet.InstanceID // answered while this process knew no live member
	digests             [SyncBuckets]uint32
	broadcasts          broadcasts
	health              health
	random              *rand.Rand
	sequence            uint32
	seeds               []Address
	seedTries           int // pings of seeds while no live member was known
	seedIndex           int // of the seed pinged last, modulo the number of seeds; starts at a random number
	ownRegion           rotation
	otherRegions        rotation
	listsStale          bool // ownRegion and otherRegions do not reflect the roster
	probe               probe
	probeCount          int // probes started; starts at a random number
	relays              []relay
	suspects            []*entry
	mayLackProfiles     bool
	missingProfiles     int // number when the lists were last rebuilt, dead members not counted
	unansweredFetches   int
	reportedDeaths      []Update
	replaced            bool
	lastTick            time.Time
	nextProbe           time.Time
	nextSync            time.Time
	nextDeadRetry       time.Time
	nextUnreachablePing time.Time
	nextFetch           time.Time
	nextSeed            time.Time
	nextReportedDeath   time.Time
	outgoing            []Envelope
	changes             []Change
}

// New returns the machine of a process. The random generator must be seeded differently in each
// process; the machine owns it.
func New(id fleet.InstanceID, inc fleet.Incarnation, pro Profile, random *rand.Rand) *Machine {
	self := NewUpdate(id, NewVersion(inc, 0), StateAlive, 0).WithProfile(pro)
	mac := &Machine{self: self, random: random, listsStale: true, probeCount: random.IntN(CrossRegionInterval), seedIndex: random.IntN(initialSeedRange)}
	mac.digests[bucketOf(id)] ^= self.hash()
	mac.broadcasts.add(id, true)
	return mac
}

// SetSeeds replaces the addresses that the machine pings, often while it knows no live member and
// rarely afterwards.
func (mac *Machine) SetSeeds(seeds []Address) { mac.seeds = slices.Clone(seeds) }

// SetHead sets the configuration head that the datagrams of this process carry.
func (mac *Machine) SetHead(head uint64) { mac.head = head }

// SetProfile replaces the profile of this process and announces it to the fleet.
func (mac *Machine) SetProfile(pro Profile) {
	if pro.Equal(*mac.self.profile) {
		return
	}
	mac.updateSelf(mac.self.version.counter+1, mac.self.state)
	mac.self.profileAt = mac.self.version.counter
	mac.self.profile = &pro
	mac.broadcasts.add(mac.self.instance, true)
	mac.listsStale = true
}

// Leave announces to the fleet that this process takes no new work.
func (mac *Machine) Leave(now time.Time) {
	if mac.self.state == StateLeaving {
		return
	}
	mac.updateSelf(mac.self.version.counter+1, StateLeaving)
	mac.broadcasts.add(mac.self.instance, false)
	// The process may stop soon, so a few members are told at once.
	for _, ent := range mac.sample(HelperCount, nil) {
		mac.ping(ent)
	}
	mac.nextProbe = now
}

// LeaveSent reports whether the leave was sent to enough members for gossip to spread it without
// this process.
func (mac *Machine) LeaveSent() bool {
	return mac.self.state == StateLeaving && (mac.broadcasts.sentAtLeast(mac.self.instance, leaveSends) || mac.liveCount() == 1)
}

// Replaced reports whether a process with the same identity and a higher incarnation was seen.
func (mac *Machine) Replaced() bool { return mac.replaced }

// updateSelf replaces the counter and state in the update of this process about itself.
func (mac *Machine) updateSelf(counter uint32, sta State) {
	bucket := bucketOf(mac.self.instance)
	mac.digests[bucket] ^= mac.self.hash()
	mac.self.version.counter = counter
	mac.self.state = sta
	mac.digests[bucket] ^= mac.self.hash()
}

// Drain returns the datagrams to send and the changes recorded since the last call.
func (mac *Machine) Drain() ([]Envelope, []Change) {
	outgoing, changes := mac.outgoing, mac.changes
	mac.outgoing, mac.changes = nil, nil
	return outgoing, changes
}

// Tick does all work that is due. The caller calls it no later than the time that NextTick returns.
func (mac *Machine) Tick(now time.Time) {
	if !mac.lastTick.IsZero() && now.Sub(mac.lastTick) > PauseThreshold {
		mac.resume(now, now.Sub(mac.lastTick))
	}
	mac.lastTick = now
	mac.gossipLimiter.refill(now, mac.gossipRate())
	mac.repairLimiter.refill(now, mac.repairRate())
	mac.fetchLimiter.refill(now, joinRate)
	mac.introductionLimiter.refill(now, introductionRate)
	mac.confirmLimiter.refill(now, confirmRate)
	mac.expireRelays(now)
	mac.answerJoiners()
	mac.continueProbe(now)
	mac.checkSuspects(now)
	if mac.due(&mac.nextProbe, now, mac.probePeriod()) {
		mac.startProbe(now)
	}
	if mac.due(&mac.nextSync, now, SyncPeriod) {
		mac.startSync()
	}
	if mac.due(&mac.nextDeadRetry, now, DeadRetryPeriod) {
		mac.retryDead(now)
	}
	if mac.due(&mac.nextUnreachablePing, now, unreachablePingPeriod) {
		mac.pingUnreachable()
	}
	if mac.due(&mac.nextFetch, now, FetchPeriod) {
		mac.fetch(now)
	}
	if mac.due(&mac.nextReportedDeath, now, reportedDeathPeriod) {
		mac.suspectReportedDead(now)
	}
	if mac.due(&mac.nextSeed, now, SeedPeriod) {
		mac.pingSeed(now)
	}
}

// due reports whether the time has come and schedules the next one. The first is at a random point
// of the period, so that processes that start together do not act together.
func (mac *Machine) due(next *time.Time, now time.Time, period time.Duration) bool {
	if next.IsZero() {
		*next = now.Add(time.Duration(mac.random.Int64N(int64(min(period, SyncPeriod/2)))))
		return false
	}
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// resume discards the probe and relays that timed out while this process was paused, and extends
// the suspicions by the pause.
func (mac *Machine) resume(now time.Time, gap time.Duration) {
	mac.probe = probe{}
	mac.relays = nil
	mac.nextProbe = now.Add(ProbePeriod)
	mac.health.worsen()
	for _, ent := range mac.suspects {
		ent.suspicionEndsAt = ent.suspicionEndsAt.Add(gap)
	}
}

// liveCount returns the number of members that are not dead, this process included.
func (mac *Machine) liveCount() int {
	mac.refreshLists()
	return 1 + len(mac.ownRegion.members) + len(mac.otherRegions.members)
}

// refreshLists rebuilds the lists of probe targets if the roster has changed.
func (mac *Machine) refreshLists() {
	if !mac.listsStale {
		return
	}
	mac.listsStale = false
	mac.ownRegion.members, mac.otherRegions.members = mac.ownRegion.members[:0], mac.otherRegions.members[:0]
	for _, cen := range mac.dataCentres.All() {
		cen.members = 0
	}
	mac.missingProfiles = 0
	for id, ent := range mac.roster.All() {
		if ent.profile == nil && ent.update.state != StateDead {
			mac.missingProfiles++
		}
		if ent.dataCentre != nil && ent.update.state != StateDead {
			ent.dataCentre.members++
		}
		switch {
		case ent.state() == StateDead || ent.profile == nil:
		case ent.region() == mac.region():
			mac.ownRegion.members = append(mac.ownRegion.members, id)
		default:
			mac.otherRegions.members = append(mac.otherRegions.members, id)
		}
	}
	if mac.liveCount() > 2 && mac.joining() {
		mac.excludeIntroducer()
	}
}

func (mac *Machine) region() fleet.Region { return mac.self.profile.location.Region() }

func (mac *Machine) nextSequence() uint32 {
	mac.sequence++
	return mac.sequence
}

// compose returns a message of this process without updates. An empty destination means any
// receiver.
func (mac *Machine) compose(knd MessageKind, sequence uint32, to fleet.InstanceID) Message {
	return NewMessage(knd, sequence, mac.self.brief(), to).WithHead(mac.head)
}

// fill adds the given updates and then pending broadcasts, as far as they fit into a datagram.
func (mac *Machine) fill(msg Message, first []Update) Message {
	pck := &packer{room: MaxDatagram - msg.Size(), limit: transmitLimit(mac.roster.Len() + 1), latestUpdate: mac.latestUpdate}
	for _, upd := range first {
		pck.add(upd)
	}
	if mac.gossipLimiter.permits() {
		room := pck.room
		mac.broadcasts.take(pck)
		mac.gossipLimiter.spend(room - pck.room)
	}
	return msg.WithUpdates(pck.updates)
}

// latestUpdate returns the latest update about a member and whether the member is known.
func (mac *Machine) latestUpdate(id fleet.InstanceID, full bool) (Update, bool) {
	if id == mac.self.instance {
		if full {
			return mac.self, true
		}
		return mac.self.brief(), true
	}
	ent, found := mac.roster.Get(id)
	if !found {
		return Update{}, false
	}
	if full {
		return ent.full(), true
	}
	return ent.update, true
}

// full returns the update about the member, with the profile unless it is missing or outdated.
func (ent *entry) full() Update {
	if ent.lacksProfile() {
		return ent.update
	}
	upd := ent.update
	upd.profile = ent.profile
	return upd
}

func (ent *entry) region() fleet.Region { return ent.profile.value().location.Region() }

func (ent *entry) address() Address { return ent.profile.value().gossipAddress }

func (mac *Machine) send(to Address, reg fleet.Region, msg Message) {
	if to != "" {
		mac.outgoing = append(mac.outgoing, Envelope{to: to, region: reg, message: msg})
	}
}

func (mac *Machine) sendTo(ent *entry, msg Message) {
	mac.send(ent.address(), ent.region(), msg)
}

// Self returns this process as a member.
func (mac *Machine) Self() Member {
	return Member{instance: mac.self.instance, version: mac.self.version, state: mac.self.state,
		profile: mac.self.profile, head: mac.head}
}

// HealthScore returns how likely this process itself is the cause of missing answers: zero if it
// gets answers as usual, at most 7.
func (mac *Machine) HealthScore() int { return mac.health.score }
