package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/routetable"
)

// keptConnection is a connection on which a first booking was served.
func keptConnection(t *testing.T, s *rig) (c *rigClient) {
	t.Helper()
	c = s.connect()
	c.send(booking(""))
	status, err := c.answer()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	return c
}

// Clients of a router got neither an answer nor a refusal to requests on connections that they had kept: each was read,
// sent on to an endpoint, and cut there within the same millisecond. The router had read the bytes and the goroutine that
// reads them had not run on, as on a VM whose core is taken away for a moment; the look for idle connections came first.
// It went by net/http's states, where a connection is idle until the next request's header has been parsed. Evidence: the
// line on the request says reason=connectionEnded ended=idle sends=1 ms=0, and readMs how long the bytes had lain there.
func TestIdleLimitCutsNoRequestThatIsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		c := keptConnection(t, s)
		time.Sleep(11500 * time.Millisecond)
		hook := func() {
			time.Sleep(5 * time.Second)
			s.server.sweep(time.Now())
		}
		s.onRead.Store(&hook)
		c.send(booking(mark))
		status, err := c.answer()
		synctest.Wait()
		t.Logf("status %d, %v, arrived at the endpoint: %d\n%s", status, err, s.arrived.Load(), &s.lines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}
