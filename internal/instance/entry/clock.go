package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted, including the time for
// which it was suspended. It returns zero if the clock cannot be read.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
