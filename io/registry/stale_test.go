package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/io/registry"
)

// Guards against streams that are joined by a router that is cut off and has not heard of a version at which others begin streams.
func TestVersionsAreUnknownWhileThereAreNoLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := registry.New(versionDecoder{}, func([]directory.Entry) {}, log.NewNopLogger())
		tr.Replace([]compactedlog.Record{{Key: "a", Value: []byte("v2")}})
		for range 60 {
			tr.Read(0)
			time.Sleep(time.Second)
		}
		for range 30 {
			time.Sleep(time.Second)
			tr.Failed(errUnavailable)
		}
		only, ok := tr.Versions().Only("models", 20*time.Second, time.Now())
		assert.Assert(t, !ok, "30 s after its last list, %s is taken for the only version", only)
	})
}
