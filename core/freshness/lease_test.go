package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/freshness"
)

func TestLeaseExpiresAfterTerm(t *testing.T) {
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

// A VM is suspended for longer than a withdrawn key may be used. The runtime's clock does not advance during the
// suspension, but the time since boot does. The first request after the VM resumes must not be served.
func TestSuspensionEndsTheLease(t *testing.T) {
	var l freshness.Lease
	l.SetTerm(5 * time.Second)
	boot := 100 * time.Second
	l.Renew(boot)
	boot += 6 * time.Second
	assert.Assert(t, !l.Valid(boot))
}
