package entry

import (
	"jacinthpost/core/fleet"
	"jacinthpost/core/route"
)

// Directory is an immutable view of the endpoints by service.
type Directory struct {
	sets map[fleet.Service]*route.Set
}

// NewDirectory returns a directory. The map must not change afterwards.
func NewDirectory(sets map[fleet.Service]*route.Set) *Directory {
	return &Directory{sets: sets}
}

var noEndpoints route.Set

// Set returns the endpoints of a service.
func (dir *Directory) Set(svc fleet.Service) *route.Set {
	if dir == nil || dir.sets[svc] == nil {
		return &noEndpoints
	}
	return dir.sets[svc]
}
