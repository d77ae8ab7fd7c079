package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time suspended. The Go runtime's monotonic clock stops during suspension,
// so a router that resumes could not tell from it how old its data is. If the system call fails, the runtime's clock is
// used as the closest substitute.
func Now() time.Duration {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	if err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
