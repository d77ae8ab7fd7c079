package hubtest

import (
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/hub/hubtest/fakestore"
)

const (
	// EvacuateA is the key of the record that drains the first failure domain.
	EvacuateA = "evacuate/domain0"
	// EvacuateB is the key of the record that drains the second failure domain.
	EvacuateB = "evacuate/domain1"
	// DrainBound is the time within which a drain is in force everywhere when nothing else happens.
	DrainBound = 1500 * time.Millisecond
)

// OrderDrain writes or removes the record that drains a failure domain.
func (f *Fleet) OrderDrain(key string, drained bool) (at time.Time) {
	value := ""
	if drained {
		value = "{}"
	}
	f.store.Put(fakestore.ConfigurationTopic, key, value)
	return time.Now()
}

// AssertDrained checks that every router has drained exactly these failure domains, within the given time of the
// order.
func (f *Fleet) AssertDrained(ordered time.Time, within time.Duration, domains ...string) {
	f.t.Helper()
	for _, r := range f.routers {
		got, since := r.DrainedDomains()
		assert.DeepEqual(f.t, append([]string{}, got...), append([]string{}, domains...))
		assert.Assert(f.t, since.Sub(ordered) <= within, "%s after %v", r.self.Name, since.Sub(ordered))
	}
}
