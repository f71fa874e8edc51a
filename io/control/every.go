package control

import (
	"context"
	"time"
)

// began is the instant from which the periods of a process count.
var began = time.Now()

// Align returns the first time after now that is a multiple of the period since the process started. Work whose time is
// not critical uses it, so that one wake-up of the process serves all of it.
// Processes differ in their phase, because each counts from its own start.
func Align(now time.Time, period time.Duration) time.Time {
	into := now.Sub(began) % period
	if into < 0 { // in tests on a virtual clock
		into += period
	}
	return now.Add(period - into)
}

// Every calls a function at each multiple of a period until the context ends.
func Every(ctx context.Context, period time.Duration, fun func()) {
	tmr := time.NewTimer(time.Until(Align(time.Now(), period)))
	defer tmr.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tmr.C:
			fun()
			now := time.Now()
			tmr.Reset(Align(now, period).Sub(now))
		}
	}
}

// Pause waits for dur or returns the error of the context that ended first.
func Pause(ctx context.Context, dur time.Duration) error {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
