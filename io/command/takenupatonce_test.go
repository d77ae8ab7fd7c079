package command

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// awaitReady waits until the routers say that they are ready.
func (f *entryFleet) awaitReady(vms []*entryVM) {
	for _, vm := range vms {
		f.waitFor("routers", vm.handler.Ready)
	}
}

// Guards against streams that are refused after a loss of all routers because the routers which take their place, and say that they
// are ready, do not know yet where they began.
func TestStreamsGoOnAsSoonAsRoutersAreReady(t *testing.T) {
	t.Parallel()
	for name, versions := range map[string][]string{"one version": {"v1"}, "both versions serve": {"v1", "v2"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLongStreamFleet(t, 3, versions...)
			streams, ended := f.beginAtAll()
			<-time.After(begunBefore)
			f.replaceAll(0, func() {})
			ended.Wait()
			f.awaitReady(f.vms)
			joined, wentOn := f.resumeElsewhere(streams)
			assert.Equal(t, joined, 0)
			assert.Assert(t, 10*wentOn >= 9*len(streams), "%d went on", wentOn)
		})
	}
}
