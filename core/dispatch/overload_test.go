package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
)

// Guards against overload control at a service that does not call for it, or that stays on after its endpoints stopped to.
func TestOverloadControlFollowsSpeedReports(t *testing.T) {
	d, _ := newDispatcher(2)
	assert.Assert(t, !d.OverloadControl(models, start))
	a, _ := d.Choose(dispatch.Query{Service: models}, start)
	a.RecordFirstBytes(dispatch.Load{Running: 1, Slots: 8, Known: true}, start)
	assert.Assert(t, !d.OverloadControl(models, start))
	a.RecordFirstBytes(dispatch.Load{Running: 1, Slots: 8, Slowdown: 1, Known: true}, start)
	assert.Assert(t, d.OverloadControl(models, start.Add(29*time.Second)))
	assert.Assert(t, !d.OverloadControl(plain, start))
	assert.Assert(t, !d.OverloadControl(models, start.Add(31*time.Second)))
	d.SetOverloadControl(dispatch.OverloadControl{Never: true})
	assert.Assert(t, !d.OverloadControl(models, start))
	d.SetOverloadControl(dispatch.OverloadControl{Always: true})
	assert.Assert(t, d.OverloadControl(plain, start.Add(time.Hour)))
}
