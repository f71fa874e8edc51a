package member

import "time"

// maxHealthScore slows probing to an eighth at most.
const maxHealthScore = 7

// health is how much this process doubts its own view. A process that is slow,
// paused or cut off sees missing answers everywhere; it waits longer for them
// and blames nobody until the score is at its limit.
type health struct{ score int }

func (hea *health) worsen() { hea.score = min(hea.score+1, maxHealthScore) }

func (hea *health) improve() { hea.score = max(hea.score-1, 0) }

func (hea *health) atLimit() bool { return hea.score == maxHealthScore }

func (hea *health) scale(dur time.Duration) time.Duration { return dur * time.Duration(1+hea.score) }
