// Package route chooses the endpoint for a service request.
//
// The model: this process knows the endpoints of each service from membership
// and measures them by its own requests. Hints of other processes are stale, so
// a policy compares only a few random candidates of the nearest tier; the agent
// beside the endpoint decides whether the request gets in. A Set is immutable
// and may be read from any goroutine; Load is shared and atomic. The package
// does not know what a request is: retries are limited by Budget and by the
// truth of outcomes, see package outcome.
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

// NewCandidate returns a candidate whose agent listens at the address.
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

// Add places a candidate in a tier. It is called only while the set is built.
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

// Find returns the candidate of an instance.
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

// Policy picks one of at least one usable candidates of a tier.
type Policy interface {
	Pick(rng *rand.Rand, cands []Candidate) Candidate
}

// Router chooses candidates by a policy. The zero value works for policies whose zero value does.
type Router[P Policy] struct {
	policy P
}

// Next returns a candidate that is not among those tried. It prefers the
// nearest tier with a candidate that has room, then the nearest tier with any.
func (rou *Router[P]) Next(set *Set, tried []fleet.InstanceID, now time.Time, rng *rand.Rand) (Candidate, fleet.Tier, bool) {
	for _, acceptFull := range [...]bool{false, true} {
		for tier, cands := range set.tiers {
			usable := usableOf(cands, tried, now, acceptFull, set.doubtful(fleet.Tier(tier), now))
			if len(usable) > 0 {
				return rou.policy.Pick(rng, usable), fleet.Tier(tier), true
			}
		}
	}
	return Candidate{}, 0, false
}

// doubtful reports whether the ejections of a tier are ignored. When more than
// half of the tier is ejected the fault is more likely on this side of the
// network, unless a candidate of another tier still answers: then the tier itself
// is lost, and every attempt there would fail.
func (set *Set) doubtful(tier fleet.Tier, now time.Time) bool {
	cands := set.tiers[tier]
	if 2*answering(cands, now) >= len(cands) {
		return false
	}
	for oth, others := range set.tiers {
		if fleet.Tier(oth) != tier && answering(others, now) > 0 {
			return false
		}
	}
	return true
}

// answering returns the number of candidates that are not ejected.
func answering(cands []Candidate, now time.Time) int {
	count := 0
	for _, can := range cands {
		if !can.load.Ejected(now) {
			count++
		}
	}
	return count
}

// usableOf drops tried and full candidates, and ejected ones unless ejections are ignored.
func usableOf(cands []Candidate, tried []fleet.InstanceID, now time.Time, acceptFull, ignoreEjection bool) []Candidate {
	usable := make([]Candidate, 0, len(cands))
	for _, can := range cands {
		switch {
		case slices.Contains(tried, can.instance):
		case can.load.Ejected(now) && !ignoreEjection:
		case can.load.Avoided(now) && !acceptFull:
		default:
			usable = append(usable, can)
		}
	}
	return usable
}
