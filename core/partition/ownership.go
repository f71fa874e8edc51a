package partition

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/store"
)

// phase is the relation of this process to the partition.
type phase int

const (
	watching phase = iota // not owned by this process, which may acquire it
	owning                // owned by this process, as far as it knows
	retired               // released after Stop, never to be acquired again
)

// Ownership is the state machine by which one process acquires, renews and releases one partition.
type Ownership struct {
	self             fleet.Peer
	phase            phase
	observed         Observation
	observedAt       time.Time // when this version was first read; zero before the first read
	leaseEnd         time.Time
	renewedAt        time.Time
	pending          Action // the write under way, Idle if there is none
	sentAt           time.Time
	unpreferredSince time.Time // zero while no other candidate is preferred
	epochVersion     store.Version
	stopping         bool
	// writes is the number of writes sent. Each write carries its number, so that a retry differs from
	// a delayed earlier write: mistaking the earlier one for the retry would count the lease from too
	// late a send time.
	writes uint64
}

// NewOwnership returns the state of a process that has not read the row yet.
func NewOwnership(self fleet.Peer) *Ownership { return &Ownership{self: self} }

// LastObservation returns the row as last read or written.
func (own *Ownership) LastObservation() Observation { return own.observed }

// LeaseEnd returns the time after which the owner must not grant anything.
func (own *Ownership) LeaseEnd() time.Time { return own.leaseEnd }

// EpochVersion returns the version of the epoch row that fences the log of this owner.
func (own *Ownership) EpochVersion() store.Version { return own.epochVersion }

// Epoch returns the epoch last read or written.
func (own *Ownership) Epoch() uint64 { return own.observed.row.epoch }

// Owns reports whether the process owns the partition and may grant.
func (own *Ownership) Owns(now time.Time) bool {
	return own.phase == owning && now.Before(own.leaseEnd)
}

// Awaiting reports whether a write is under way.
func (own *Ownership) Awaiting() bool { return own.pending.kind != Idle }

// Observe handles a read of the store that completed at the given time. It reports whether the read shows
// that this process has lost the partition.
func (own *Ownership) Observe(now time.Time, obs Observation) bool {
	if own.observedAt.IsZero() || obs.version != own.observed.version {
		own.observedAt = now
	}
	own.observed = obs
	if own.phase == owning && (obs.row.owner != own.self || obs.epochVersion != own.epochVersion || obs.row.released) {
		own.markLost()
		return true
	}
	return false
}

// Forfeit ends the ownership without a write, for example when the state of the log is unknown. Other
// candidates wait until the lease has ended. A write under way is still awaited, because its result
// could otherwise be taken for that of a later write.
func (own *Ownership) Forfeit() {
	if own.phase == owning {
		own.markLost()
	}
}

func (own *Ownership) markLost() {
	own.phase, own.leaseEnd, own.observedAt = watching, time.Time{}, time.Time{}
}

// Decide returns the next action. The rank is the number of live candidates preferred over this process,
// and the jitter spreads simultaneous takeovers. The caller performs the write that the action
// describes and then calls Written, Refused or Resolve. For a Release it calls BeginRelease first.
func (own *Ownership) Decide(now time.Time, rank int, jitter time.Duration) Action {
	if own.Awaiting() {
		return Action{}
	}
	switch own.phase {
	case owning:
		return own.decideOwner(now, rank)
	case watching:
		return own.decideCandidate(now, rank, jitter)
	default:
		return Action{}
	}
}

func (own *Ownership) decideOwner(now time.Time, rank int) Action {
	if !now.Before(own.leaseEnd) {
		own.markLost()
		return Action{kind: Lost}
	}
	if rank == 0 {
		own.unpreferredSince = time.Time{}
	} else if own.unpreferredSince.IsZero() {
		own.unpreferredSince = now
	}
	if own.stopping || rank > 0 && now.Sub(own.unpreferredSince) >= RebalanceDelay {
		return Action{kind: Release}
	}
	if now.Sub(own.renewedAt) < RenewPeriod {
		return Action{}
	}
	return own.send(now, Renew, own.observed.row.epoch)
}

func (own *Ownership) decideCandidate(now time.Time, rank int, jitter time.Duration) Action {
	if own.stopping || own.observedAt.IsZero() {
		return Action{}
	}
	free := own.observedAt
	if own.observed.version != 0 && !own.observed.row.released {
		free = free.Add(lease.Stretch(LeaseTime))
	}
	if rank > 0 {
		free = free.Add(time.Duration(rank)*RankDelay + jitter)
	}
	if now.Before(free) {
		return Action{}
	}
	return own.send(now, Acquire, own.observed.row.epoch+1)
}

// BeginRelease returns the write that releases the partition. The caller must have stopped granting and
// written its last records. Owns is false from this call on.
func (own *Ownership) BeginRelease(now time.Time) Action {
	if own.phase != owning || own.Awaiting() {
		return Action{}
	}
	own.leaseEnd = time.Time{}
	return own.send(now, Release, own.observed.row.epoch)
}

// Stop makes Decide release the partition if it is owned and never acquire it again.
func (own *Ownership) Stop() { own.stopping = true }

func (own *Ownership) send(now time.Time, knd ActionKind, epoch uint64) Action {
	own.writes++
	row := NewRow(own.self, epoch, own.writes, knd == Release)
	own.pending, own.sentAt = Action{kind: knd, row: row, version: own.observed.version}, now
	return own.pending
}

// Written handles the confirmation of the pending write with the new version of its rows. It returns the
// kind of the write.
func (own *Ownership) Written(now time.Time, ver store.Version) ActionKind {
	act := own.pending
	own.pending = Action{}
	own.observed = NewObservation(act.row, ver, own.observed.epochVersion)
	own.observedAt = now
	switch act.kind {
	case Acquire:
		own.phase, own.epochVersion, own.unpreferredSince = owning, ver, time.Time{}
		own.observed.epochVersion = ver
		own.leaseEnd, own.renewedAt = ownerLeaseEnd(own.sentAt), own.sentAt
	case Renew:
		own.leaseEnd, own.renewedAt = ownerLeaseEnd(own.sentAt), own.sentAt
	case Release:
		own.phase = watching
		own.unpreferredSince = time.Time{}
		if own.stopping {
			own.phase = retired
		}
	default:
	}
	return act.kind
}

// Refused handles the proof that the pending write had no effect. The observation is the current row, or
// nil if the store refused the call. Refused reports whether the observation shows that this process
// has lost the partition.
func (own *Ownership) Refused(now time.Time, obs *Observation) bool {
	act := own.pending
	own.pending = Action{}
	if act.kind == Renew {
		// The retry follows after a quarter of the period, so that the lease outlasts a short refusal.
		own.renewedAt = now.Add(-RenewPeriod * 3 / 4)
	}
	if obs == nil {
		return false
	}
	return own.Observe(now, *obs)
}

// Resolve handles a read after the answer to the pending write was lost. The write took effect if the row
// equals the one written. Resolve returns the kind of the write if it took effect, Lost if the read
// shows that this process has lost the partition, and Idle otherwise.
func (own *Ownership) Resolve(now time.Time, obs Observation) ActionKind {
	if own.pending.kind != Idle && obs.row == own.pending.row {
		return own.Written(now, obs.version)
	}
	if own.Refused(now, &obs) {
		return Lost
	}
	return Idle
}
