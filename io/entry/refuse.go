package entry

import (
	"net/http"
	"strings"
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/outcome"
	"savoryfall/core/request"
)

const notRun = outcome.NotRun

// refuse answers the request with the problem, unless the client can no longer be reached.
func (x *exchange) refuse(p *request.Problem) {
	if reason := x.clientGoneReason(); reason != "" {
		x.recordRefusal(0, &request.Problem{Reason: reason, Outcome: p.Outcome})
		panic(http.ErrAbortHandler)
	}
	x.limitBodyDrain()
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeSlack))
	h := x.w.Header()
	status := x.handler.ClientProtocol.EncodeRefusal(p, h)
	h.Set("Content-Length", "0")
	x.setConnectionClose(h)
	x.w.WriteHeader(status)
	x.recordRefusal(status, p)
}

// abort ends a response that was partly sent. The connection is closed early, so that the client cannot take the
// response for complete.
func (x *exchange) abort(p *request.Problem) {
	if reason := x.clientGoneReason(); reason != "" {
		p = &request.Problem{Reason: reason, Outcome: p.Outcome}
	}
	x.recordRefusal(0, p)
	panic(http.ErrAbortHandler)
}

// clientGoneReason returns why the client can no longer be answered, or "" if it can. A cancelled context is not
// enough: net/http cancels it on any read error, also after this router's own read deadline for the body, and a slow
// client must be told.
func (x *exchange) clientGoneReason() (reason request.Reason) {
	if x.ctx.Err() == nil {
		return ""
	}
	if x.conn == nil {
		return request.ClientGone
	}
	switch closeReason := x.conn.CloseReason(); {
	case closeReason.Local():
		return request.ConnectionEnded
	case closeReason != "":
		return request.ClientGone
	}
	return ""
}

// bodyDrainTimeout is how long the rest of an unwanted body is waited for. It is longer than a process on a shared core
// is usually paused, because the body may already have arrived and not have been read.
const bodyDrainTimeout = 300 * time.Millisecond

// limitBodyDrain limits the wait for the rest of the body. net/http reads it before it sends a response, to be able to
// keep the connection. Without a limit, a body that stalls would delay the response forever.
func (x *exchange) limitBodyDrain() {
	if x.hasBody() && !x.bodyRead {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	}
}

func (x *exchange) recordServed(status int) {
	x.handler.Metrics.recordServed(x.kind(), status, time.Since(x.began))
	if x.sends > 1 || x.hasWaited {
		_ = x.handler.Logger.Log(append([]any{
			field.Event, event.RequestServed, field.Request, x.request.ID, field.Route, x.routeName(), field.Status, status,
			field.Sends, x.sends, field.Endpoints, x.endpoints(), field.Software, strings.Join(x.software, ","), field.Version, x.version(), field.Ms, time.Since(x.began).Milliseconds(),
		}, x.waitFields()...)...)
	}
	if status >= http.StatusInternalServerError {
		_ = x.handler.Logger.Log(field.Event, event.RequestFailed, field.Request, x.request.ID, field.Route, x.routeName(), field.Status, status,
			field.By, "endpoint", field.Endpoints, x.endpoints(), field.Ms, time.Since(x.began).Milliseconds())
	}
}

// recordRefusal logs and counts a request that was not served.
func (x *exchange) recordRefusal(status int, p *request.Problem) {
	x.handler.Metrics.recordRefused(x.kind(), p)
	age, _ := x.handler.Lease.Age(x.handler.Clock())
	line := []any{
		field.Event, event.RequestRefused, field.Request, x.request.ID, field.Route, x.routeName(), field.Status, status,
		field.Reason, p.Reason, field.Outcome, p.Outcome, field.BackMs, p.RetryAfter.Milliseconds(), field.Sends, x.sends,
		field.Endpoints, x.endpoints(), field.Software, strings.Join(x.software, ","), field.Version, x.version(), field.ReadAgeMs, age.Milliseconds(),
		field.Ms, time.Since(x.began).Milliseconds(),
	}
	if p.Reason == request.Full || p.Reason == request.Reserved || p.Reason == request.Infeasible {
		line = append(line, x.occupancyFields()...)
		line = append(line, x.shareFields()...)
		x.logOverShare()
	}
	if p.Reason == request.Infeasible && x.infeasible != nil {
		line = append(line, x.infeasible.logFields()...)
	}
	if p.Reason == request.GraceTooShort && x.graceLeft != nil {
		line = append(line, x.graceLeft.logFields()...)
	}
	if p.Reason == request.Unreachable && x.handler.Connections != nil {
		line = append(line, x.handler.Connections.LogFields(x.service)...)
	}
	if p.Reason == request.Quarantined {
		line = append(line, QuarantineFields(x.quarantined)...)
	}
	line = append(line, x.waitFields()...)
	line = append(line, x.resumedFields()...)
	if x.conn != nil && x.conn.CloseReason() != "" {
		line = append(line, x.conn.LogFields()...)
	}
	_ = x.handler.Logger.Log(line...)
}

// occupancyFields are the log fields with the load that a refusal for lack of capacity was based on.
func (x *exchange) occupancyFields() []any {
	now := time.Now()
	taken, places := x.handler.Dispatcher.Occupancy(x.service, now)
	return []any{
		field.Service, x.service, field.Rank, x.rank(), field.Account, x.accountName(), field.Taken, taken, field.Places, places,
		field.LoadsAgeMs, x.handler.Dispatcher.LoadReportAge(now).Milliseconds(),
	}
}

func (x *exchange) version() int64 {
	if x.table == nil {
		return 0
	}
	return x.table.Version()
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

// endpoints returns the ids of the endpoints that were tried, in order.
func (x *exchange) endpoints() string { return strings.Join(x.tried, ",") }
