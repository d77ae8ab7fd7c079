package hub

import (
	"math"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
)

var knownEndpoint = fleetload.Change{Entry: directory.Entry{ID: "known"}, Usable: true}

// newFollower returns a router that has applied a first reply, and the hub that sent it.
func newFollower(t *testing.T) (a *Agent, s *Service, first Reply) {
	t.Helper()
	s, changes := newTestHub(t, "hub")
	changes.Add(knownEndpoint)
	f, _ := newTestHub(t, "follower")
	a = f.agent
	a.Loads = idleLoads{}
	sendTestReport(t, s, a, &first)
	assert.NilError(t, a.applyReply(&first, fleetload.Workload{}, fleetload.Workload{}, 0))
	return a, s, first
}

func sendTestReport(t *testing.T, s *Service, a *Agent, reply *Reply) {
	t.Helper()
	assert.NilError(t, s.Report(&Report{From: a.Self, Epoch: a.hubState.epoch, Numbers: a.hubState.Numbers}, reply))
}

// A reply that does not continue from the current state (a gap, a sequence number that goes back, columns of
// different lengths) is not applied and resets the state, so that the next report is answered with everything.
func TestDiscontinuousReplyIsRejectedAndReset(t *testing.T) {
	for name, corrupt := range map[string]func(r *Reply){
		"gap":       func(r *Reply) { r.Since.Changes = 99; r.Numbers.Changes = 100 },
		"goes back": func(r *Reply) { r.Numbers.Changes = r.Since.Changes - 1 },
		"holes":     func(r *Reply) { r.Loads = LoadColumns{Endpoints: []uint32{1, 2}, Running: []int32{1}} },
	} {
		t.Run(name, func(t *testing.T) {
			a, s, _ := newFollower(t)
			var next Reply
			sendTestReport(t, s, a, &next)
			next.Members = []members.Member{{Name: "foreign", Address: "a"}}
			corrupt(&next)
			assert.Assert(t, a.applyReply(&next, fleetload.Workload{}, fleetload.Workload{}, 0) != nil)
			assert.Equal(t, a.Members.Len(), 1)
			var whole Reply
			sendTestReport(t, s, a, &whole)
			assert.Equal(t, whole.Since, Numbers{})
			assert.Equal(t, len(whole.Changes), 1)
			assert.NilError(t, a.applyReply(&whole, fleetload.Workload{}, fleetload.Workload{}, 0))
		})
	}
}

// readTopic is a topic that has been read.
type readTopic struct {
	unreadTopic
	next int64
}

func (r *readTopic) Position() (end compactedlog.Position, sent time.Duration, ok bool) {
	return compactedlog.Position{Offset: r.next}, time.Second, true
}

func (r *readTopic) AdvanceTo(end compactedlog.Position, _ time.Duration) { r.next = end.Offset }

// appliedEndpoints records the changes applied to it.
type appliedEndpoints struct {
	fakeEndpoints
	usable map[string]bool
}

func (e *appliedEndpoints) ApplyChanges(changes []fleetload.Change, _ bool) {
	for _, c := range changes {
		e.usable[c.Entry.ID] = c.Usable
	}
}

// Guards against a router that starts while its hub cannot read the store, and never gets the endpoints whose records had left the store
// when it read that itself: the hub's list was dropped as older, and not requested again.
func TestEndpointsOfAnOlderReplyAreRequestedAgain(t *testing.T) {
	s, changes := newTestHub(t, "hub")
	changes.Add(knownEndpoint)
	hubTopic, ownTopic, endpoints := &readTopic{next: 5}, &readTopic{next: 10}, &appliedEndpoints{usable: map[string]bool{}}
	s.agent.Registry = hubTopic
	f, _ := newTestHub(t, "follower")
	a := f.agent
	a.Loads, a.Registry, a.Endpoints = idleLoads{}, ownTopic, endpoints
	exchange := func() (r Reply) {
		sendTestReport(t, s, a, &r)
		assert.NilError(t, a.applyReply(&r, fleetload.Workload{}, fleetload.Workload{}, 0))
		return r
	}
	exchange()
	changes.Add(fleetload.Change{Entry: directory.Entry{ID: "later"}, Usable: true})
	exchange()
	assert.Assert(t, len(endpoints.usable) == 0)
	assert.Equal(t, len(exchange().Changes), 0, "requested while the hub is behind")
	hubTopic.next = 12
	exchange()
	assert.Assert(t, len(endpoints.usable) == 0)
	exchange()
	assert.Assert(t, endpoints.usable["known"] && endpoints.usable["later"])
	assert.Equal(t, ownTopic.next, int64(12))
	assert.Equal(t, len(exchange().Changes), 0)
}

// A report with invalid columns is rejected and not counted. Routers without a name or an address are not added to
// the list.
func TestInvalidReportIsRejected(t *testing.T) {
	s, _ := newTestHub(t, "hub")
	bad := Report{From: members.Member{Name: "x", Address: "a"}, Loads: LoadColumns{Endpoints: []uint32{1}}}
	assert.Assert(t, s.Report(&bad, &Reply{}) != nil)
	assert.Equal(t, s.agent.Members.Len(), 1)
	unnamed := Report{Joined: []members.Member{{Name: "y"}, {Address: "a"}, {Name: "hub", Address: "stolen"}}}
	assert.NilError(t, s.Report(&unnamed, &Reply{}))
	assert.Equal(t, s.agent.Members.Len(), 1)
	huge := Report{From: bad.From, Loads: LoadColumns{Endpoints: make([]uint32, maxLoadRows+1)}}
	assert.Assert(t, s.Report(&huge, &Reply{}) != nil)
}

// A report with another hub's epoch gets the complete lists, and its offer is ignored: the times in it do not refer
// to this hub's clock.
func TestOfferForAnotherEpochIsIgnored(t *testing.T) {
	s, _ := newTestHub(t, "hub")
	r := Report{From: members.Member{Name: "x", Address: "a"}, Epoch: 5, Numbers: Numbers{Changes: 7}}
	r.Offer.Registry = Known{Known: true, Next: math.MaxInt64}
	r.Offer.Changes = []fleetload.Change{knownEndpoint}
	newer, incomplete := s.agent.applyOffer(&r)
	assert.Assert(t, !newer && !incomplete)
	var reply Reply
	assert.NilError(t, s.Report(&r, &reply))
	assert.Equal(t, reply.Since, Numbers{})
}

// A configuration that cannot be decompressed, or exceeds the maximum size, is rejected.
func TestConfigurationThatCannotBeDecompressed(t *testing.T) {
	record := compactedlog.Record{Key: "config", Value: make([]byte, maxConfigurationBytes+1), Offset: 3}
	p, err := compress(&record)
	assert.NilError(t, err)
	_, err = p.record()
	assert.Equal(t, err, errConfigurationTooLarge)
	_, err = (&CompressedConfiguration{Data: []byte("no")}).record()
	assert.Assert(t, err != nil)
	record.Value = []byte("routes")
	p, err = compress(&record)
	assert.NilError(t, err)
	back, err := p.record()
	assert.NilError(t, err)
	assert.DeepEqual(t, back, record)
}

// A hub at capacity refuses new routers at once, and keeps serving those that already report to it.
func TestHubAtCapacityRefusesNewRouters(t *testing.T) {
	s, _ := newTestHub(t, "hub")
	s.agent.Self.Bears = 2
	now := time.Now()
	s.agent.aggregator.AddReport("hub", fleetload.Workload{}, nil, now)
	assert.Equal(t, s.agent.Self.MaxFollowers(), 2)
	for i, full := range []bool{false, false, true} {
		var reply Reply
		from := members.Member{Name: string(rune('a' + i)), Address: "a"}
		assert.NilError(t, s.Report(&Report{From: from}, &reply))
		assert.Equal(t, reply.Full, full)
	}
	var reply Reply
	assert.NilError(t, s.Report(&Report{From: members.Member{Name: "a", Address: "a"}}, &reply))
	assert.Assert(t, !reply.Full)
}

// What a full hub refused must be sent to the next hub, since the full one has stored none of it.
func TestReportRefusedByFullHubIsKept(t *testing.T) {
	for _, full := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newTestHub(t, "hub")
			a := s.agent
			a.CurrentRecord = func() *compactedlog.Record { return nil }
			a.Loads, a.Configuration, a.Registry = idleLoads{}, leadTopic{reads: &atomic.Bool{}}, leadTopic{reads: &atomic.Bool{}}
			a.joinedRouters = []members.Member{{Name: "new", Address: "a"}}
			server, client := rpc.NewServer(), &fixedReplyHub{Reply{Full: full}}
			assert.NilError(t, server.RegisterName(serviceName, client))
			here, there := net.Pipe()
			go server.ServeConn(there)
			a.client, a.connectedTo = rpc.NewClient(here), members.Member{Name: "next"}
			err := a.sendReport(t.Context(), a.connectedTo)
			assert.Equal(t, err != nil, full)
			assert.Equal(t, len(a.joinedRouters) > 0, full)
			_ = a.client.Close()
		})
	}
}

// fixedReplyHub is a hub that always returns the same reply.
type fixedReplyHub struct{ reply Reply }

// Report returns the fixed reply.
func (h *fixedReplyHub) Report(_ *Report, reply *Reply) error {
	*reply = h.reply
	return nil
}

// A hub whose data is old is stuck unless it says that the store cannot be read: its followers would wait forever for
// reads that it does not make.
func TestStuckHubIsDetected(t *testing.T) {
	s, _ := newTestHub(t, "hub")
	a := s.agent
	a.StaleAfter = 2 * time.Second
	old := TopicPosition{Known: true, Age: 4 * time.Second}
	assert.Assert(t, a.hubStuck(&Reply{Configuration: old, Registry: old}))
	assert.Assert(t, !a.hubStuck(&Reply{Configuration: old, Registry: old, Failing: true}))
	assert.Assert(t, !a.hubStuck(&Reply{Configuration: old}))
	fresh := TopicPosition{Known: true, Age: time.Second}
	assert.Assert(t, !a.hubStuck(&Reply{Configuration: fresh, Registry: fresh}))
}
