package guard

import (
	"time"

	"jacinthpost/io/agentstate"
)

// Decide ends a period, on the goroutine that owns the state.
func (grd *Guard[G]) Decide(sta *agentstate.State, now time.Time) { grd.decide(sta, now) }
