package procmemory_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/standin/procmemory"
)

// Guards against checks of memory that hold because nothing is read.
func TestHeldMemoryIsCounted(t *testing.T) {
	const heldMB = 32
	held := make([]byte, heldMB<<20)
	for i := range held {
		held[i] = 1
	}
	mb, err := procmemory.AnonymousMB(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, mb >= heldMB, "%d MB", mb)
	assert.Equal(t, held[len(held)-1], byte(1))
}
