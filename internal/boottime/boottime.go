// Package boottime reads a monotonic clock that includes the time during which the machine was
// suspended. Go's monotonic clock excludes it, so a lease measured with that clock would be
// held beyond its end after a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, as an offset from the Unix epoch. Only
// differences between two results are meaningful.
func Now() time.Time {
	var spc unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spc); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(spc.Sec, spc.Nsec)
}
