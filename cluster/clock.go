package cluster

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment, including time in which the host was
// suspended.
type Clock func() time.Duration

// BootClock reads the boot-time clock, which keeps running while the host is
// suspended.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // the monotonic clock is the closest substitute
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
