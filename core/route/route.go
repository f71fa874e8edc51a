// Package route chooses the endpoint for a service request.
//
// This process knows the endpoints of each service from membership and measures them by its own
// requests. What other processes measured is stale, so TwoChoices compares only a few random
// candidates of the nearest tier; the agent of the endpoint decides whether a request is admitted.
// The package does not depend on the kind of request: retries are limited by Budget and by what an
// outcome proves about the previous attempt, see package outcome.
//
// A Set is immutable once it is built and safe for concurrent use, as are Load and Budget.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Candidate is one endpoint of a service.
type Candidate struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	address     string
	load        *Load
}

// NewCandidate returns a candidate whose agent listens on the address.
func NewCandidate(ins fleet.InstanceID, inc fleet.Incarnation, addr string, loa *Load) Candidate {
	return Candidate{instance: ins, incarnation: inc, address: addr, load: loa}
}

// Instance returns the instance of the endpoint.
func (can Candidate) Instance() fleet.InstanceID { return can.instance }

// Incarnation returns the incarnation of the agent.
func (can Candidate) Incarnation() fleet.Incarnation { return can.incarnation }

// Address returns the address of the agent.
func (can Candidate) Address() string { return can.address }

// Load returns the measurements of the endpoint.
func (can Candidate) Load() *Load { return can.load }

// Set holds the endpoints of one service by tier. The zero value is empty.
type Set struct {
	tiers [fleet.TierCount][]Candidate
}

// Add adds a candidate to a tier. It must not be called once the set is in use.
func (set *Set) Add(tier fleet.Tier, can Candidate) {
	set.tiers[tier] = append(set.tiers[tier], can)
}

// Len returns the number of endpoints.
func (set *Set) Len() int {
	total := 0
	for _, cands := range set.tiers {
		total += len(cands)
	}
	return total
}

// Find returns the candidate of an instance, if there is one.
func (set *Set) Find(ins fleet.InstanceID) (Candidate, bool) {
	for _, cands := range set.tiers {
		for _, can := range cands {
			if can.instance == ins {
				return can, true
			}
		}
	}
	return Candidate{}, false
}

// Policy picks one of the usable candidates of a tier, of which there is at least one.
type Policy interface {
	Pick(rng *rand.Rand, cands []Candidate) Candidate
}

// Router chooses candidates by a policy. Its zero value uses the zero value of the policy.
type Router[P Policy] struct {
	policy P
}

// Next returns a candidate that is not among those tried, and its tier. It prefers the nearest tier
// with a candidate that is not avoided, and otherwise uses the nearest tier with any usable
// candidate.
func (rou *Router[P]) Next(set *Set, tried []fleet.InstanceID, now time.Time, rng *rand.Rand) (Candidate, fleet.Tier, bool) {
	for _, acceptAvoided := range [...]bool{false, true} {
		for tier, cands := range set.tiers {
			usable := filterUsable(cands, tried, now, acceptAvoided, set.ignoresEjections(fleet.Tier(tier), now))
			if len(usable) > 0 {
				return rou.policy.Pick(rng, usable), fleet.Tier(tier), true
			}
		}
	}
	return Candidate{}, 0, false
}

// ignoresEjections reports whether the ejections in a tier are ignored. If more than half of the
// tier is ejected, the fault is more likely on this side of the network, unless a candidate of
// another tier is not ejected: then the tier itself is lost, and every attempt there would fail.
func (set *Set) ignoresEjections(tier fleet.Tier, now time.Time) bool {
	cands := set.tiers[tier]
	if 2*countNotEjected(cands, now) >= len(cands) {
		return false
	}
	for oth, others := range set.tiers {
		if fleet.Tier(oth) != tier && countNotEjected(others, now) > 0 {
			return false
		}
	}
	return true
}

// countNotEjected returns the number of candidates that are not ejected.
func countNotEjected(cands []Candidate, now time.Time) int {
	count := 0
	for _, can := range cands {
		if !can.load.Ejected(now) {
			count++
		}
	}
	return count
}

// filterUsable returns the candidates that were not tried. Avoided candidates are left out unless
// acceptAvoided is set, and ejected ones unless ignoreEjection is set.
func filterUsable(cands []Candidate, tried []fleet.InstanceID, now time.Time, acceptAvoided, ignoreEjection bool) []Candidate {
	usable := make([]Candidate, 0, len(cands))
	for _, can := range cands {
		switch {
		case slices.Contains(tried, can.instance):
		case can.load.Ejected(now) && !ignoreEjection:
		case can.load.Avoided(now) && !acceptAvoided:
		default:
			usable = append(usable, can)
		}
	}
	return usable
}
