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

// versionDecoder decodes the endpoint's version from the value.
type versionDecoder struct{}

func (versionDecoder) Decode(r compactedlog.Record) (e directory.Entry, err error) {
	return directory.Entry{ID: r.Key, Born: 1, Service: "models", Version: string(r.Value)}, nil
}

// Guards against streams that are joined by a router that was cut off while another version came and left, and then got a complete
// list, which does not have it.
func TestVersionsAreUnknownForTheTimeWithoutLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := registry.New(versionDecoder{}, func([]directory.Entry) {}, log.NewNopLogger())
		list := []compactedlog.Record{{Key: "a", Value: []byte("v2")}}
		tr.Replace(list)
		tr.Read(0)
		for range 60 {
			time.Sleep(time.Second)
			tr.Read(0)
		}
		only, ok := tr.Versions().Only("models", 20*time.Second, time.Now())
		assert.Assert(t, ok && only == "v2")
		// Cut off for 30 s. Within it, v1 has come and left.
		for range 30 {
			time.Sleep(time.Second)
			tr.Failed(errUnavailable)
		}
		tr.Replace(list)
		tr.Read(0)
		only, ok = tr.Versions().Only("models", 20*time.Second, time.Now())
		assert.Assert(t, !ok, "%s is taken for the only version", only)
	})
}

// Guards against streams that begin at a version that is not in the record, because its endpoint was in use before the
// configuration made streams of the service resumable.
func TestEndpointInUseWaitsOnceVersionsMustBeRecorded(t *testing.T) {
	var usable []directory.Entry
	required := false
	tr := registry.New(versionDecoder{}, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
	tr.RecordFirst(func(string) bool { return required }, func() {})
	tr.Replace([]compactedlog.Record{{Key: "a", Value: []byte("v1")}})
	assert.Equal(t, len(usable), 1)
	required = true
	tr.Recheck()
	assert.Assert(t, len(usable) == 0 || tr.Versions().Offered("models", "v1"), "in use and not recorded")
}

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
