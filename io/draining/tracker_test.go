package draining_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/io/draining"
	"savoryfall/platform/evacuation"
)

// drainedDomains records the failure domains that are drained.
type drainedDomains struct{ list []string }

func (d *drainedDomains) SetDrained(domains []string, _ time.Time) { d.list = domains }
func (*drainedDomains) CountInDomain(string) int                   { return 0 }

// order returns a record that drains the domain, or ends its drain.
func order(domain string, drained bool, generation, offset int64) compactedlog.Record {
	r := compactedlog.Record{Key: evacuation.Prefix + domain, Offset: offset, Generation: generation, Removed: !drained}
	if drained {
		r.Value = []byte("{}")
	}
	return r
}

func TestOrdersOfRestoredStoreApply(t *testing.T) {
	var domains drainedDomains
	tr := draining.New(evacuation.Decoder{}, &domains, log.NewNopLogger())
	tr.Apply([]compactedlog.Record{order("a", true, 1, 8)})
	tr.Apply([]compactedlog.Record{order("a", false, 1, 9)})
	assert.Equal(t, len(domains.list), 0)
	tr.Apply([]compactedlog.Record{order("a", true, 2, 4)})
	assert.DeepEqual(t, domains.list, []string{"a"})
	assert.DeepEqual(t, tr.Records(), []compactedlog.Record{order("a", true, 2, 4)})
	tr.Apply([]compactedlog.Record{order("a", false, 1, 12)})
	assert.DeepEqual(t, domains.list, []string{"a"})
	tr.Apply([]compactedlog.Record{order("a", false, 2, 5)})
	assert.Equal(t, len(domains.list), 0)
}

// Guards against a failure domain that is used again because a restored store lacks the order that drains it.
func TestDrainMissingInRestoredStoreIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var domains drainedDomains
		tr := draining.New(evacuation.Decoder{}, &domains, log.NewNopLogger())
		tr.Apply([]compactedlog.Record{order("a", true, 1, 8), order("b", true, 1, 9)})
		tr.Restored()
		tr.Replace(nil)
		tr.Read(0)
		assert.DeepEqual(t, domains.list, []string{"a", "b"})
		assert.Equal(t, len(tr.Records()), 0, "the store does not have them")
		time.Sleep(2 * time.Second)
		tr.Apply([]compactedlog.Record{order("b", true, 2, 3)})
		time.Sleep(time.Minute)
		tr.Read(0)
		assert.DeepEqual(t, domains.list, []string{"b"})
		assert.DeepEqual(t, tr.Records(), []compactedlog.Record{order("b", true, 2, 3)})
		tr.Replace(nil)
		assert.Equal(t, len(domains.list), 0)
	})
}
