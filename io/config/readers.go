package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
)

// nodesPerReader is the number of agents of a data centre per configuration
// reader. At 1,400 workers that makes 70 readers and, with the entries, fewer
// than 200 reads a second of the 2,000 that the store sustains.
const nodesPerReader = 20

// Peer is another process of the system, or this one.
type Peer struct {
	id       fleet.InstanceID
	address  string
	location fleet.Location
	role     member.Role
}

// NewPeer returns a process with the address where it takes calls.
func NewPeer(id fleet.InstanceID, addr string, loc fleet.Location, rol member.Role) Peer {
	return Peer{id: id, address: addr, location: loc, role: rol}
}

// ID returns the identity of the process.
func (per Peer) ID() fleet.InstanceID { return per.id }

// Address returns where the process takes calls.
func (per Peer) Address() string { return per.address }

// Location returns the position of the process.
func (per Peer) Location() fleet.Location { return per.location }

// Role returns what the process does.
func (per Peer) Role() member.Role { return per.role }

// PeersOf returns the processes of a membership view that may answer calls.
func PeersOf(vie member.View) []Peer {
	usable := vie.Usable()
	peers := make([]Peer, 0, len(usable))
	for _, mem := range usable {
		pro := mem.Profile()
		peers = append(peers, NewPeer(mem.Instance(), string(pro.PeerAddress()), pro.Location(), pro.Role()))
	}
	return peers
}

func weight(one, two string) uint64 { return xxhash.Sum64String(one + "\x00" + two) }

// readersIn returns the configuration readers of a data centre: all entries and
// the agents that rank highest. Nodes with the same view agree on them, and a
// change of the view moves few.
func readersIn(dc fleet.DataCentre, peers []Peer) []Peer {
	var readers, agents []Peer
	for _, per := range peers {
		switch {
		case per.location.DataCentre() != dc:
		case per.role == member.RoleEntry:
			readers = append(readers, per)
		default:
			agents = append(agents, per)
		}
	}
	ranked := rankedBy("reader of "+string(dc), agents)
	num := (len(agents) + nodesPerReader - 1) / nodesPerReader
	return append(readers, ranked[:num]...)
}

// rankedBy orders processes by rendezvous hash with a key, highest first.
func rankedBy(key string, peers []Peer) []Peer {
	type weighted struct {
		peer   Peer
		weight uint64
	}
	list := make([]weighted, 0, len(peers))
	for _, per := range peers {
		list = append(list, weighted{peer: per, weight: weight(key, string(per.id))})
	}
	slices.SortFunc(list, func(one, two weighted) int {
		return cmp.Or(cmp.Compare(two.weight, one.weight), cmp.Compare(one.peer.id, two.peer.id))
	})
	ranked := make([]Peer, 0, len(list))
	for _, itm := range list {
		ranked = append(ranked, itm.peer)
	}
	return ranked
}

// isReader reports whether the process reads the store itself.
func isReader(self Peer, peers []Peer) bool {
	if self.role == member.RoleEntry {
		return true
	}
	return slices.ContainsFunc(readersIn(self.location.DataCentre(), withSelf(self, peers)), func(per Peer) bool { return per.id == self.id })
}

func withSelf(self Peer, peers []Peer) []Peer {
	others := slices.DeleteFunc(slices.Clone(peers), func(per Peer) bool { return per.id == self.id })
	return append(others, self)
}

// Number of sources of each tier that a node tries in turn.
var sourcesPerTier = [fleet.TierCount]int{fleet.SameDataCentre: 3, fleet.SameRegion: 2, fleet.OtherRegion: 1}

// sourcesFor returns the nodes to pull from, in order of preference: readers of
// the data centre, of the region, of other regions. The rank depends on the
// node, which spreads the load over the readers.
func sourcesFor(self Peer, peers []Peer) []Peer {
	others := slices.DeleteFunc(slices.Clone(peers), func(per Peer) bool { return per.id == self.id || per.address == "" })
	var tiers [fleet.TierCount][]Peer
	for _, dc := range dataCentres(others) {
		for _, per := range readersIn(dc, others) {
			tier := self.location.TierTo(per.location)
			tiers[tier] = append(tiers[tier], per)
		}
	}
	var sources []Peer
	for tier, readers := range tiers {
		ranked := rankedBy(string(self.id), readers)
		sources = append(sources, ranked[:min(len(ranked), sourcesPerTier[tier])]...)
	}
	return sources
}

func dataCentres(peers []Peer) []fleet.DataCentre {
	var all []fleet.DataCentre
	for _, per := range peers {
		all = append(all, per.location.DataCentre())
	}
	slices.Sort(all)
	return slices.Compact(all)
}
