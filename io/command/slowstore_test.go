package command

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against endpoints that wait for as long as the store is slow, because the record of versions is read with two calls in the time
// of one.
func TestEndpointsAreUsedWhileStoreIsSlow(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 0)
			f.store.SetDelay(delay)
			f.start(0)
			assert.Equal(t, f.streamStatus(f.vms[0]), 200)
		})
	}
}

// streamStatus waits until the router serves a service whose streams are not resumed, and returns the status of a resumable stream: 200, or
// what it still gets after 15 s.
func (f *entryFleet) streamStatus(vm *entryVM) (status int) {
	f.waitFor("ready", func() bool { return vm.handler.Ready() && f.get(vm, "/read/x", "good").Status == 200 })
	began := time.Now()
	for status != 200 && time.Since(began) < 15*time.Second {
		status = f.send(vm, "POST", "/draft/x", "good", fmt.Sprint("r", requestCount.Add(1))).Status
		<-time.After(50 * time.Millisecond)
	}
	f.t.Logf("status %d after %v", status, time.Since(began))
	return status
}
