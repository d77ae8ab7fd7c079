package drain_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/drain"
)

func drained(domain string, offset int64) drain.Order {
	return drain.Order{Domain: domain, Drained: true, Offset: offset}
}

func resumed(domain string, offset int64) drain.Order {
	return drain.Order{Domain: domain, Offset: offset}
}

// Guards against a domain that stays drained, or is used again, because of an order that was read late.
func TestNewestOrderWins(t *testing.T) {
	var d drain.Domains
	assert.Assert(t, d.Apply(drained("a", 5)))
	assert.Assert(t, !d.Apply(drained("a", 6)))
	assert.Assert(t, !d.Apply(resumed("a", 4)))
	assert.DeepEqual(t, d.List(), []string{"a"})
	assert.Assert(t, d.Apply(resumed("a", 7)))
	assert.Assert(t, !d.Apply(drained("a", 6)))
	assert.Equal(t, len(d.List()), 0)
}

// Guards against a domain that stays drained for good because its order was written and revoked before it was read.
func TestOrderRevokedBeforeItWasRead(t *testing.T) {
	var d drain.Domains
	assert.Assert(t, !d.Apply(resumed("a", 3)))
	assert.Assert(t, !d.Replace(nil, nil))
	assert.Equal(t, len(d.List()), 0)
}

// Guards against a domain that stays drained after the record that ended its drain was trimmed.
func TestReplaceEndsUnlistedDrains(t *testing.T) {
	var d drain.Domains
	d.Apply(drained("a", 5))
	d.Apply(drained("b", 6))
	assert.Assert(t, d.Replace([]drain.Order{drained("b", 6)}, nil))
	assert.DeepEqual(t, d.List(), []string{"b"})
	assert.Assert(t, !d.Replace(nil, []string{"b"}))
	assert.DeepEqual(t, d.List(), []string{"b"})
}
