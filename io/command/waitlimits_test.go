package command

import (
	"io"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/settings"
	"savoryfall/io/logwriter"
)

// Guards against limits of the queue that the settings file does not set at the start, or that a reload does not change.
func TestWaitLimitsFollowSettings(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 0)
	text := f.settingsWithGrace(time.Second)
	cfg, err := settings.ParseEntry("vm.toml", slices.Concat(text, []byte("[overloadControl]\nmaxWait = \"90ms\"\nmaxWaiting = 12\n")))
	assert.NilError(t, err)
	vm, err := newEntryVM(cfg, logwriter.New(io.Discard))
	assert.NilError(t, err)
	maxWait, maxWaiting := vm.handler.WaitLimits()
	assert.Equal(t, maxWait, 90*time.Millisecond)
	assert.Equal(t, maxWaiting, 12)
	vm.reload("vm.toml", slices.Concat(text, []byte("[overloadControl]\nmaxWait = \"1s\"\nmaxWaiting = 7\n")))
	maxWait, maxWaiting = vm.handler.WaitLimits()
	assert.Equal(t, maxWait, time.Second)
	assert.Equal(t, maxWaiting, 7)
}
