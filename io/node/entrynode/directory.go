package entrynode

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/route"
	"jacinthpost/core/ticket"
	"jacinthpost/io/entry"
)

// identity identifies one process of an agent. A restarted agent starts with new measurements,
// so that the failures of the previous process don't exclude it from routing.
type identity struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// directoryBuilder turns membership and configuration into routing sets. It
// keeps the measurements of an endpoint as long as the endpoint stays usable.
// Only the control goroutine may use it.
type directoryBuilder struct {
	loads map[identity]*route.Load
}

// build returns the directory of the usable endpoints as seen from a location.
func (dbr *directoryBuilder) build(here fleet.Location, members []member.Member, sta ticket.State) *entry.Directory {
	sets := make(map[fleet.Service]*route.Set)
	loads := make(map[identity]*route.Load, len(members))
	for _, mem := range members {
		if !routable(mem, sta) {
			continue
		}
		idy := identity{instance: mem.Instance(), incarnation: mem.Version().Incarnation()}
		loa := dbr.loads[idy]
		if loa == nil {
			loa = new(route.Load)
		}
		loads[idy] = loa
		pro := mem.Profile()
		set := sets[pro.Service()]
		if set == nil {
			set = new(route.Set)
			sets[pro.Service()] = set
		}
		can := route.NewCandidate(idy.instance, idy.incarnation, string(pro.PeerAddress()), loa)
		set.Add(here.TierTo(pro.Location()), can)
	}
	dbr.loads = loads
	return entry.NewDirectory(sets)
}

// routable reports whether requests may be sent to a member. The agent would refuse them in the
// same cases; the check avoids an attempt in vain.
func routable(mem member.Member, sta ticket.State) bool {
	pro := mem.Profile()
	switch {
	case !mem.Usable() || pro.Role() != member.RoleAgent || pro.Service() == "":
		return false
	case sta.DataCentreOut(pro.Location().DataCentre()):
		return false
	default:
		return !sta.EndpointDraining(mem.Instance())
	}
}
