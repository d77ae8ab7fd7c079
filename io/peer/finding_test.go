package peer

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// refusing is the address of a member that refuses every connection.
func refusing(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address = l.Addr().String()
	assert.NilError(t, l.Close())
	return address
}

var fallen = Finding{Endpoint: "engine-01", Down: true}

// An engine is killed while exchanges with a peer fail. The finding must be told when they succeed again: the peer has no
// duty to probe the engine, and hears of it from nobody else.
func TestFindingOutlastsFailedExchanges(t *testing.T) {
	a := agent(t, "first", nil, nil)
	know(a, map[string]string{"second": refusing(t)})
	a.SpreadFinding(fallen)
	for range 5 {
		a.exchangeAll(t.Context(), a.peers())
	}
	assert.DeepEqual(t, a.message("second").Findings, []Finding{fallen})
}

// An engine is killed before two routers that have just started know of each other. The one that saw it tells the other when
// they meet.
func TestFindingIsToldToWhoIsMetLater(t *testing.T) {
	a := agent(t, "first", nil, nil)
	a.SpreadFinding(fallen)
	a.exchangeAll(t.Context(), a.peers())
	know(a, map[string]string{"second": refusing(t)})
	assert.DeepEqual(t, a.message("second").Findings, []Finding{fallen})
}

// Every exchange costs control bytes, so who has taken a finding is not told it again, but for what has changed since.
func TestFindingIsToldOnce(t *testing.T) {
	a, b := agent(t, "first", nil, nil), agent(t, "second", nil, nil)
	know(a, map[string]string{"second": b.Address()})
	a.SpreadFinding(fallen)
	a.exchangeAll(t.Context(), a.peers())
	assert.Equal(t, len(a.message("second").Findings), 0)
	assert.Equal(t, len(a.message("third").Findings), 1)
	a.SpreadFinding(Finding{Endpoint: "engine-01"})
	assert.Equal(t, len(a.message("second").Findings), 1)
}
