package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/routetable"
)

// Guards against waits that operators cannot see: the log lines of requests that waited say for how long, and the metrics count
// what became of them. Other requests are logged as without overload control.
func TestWaitsAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{})
		defer s.shutdown()
		h := s.server.handler
		h.SetWaitLimits(250*time.Millisecond, 1)
		h.Dispatcher.SetOverloadControl(dispatch.OverloadControl{Always: true})
		statuses := make(chan int, 40)
		send := func(id string, n int) {
			for range n {
				c := s.connect()
				c.sendAsync(strings.Replace(bookingRequest(""), "id1", id, 1))
				go func() {
					status, _ := c.readResponse()
					statuses <- status
				}()
			}
		}
		for range 5 {
			send("before", 4)
			time.Sleep(endpointDelay + time.Millisecond)
		}
		send("early", 10)
		time.Sleep(endpointDelay / 2)
		send("late", 10)
		synctest.Wait()
		n, _ := h.Waiting("plain")
		assert.Equal(t, n, 1)
		time.Sleep(10 * time.Millisecond)
		_, oldest := h.Waiting("plain")
		assert.Equal(t, oldest, 10*time.Millisecond)
		time.Sleep(time.Second)
		served := 0
		for range 40 {
			if <-statuses == 200 {
				served++
			}
		}
		assert.Equal(t, served, 37)
		var waited []string
		for line := range strings.Lines(s.logLines.String()) {
			if strings.Contains(line, "waitedMs") {
				waited = append(waited, line)
			}
		}
		assert.Equal(t, len(waited), 1, "%s", &s.logLines)
		assert.Assert(t, strings.Contains(waited[0], "requestServed") && strings.Contains(waited[0], fmt.Sprint("waitedMs ", (endpointDelay/2).Milliseconds())), waited[0])
		var page bytes.Buffer
		h.Metrics.set.WritePrometheus(&page)
		for _, line := range []string{
			`savoryfall_waits_total{service="plain",result="placed"} 1`, `savoryfall_waits_total{service="plain",result="notJoined"} 3`,
			`savoryfall_wait_seconds_count{service="plain"} 1`,
		} {
			assert.Assert(t, strings.Contains(page.String(), line+"\n"), "%s is missing in\n%s", line, &page)
		}
	})
}
