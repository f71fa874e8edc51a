package member

import "time"

// Limits of the bytes that one member sends in addition to its probes and their answers, which take
// about 1 KB/s. On average a member receives as many bytes as it sends, so both directions together
// stay below the 21 KB/s that the control traffic of a node may take. Each purpose has a limit of
// its own, so that one cannot delay another: digest comparisons would otherwise hold up
// refutations.
const (
	gossipRate     = 2_200 // bytes per second, of piggybacked updates
	joinGossipRate = 1_100 // while joining
	repairRate     = 3_000 // of digest comparisons and profiles
	confirmRate    = 1_400 // of pings to suspects and dead members
	// joinRate replaces repairRate while profiles are missing, and limits the fetches together with
	// their answers. When a whole fleet starts at once, 300 bytes about each member have to reach
	// every other member, so this rate determines how long joining takes.
	joinRate = 5_000
	// introductionRate limits the answers to processes that know no member yet, about 520 bytes
	// each while many wait: 1,400 of them are answered within 2 minutes.
	introductionRate = 6_000
	burstBytes       = 1_000
)

// rateLimiter is a token bucket that limits the bytes sent for one purpose. It goes into debt by
// the last message that it permits. What it does not permit is sent later or not at all. The first
// refill of the zero value fills it up.
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
