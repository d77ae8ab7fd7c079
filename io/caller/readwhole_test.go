package caller

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

type zeros struct{}

func (zeros) Read(p []byte) (n int, err error) { return len(p), nil }

// Guards against the first part of an answer that is recorded and passed on as if it were whole.
func TestPartOfALargeBodyIsNotWhole(t *testing.T) {
	body, err := readWhole(io.LimitReader(zeros{}, maxResponseBytes))
	assert.NilError(t, err)
	assert.Equal(t, len(body), maxResponseBytes)
	_, err = readWhole(io.LimitReader(zeros{}, maxResponseBytes+1))
	assert.ErrorIs(t, err, errTooLarge)
}
