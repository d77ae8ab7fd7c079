package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/freshness"
)

func TestLease(t *testing.T) {
	var l freshness.Lease
	l.SetTerm(5 * time.Second)
	assert.Assert(t, !l.Valid(time.Second))
	l.Renew(10 * time.Second)
	assert.Assert(t, l.Valid(14999*time.Millisecond))
	assert.Assert(t, !l.Valid(15*time.Second))
	l.Renew(8 * time.Second)
	age, known := l.Age(12 * time.Second)
	assert.Assert(t, known)
	assert.Equal(t, age, 2*time.Second)
}

// A VM is suspended for longer than a withdrawn key may be used. Its runtime's clock has not moved, but the time since
// boot has: the first request after the wake must not be served.
func TestSuspensionEndsTheLease(t *testing.T) {
	var l freshness.Lease
	l.SetTerm(5 * time.Second)
	boot := 100 * time.Second
	l.Renew(boot)
	boot += 6 * time.Second
	assert.Assert(t, !l.Valid(boot))
}
