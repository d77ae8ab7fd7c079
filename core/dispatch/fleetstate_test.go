package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
)

const (
	calmInterval = 1500 * time.Millisecond
	busyInterval = 400 * time.Millisecond
)

// Guards against reports to other routers while overload control is active for no service, and against reports that lapse before
// the next one.
func TestStateIntervalFollowsActivity(t *testing.T) {
	d, _ := newDispatcher(2)
	assert.Equal(t, d.StateInterval(start), time.Duration(0))
	a, _ := d.Choose(dispatch.Query{Service: models}, start)
	a.RecordFirstBytes(dispatch.Load{Running: 1, Slots: 32, Slowdown: 1, Known: true}, start)
	assert.Equal(t, d.StateInterval(start), 2*time.Second)
	d.SetOverloadControl(dispatch.OverloadControl{ReportTerm: 2 * time.Second, Accounts: 5})
	assert.Equal(t, d.StateInterval(start), calmInterval)
	assert.Equal(t, d.StateInterval(start.Add(31*time.Second)), time.Duration(0))
	assert.Equal(t, d.StateLimits().Accounts, 5)
	d.SetOverloadControl(dispatch.OverloadControl{Never: true})
	assert.Equal(t, d.StateInterval(start), time.Duration(0))
}

// Guards against reports at long intervals while a service is above half of its capacity, or has refused lately.
func TestStateIntervalFollowsLoad(t *testing.T) {
	d, _ := newDispatcher(2)
	d.SetOverloadControl(dispatch.OverloadControl{Always: true, ReportTerm: 2 * time.Second})
	q := dispatch.Query{Service: plain}
	var attempts []*dispatch.Attempt
	for range 6 {
		attempts = append(attempts, choose(t, d, q, start))
	}
	assert.Equal(t, d.StateInterval(start), calmInterval)
	attempts = append(attempts, choose(t, d, q, start))
	assert.Equal(t, d.StateInterval(start), busyInterval)
	refused := false
	for range 100 {
		a, _ := d.Choose(q, start)
		if a == nil {
			refused = true
			break
		}
		attempts = append(attempts, a)
	}
	assert.Assert(t, refused)
	for _, a := range attempts {
		a.End(dispatch.Served, start)
	}
	assert.Equal(t, d.StateInterval(start.Add(5*time.Second)), busyInterval)
	assert.Equal(t, d.StateInterval(start.Add(6*time.Second)), calmInterval)
}
