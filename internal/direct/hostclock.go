package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// hostClock returns the time since an arbitrary start that all processes of the host share
// until it restarts. Unlike the time of day, nobody sets it.
func hostClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
