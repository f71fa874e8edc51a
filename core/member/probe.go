package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// rotation hands out members in a random order, each once per round, so that
// every member is probed within a bounded time.
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

// probe is the probe under way. The zero value is none.
type probe struct {
	target     fleet.InstanceID
	sequence   uint32
	beganAt    time.Time
	indirectAt time.Time
	endsAt     time.Time
	asked      int // helpers
	answers    int // nacks of helpers
}

// relay is a ping that this process sends for another member.
type relay struct {
	target    fleet.InstanceID
	sequence  uint32
	requester Address
	region    fleet.Region
	answerTo  uint32
	expiresAt time.Time
}

// startProbe pings the next member.
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

// nextTarget returns a live member with a known address, nil if there is none.
func (mac *Machine) nextTarget() *entry {
	mac.refresh()
	if ent := mac.doubtfulMember(); ent != nil {
		return ent
	}
	mac.probes++
	for range 8 { // a round may still hold members that died since it began
		rot := mac.side(mac.probes%CrossRegionInterval == 0)
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

// side returns the members of the own region or those of the others.
func (mac *Machine) side(far bool) *rotation {
	if len(mac.near.members) == 0 || (len(mac.far.members) > 0 && far) {
		return &mac.far
	}
	return &mac.near
}

// partner returns a random live member outside the rotation, nil if there is none.
func (mac *Machine) partner() *entry {
	mac.refresh()
	members := mac.side(mac.random.IntN(CrossRegionInterval) == 0).members
	if len(members) == 0 {
		return nil
	}
	ent, _ := mac.roster.Get(members[mac.random.IntN(len(members))])
	return ent
}

// ping sends a ping and returns its sequence. A member that is believed suspect
// or dead is told so first, which lets it refute.
func (mac *Machine) ping(ent *entry) uint32 {
	sequence := mac.nextSequence()
	msg := mac.compose(KindPing, sequence, ent.update.instance)
	mac.sendTo(ent, mac.fill(msg, mac.claimsAbout(ent.update.instance)))
	return sequence
}

// challenge sends a ping that carries only what is believed about the member.
// While a region is cut off, thousands of these are sent, so they stay small.
func (mac *Machine) challenge(ent *entry) {
	if !mac.confirm.left() {
		return
	}
	msg := mac.compose(KindPing, mac.nextSequence(), ent.update.instance)
	msg = msg.WithUpdates(mac.claimsAbout(ent.update.instance))
	mac.confirm.spend(msg.Size())
	mac.sendTo(ent, msg)
}

// claimsAbout returns what a member should hear about itself, so that it can refute.
func (mac *Machine) claimsAbout(id fleet.InstanceID) []Update {
	ent, found := mac.roster.Get(id)
	if !found || ent.update.state == StateAlive || ent.update.state == StateLeaving {
		return nil
	}
	return []Update{ent.update}
}

// continueProbe asks helpers after the timeout and judges at the end of the period.
func (mac *Machine) continueProbe(now time.Time) {
	if mac.probe.target == "" {
		return
	}
	if mac.probe.asked == 0 && !now.Before(mac.probe.indirectAt) && now.Before(mac.probe.endsAt) {
		mac.askHelpers()
	}
	if now.Before(mac.probe.endsAt) {
		return
	}
	prb := mac.probe
	mac.probe = probe{}
	mac.judge(now, prb)
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
		mac.probe.asked++
	}
}

// sample returns up to num random live members, of the own region if the target is there too.
func (mac *Machine) sample(num int, tgt *entry) []*entry {
	mac.refresh()
	from := mac.near.members
	var chosen []*entry
	if tgt != nil && tgt.centre != nil && tgt.centre.members >= centreMinimum {
		// Its answer tells a silent member from a silent data centre.
		if ent := mac.witness(tgt.centre, []*entry{tgt}); ent != nil {
			chosen = append(chosen, ent)
		}
	}
	if len(from) <= num || (tgt != nil && tgt.region() != mac.region() && len(chosen) == 0) {
		from = append(slices.Clone(from), mac.far.members...)
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

// judge blames the target of a failed probe, or the own network if not even a helper answered.
func (mac *Machine) judge(now time.Time, prb probe) {
	if prb.asked > 0 && prb.answers == 0 {
		blame := mac.health.exhausted()
		mac.health.worsen()
		if !blame {
			return
		}
	}
	ent, found := mac.roster.Get(prb.target)
	if !found {
		return
	}
	if ent.state() != StateDead && !ent.doubted && !mac.withhold(now, ent, prb.beganAt) {
		mac.suspect(now, ent, true)
	}
}

// receivePing answers a ping to the address it came from.
func (mac *Machine) receivePing(src Address, msg Message) {
	from := msg.sender.instance
	if msg.to == "" {
		mac.welcome(src, msg)
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

// receiveAck ends the probe, or passes the ack on if the ping was for another member.
func (mac *Machine) receiveAck(now time.Time, msg Message) {
	if msg.sequence == mac.probe.sequence && mac.probe.target != "" {
		if ent, found := mac.roster.Get(mac.probe.target); found {
			mac.heard(now, ent) // perhaps through a helper
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
	reply := mac.compose(KindAck, rel.answerTo, "")
	mac.send(rel.requester, rel.region, mac.fill(reply, []Update{msg.sender}))
}

func (mac *Machine) receivePingRequest(now time.Time, src Address, msg Message) {
	rel := relay{target: msg.target, sequence: mac.nextSequence(), requester: src, answerTo: msg.sequence,
		region: mac.regionOf(msg.sender.instance), expiresAt: now.Add(ProbeTimeout)}
	mac.relays = append(mac.relays, rel)
	ping := mac.compose(KindPing, rel.sequence, msg.target)
	mac.send(msg.address, mac.regionOf(msg.target), mac.fill(ping, mac.claimsAbout(msg.target)))
}

// expireRelays sends a nack for each target that did not answer. The nack shows
// that the network of the requester works.
func (mac *Machine) expireRelays(now time.Time) {
	kept := mac.relays[:0]
	for _, rel := range mac.relays {
		if now.Before(rel.expiresAt) {
			kept = append(kept, rel)
			continue
		}
		mac.send(rel.requester, rel.region, mac.fill(mac.compose(KindNack, rel.answerTo, ""), nil))
	}
	mac.relays = kept
}

func (mac *Machine) receiveNack(msg Message) {
	if mac.probe.target != "" && msg.sequence == mac.probe.sequence {
		mac.probe.answers++
	}
}
