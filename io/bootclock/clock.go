package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since boot, suspension included. The runtime's clock stands still in a suspension, so it cannot tell
// a router that wakes how old its knowledge is. When the kernel refuses, the runtime's clock is the nearest there is.
func Now() time.Duration {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	if err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()
