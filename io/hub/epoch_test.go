package hub

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/io/traffic"
)

// unreadTopic is a topic that has not been read.
type unreadTopic struct{ ConfigurationReader }

func (unreadTopic) Position() (end compactedlog.Position, sent time.Duration, ok bool) {
	return end, 0, false
}
func (unreadTopic) Behind() bool                   { return false }
func (unreadTopic) Failing() bool                  { return false }
func (unreadTopic) FailedSince(time.Duration) bool { return false }
func (unreadTopic) HubAnswered()                   {}
func (unreadTopic) EndStartupWait()                {}

// fakeEndpoints holds changes of endpoints and ignores the changes applied to it.
type fakeEndpoints struct{ changes fleetload.ChangeLog }

func (n *fakeEndpoints) Changes() *fleetload.ChangeLog       { return &n.changes }
func (*fakeEndpoints) ApplyChanges([]fleetload.Change, bool) {}

func newTestHub(t testing.TB, name string) (s *Service, changes *fleetload.ChangeLog) {
	t.Helper()
	n := &fakeEndpoints{}
	a, err := New(Config{
		Self: members.Member{Name: name}, ListenAddress: "127.0.0.1:0", Members: &members.List{}, Configuration: unreadTopic{}, Registry: unreadTopic{},
		Endpoints: n, Meter: traffic.New(metrics.NewSet()), Logger: log.NewNopLogger(), OnRoutersChanged: func([]uint64) {},
		Clock: func() time.Duration { return 0 },
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = a.listener.Close() })
	return &Service{agent: a}, n.Changes()
}

// Two routers start at the same instant, as the VMs of a fleet do, and become the hub one after the other. The
// sequence numbers of one mean nothing to the other: when both had the same epoch, routers that changed hubs were not
// told that an endpoint was leaving.
func TestHubsStartedAtTheSameInstantHaveDifferentEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, earlier := newTestHub(t, "first")
		second, later := newTestHub(t, "second")
		earlier.Add(fleetload.Change{Entry: directory.Entry{ID: "known"}, Usable: true})
		var reply Reply
		assert.NilError(t, first.Report(&Report{From: members.Member{Name: "third"}}, &reply))
		assert.Equal(t, len(reply.Changes), 1)
		later.Add(fleetload.Change{Entry: directory.Entry{ID: "leaving"}})
		var next Reply
		assert.NilError(t, second.Report(&Report{
			From: members.Member{Name: "third"}, Epoch: reply.Epoch, Numbers: reply.Numbers,
		}, &next))
		assert.Equal(t, next.Since.Changes, int64(0))
		assert.Equal(t, len(next.Changes), 1)
	})
}
