package quota

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Claim is a waiting task that may take capacity back.
type Claim[K comparable, T any] struct {
	key    K
	value  T
	team   fleet.Team
	urgent bool
	need   resource.Vector
	waited time.Duration
}

// Key returns the waiting task.
func (clm Claim[K, T]) Key() K { return clm.key }

// Value returns the value of the waiting task.
func (clm Claim[K, T]) Value() T { return clm.value }

// Team returns the team of the waiting task.
func (clm Claim[K, T]) Team() fleet.Team { return clm.team }

// Urgent reports whether the waiting task is urgent.
func (clm Claim[K, T]) Urgent() bool { return clm.urgent }

// Need returns the amounts that the task needs.
func (clm Claim[K, T]) Need() resource.Vector { return clm.need }

// Waited returns how long the task has been set aside.
func (clm Claim[K, T]) Waited() time.Duration { return clm.waited }

// Claims returns the tasks set aside that may take capacity back: of each
// ordinary lane the oldest one, if it has waited for ReclaimAfter and its team
// stays within its share with it, and of each urgent lane all that have waited
// for UrgentReclaimAfter. Each claims again after ClaimSpacing only.
func (arb *Arbiter[K, T]) Claims(now time.Time) []Claim[K, T] {
	var claims []Claim[K, T]
	for _, tem := range arb.teams {
		for pos := len(tem.lanes) - 1; pos >= 0; pos-- {
			claims = arb.claimsOf(tem.lanes[pos], now, claims)
		}
	}
	return claims
}

func (arb *Arbiter[K, T]) claimsOf(lan *lane[K, T], now time.Time, claims []Claim[K, T]) []Claim[K, T] {
	after := reclaimAfter(lan.urgent)
	again, reached := now.Sub(lan.claimed) >= max(ClaimSpacing, after), lan.reached
	for pos, asd := range lan.asides {
		waited := now.Sub(asd.since)
		if waited < after || !lan.urgent && (pos > 0 || arb.UsedWith(lan.team.name, asd.need) > arb.Share(lan.team.name)) {
			break
		}
		if !again && !(lan.urgent && asd.since.After(reached)) {
			continue
		}
		lan.claimed, lan.reached = now, asd.since
		claims = append(claims, Claim[K, T]{
			key: asd.key, value: asd.value, team: lan.team.name,
			urgent: lan.urgent, need: asd.need, waited: waited,
		})
	}
	return claims
}

func reclaimAfter(urgent bool) time.Duration {
	if urgent {
		return UrgentReclaimAfter
	}
	return ReclaimAfter
}
