package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// entry is what the machine keeps about another member.
type entry struct {
	update    Update   // brief
	profile   *Profile // nil until it arrives
	profileAt uint32
	head      uint64
	centre    *centre // nil until the profile arrives
	bucket    int
	hash      uint32
	doubted   bool      // in its suspicion period
	accused   bool      // the suspicion is our own
	expiresAt time.Time // end of the suspicion
	confirmAt time.Time // next direct ping to the suspect
	diedAt    time.Time
}

func (ent *entry) lacksProfile() bool {
	return ent.profile == nil || ent.profileAt < ent.update.profileAt
}

func (ent *entry) member() Member {
	return Member{instance: ent.update.instance, version: ent.update.version, state: ent.state(),
		profile: ent.profile, head: ent.head}
}

// Machine is the membership protocol of one process. Construct it with New.
type Machine struct {
	self       Update // full
	head       uint64
	roster     IndexedMap[fleet.InstanceID, *entry]
	centres    IndexedMap[fleet.Location, *centre]
	gossip     allowance
	repair     allowance
	confirm    allowance
	fetching   allowance
	introduce  allowance
	joiners    []joiner
	introducer fleet.InstanceID // answered while this process knew nobody
	digests    [SyncBuckets]uint32
	news       broadcasts
	health     health
	random     *rand.Rand
	sequence   uint32
	seeds      []Address
	seedTries  int // while no live member was known
	seedNext   int // position of the seed tried last, counted from a random number
	near       rotation
	far        rotation
	stale      bool // near and far don't reflect the roster
	probe      probe
	probes     int // started, counted from a random number
	relays     []relay
	suspects   []*entry
	lacking    bool // a profile may be missing
	unprofiled int  // members not dead without a profile, when the lists were last rebuilt
	fetchTries int  // without an answer
	claims     []Update
	replaced   bool
	lastTick   time.Time
	nextProbe  time.Time
	nextSync   time.Time
	nextDead   time.Time
	nextTry    time.Time
	nextFetch  time.Time
	nextSeed   time.Time
	nextClaim  time.Time
	outgoing   []Envelope
	changes    []Change
}

// New returns the machine of a process. The generator must be seeded
// differently in each process and belongs to the machine.
func New(id fleet.InstanceID, inc fleet.Incarnation, pro Profile, random *rand.Rand) *Machine {
	self := NewUpdate(id, NewVersion(inc, 0), StateAlive, 0).WithProfile(pro)
	mac := &Machine{self: self, random: random, stale: true, probes: random.IntN(CrossRegionInterval), seedNext: random.IntN(seedSpread)}
	mac.digests[bucketOf(id)] ^= self.hash()
	mac.news.add(id, true)
	return mac
}

// SetSeeds replaces the addresses that the machine tries while it knows no live member.
func (mac *Machine) SetSeeds(seeds []Address) { mac.seeds = slices.Clone(seeds) }

// SetHead sets the configuration head that datagrams carry.
func (mac *Machine) SetHead(head uint64) { mac.head = head }

// SetProfile replaces the profile of this process and spreads it.
func (mac *Machine) SetProfile(pro Profile) {
	if pro.Equal(*mac.self.profile) {
		return
	}
	mac.restate(mac.self.version.counter+1, mac.self.state)
	mac.self.profileAt = mac.self.version.counter
	mac.self.profile = &pro
	mac.news.add(mac.self.instance, true)
	mac.stale = true
}

// Leave spreads that this process takes no new work.
func (mac *Machine) Leave(now time.Time) {
	if mac.self.state == StateLeaving {
		return
	}
	mac.restate(mac.self.version.counter+1, StateLeaving)
	mac.news.add(mac.self.instance, false)
	// The process may stop soon, so a few members learn it at once.
	for _, ent := range mac.sample(HelperCount, nil) {
		mac.ping(ent)
	}
	mac.nextProbe = now
}

// LeaveSpread reports whether the leave was sent to enough members to spread by itself.
func (mac *Machine) LeaveSent() bool {
	return mac.self.state == StateLeaving && (mac.news.sentOften(mac.self.instance, leaveSends) || mac.liveCount() == 1)
}

// Replaced reports whether a later process with the same identity was seen.
func (mac *Machine) Replaced() bool { return mac.replaced }

// restate replaces the statement of this process about itself.
func (mac *Machine) restate(counter uint32, sta State) {
	bucket := bucketOf(mac.self.instance)
	mac.digests[bucket] ^= mac.self.hash()
	mac.self.version.counter = counter
	mac.self.state = sta
	mac.digests[bucket] ^= mac.self.hash()
}

// Drain returns the datagrams to send and the changes seen since the last call.
func (mac *Machine) Drain() ([]Envelope, []Change) {
	outgoing, changes := mac.outgoing, mac.changes
	mac.outgoing, mac.changes = nil, nil
	return outgoing, changes
}

// Tick does all work that is due. The caller calls it each TickPeriod.
func (mac *Machine) Tick(now time.Time) {
	if !mac.lastTick.IsZero() && now.Sub(mac.lastTick) > PauseThreshold {
		mac.resume(now, now.Sub(mac.lastTick))
	}
	mac.lastTick = now
	mac.gossip.refill(now, mac.newsRate())
	mac.repair.refill(now, mac.repairRate())
	mac.fetching.refill(now, joinRate)
	mac.introduce.refill(now, introductionRate)
	mac.confirm.refill(now, confirmRate)
	mac.expireRelays(now)
	mac.introduceNext()
	mac.continueProbe(now)
	mac.tickSuspects(now)
	if mac.due(&mac.nextProbe, now, mac.probePeriod()) {
		mac.startProbe(now)
	}
	if mac.due(&mac.nextSync, now, SyncPeriod) {
		mac.startSync()
	}
	if mac.due(&mac.nextDead, now, DeadRetryPeriod) {
		mac.retryDead(now)
	}
	if mac.due(&mac.nextTry, now, centreTryPeriod) {
		mac.trySilent()
	}
	if mac.due(&mac.nextFetch, now, FetchPeriod) {
		mac.fetch(now)
	}
	if mac.due(&mac.nextClaim, now, claimPeriod) {
		mac.checkClaim(now)
	}
	if mac.due(&mac.nextSeed, now, SeedPeriod) {
		mac.trySeeds(now)
	}
}

// due reports whether the time has come, and plans the next one. The first is
// at a random point of the period, so that processes started together spread out.
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

// resume forgives what this process missed while it was paused.
func (mac *Machine) resume(now time.Time, gap time.Duration) {
	mac.probe = probe{}
	mac.relays = nil
	mac.nextProbe = now.Add(ProbePeriod)
	mac.health.worsen()
	for _, ent := range mac.suspects {
		ent.expiresAt = ent.expiresAt.Add(gap)
	}
}

// liveCount returns the number of members that are not dead, this process included.
func (mac *Machine) liveCount() int {
	mac.refresh()
	return 1 + len(mac.near.members) + len(mac.far.members)
}

// refresh rebuilds the lists of members to probe after a change of the roster.
func (mac *Machine) refresh() {
	if !mac.stale {
		return
	}
	mac.stale = false
	mac.near.members, mac.far.members = mac.near.members[:0], mac.far.members[:0]
	for _, cen := range mac.centres.All() {
		cen.members = 0
	}
	mac.unprofiled = 0
	for id, ent := range mac.roster.All() {
		if ent.profile == nil && ent.update.state != StateDead {
			mac.unprofiled++
		}
		if ent.centre != nil && ent.update.state != StateDead {
			ent.centre.members++
		}
		switch {
		case ent.state() == StateDead || ent.profile == nil:
		case ent.region() == mac.region():
			mac.near.members = append(mac.near.members, id)
		default:
			mac.far.members = append(mac.far.members, id)
		}
	}
	if mac.liveCount() > 2 && mac.joining() {
		mac.spareIntroducer()
	}
}

func (mac *Machine) region() fleet.Region { return mac.self.profile.location.Region() }

func (mac *Machine) nextSequence() uint32 {
	mac.sequence++
	return mac.sequence
}

// compose returns a message of this process without updates.
func (mac *Machine) compose(knd MessageKind, sequence uint32, to fleet.InstanceID) Message {
	return NewMessage(knd, sequence, mac.self.brief(), to).WithHead(mac.head)
}

// fill adds the given updates and then pending news, as far as they fit into a datagram.
func (mac *Machine) fill(msg Message, first []Update) Message {
	pck := &packer{room: MaxDatagram - msg.Size(), limit: transmitLimit(mac.roster.Len() + 1), statement: mac.statement}
	for _, upd := range first {
		pck.add(upd)
	}
	if mac.gossip.left() {
		room := pck.room
		mac.news.take(pck)
		mac.gossip.spend(room - pck.room)
	}
	return msg.WithUpdates(pck.updates)
}

// statement returns the present statement about a member.
func (mac *Machine) statement(id fleet.InstanceID, full bool) (Update, bool) {
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

// full returns the statement with the profile if it is known and the latest.
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

// HealthScore returns how much this process doubts its own view, zero for not at all.
func (mac *Machine) HealthScore() int { return mac.health.score }
