package partition

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/store"
)

// phase is the position of this process towards the partition.
type phase int

const (
	watching phase = iota // another process may own it
	owning                // this process owns it
	left                  // this process released it or stopped; it never acquires again
)

// Ownership is one process's view of one partition.
type Ownership struct {
	self         fleet.Peer
	phase        phase
	seen         Observation
	seenAt       time.Time // when this version was first seen; zero before the first read
	leaseEnd     time.Time
	renewedAt    time.Time
	writing      Action // a write whose result is awaited
	sentAt       time.Time
	unpreferred  time.Time // since when another process is preferred
	epochVersion store.Version
	stopping     bool
	// writes numbers every try. A retry must differ from a delayed earlier try:
	// taking the earlier one for the retry would count the lease from too late
	// a send time.
	writes uint64
}

// NewOwnership returns the view of a process that has not read the row yet.
func NewOwnership(self fleet.Peer) *Ownership { return &Ownership{self: self} }

// Seen returns the last sighting.
func (own *Ownership) LastObservation() Observation { return own.seen }

// LeaseEnd returns the time after which the owner must not grant anything.
func (own *Ownership) LeaseEnd() time.Time { return own.leaseEnd }

// EpochVersion returns the version of the epoch row that fences the log of this owner.
func (own *Ownership) EpochVersion() store.Version { return own.epochVersion }

// Epoch returns the epoch last seen or written.
func (own *Ownership) Epoch() uint64 { return own.seen.row.epoch }

// Owns reports whether the process owns the partition and may grant.
func (own *Ownership) Owns(now time.Time) bool {
	return own.phase == owning && now.Before(own.leaseEnd)
}

// Awaiting reports whether a write is under way.
func (own *Ownership) Awaiting() bool { return own.writing.kind != Idle }

// Observe takes in a read of the store that completed at the given time.
// It reports whether the partition was found to be lost.
func (own *Ownership) Observe(now time.Time, sgt Observation) bool {
	if own.seenAt.IsZero() || sgt.version != own.seen.version {
		own.seenAt = now
	}
	own.seen = sgt
	if own.phase == owning && (sgt.row.owner != own.self || sgt.epochVersion != own.epochVersion || sgt.row.released) {
		own.lose()
		return true
	}
	return false
}

// Forfeit gives an ownership up without a write, for example when the state of
// the log is not known. Other candidates wait for the lease. A write under way
// is still awaited: a further one could be confirmed by its result.
func (own *Ownership) Forfeit() {
	if own.phase == owning {
		own.lose()
	}
}

func (own *Ownership) lose() {
	own.phase, own.leaseEnd, own.seenAt = watching, time.Time{}, time.Time{}
}

// Decide returns the next action. The rank is the number of live candidates
// preferred over this process and the jitter spreads simultaneous takeovers.
// The caller makes the write that the action describes and calls Written,
// Refused or Unresolved.
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
		own.lose()
		return Action{kind: Lost}
	}
	if rank == 0 {
		own.unpreferred = time.Time{}
	} else if own.unpreferred.IsZero() {
		own.unpreferred = now
	}
	if own.stopping || rank > 0 && now.Sub(own.unpreferred) >= RebalanceDelay {
		return Action{kind: Release}
	}
	if now.Sub(own.renewedAt) < RenewPeriod {
		return Action{}
	}
	return own.send(now, Renew, own.seen.row.epoch)
}

func (own *Ownership) decideCandidate(now time.Time, rank int, jitter time.Duration) Action {
	if own.stopping || own.seenAt.IsZero() {
		return Action{}
	}
	free := own.seenAt
	if own.seen.version != 0 && !own.seen.row.released {
		free = free.Add(lease.Stretch(LeaseTime))
	}
	if rank > 0 {
		free = free.Add(time.Duration(rank)*RankDelay + jitter)
	}
	if now.Before(free) {
		return Action{}
	}
	return own.send(now, Acquire, own.seen.row.epoch+1)
}

// BeginRelease returns the write that gives the partition up. The caller must
// have stopped granting and written its last records; nothing is granted after
// this call.
func (own *Ownership) BeginRelease(now time.Time) Action {
	if own.phase != owning || own.Awaiting() {
		return Action{}
	}
	own.leaseEnd = time.Time{}
	return own.send(now, Release, own.seen.row.epoch)
}

// Stop makes the process release what it owns and acquire nothing more.
func (own *Ownership) Stop() { own.stopping = true }

func (own *Ownership) send(now time.Time, knd ActionKind, epoch uint64) Action {
	own.writes++
	row := NewRow(own.self, epoch, own.writes, knd == Release)
	own.writing, own.sentAt = Action{kind: knd, row: row, version: own.seen.version}, now
	return own.writing
}

// Written takes in the confirmation of the pending write with the version given
// to its rows. It returns the kind of write that took effect.
func (own *Ownership) Written(now time.Time, ver store.Version) ActionKind {
	act := own.writing
	own.writing = Action{}
	own.seen = NewObservation(act.row, ver, own.seen.epochVersion)
	own.seenAt = now
	switch act.kind {
	case Acquire:
		own.phase, own.epochVersion, own.unpreferred = owning, ver, time.Time{}
		own.seen.epochVersion = ver
		own.leaseEnd, own.renewedAt = leaseFrom(own.sentAt), own.sentAt
	case Renew:
		own.leaseEnd, own.renewedAt = leaseFrom(own.sentAt), own.sentAt
	case Release:
		own.phase = watching
		own.unpreferred = time.Time{}
		if own.stopping {
			own.phase = left
		}
	default:
	}
	return act.kind
}

// Refused takes in the proof that the pending write had no effect. A nil
// sighting means that the store refused the call; otherwise it is the present
// row. It reports whether the partition was found to be lost.
func (own *Ownership) Refused(now time.Time, sgt *Observation) bool {
	act := own.writing
	own.writing = Action{}
	if act.kind == Renew {
		// The next try follows after a part of the period, so that a short
		// refusal does not use up the lease.
		own.renewedAt = now.Add(-RenewPeriod * 3 / 4)
	}
	if sgt == nil {
		return false
	}
	return own.Observe(now, *sgt)
}

// Resolve takes in a read after the answer to the pending write was lost. The
// write took effect if the row is the one written. It returns the kind of write
// confirmed, Idle when it is not there, or Lost.
func (own *Ownership) Resolve(now time.Time, sgt Observation) ActionKind {
	if own.writing.kind != Idle && sgt.row == own.writing.row {
		return own.Written(now, sgt.version)
	}
	if own.Refused(now, &sgt) {
		return Lost
	}
	return Idle
}
