// Package partition decides which process owns a partition.
//
// A partition has one row: owner, address, epoch, write number and a released flag. Each new owner
// writes the row with a higher epoch and renews it every RenewPeriod. Its lease ends
// LeaseTime/(1+drift) after the send time of its last confirmed write, and it grants nothing after
// that. A candidate may take over a row that is absent, that its owner has released, or that has not
// changed for LeaseTime*(1+drift) by the candidate's clock. The takeover is a compare-and-set on the
// version that the candidate read, so it fails if the owner has renewed the row since.
//
// Ownership is a pure state machine: it neither reads a clock nor performs writes. Only the control
// goroutine of a process may call it.
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
	// RenewPeriod is the time between renewals. It allows two retries before the lease ends.
	RenewPeriod = 2 * time.Second
	// WatchPeriod is how often a candidate reads the row.
	WatchPeriod = 2 * time.Second
	// RankDelay is the additional time that a candidate waits for each candidate ranked before it. It
	// exceeds WatchPeriod, so that the preferred candidate reads a released row first.
	RankDelay = 3 * time.Second
	// RebalanceDelay is how long another process must be preferred before an owner releases the
	// partition. With a shorter delay, each restart of a process would move partitions.
	RebalanceDelay = 30 * time.Second
)

// Row is the content of a partition row. The zero value is an absent row.
type Row struct {
	owner       fleet.Peer
	epoch       uint64
	writeNumber uint64
	released    bool
}

// NewRow returns a row as its owner writes it; writeNumber differs for each write of a process.
func NewRow(owner fleet.Peer, epoch, writeNumber uint64, released bool) Row {
	return Row{owner: owner, epoch: epoch, writeNumber: writeNumber, released: released}
}

// Owner returns the process that wrote the row.
func (row Row) Owner() fleet.Peer { return row.owner }

// Epoch returns the number of the ownership, which grows with each takeover.
func (row Row) Epoch() uint64 { return row.epoch }

// WriteNumber returns the number of the write, which grows with each write of the same process.
func (row Row) WriteNumber() uint64 { return row.writeNumber }

// Released reports whether the owner has released the partition.
func (row Row) Released() bool { return row.released }

// Observation is the result of one read of the store.
type Observation struct {
	row          Row
	version      store.Version
	epochVersion store.Version
}

// NewObservation returns the observation of a row at its version and the version of the epoch row.
func NewObservation(row Row, ver, epochVer store.Version) Observation {
	return Observation{row: row, version: ver, epochVersion: epochVer}
}

// Row returns the content that was read.
func (obs Observation) Row() Row { return obs.row }

// Version returns the version of the row, zero when it is absent.
func (obs Observation) Version() store.Version { return obs.version }

// EpochVersion returns the version of the epoch row, which changes at takeovers only.
func (obs Observation) EpochVersion() store.Version { return obs.epochVersion }

// ActionKind is the kind of the next step of an owner or a candidate.
type ActionKind int

// Kinds of action.
const (
	Idle    ActionKind = iota // nothing to write
	Acquire                   // write the row and the epoch row with a higher epoch
	Renew                     // write the row with a higher write number
	Release                   // write the row with the released flag
	Lost                      // the partition is no longer owned: discard its state
)

var actionNames = [...]string{Idle: "idle", Acquire: "acquire", Renew: "renew", Release: "release", Lost: "lost"}

// String returns the name of the action.
func (knd ActionKind) String() string { return actionNames[knd] }

// Action is a conditional write that the caller has to perform, unless its kind is Idle or Lost.
type Action struct {
	kind    ActionKind
	row     Row
	version store.Version
}

// Kind returns what to do.
func (act Action) Kind() ActionKind { return act.kind }

// Row returns the content to write.
func (act Action) Row() Row { return act.row }

// Version returns the version that the row must have for the write to succeed, zero if it must be absent.
func (act Action) Version() store.Version { return act.version }

// ownerLeaseEnd returns the end of the lease by the owner's clock for a write sent at a time.
func ownerLeaseEnd(sentAt time.Time) time.Time { return lease.HolderEnd(sentAt, LeaseTime) }
