package entry

import (
	"net/http"
	"time"

	"savoryfall/core/ask"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/outcome"
)

const notRun = outcome.NotRun

// refuse answers with what went wrong. A client that has left is told nothing.
func (x *exchange) refuse(p *ask.Problem) {
	if why := x.unreachable(); why != "" {
		x.note(0, &ask.Problem{Reason: why, Outcome: p.Outcome})
		panic(http.ErrAbortHandler)
	}
	x.boundBody()
	h := x.w.Header()
	status := x.front.Clients.Refuse(p, h)
	h.Set("Content-Length", "0")
	x.closing(h)
	x.w.WriteHeader(status)
	x.note(status, p)
}

// cut ends an answer that has begun so that it cannot be taken for whole: the connection closes before its end.
func (x *exchange) cut(p *ask.Problem) {
	if why := x.unreachable(); why != "" {
		p = &ask.Problem{Reason: why, Outcome: p.Outcome}
	}
	x.note(0, p)
	panic(http.ErrAbortHandler)
}

// unreachable is why the client cannot be answered any more, empty when it can. That the context has ended does not say
// so: net/http ends it with any error of a read, also when this router's own deadline for a body has passed, and a client
// that was slow must be told.
func (x *exchange) unreachable() (why ask.Reason) {
	if x.ctx.Err() == nil {
		return ""
	}
	if x.conn == nil {
		return ask.Gone
	}
	switch ending := x.conn.Ending(); {
	case ending.Ours():
		return ask.ConnectionEnded
	case ending != "":
		return ask.Gone
	}
	return ""
}

// restOfBody is how long the rest of a body that nobody wants is waited for: longer than a process may stand still whose
// core is shared, for the body may lie there unread.
const restOfBody = 300 * time.Millisecond

// boundBody bounds the wait for what is left of the body. net/http reads it before it sends an answer, so that the
// connection can be kept; without a bound, a body that stalls would hold the answer back for ever.
func (x *exchange) boundBody() {
	if x.hasBody() && !x.bodyRead {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(restOfBody))
	}
}

func (x *exchange) served(status int) {
	x.front.Figures.served(x.kind(), status, time.Since(x.began))
	if x.sends > 1 {
		_ = x.front.Logger.Log(field.Event, event.RequestServed, field.Request, x.ask.ID, field.Route, x.routeName(), field.Status, status,
			field.Sends, x.sends, field.Endpoints, x.endpoints(), field.Version, x.version(), field.Ms, time.Since(x.began).Milliseconds())
	}
	if status >= http.StatusInternalServerError {
		_ = x.front.Logger.Log(field.Event, event.RequestFailed, field.Request, x.ask.ID, field.Route, x.routeName(), field.Status, status,
			field.By, "endpoint", field.Endpoints, x.endpoints(), field.Ms, time.Since(x.began).Milliseconds())
	}
}

// note logs and counts a request that was not served.
func (x *exchange) note(status int, p *ask.Problem) {
	x.front.Figures.refused(x.kind(), p)
	age, _ := x.front.Lease.Age(x.front.Clock())
	line := []any{
		field.Event, event.RequestRefused, field.Request, x.ask.ID, field.Route, x.routeName(), field.Status, status,
		field.Reason, p.Reason, field.Outcome, p.Outcome, field.BackMs, p.Back.Milliseconds(), field.Sends, x.sends,
		field.Endpoints, x.endpoints(), field.Version, x.version(), field.ReadAgeMs, age.Milliseconds(),
		field.Ms, time.Since(x.began).Milliseconds(),
	}
	if p.Reason == ask.Full || p.Reason == ask.Reserved {
		line = append(line, x.fullness()...)
	}
	if x.conn != nil && x.conn.Ending() != "" {
		line = append(line, x.conn.Fields()...)
	}
	_ = x.front.Logger.Log(line...)
}

// fullness is what a refusal for want of a place was decided by.
func (x *exchange) fullness() []any {
	now := time.Now()
	taken, places := x.front.Dispatcher.Occupancy(x.service, now)
	return []any{
		field.Service, x.service, field.Rank, x.rank(), field.Account, x.accountName(), field.Taken, taken, field.Places, places,
		field.LoadsAgeMs, x.front.Dispatcher.ViewAge(now).Milliseconds(),
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

// endpoints are those that were tried, the last one last.
func (x *exchange) endpoints() (list string) {
	for i, id := range x.tried {
		if i > 0 {
			list += ","
		}
		list += id
	}
	return list
}
