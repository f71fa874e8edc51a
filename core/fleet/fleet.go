// Package fleet names the parts of a deployment: instances, their location,
// services, workspaces and teams.
//
// The identifiers are opaque strings from settings and tickets. The package
// holds no state, so its values may be used from any goroutine.
package fleet

import "cmp"

type (
	// InstanceID identifies one process of the system and the instance it runs on.
	InstanceID string
	// Region is a group of data centres joined by fast links.
	Region string
	// DataCentre is a set of racks that operators take out and bring back as a whole.
	DataCentre string
	// Rack is a set of instances that share a switch.
	Rack string
	// Service names the latency-critical service that an endpoint serves.
	Service string
	// Workspace owns keyed requests, jobs and settings.
	Workspace string
	// Team is the unit of quota.
	Team string
	// JobClass groups jobs with similar resource use.
	JobClass string
)

// Incarnation distinguishes the successive processes that run under one InstanceID.
// A later process always has a higher incarnation.
type Incarnation uint64

// Process is one process of an instance. Task leases are granted to it.
type Process struct {
	instance    InstanceID
	incarnation Incarnation
}

// NewProcess returns the process of an instance with an incarnation.
func NewProcess(ins InstanceID, inc Incarnation) Process {
	return Process{instance: ins, incarnation: inc}
}

// Instance returns the instance.
func (pro Process) Instance() InstanceID { return pro.instance }

// Incarnation returns the incarnation.
func (pro Process) Incarnation() Incarnation { return pro.incarnation }

// Peer is a process and the address of its calls.
type Peer struct {
	process Process
	address string
}

// NewPeer returns the peer with an instance, an incarnation and an address.
func NewPeer(ins InstanceID, inc Incarnation, addr string) Peer {
	return Peer{process: NewProcess(ins, inc), address: addr}
}

// Instance returns the instance.
func (per Peer) Instance() InstanceID { return per.process.instance }

// Incarnation returns the incarnation.
func (per Peer) Incarnation() Incarnation { return per.process.incarnation }

// Address returns the address that takes calls.
func (per Peer) Address() string { return per.address }

// Location is the position of an instance in a deployment.
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

// Tiers from nearest to farthest.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
)

// TierCount is the number of tiers.
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
