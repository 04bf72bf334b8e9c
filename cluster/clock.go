package cluster

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since some fixed moment, including suspensions.
type Clock func() time.Duration

// BootClock reads the boot-time clock, which runs on while a machine is suspended.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // the steady clock is the nearest substitute
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
