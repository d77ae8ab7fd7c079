package retryafter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/retryafter"
)

// Guards against a faulty header that keeps requests from an endpoint for days, or that ends a pause before it begins.
func TestParse(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second, "604800": 5 * time.Minute, "1e300": 5 * time.Minute,
		"": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "-Inf": 0, "soon": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		assert.Equal(t, retryafter.Parse(value), want, "%q", value)
	}
}
