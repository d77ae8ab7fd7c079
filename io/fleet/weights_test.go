package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/standin/engine"
)

// Guards against answers that are joined from two versions of a model's weights, because a stream whose engine fails goes on at an engine
// that has another one loaded.
func TestStreamIsNotContinuedWithOtherWeights(t *testing.T) {
	f := startFleetWithLimits(t, 2, 0, "")
	served := map[string]int{}
	for name := range f.Engines() {
		body := fmt.Sprintf(`{"loaded":["sur-large@%s"]}`, name)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+f.Address(name)+"/savoryfall/orders", strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	f.Engine("engine-01").SetFaults(engine.Faults{AbortNext: 3, StopAfterTokens: 7})
	joined, failed := 0, 0
	for i := range 8 {
		text, err := completeContext(t.Context(), f, fmt.Sprintf("weights %d #40", i))
		both := true
		for name, e := range f.Engines() {
			now := e.ActualState().Served
			both = both && now > served[name]
			served[name] = now
		}
		if both && err == nil && text != "" {
			joined++
		}
		if err != nil {
			failed++
		}
	}
	t.Logf("%d answers of 8 joined of the text of two versions of weights, %d ended with an error", joined, failed)
	assert.Equal(t, joined, 0)
}
