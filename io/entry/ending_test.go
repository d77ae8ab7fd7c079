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

// A client sends a booking on a connection that it has kept; its router has read the bytes and the goroutine that reads
// them has not run on, as on a VM whose core was taken away for a moment. The look for idle connections comes first. The
// client got neither an answer nor a refusal, while an endpoint began to run the booking and was cut.
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
