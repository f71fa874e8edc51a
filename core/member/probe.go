package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// rotation returns members in random order, each once per round, so that every member is probed
// within a bounded time.
type rotation struct {
	members []fleet.InstanceID
	round   []fleet.InstanceID
}

func (rot *rotation) next(random *rand.Rand) fleet.InstanceID {
	if len(rot.round) == 0 {
		rot.round = slices.Clone(rot.members)
		random.Shuffle(len(rot.round), func(one, two int) { rot.round[one], rot.round[two] = rot.round[two], rot.round[one] })
	}
	id := rot.round[len(rot.round)-1]
	rot.round = rot.round[:len(rot.round)-1]
	return id
}

// probe is the probe in progress. The zero value means that there is none.
type probe struct {
	target       fleet.InstanceID
	sequence     uint32
	beganAt      time.Time
	indirectAt   time.Time
	endsAt       time.Time
	helpersAsked int
	nacks        int // helpers that got no answer
}

// relay is a ping that this process sends on behalf of another member.
type relay struct {
	target          fleet.InstanceID
	sequence        uint32
	requester       Address
	region          fleet.Region
	requestSequence uint32
	expiresAt       time.Time
}

// startProbe pings the next member unless a probe is in progress.
func (mac *Machine) startProbe(now time.Time) {
	if mac.probe.target != "" {
		return
	}
	ent := mac.nextTarget()
	if ent == nil {
		return
	}
	mac.probe = probe{target: ent.update.instance, sequence: mac.ping(ent), beganAt: now,
		indirectAt: now.Add(mac.health.scale(ProbeTimeout)), endsAt: now.Add(mac.health.scale(ProbePeriod))}
}

// nextTarget returns a live member whose profile is known, nil if there is none.
func (mac *Machine) nextTarget() *entry {
	mac.refreshLists()
	if ent := mac.priorityTarget(); ent != nil {
		return ent
	}
	mac.probeCount++
	for range 8 { // the round may still contain members that died since it began
		rot := mac.chooseRotation(mac.probeCount%CrossRegionInterval == 0)
		if len(rot.members) == 0 {
			return nil
		}
		ent, found := mac.roster.Get(rot.next(mac.random))
		if found && ent.profile != nil && ent.state() != StateDead {
			return ent
		}
	}
	return nil
}

// chooseRotation returns the rotation of the other regions if other is set, otherwise that of the
// own region. It falls back to the one that has members.
func (mac *Machine) chooseRotation(other bool) *rotation {
	if len(mac.ownRegion.members) == 0 || (len(mac.otherRegions.members) > 0 && other) {
		return &mac.otherRegions
	}
	return &mac.ownRegion
}

// randomTarget returns a random live member, independently of the rotations, nil if there is none.
func (mac *Machine) randomTarget() *entry {
	mac.refreshLists()
	members := mac.chooseRotation(mac.random.IntN(CrossRegionInterval) == 0).members
	if len(members) == 0 {
		return nil
	}
	ent, _ := mac.roster.Get(members[mac.random.IntN(len(members))])
	return ent
}

// ping sends a ping and returns its sequence number. The first update in the ping to a member that
// is held suspect or dead says so, which lets the member refute it.
func (mac *Machine) ping(ent *entry) uint32 {
	sequence := mac.nextSequence()
	msg := mac.compose(KindPing, sequence, ent.update.instance)
	mac.sendTo(ent, mac.fill(msg, mac.claimsAbout(ent.update.instance)))
	return sequence
}

// pingToConfirm sends a ping whose only update is the one that the member may have to refute.
// Thousands of these are sent while a region is cut off, so they stay small.
func (mac *Machine) pingToConfirm(ent *entry) {
	if !mac.confirmLimiter.permits() {
		return
	}
	msg := mac.compose(KindPing, mac.nextSequence(), ent.update.instance)
	msg = msg.WithUpdates(mac.claimsAbout(ent.update.instance))
	mac.confirmLimiter.spend(msg.Size())
	mac.sendTo(ent, msg)
}

// claimsAbout returns the update that a member held suspect or dead has to see in order to refute
// it, nothing for other members.
func (mac *Machine) claimsAbout(id fleet.InstanceID) []Update {
	ent, found := mac.roster.Get(id)
	if !found || ent.update.state == StateAlive || ent.update.state == StateLeaving {
		return nil
	}
	return []Update{ent.update}
}

// continueProbe asks the helpers after the timeout and finishes the probe at the end of the period.
func (mac *Machine) continueProbe(now time.Time) {
	if mac.probe.target == "" {
		return
	}
	if mac.probe.helpersAsked == 0 && !now.Before(mac.probe.indirectAt) && now.Before(mac.probe.endsAt) {
		mac.askHelpers()
	}
	if now.Before(mac.probe.endsAt) {
		return
	}
	prb := mac.probe
	mac.probe = probe{}
	mac.finishProbe(now, prb)
}

func (mac *Machine) askHelpers() {
	tgt, found := mac.roster.Get(mac.probe.target)
	if !found {
		return
	}
	for _, ent := range mac.sample(HelperCount, tgt) {
		msg := mac.compose(KindPingRequest, mac.probe.sequence, ent.update.instance).
			WithTarget(tgt.update.instance, tgt.address())
		mac.sendTo(ent, mac.fill(msg, mac.claimsAbout(tgt.update.instance)))
		mac.probe.helpersAsked++
	}
}

// sample returns up to num random live members other than the target, which may be nil. They are
// from the region of this process unless it has too few or the target is in another region.
func (mac *Machine) sample(num int, tgt *entry) []*entry {
	mac.refreshLists()
	from := mac.ownRegion.members
	var chosen []*entry
	if tgt != nil && tgt.dataCentre != nil && tgt.dataCentre.members >= minDataCentreMembers {
		// An answer of this helper shows that the data centre is reachable although the target is not.
		if ent := mac.randomMemberOf(tgt.dataCentre, []*entry{tgt}); ent != nil {
			chosen = append(chosen, ent)
		}
	}
	if len(from) <= num || (tgt != nil && tgt.region() != mac.region() && len(chosen) == 0) {
		from = append(slices.Clone(from), mac.otherRegions.members...)
	}
	for range num * 4 {
		if len(chosen) == num || len(from) == 0 {
			break
		}
		ent, found := mac.roster.Get(from[mac.random.IntN(len(from))])
		if found && ent != tgt && ent.state() == StateAlive && !slices.Contains(chosen, ent) {
			chosen = append(chosen, ent)
		}
	}
	return chosen
}

// finishProbe suspects the target of a failed probe. If no helper answered either, the network of
// this process is the more likely cause: the health score worsens, and the target is suspected only
// if the score was already at its limit.
func (mac *Machine) finishProbe(now time.Time, prb probe) {
	if prb.helpersAsked > 0 && prb.nacks == 0 {
		atLimit := mac.health.atLimit()
		mac.health.worsen()
		if !atLimit {
			return
		}
	}
	ent, found := mac.roster.Get(prb.target)
	if !found {
		return
	}
	if ent.state() != StateDead && !ent.underSuspicion && !mac.deferSuspicion(now, ent, prb.beganAt) {
		mac.suspect(now, ent, true)
	}
}

// receivePing answers a ping to the address that it came from.
func (mac *Machine) receivePing(src Address, msg Message) {
	from := msg.sender.instance
	if msg.to == "" {
		mac.receiveJoin(src, msg)
		return
	}
	reply := mac.compose(KindAck, msg.sequence, from)
	mac.send(src, mac.regionOf(from), mac.fill(reply, mac.claimsAbout(from)))
}

func (mac *Machine) regionOf(id fleet.InstanceID) fleet.Region {
	ent, found := mac.roster.Get(id)
	if !found {
		return ""
	}
	return ent.region()
}

// receiveAck ends the probe, or forwards the ack if the ping was sent on behalf of another member.
func (mac *Machine) receiveAck(now time.Time, msg Message) {
	if msg.sequence == mac.probe.sequence && mac.probe.target != "" {
		if ent, found := mac.roster.Get(mac.probe.target); found {
			mac.recordContact(now, ent) // perhaps through a helper
		}
		mac.probe = probe{}
		mac.health.improve()
		return
	}
	pos := slices.IndexFunc(mac.relays, func(rel relay) bool { return rel.sequence == msg.sequence })
	if pos < 0 {
		return
	}
	rel := mac.relays[pos]
	mac.relays = slices.Delete(mac.relays, pos, pos+1)
	reply := mac.compose(KindAck, rel.requestSequence, "")
	mac.send(rel.requester, rel.region, mac.fill(reply, []Update{msg.sender}))
}

func (mac *Machine) receivePingRequest(now time.Time, src Address, msg Message) {
	rel := relay{target: msg.target, sequence: mac.nextSequence(), requester: src, requestSequence: msg.sequence,
		region: mac.regionOf(msg.sender.instance), expiresAt: now.Add(ProbeTimeout)}
	mac.relays = append(mac.relays, rel)
	ping := mac.compose(KindPing, rel.sequence, msg.target)
	mac.send(msg.address, mac.regionOf(msg.target), mac.fill(ping, mac.claimsAbout(msg.target)))
}

// expireRelays sends a nack for each target that did not answer in time. The nack shows the
// requester that its own network works.
func (mac *Machine) expireRelays(now time.Time) {
	kept := mac.relays[:0]
	for _, rel := range mac.relays {
		if now.Before(rel.expiresAt) {
			kept = append(kept, rel)
			continue
		}
		mac.send(rel.requester, rel.region, mac.fill(mac.compose(KindNack, rel.requestSequence, ""), nil))
	}
	mac.relays = kept
}

func (mac *Machine) receiveNack(msg Message) {
	if mac.probe.target != "" && msg.sequence == mac.probe.sequence {
		mac.probe.nacks++
	}
}
