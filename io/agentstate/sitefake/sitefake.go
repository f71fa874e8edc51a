// Package sitefake provides a fake of agentstate.Site.
//
// The zero value allows everything, sets no limits and knows no owner. A Site
// must not change after its first use; then any goroutine may use it.
package sitefake

import (
	"time"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

// Site is a fake of agentstate.Site.
type Site struct {
	owner string
}

// New returns a site at which the given owner owns every partition.
func New(owner string) Site { return Site{owner: owner} }

// RequestsAllowed implements intake.Environment.
func (Site) RequestsAllowed(fleet.Service, time.Time) (outcome.Outcome, bool) {
	return outcome.Outcome{}, true
}

// Limits implements intake.Environment.
func (Site) Limits(fleet.Service, fleet.Workspace) admit.Limits { return admit.Limits{} }

// StartsAllowed implements runner.Environment.
func (Site) StartsAllowed(time.Time) (outcome.Outcome, bool) { return outcome.Outcome{}, true }

// Partition implements runner.Environment.
func (Site) Partition(string) int { return 0 }

// Owner implements runner.Environment.
func (sit Site) Owner(int) (string, bool) { return sit.owner, sit.owner != "" }
