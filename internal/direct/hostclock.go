package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// hostClock returns the time since an arbitrary start that all processes of the host share
// until it restarts. Unlike the time of day, nobody sets it; it counts the time while the host
// is suspended.
func hostClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
