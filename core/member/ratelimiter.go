package member

import "time"

// Bounds of what one member sends beside its probes and their answers, which
// cost about 1 KB/s. Received bytes are the same on average, so both directions
// together stay below the 21 KB/s that control may cost a node. Each purpose has
// its own part, so that none starves another: comparisons would otherwise hold
// up refutations.
const (
	gossipRate     = 2_200 // bytes a second of piggybacked news
	joinGossipRate = 1_100 // while joining
	repairRate     = 3_000 // of comparisons and profiles
	confirmRate    = 1_400 // of pings to suspects and to the dead
	// joinRate replaces repairRate while profiles are missing, and limits the fetches
	// together with their answers. A fleet that starts at once has to move 300 bytes about
	// each member to each other one, so this rate decides how long it joins.
	joinRate = 5_000
	// introductionRate is of answers to processes that know nobody, about 520 bytes
	// each while many wait: 1,400 of them are answered within 2 minutes.
	introductionRate = 6_000
	burstBytes       = 1_000
)

// allowance limits the bytes sent for one purpose. What it does not permit waits
// or is left out. The zero value has its burst at the first refill.
type rateLimiter struct {
	bytes      int
	refilledAt time.Time
}

func (lim *rateLimiter) refill(now time.Time, rate int) {
	gained := burstBytes
	if !lim.refilledAt.IsZero() {
		gained = int(min(now.Sub(lim.refilledAt), time.Second)) * rate / int(time.Second)
	}
	lim.bytes, lim.refilledAt = min(lim.bytes+gained, burstBytes), now
}

func (lim *rateLimiter) spend(size int) { lim.bytes -= size }

func (lim *rateLimiter) permits() bool { return lim.bytes > 0 }
