package command

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordNothing makes the router one of the release before, which records no versions.
func recordNothing(vm *entryVM) {
	vm.versions.Required, vm.versions.Maintains = func(string) bool { return false }, func() bool { return false }
	vm.endpoints.RecordFirst(func(string) bool { return false }, func() {})
	vm.origins.Learn = nil
	vm.hub.Self.RecordsVersions = false
	vm.hub.Self.Bears -= recordingRank
	vm.members.Put(vm.hub.Self)
}

// Guards against streams that are joined because routers that are all replaced at once by ones of the next release overwrite, in the
// list of routers, what says that others ran before.
func TestStreamsAreNotJoinedWhenAllRoutersAreUpgradedAtOnce(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newLossFleet(t, 0, "v1", "v2")
			f.configure = recordNothing
			for i := range routers {
				f.start(i)
			}
			f.awaitRouters(f.vms, 4)
			streams, ended := f.beginAtAll()
			f.remove(0)
			<-time.After(300 * time.Millisecond)
			f.configure = nil
			f.replaceAll(0, func() {})
			ended.Wait()
			f.awaitRouters(f.vms, 2)
			joined, _ := f.resumeElsewhere(streams)
			assert.Equal(t, joined, 0)
		})
	}
}

// Guards against streams that are joined after a fleet was rolled back and forward again within the age at which a record is
// believed.
func TestStreamsAreNotJoinedWhenFleetIsRolledBackAndForward(t *testing.T) {
	t.Parallel()
	f := newLossFleet(t, 1, "v1")
	f.configure = recordNothing
	f.replaceAll(0, func() {
		f.addEngine("v1-0", "v2", oldProcess)
		f.addEngine("v1-1", "v2", oldProcess)
	})
	f.awaitRouters(f.vms, 4)
	streams, ended := f.beginAtAll()
	f.remove(1)
	f.awaitRouters(f.vms, 2)
	f.configure = nil
	f.replaceAll(0, func() {})
	ended.Wait()
	f.awaitRouters(f.vms, 2)
	joined, _ := f.resumeElsewhere(streams)
	assert.Equal(t, joined, 0)
}
