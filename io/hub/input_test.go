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

	"savoryfall/core/board"
	"savoryfall/core/directory"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
)

var endpoint = board.Change{Entry: directory.Entry{ID: "known"}, Usable: true}

// follower is a router that has heard a first reply, and the hub it heard it from.
func follower(t *testing.T) (a *Agent, s *Service, first Reply) {
	t.Helper()
	s, changes := made(t, "hub")
	changes.Put(endpoint)
	f, _ := made(t, "follower")
	a = f.agent
	a.Loads = idle{}
	report(t, s, a, &first)
	assert.NilError(t, a.take(&first, board.Work{}, board.Work{}, 0))
	return a, s, first
}

func report(t *testing.T, s *Service, a *Agent, reply *Reply) {
	t.Helper()
	assert.NilError(t, s.Report(&Report{From: a.Self, Epoch: a.heard.epoch, Numbers: a.heard.Numbers}, reply))
}

// A reply that does not go on from what was heard (a gap, a number that goes back, a table with holes) drops all that was heard, so
// that the next report is answered with everything. Nothing is taken from it.
func TestReplyThatDoesNotFitIsAskedForAnew(t *testing.T) {
	for name, spoil := range map[string]func(r *Reply){
		"gap":       func(r *Reply) { r.Since.Changes = 99; r.Numbers.Changes = 100 },
		"goes back": func(r *Reply) { r.Numbers.Changes = r.Since.Changes - 1 },
		"holes":     func(r *Reply) { r.Loads = Columns{Endpoints: []uint32{1, 2}, Running: []int32{1}} },
	} {
		t.Run(name, func(t *testing.T) {
			a, s, _ := follower(t)
			var next Reply
			report(t, s, a, &next)
			next.Members = []members.Member{{Name: "foreign", Address: "a"}}
			spoil(&next)
			assert.Assert(t, a.take(&next, board.Work{}, board.Work{}, 0) != nil)
			assert.Equal(t, a.Members.Len(), 1)
			var whole Reply
			report(t, s, a, &whole)
			assert.Equal(t, whole.Since, Numbers{})
			assert.Equal(t, len(whole.Changes), 1)
			assert.NilError(t, a.take(&whole, board.Work{}, board.Work{}, 0))
		})
	}
}

// A report with a table that is none is refused and counts nowhere; one from a router without a name or an address adds nobody
// to the list.
func TestBadReportChangesNothing(t *testing.T) {
	s, _ := made(t, "hub")
	bad := Report{From: members.Member{Name: "x", Address: "a"}, Loads: Columns{Endpoints: []uint32{1}}}
	assert.Assert(t, s.Report(&bad, &Reply{}) != nil)
	assert.Equal(t, s.agent.Members.Len(), 1)
	nobody := Report{Joined: []members.Member{{Name: "y"}, {Address: "a"}, {Name: "hub", Address: "stolen"}}}
	assert.NilError(t, s.Report(&nobody, &Reply{}))
	assert.Equal(t, s.agent.Members.Len(), 1)
	huge := Report{From: bad.From, Loads: Columns{Endpoints: make([]uint32, mostLoads+1)}}
	assert.Assert(t, s.Report(&huge, &Reply{}) != nil)
}

// A router that names a life of the hub which is not this one is told everything, and what it offers of the store is not taken:
// its times mean nothing to this hub.
func TestOfferOfAnotherLifeIsNotTaken(t *testing.T) {
	s, _ := made(t, "hub")
	r := Report{From: members.Member{Name: "x", Address: "a"}, Epoch: 5, Numbers: Numbers{Changes: 7}}
	r.Offer.Registry = Known{Known: true, Next: math.MaxInt64}
	r.Offer.Changes = []board.Change{endpoint}
	assert.Assert(t, !s.agent.takeOffer(&r))
	var reply Reply
	assert.NilError(t, s.Report(&r, &reply))
	assert.Equal(t, reply.Since, Numbers{})
}

// A configuration that cannot be unpacked, or grows beyond bounds, is not taken.
func TestConfigurationThatCannotBeUnpacked(t *testing.T) {
	record := keyed.Record{Key: "config", Value: make([]byte, mostUnpacked+1), Offset: 3}
	p, err := pack(&record)
	assert.NilError(t, err)
	_, err = p.record()
	assert.Equal(t, err, errUnpacked)
	_, err = (&Packed{Data: []byte("no")}).record()
	assert.Assert(t, err != nil)
	record.Value = []byte("routes")
	p, err = pack(&record)
	assert.NilError(t, err)
	back, err := p.record()
	assert.NilError(t, err)
	assert.DeepEqual(t, back, record)
}

// A hub serves as many as its VM bears. Who comes then is told so at once, and who reports already goes on.
func TestFullHubSaysSo(t *testing.T) {
	s, _ := made(t, "hub")
	s.agent.Self.Bears = 2
	now := time.Now()
	s.agent.board.Take("hub", board.Work{}, nil, now)
	assert.Equal(t, s.agent.Self.Followers(), 2)
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

// What a router has heard of is told to the next hub when the first was full: it had taken nothing of it.
func TestFullHubTakesNothing(t *testing.T) {
	for _, full := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := made(t, "hub")
			a := s.agent
			a.Record = func() *keyed.Record { return nil }
			a.Loads, a.Configuration, a.Registry = idle{}, leading{leads: &atomic.Bool{}}, leading{leads: &atomic.Bool{}}
			a.joined = []members.Member{{Name: "new", Address: "a"}}
			server, client := rpc.NewServer(), &answering{Reply{Full: full}}
			assert.NilError(t, server.RegisterName(serviceName, client))
			here, there := net.Pipe()
			go server.ServeConn(there)
			a.client, a.to = rpc.NewClient(here), members.Member{Name: "next"}
			err := a.report(t.Context(), a.to)
			assert.Equal(t, err != nil, full)
			assert.Equal(t, len(a.joined) > 0, full)
			_ = a.client.Close()
		})
	}
}

// answering is a hub that always says the same.
type answering struct{ reply Reply }

// Report answers.
func (h *answering) Report(_ *Report, reply *Reply) error {
	*reply = h.reply
	return nil
}

// A hub that knows only what is old, and of which nobody says that the store cannot be read, is stuck: its followers would wait for
// ever for what it does not read.
func TestStuckHubIsLeft(t *testing.T) {
	s, _ := made(t, "hub")
	a := s.agent
	a.Stale = 2 * time.Second
	old := Extent{Known: true, Age: 4 * time.Second}
	assert.Assert(t, a.stuck(&Reply{Configuration: old, Registry: old}))
	assert.Assert(t, !a.stuck(&Reply{Configuration: old, Registry: old, Failing: true}))
	assert.Assert(t, !a.stuck(&Reply{Configuration: old}))
	fresh := Extent{Known: true, Age: time.Second}
	assert.Assert(t, !a.stuck(&Reply{Configuration: fresh, Registry: fresh}))
}
