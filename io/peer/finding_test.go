package peer

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// refusingAddress returns an address that refuses every connection. Its port is bound until the test ends, so that no other process
// gets it.
func refusingAddress(t *testing.T) (address string) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

var downFinding = Finding{Endpoint: "engine-01", Down: true}

// An engine goes down while exchanges with a peer fail. The finding must still be sent when exchanges succeed again:
// the peer has no duty to probe the engine and learns of it in no other way.
func TestFindingIsResentAfterFailedExchanges(t *testing.T) {
	a := newAgent(t, "first", nil, nil)
	setMembers(a, map[string]string{"second": refusingAddress(t)})
	a.BroadcastFinding(downFinding)
	for range 5 {
		a.exchangeAll(t.Context(), a.peers())
	}
	assert.DeepEqual(t, a.newMessage("second").Findings, []Finding{downFinding})
}

// An engine goes down before two routers that have just started have discovered each other. The finding must be sent
// at their first exchange.
func TestFindingReachesMemberDiscoveredLater(t *testing.T) {
	a := newAgent(t, "first", nil, nil)
	a.BroadcastFinding(downFinding)
	a.exchangeAll(t.Context(), a.peers())
	setMembers(a, map[string]string{"second": refusingAddress(t)})
	assert.DeepEqual(t, a.newMessage("second").Findings, []Finding{downFinding})
}

// Every exchange counts against the budget of control traffic, so a peer that has received a finding must not be sent
// it again unless it has changed since.
func TestFindingIsSentOnce(t *testing.T) {
	a, b := newAgent(t, "first", nil, nil), newAgent(t, "second", nil, nil)
	setMembers(a, map[string]string{"second": b.Address()})
	a.BroadcastFinding(downFinding)
	a.exchangeAll(t.Context(), a.peers())
	assert.Equal(t, len(a.newMessage("second").Findings), 0)
	assert.Equal(t, len(a.newMessage("third").Findings), 1)
	a.BroadcastFinding(Finding{Endpoint: "engine-01"})
	assert.Equal(t, len(a.newMessage("second").Findings), 1)
}
