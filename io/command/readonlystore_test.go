package command

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/api/log-append" {
					w.WriteHeader(status)
					return
				}
				f.store.ServeHTTP(w, r)
			}))
			t.Cleanup(s.Close)
			f.storeAddress = strings.TrimPrefix(s.URL, "http://")
			f.start(0)
			assert.Equal(t, f.streamStatus(f.vms[0]), 200)
		})
	}
}
