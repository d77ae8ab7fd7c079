package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/freshness"
	"savoryfall/core/request"
	"savoryfall/core/routetable"
)

// stated returns an exchange of a request that states how long its client waits.
func stated(h *Handler, table *routetable.Table, timeout time.Duration, began time.Time) *exchange {
	return &exchange{
		handler: h, table: table, route: table.Route("shop.example", "/book/1"), service: "plain", began: began, deadline: began.Add(timeout),
		request: request.Request{ID: "r", Timeout: timeout},
	}
}

// Guards against first attempts that are taken for retries, which would go before others, and retries that are not recognized.
func TestRetryIsRecognizedByTimeLeft(t *testing.T) {
	h, table, now := New(Config{}), bookingTable(routetable.Limits{}), time.Now()
	const most = 2 * time.Second
	assert.Assert(t, !stated(h, table, most*6/10, now).retrying(), "nothing is known of the route")
	assert.Assert(t, !stated(h, table, most, now).retrying())
	for _, c := range []struct {
		part  int
		after time.Duration
		want  bool
	}{
		{part: 85, want: false},
		{part: 79, want: true},
		{part: 20, want: true},
		// The clients of the route may have become less patient for good.
		{part: 60, after: time.Minute, want: false},
	} {
		assert.Equal(t, stated(h, table, most*time.Duration(c.part)/100, now.Add(c.after)).retrying(), c.want, "%+v", c)
	}
	assert.Assert(t, !stated(h, table, 0, now).retrying(), "a client that states no time")
	x := stated(h, table, most, now.Add(2*time.Minute))
	assert.Equal(t, x.recognizedAfter(now.Add(2*time.Minute)), most/5)
}

// A client that states a longer time than its route allows must not make all others look like retries.
func TestStatedTimeIsLimitedByRoute(t *testing.T) {
	h, table, now := New(Config{}), bookingTable(routetable.Limits{}), time.Now()
	assert.Assert(t, !stated(h, table, time.Hour, now).retrying())
	assert.Assert(t, !stated(h, table, 3*time.Second, now).retrying())
	assert.Assert(t, stated(h, table, 2*time.Second, now).retrying())
}

// Guards against memory that grows with the routes that a router has ever had.
func TestStatedTimesAreBounded(t *testing.T) {
	var s statedTimes
	now := time.Now()
	for i := range 3 * maxStatedRoutes {
		s.observe(fmt.Sprint(i), time.Second, now.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, len(s.byRoute), maxStatedRoutes)
	_, kept := s.byRoute[fmt.Sprint(3*maxStatedRoutes-1)]
	assert.Assert(t, kept)
}

// With overload control the delay follows what becomes free and the log line tells the account's share; without it, both are as before.
func TestRefusalUnderOverloadControl(t *testing.T) {
	for _, active := range []bool{false, true} {
		table, lines := bookingTable(routetable.Limits{}), &logLines{}
		d := dispatch.New("a")
		d.Configure(table)
		d.Update([]directory.Entry{{ID: "e1", Service: "plain", Address: "e1:1", FailureDomain: "a", Slots: 1}}, time.Now())
		d.SetOverloadControl(dispatch.OverloadControl{Always: active, Never: !active})
		h := New(Config{
			Dispatcher: d, Lease: &freshness.Lease{}, Metrics: NewMetrics(metrics.NewSet()), Logger: lines, Clock: func() time.Duration { return time.Hour },
		})
		now := time.Now()
		for range 20 {
			d.Choose(dispatch.Query{Service: "plain", TimeLeft: time.Second, LatencyTarget: 100 * time.Millisecond}, now)
		}
		x := stated(h, table, 3*time.Second, now)
		delay := x.retryAfterFull()
		assert.Assert(t, delay > 0 && delay <= time.Second, "%v", delay)
		assert.Assert(t, !active || delay >= 500*time.Millisecond, "%v: a sooner retry would not be recognized", delay)
		x.recordRefusal(503, request.NotRun(request.Full, delay))
		assert.Equal(t, strings.Contains(lines.String(), "accountShare"), active, "%s", lines)
		assert.Equal(t, strings.Contains(lines.String(), "accountOverShare"), active, "%s", lines)
	}
}
