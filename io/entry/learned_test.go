package entry

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/routetable"
)

// chatRequest returns the text of a request for a stream with additional header lines.
func chatRequest(extraHeader string) string {
	return strings.Replace(bookingRequest(extraHeader), "/book/", "/chat/", 1)
}

func serveOne(t *testing.T, s *testServer, text string) {
	t.Helper()
	c := s.connect()
	defer func() { _ = c.Close() }()
	c.sendAsync(text)
	wantStatus(t, s, c, http.StatusOK)
}

// Guards against streams that pass without the dispatcher learning what they tell: the speed of the endpoint, the length of the answer and
// what the next one holds.
func TestStreamsAreLearnedFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{})
		defer s.shutdown()
		d := s.server.handler.Dispatcher
		for range 20 {
			serveOne(t, s, chatRequest("Load: 100\r\n"))
		}
		speed, ok := d.EndpointSpeed("e2", time.Now())
		assert.Assert(t, ok)
		assert.Assert(t, speed.Age <= endpointDelay && math.Abs(speed.Factor-1) < 0.05, "%+v", speed)
		c := s.connect()
		c.sendAsync(chatRequest("Load: 100\r\n"))
		time.Sleep(endpointDelay / 2)
		states := d.OwnState(time.Now()).Endpoints
		assert.Equal(t, len(states), 1)
		// Without a hint an event counts as 8 tokens.
		assert.Equal(t, states[0].HeldTokens, 8*streamEvents)
		_, err := c.readResponse()
		assert.NilError(t, err)
		synctest.Wait()
		states = d.OwnState(time.Now()).Endpoints
		assert.Equal(t, len(states), 1)
		assert.Equal(t, states[0].HeldTokens, 0)
		assert.Equal(t, states[0].Slowdown, float32(1))
		// The report is as old as the header, the stream has ended since.
		assert.Equal(t, states[0].Age, (streamEvents-1)*eventDelay)
	})
}

// Guards against figures that cannot be read and that nobody notices.
func TestInvalidFiguresAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{})
		defer s.shutdown()
		serveOne(t, s, chatRequest("Load: many\r\nBad-Hint: yes\r\n"))
		serveOne(t, s, chatRequest("Load: 100\r\n"))
		var text strings.Builder
		s.server.handler.Metrics.set.WritePrometheus(&text)
		for _, want := range []string{`savoryfall_load_reports_invalid_total{service="models"} 1`, "savoryfall_length_hints_invalid_total 1"} {
			assert.Assert(t, strings.Contains(text.String(), want+"\n"), "%s in\n%s", want, &text)
		}
	})
}

// Guards against a slow endpoint that operators are not told of, and against a line each second.
func TestChangedSpeedIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{})
		defer s.shutdown()
		d := s.server.handler.Dispatcher
		d.SetOverloadControl(dispatch.OverloadControl{Always: true})
		for i := range 200 {
			serveOne(t, s, chatRequest("Load: 100\r\n"))
			if i < 100 {
				continue
			}
			a, _ := d.Choose(dispatch.Query{Service: "models"}, time.Now())
			now := time.Now()
			for i := range 6 {
				a.RecordEvents(1, now.Add(time.Duration(i)*2*eventDelay))
			}
			a.End(dispatch.Served, now)
		}
		time.Sleep(10 * time.Second)
		lines := strings.Count(s.logLines.String(), "event endpointSpeed endpoint e2")
		assert.Assert(t, lines == 1, "%d lines:\n%s", lines, &s.logLines)
	})
}
