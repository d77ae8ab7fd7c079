package members_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
)

// Routers that agree on who exists choose the same sample, and all of a small fleet are in it.
func TestInSample(t *testing.T) {
	for _, n := range []int{6, 16, 82, 300} {
		var list members.List
		for i := range n {
			list.Put(vm(i))
		}
		chosen := 0
		for i := range n {
			if list.InSample(vm(i).Name, 16) {
				chosen++
			}
		}
		assert.Equal(t, chosen, min(n, 16), fmt.Sprint(n))
	}
}
