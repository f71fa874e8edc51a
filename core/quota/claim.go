package quota

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Claim is a waiting task for which running tasks may be evicted.
type Claim[K comparable, T any] struct {
	key    K
	value  T
	team   fleet.Team
	urgent bool
	need   resource.Vector
	waited time.Duration
}

// Key returns the key of the waiting task.
func (clm Claim[K, T]) Key() K { return clm.key }

// Value returns the value that was kept with the waiting task.
func (clm Claim[K, T]) Value() T { return clm.value }

// Team returns the team of the waiting task.
func (clm Claim[K, T]) Team() fleet.Team { return clm.team }

// Urgent reports whether the waiting task is urgent.
func (clm Claim[K, T]) Urgent() bool { return clm.urgent }

// Need returns the amounts that the task needs.
func (clm Claim[K, T]) Need() resource.Vector { return clm.need }

// Waited returns the time since the task was first deferred.
func (clm Claim[K, T]) Waited() time.Duration { return clm.waited }

// Claims returns the deferred tasks that may reclaim capacity: of each ordinary lane
// the oldest one, if it has waited for ReclaimAfter and its team stays within its
// share with it, and of each urgent lane all that have waited for
// UrgentReclaimAfter. An ordinary lane or an urgent task claims again only after
// ClaimSpacing or the wait of its kind, whichever is longer.
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
	again, reached := now.Sub(lan.claimedAt) >= max(ClaimSpacing, after), lan.lastClaimSince
	for pos, tsk := range lan.deferred {
		waited := now.Sub(tsk.since)
		if waited < after || !lan.urgent && (pos > 0 || arb.UsedWith(lan.team.name, tsk.need) > arb.Share(lan.team.name)) {
			break
		}
		if !again && !(lan.urgent && tsk.since.After(reached)) {
			continue
		}
		lan.claimedAt, lan.lastClaimSince = now, tsk.since
		claims = append(claims, Claim[K, T]{
			key: tsk.key, value: tsk.value, team: lan.team.name,
			urgent: lan.urgent, need: tsk.need, waited: waited,
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
