package member

import "time"

// maxHealthScore limits how much probing slows down: to an eighth of its normal rate.
const maxHealthScore = 7

// health is a score of how likely this process itself is the cause of missing answers. A process
// that is slow, paused or cut off misses answers from everyone. The higher its score, the longer it
// waits for them; if not even a helper answers a probe, it suspects the target only at the highest
// score.
type health struct{ score int }

func (hea *health) worsen() { hea.score = min(hea.score+1, maxHealthScore) }

func (hea *health) improve() { hea.score = max(hea.score-1, 0) }

func (hea *health) atLimit() bool { return hea.score == maxHealthScore }

func (hea *health) scale(dur time.Duration) time.Duration { return dur * time.Duration(1+hea.score) }
