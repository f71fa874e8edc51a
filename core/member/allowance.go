package member

import "time"

// Bounds of what one member sends beside its probes and their answers, which
// cost about 1 KB/s. Received bytes are the same on average, so both directions
// together stay below the 21 KB/s that control may cost a node. Each purpose has
// its own part, so that none starves another: comparisons would otherwise hold
// up refutations.
const (
	newsRate    = 2_200 // bytes a second of piggybacked news
	repairRate  = 3_000 // of comparisons and profiles
	confirmRate = 1_400 // of pings to suspects and to the dead
	burstBytes  = 1_000
)

// allowance limits the bytes sent for one purpose. What it does not permit waits
// or is left out. The zero value has its burst at the first refill.
type allowance struct {
	bytes int
	at    time.Time
}

func (alw *allowance) refill(now time.Time, rate int) {
	gained := burstBytes
	if !alw.at.IsZero() {
		gained = int(min(now.Sub(alw.at), time.Second)) * rate / int(time.Second)
	}
	alw.bytes, alw.at = min(alw.bytes+gained, burstBytes), now
}

func (alw *allowance) spend(size int) { alw.bytes -= size }

func (alw *allowance) left() bool { return alw.bytes > 0 }
