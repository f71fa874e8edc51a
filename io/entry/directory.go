package entry

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/route"
)

// Directory is an immutable map from services to their endpoints.
type Directory struct {
	sets map[fleet.Service]*route.Set
}

// NewDirectory returns a directory of the sets. The map must not be modified afterwards.
func NewDirectory(sets map[fleet.Service]*route.Set) *Directory {
	return &Directory{sets: sets}
}

var noEndpoints route.Set

// Set returns the endpoints of a service. The set is empty if the service is unknown.
func (dir *Directory) Set(svc fleet.Service) *route.Set {
	if dir == nil || dir.sets[svc] == nil {
		return &noEndpoints
	}
	return dir.sets[svc]
}
