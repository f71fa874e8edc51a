// Package partition decides which process owns a partition.
//
// A partition has one row: owner, address, epoch, renewal counter and a released
// mark. Every owner writes the row with a higher epoch. It renews the row every
// RenewPeriod; its own lease ends LeaseTime/(1+drift) after the send time of its
// last confirmed write, and it grants nothing after that. A candidate may take
// over a row that it has seen unchanged for LeaseTime*(1+drift) by its own clock,
// that is absent, or that its owner has released. The takeover is a
// compare-and-set on the version seen, so a renewal that came in between wins.
//
// Ownership is a pure state machine: it reads no clock and performs no write.
// Only the control goroutine of a process may call it.
package partition

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/store"
)

// Timing of ownership.
const (
	// LeaseTime is how long an owner may act after a confirmed write of the row.
	LeaseTime = 6 * time.Second
	// RenewPeriod leaves two further tries before the lease ends.
	RenewPeriod = 2 * time.Second
	// WatchPeriod is how often a candidate reads the row.
	WatchPeriod = 2 * time.Second
	// RankDelay is how much longer a candidate waits for each candidate ranked
	// before it. It exceeds WatchPeriod, so that the preferred one sees a released
	// row first.
	RankDelay = 3 * time.Second
	// RebalanceDelay is how long another process must be preferred before an
	// owner hands over; a shorter delay would move partitions at every restart.
	RebalanceDelay = 30 * time.Second
)

// Row is the content of a partition row. The zero value is an absent row.
type Row struct {
	owner    fleet.Peer
	epoch    uint64
	renewals uint64
	released bool
}

// NewRow returns the content of a partition row.
func NewRow(owner fleet.Peer, epoch, renewals uint64, released bool) Row {
	return Row{owner: owner, epoch: epoch, renewals: renewals, released: released}
}

// Owner returns the process that wrote the row.
func (row Row) Owner() fleet.Peer { return row.owner }

// Epoch returns the number of the ownership, which grows with each takeover.
func (row Row) Epoch() uint64 { return row.epoch }

// Renewals returns how often the owner has renewed.
func (row Row) WriteNumber() uint64 { return row.renewals }

// Released reports whether the owner gave the partition up.
func (row Row) Released() bool { return row.released }

// Sighting is what one read of the store found.
type Observation struct {
	row          Row
	version      store.Version
	epochVersion store.Version
}

// NewSighting returns the row at its version and the version of the epoch row.
func NewObservation(row Row, ver, epochVer store.Version) Observation {
	return Observation{row: row, version: ver, epochVersion: epochVer}
}

// Row returns the content seen.
func (sgt Observation) Row() Row { return sgt.row }

// Version returns the version of the row, zero when it is absent.
func (sgt Observation) Version() store.Version { return sgt.version }

// EpochVersion returns the version of the epoch row, which changes at takeovers only.
func (sgt Observation) EpochVersion() store.Version { return sgt.epochVersion }

// ActionKind says what an owner or a candidate does next.
type ActionKind int

// Kinds of action.
const (
	Idle    ActionKind = iota // nothing to write
	Acquire                   // write the row and the epoch row with a higher epoch
	Renew                     // write the row with a higher renewal counter
	Release                   // write the row with the released mark
	Lost                      // the partition is no longer owned: discard its state
)

var actionNames = [...]string{Idle: "idle", Acquire: "acquire", Renew: "renew", Release: "release", Lost: "lost"}

// String returns the name of the action.
func (knd ActionKind) String() string { return actionNames[knd] }

// Action is a conditional write that the caller has to make, or none.
type Action struct {
	kind    ActionKind
	row     Row
	version store.Version
}

// Kind returns what to do.
func (act Action) Kind() ActionKind { return act.kind }

// Row returns the content to write.
func (act Action) Row() Row { return act.row }

// Version returns the version that the row must have, zero for absent.
func (act Action) Version() store.Version { return act.version }

// leaseFrom returns the end of the owner's own lease for a write sent at a time.
func leaseFrom(sentAt time.Time) time.Time { return lease.HolderEnd(sentAt, LeaseTime) }
