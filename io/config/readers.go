package config

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

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

// PeersFrom returns a function for NewNode that translates a membership view
// once and then returns the same slice until the view is replaced.
func PeersFrom(view func() *member.View) func() []Peer {
	type translated struct {
		view  *member.View
		peers []Peer
	}
	var last atomic.Pointer[translated]
	return func() []Peer {
		vie := view()
		if vie == nil {
			return nil
		}
		trn := last.Load()
		if trn == nil || trn.view != vie {
			trn = &translated{view: vie, peers: PeersOf(*vie)}
			last.Store(trn)
		}
		return trn.peers
	}
}

// weight is the rendezvous hash of a key and a process: a bijective mix of both hashes.
func weight(key uint64, id fleet.InstanceID) uint64 {
	sum := key ^ xxhash.Sum64String(string(id))
	sum = (sum ^ sum>>30) * 0xbf58476d1ce4e5b9 // constants of splitmix64
	sum = (sum ^ sum>>27) * 0x94d049bb133111eb
	return sum ^ sum>>31
}

// rankedBy orders processes by rendezvous hash with a key, highest first.
func rankedBy(key string, peers []Peer) []Peer {
	type position struct {
		weight uint64
		index  int
	}
	sum := xxhash.Sum64String(key)
	order := make([]position, 0, len(peers))
	for idx, per := range peers {
		order = append(order, position{weight: weight(sum, per.id), index: idx})
	}
	slices.SortFunc(order, func(one, two position) int {
		return cmp.Or(cmp.Compare(two.weight, one.weight), cmp.Compare(peers[one.index].id, peers[two.index].id))
	})
	ranked := make([]Peer, 0, len(order))
	for _, pos := range order {
		ranked = append(ranked, peers[pos.index])
	}
	return ranked
}

// readersByCentre returns the configuration readers of each data centre, in a
// fixed order: all entries and the agents that rank highest. Nodes with the same
// view agree on them, and a change of the view replaces few readers.
func readersByCentre(peers []Peer) [][]Peer {
	agents := make(map[fleet.DataCentre][]Peer)
	entries := make(map[fleet.DataCentre][]Peer)
	for _, per := range peers {
		group := agents
		if per.role == member.RoleEntry {
			group = entries
		}
		group[per.location.DataCentre()] = append(group[per.location.DataCentre()], per)
	}
	centres := append(slices.Collect(maps.Keys(agents)), slices.Collect(maps.Keys(entries))...)
	slices.Sort(centres)
	var readers [][]Peer
	for _, dc := range slices.Compact(centres) {
		ranked := rankedBy("reader of "+string(dc), agents[dc])
		num := (len(agents[dc]) + nodesPerReader - 1) / nodesPerReader
		readers = append(readers, append(entries[dc], ranked[:num]...))
	}
	return readers
}

// sourcesOf returns whether the process reads the store itself, and the nodes that
// it pulls from otherwise, in order of preference: readers of the data centre,
// of the region, of other regions. The rank depends on the process, which spreads
// the load over the readers.
func sourcesOf(self Peer, peers []Peer) (reader bool, sources []Peer) {
	others := slices.DeleteFunc(slices.Clone(peers), func(per Peer) bool { return per.id == self.id })
	var tiers [fleet.TierCount][]Peer
	for _, readers := range readersByCentre(append(others, self)) {
		for _, per := range readers {
			if per.id == self.id {
				reader = true
			} else if per.address != "" {
				tier := self.location.TierTo(per.location)
				tiers[tier] = append(tiers[tier], per)
			}
		}
	}
	for tier, readers := range tiers {
		ranked := rankedBy(string(self.id), readers)
		sources = append(sources, ranked[:min(len(ranked), sourcesPerTier[tier])]...)
	}
	return reader, sources
}

// Number of sources of each tier that a node tries in turn.
var sourcesPerTier = [fleet.TierCount]int{fleet.SameDataCentre: 3, fleet.SameRegion: 2, fleet.OtherRegion: 1}
