package hub

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
)

// Guards against a configuration that is left out because the receiver holds another one of the same offset, from before
// the store was restored.
func TestRecordOfSameOffsetInAnotherGenerationIsSent(t *testing.T) {
	var cache compressionCache
	now := &compactedlog.Record{Key: "config", Value: []byte("new"), Offset: 11, Generation: 2}
	before := &compactedlog.Record{Key: "config", Value: []byte("old"), Offset: 11, Generation: 1}
	p, err := cache.compress(now, before.Position(), nil)
	assert.NilError(t, err)
	records, err := p.records(before)
	assert.NilError(t, err)
	assert.DeepEqual(t, records, []compactedlog.Record{*now})
	p, err = cache.compress(now, now.Position(), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Data), 0)
	_, err = p.records(before)
	assert.Equal(t, err, errRecordNotHeld)
	records, err = p.records(now)
	assert.NilError(t, err)
	assert.DeepEqual(t, records, []compactedlog.Record{*now})
}

// Guards against a hub that answers each report of a router of an earlier release at once, because that router does not
// say which generation its offset belongs to.
func TestReportWithoutGenerationIsOfTheHubsOwn(t *testing.T) {
	hub := compactedlog.Position{Generation: 3, Offset: 11}
	assert.Equal(t, (&Report{Configuration: 11}).configuration(hub.Generation), hub)
	assert.Assert(t, (&Report{Configuration: 15, ConfigurationGeneration: 2}).configuration(hub.Generation).Before(hub))
}

// Guards against a hub that answers each report of a router of an earlier release at once, because that router never has the
// records of prompt parts.
func TestReportOfEarlierReleaseLacksNoParts(t *testing.T) {
	assert.Assert(t, !(&Report{}).lacksParts(5))
	assert.Assert(t, (&Report{TakesParts: true}).lacksParts(5))
	assert.Assert(t, !(&Report{TakesParts: true, Numbers: Numbers{Parts: 5}}).lacksParts(5))
}
