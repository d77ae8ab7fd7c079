package retryafter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxParsed is the longest delay that is accepted. A longer one is probably an error, and is shortened to this.
const maxParsed = 5 * time.Minute

// Parse parses the value of a Retry-After header as a number of seconds, which may have a fraction. Anything else, also a
// date or a negative number, is no delay.
func Parse(value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxParsed.Seconds()) * float64(time.Second))
}
