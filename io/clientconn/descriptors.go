package clientconn

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxDescriptors returns how many descriptors this process may have open.
func MaxDescriptors() int {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
