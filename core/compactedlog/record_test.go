package compactedlog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
)

func TestPositionsOfLaterGenerationsAreAfter(t *testing.T) {
	ordered := []compactedlog.Position{{}, {Offset: 7}, {Generation: 1, Offset: 0}, {Generation: 1, Offset: 9}, {Generation: 2, Offset: 3}}
	for i, p := range ordered {
		for j, q := range ordered {
			assert.Equal(t, p.Before(q), i < j, "%v %v", p, q)
		}
	}
}
