package command

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a service that is lost for as long as the store refuses writes, because its versions are not in the record.
func TestEndpointsAreUsedWhileStoreRefusesWrites(t *testing.T) {
	t.Parallel()
	for _, status := range []int{503, 507} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 0)
			f.store.RefuseWrites(status)
			f.start(0)
			assert.Equal(t, f.streamStatus(f.vms[0]), 200)
		})
	}
}
