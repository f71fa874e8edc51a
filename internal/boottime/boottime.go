// Package boottime reads a steady clock that counts the time during which the
// machine was suspended. Go's monotonic clock doesn't, so a lease measured with it
// would outlive its end on a machine that slept.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the machine as a time without a date.
// Only differences are meaningful.
func Now() time.Time {
	var spc unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spc); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(spc.Sec, spc.Nsec)
}
