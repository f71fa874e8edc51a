// Package member is the gossip membership protocol as a pure state machine.
//
// Each member probes one other member a period, directly and then through
// helpers. A member that answers neither becomes suspect and, unless it refutes
// the suspicion by raising its counter, dead. News travels piggybacked on the
// probes, so the traffic of a member doesn't depend on the size of the fleet. A
// periodic comparison of digests with one random member repairs what gossip
// missed, and dead members are tried now and then, so that a network partition
// heals without the seeds.
//
// Limits: views are eventually consistent hints and never proof that a member
// runs or doesn't. A member cut off from all others can't tell this from their
// death; it accuses others only after several periods without any answer.
//
// Time, datagrams and a seeded generator come in as values; datagrams to send
// and changes come out through Drain. A Machine belongs to one goroutine. A View
// is immutable and may be read from any goroutine.
package member

import (
	"cmp"
	"maps"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Timing of the protocol.
const (
	TickPeriod       = 50 * time.Millisecond // the caller calls Tick this often
	ProbePeriod      = 500 * time.Millisecond
	ProbeTimeout     = 150 * time.Millisecond
	SuspicionPeriod  = 2 * time.Second
	SyncPeriod       = 10 * time.Second
	joinProbePeriod  = time.Second     // while joining: the few members that all know are probed by all
	syncWhileJoining = 4 * time.Second // in place of SyncRepeat, for the same reason
	SyncRepeat       = time.Second     // after a comparison that brought news
	DeadRetryPeriod  = 5 * time.Second
	deadSpacing      = 200 * time.Millisecond // between the pings of all members to one dead member
	deadRetryLimit   = 30 * time.Second
	DeadRetention    = 4 * time.Hour // longer than partitions between regions last
	FetchPeriod      = 200 * time.Millisecond
	SeedPeriod       = time.Second
	MaxSeedPeriod    = 30 * time.Second // while other members are known, and at most
	// PauseLimit is the gap between ticks that counts as a pause of this process:
	// answers that arrived meanwhile are not processed yet, so nobody may be blamed.
	PauseThreshold = 500 * time.Millisecond
	// confirmPeriod spaces direct pings to a suspect. Eight of them fit into the
	// suspicion period, so at 10% loss a live suspect misses all with
	// probability (1-0.9²)^8, below 2 in a million.
	confirmPeriod = 250 * time.Millisecond
	// confirmWindow is the end of the suspicion period in which members that only
	// heard of the suspicion ping the suspect too, before they count it as dead.
	confirmWindow = time.Second
	claimPeriod   = 200 * time.Millisecond
)

// Bounds of the traffic that one member causes.
const (
	HelperCount         = 3    // indirect probes
	CrossRegionInterval = 8    // one probe in this many goes to another region
	MaxDatagram         = 1400 // bytes; larger ones may be fragmented
	SyncBuckets         = 64
	syncBucketLimit     = 16 // buckets sent in answer to one comparison
	fetchLimit          = 12 // profiles asked for at a time: with 270 bytes each, 16 KB/s
	fetchBackoff        = 3  // doublings of FetchPeriod while fetches are not answered
	confirmLimit        = 4  // confirming pings a tick
	claimLimit          = 256
	seedSpread          = 16 // processes with the same seeds begin at this many different ones
	leaveSends          = 6  // at 10% loss all of them are lost once in a million
	transmitFactor      = 3  // each update is sent this many times log2 of the members
)

// Address is where a member receives datagrams or calls, as host:port.
type Address string

// Role is what a process does.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the state of a member as another one sees it.
type State int

// States in order of precedence at equal versions.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

var stateNames = [...]string{StateAlive: "alive", StateSuspect: "suspect", StateLeaving: "leaving", StateDead: "dead"}

// String returns the name of the state as used in formats.
func (sta State) String() string { return stateNames[sta] }

// Profile describes a process. It changes rarely; a change raises the counter of the member.
type Profile struct {
	role          Role
	peerAddress   Address
	gossipAddress Address
	location      fleet.Location
	service       fleet.Service
	capacity      resource.Vector
	slots         int
	connections   int
	labels        map[string]string
}

// NewProfile returns the profile of a process with its addresses and location.
func NewProfile(rol Role, peerAddress, gossipAddress Address, loc fleet.Location) Profile {
	return Profile{role: rol, peerAddress: peerAddress, gossipAddress: gossipAddress, location: loc}
}

// WithService returns the profile with the service of the co-located endpoint and its limits.
func (pro Profile) WithService(svc fleet.Service, slots, connections int) Profile {
	pro.service, pro.slots, pro.connections = svc, slots, connections
	return pro
}

// WithCapacity returns the profile with the resources of the instance.
func (pro Profile) WithCapacity(vec resource.Vector) Profile {
	pro.capacity = vec
	return pro
}

// WithLabels returns the profile with labels, which must be few, short and rarely changing.
func (pro Profile) WithLabels(labels map[string]string) Profile {
	pro.labels = maps.Clone(labels)
	return pro
}

// Role returns what the process does.
func (pro Profile) Role() Role { return pro.role }

// PeerAddress returns where the process takes calls of peers.
func (pro Profile) PeerAddress() Address { return pro.peerAddress }

// GossipAddress returns where the process takes datagrams.
func (pro Profile) GossipAddress() Address { return pro.gossipAddress }

// Location returns the position of the instance.
func (pro Profile) Location() fleet.Location { return pro.location }

// Service returns the service of the co-located endpoint, empty for an entry.
func (pro Profile) Service() fleet.Service { return pro.service }

// Capacity returns the resources of the instance.
func (pro Profile) Capacity() resource.Vector { return pro.capacity }

// Slots returns the number of requests the endpoint runs at a time.
func (pro Profile) Slots() int { return pro.slots }

// Connections returns the number of connections the endpoint accepts.
func (pro Profile) Connections() int { return pro.connections }

// Labels returns a copy of the labels.
func (pro Profile) Labels() map[string]string { return maps.Clone(pro.labels) }

// Label returns one label, empty when it is not set.
func (pro Profile) Label(key string) string { return pro.labels[key] }

// Equal reports whether two profiles say the same.
func (pro Profile) Equal(oth Profile) bool {
	return pro.role == oth.role && pro.peerAddress == oth.peerAddress && pro.gossipAddress == oth.gossipAddress &&
		pro.location == oth.location && pro.service == oth.service && pro.capacity == oth.capacity &&
		pro.slots == oth.slots && pro.connections == oth.connections && maps.Equal(pro.labels, oth.labels)
}

// Version orders the statements about a member: first by its process
// incarnation, then by the counter that the process raises to refute or change
// a statement about itself.
type Version struct {
	incarnation fleet.Incarnation
	counter     uint32
}

// NewVersion returns a version.
func NewVersion(inc fleet.Incarnation, counter uint32) Version {
	return Version{incarnation: inc, counter: counter}
}

// Incarnation returns the incarnation of the process.
func (ver Version) Incarnation() fleet.Incarnation { return ver.incarnation }

// Counter returns the counter within the incarnation.
func (ver Version) Counter() uint32 { return ver.counter }

// Compare orders versions.
func (ver Version) Compare(oth Version) int {
	return cmp.Or(cmp.Compare(ver.incarnation, oth.incarnation), cmp.Compare(ver.counter, oth.counter))
}

// Member is a member of the fleet as seen by this process.
type Member struct {
	instance fleet.InstanceID
	version  Version
	state    State
	profile  *Profile
	head     uint64
}

// Instance returns the identity of the member.
func (mem Member) Instance() fleet.InstanceID { return mem.instance }

// Version returns the version of the statement about the member.
func (mem Member) Version() Version { return mem.version }

// State returns the state of the member.
func (mem Member) State() State { return mem.state }

// Profile returns the description of the process.
func (mem Member) Profile() Profile { return mem.profile.value() }

// Head returns the configuration head in the last datagram that had come from
// the member itself when the view was made, zero if there was none. It is not gossiped: with 1,100 changes
// a day and 1,400 members that would be 20 updates a second for everybody.
func (mem Member) Head() uint64 { return mem.head }

// Usable reports whether new work may be sent to the member.
func (mem Member) Usable() bool { return mem.state == StateAlive || mem.state == StateSuspect }
