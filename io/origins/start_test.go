package origins_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/versionhistory"
	"savoryfall/io/origins"
)

// Guards against streams that are refused by a router which has just started, because it has no list of endpoints yet.
func TestRouterThatHasJustStartedWaitsForItsList(t *testing.T) {
	runFleet(t, 3, []string{"v2"}, func(f *fleet) {
		time.Sleep(time.Minute)
		f.restart(2)
		r := f.routers[2]
		r.history = &versionhistory.History{}
		r.History = r.history
		time.AfterFunc(100*time.Millisecond, func() { r.list("v2") })
		version, from := r.find("s")
		assert.Equal(t, version, "v2")
		assert.Equal(t, from, origins.OnlyVersionByRouter)
	})
}

// A router that gets no list refuses soon, and one that has been up for a while at once.
func TestRouterWithoutListRefusesSoon(t *testing.T) {
	for up, atMost := range map[time.Duration]time.Duration{0: 600 * time.Millisecond, 3 * time.Second: 0} {
		runFleet(t, 3, []string{"v2"}, func(f *fleet) {
			time.Sleep(time.Minute)
			f.restart(2)
			f.routers[2].History = &versionhistory.History{}
			time.Sleep(up)
			asked := time.Now()
			version, _ := f.routers[2].find("s")
			assert.Equal(t, version, "?")
			assert.Equal(t, time.Since(asked), atMost)
		})
	}
}
