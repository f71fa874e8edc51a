// Package fleet defines the identifiers of the parts of a deployment, such as instances, data
// centres, services and teams, and the location of an instance.
//
// The identifiers are opaque strings from settings and tickets. All types are plain values that may
// be used from any goroutine.
package fleet

import "cmp"

type (
	// InstanceID identifies an instance and the process of the system that runs on it. It stays the
	// same when the process restarts; see Incarnation.
	InstanceID string
	// Region is the name of a group of data centres connected by fast links.
	Region string
	// DataCentre is the name of a set of racks that operators take out of service as a whole.
	DataCentre string
	// Rack is the name of a set of instances that share a network switch.
	Rack string
	// Service is the name of the latency-critical service that an endpoint serves.
	Service string
	// Workspace is the name of a customer, who owns keyed requests, jobs and settings.
	Workspace string
	// Team is the name of a team. Quotas are assigned to teams.
	Team string
	// JobClass is the name of a group of jobs with similar resource usage.
	JobClass string
)

// Incarnation distinguishes the successive processes with the same InstanceID. A later process has
// a higher incarnation.
type Incarnation uint64

// Process is one process of an instance. Task leases are granted to it.
type Process struct {
	instance    InstanceID
	incarnation Incarnation
}

// NewProcess returns the process with the incarnation that runs on the instance.
func NewProcess(ins InstanceID, inc Incarnation) Process {
	return Process{instance: ins, incarnation: inc}
}

// Instance returns the instance on which the process runs.
func (pro Process) Instance() InstanceID { return pro.instance }

// Incarnation returns the incarnation, which is unique among the processes of the instance.
func (pro Process) Incarnation() Incarnation { return pro.incarnation }

// Peer is a process and the address at which other processes call it.
type Peer struct {
	process Process
	address string
}

// NewPeer returns the process with the incarnation that runs on the instance, with its address.
func NewPeer(ins InstanceID, inc Incarnation, addr string) Peer {
	return Peer{process: NewProcess(ins, inc), address: addr}
}

// Instance returns the instance on which the peer runs.
func (per Peer) Instance() InstanceID { return per.process.instance }

// Incarnation returns the incarnation of the peer's process.
func (per Peer) Incarnation() Incarnation { return per.process.incarnation }

// Address returns the address at which other processes call the peer.
func (per Peer) Address() string { return per.address }

// Location is the region, data centre and rack of an instance.
type Location struct {
	region     Region
	dataCentre DataCentre
	rack       Rack
}

// NewLocation returns the location of an instance.
func NewLocation(reg Region, dc DataCentre, rck Rack) Location {
	return Location{region: reg, dataCentre: dc, rack: rck}
}

// Region returns the region of the location.
func (loc Location) Region() Region { return loc.region }

// DataCentre returns the data centre of the location.
func (loc Location) DataCentre() DataCentre { return loc.dataCentre }

// Rack returns the rack of the location.
func (loc Location) Rack() Rack { return loc.rack }

// Tier is the network distance between two locations.
type Tier int

// The tiers, from nearest to farthest.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
)

// TierCount is the number of tiers. A Tier is an index of an array of this length.
const TierCount = 3

// TierTo returns the network distance to another location.
func (loc Location) TierTo(oth Location) Tier {
	switch {
	case loc.region != oth.region:
		return OtherRegion
	case loc.dataCentre != oth.dataCentre:
		return SameRegion
	default:
		return SameDataCentre
	}
}

// Compare orders locations by region, data centre and rack.
func (loc Location) Compare(oth Location) int {
	return cmp.Or(
		cmp.Compare(loc.region, oth.region),
		cmp.Compare(loc.dataCentre, oth.dataCentre),
		cmp.Compare(loc.rack, oth.rack),
	)
}
