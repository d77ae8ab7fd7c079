package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/origin"
	"savoryfall/core/origintable"
	"savoryfall/core/request"
	"savoryfall/io/http1"
	"savoryfall/io/origins"
)

// way is how a stream goes on at a further endpoint.
type way string

// The ways: this router's next attempt within one answer, and the client's next attempt.
const (
	withinAnswer way = "answer"
	byClient     way = "client"
)

// continues returns how the next attempt continues a stream of which the client has events, or "" if it begins one.
func (x *exchange) continues() way {
	switch {
	case x.origin.Load() == nil:
		return ""
	case x.firstEventSent:
		return withinAnswer
	}
	return byClient
}

// findOrigin finds where the stream began that the client resumes. It may go on only at the service and the software
// version that began it.
func (x *exchange) findOrigin() *request.Problem {
	if !x.route.Kind.Streaming() || !x.request.ResumesStream() {
		return nil
	}
	o, from, ok := x.handler.Origins.Find(origins.Query{
		Key: origin.Key(x.accountName(), x.request.Resumes), HasKey: x.request.Resumes != "", Service: x.service, Window: x.streamWindow(),
	})
	reason := request.UnknownVersion
	if ok && !x.route.HasTarget(o.Service) {
		ok, reason = false, request.NoVersion
	}
	if !ok {
		x.handler.Metrics.recordContinued(byClient, string(reason))
		return request.NotRun(reason, retryLater)
	}
	x.service, x.originSource = o.Service, from
	x.origin.Store(&o)
	return nil
}

// streamSlack is how much longer than its timeout a stream is remembered: attempts of one client overlap a little.
const streamSlack = 5 * time.Second

// streamWindow is how long ago a stream may have begun whose next attempt this request is.
func (x *exchange) streamWindow() time.Duration {
	return min(max(x.timeout(), x.request.Timeout, x.route.Timeout)+streamSlack, origins.MaxRetention)
}

// recordOrigin records that the stream is about to be sent to the endpoint, unless it began earlier. Other routers have the
// record before the endpoint has read the prompt.
func (x *exchange) recordOrigin(a *attempt) {
	if x.origin.Load() != nil {
		return
	}
	a.origin = origin.Of(a.Endpoint(), time.Now())
	if !x.route.Kind.Repeatable() {
		// No client resumes this stream.
		return
	}
	x.recorded = &a.origin
	x.placement = x.handler.Origins.Begin(x.originRecord(a), x.placement)
}

// originRecord returns the record of a stream that begins with the attempt.
func (x *exchange) originRecord(a *attempt) origintable.Record {
	return origintable.Record{Key: origin.Key(x.accountName(), x.request.ID), Origin: a.origin, Attempt: len(x.tried), Remaining: x.streamWindow()}
}

// preferredOrigin returns where the stream began, or where an attempt has failed to begin it, if other routers may know of
// that attempt: one at another version has to replace the record everywhere.
func (x *exchange) preferredOrigin() *origin.Origin {
	o := x.origin.Load()
	if o == nil && x.placement.Shared() {
		return x.recorded
	}
	return o
}

// maxOriginWait is how long the first event is held back until another router has the record.
const maxOriginWait = 80 * time.Millisecond

// bindOrigin is called before the first event is forwarded: from then on the stream may go on only at the version of this
// endpoint. It returns false if another router may know another version, so that the event must not be forwarded.
func (x *exchange) bindOrigin(a *attempt) (ok bool) {
	if x.origin.Load() == nil {
		ctx, cancel := context.WithTimeout(x.ctx, maxOriginWait)
		defer cancel()
		stored, safe := x.placement.Wait(ctx)
		if !stored {
			x.handler.Metrics.recordOriginNotStored()
		}
		if !safe {
			return false
		}
		x.origin.Store(&a.origin)
		if x.recorded == &a.origin {
			x.handler.Origins.EventForwarded(x.originRecord(a))
		}
	}
	x.firstEventSent = true
	return true
}

// errOtherProcess is returned if the endpoint has started again since its entry was read, so that it may run another version.
var errOtherProcess = errors.New("another process has the endpoint's id")

// processCheck returns the check that a stream which continues is sent to the process that the directory lists. It is nil
// while the service has a single version.
func (x *exchange) processCheck(a *attempt) *http1.Check {
	if x.origin.Load() == nil || x.handler.Origins.Settled(x.service) {
		return nil
	}
	return &http1.Check{Target: x.handler.EndpointProtocol.ReportTarget(), Accept: func(status int, body []byte) error {
		born := x.handler.EndpointProtocol.DecodeReport(status, body)
		listed := a.Endpoint().Born
		if born == 0 {
			return http1.ErrNotAnswered
		}
		if listed != 0 && born != listed {
			x.handler.Dispatcher.MarkReplaced(a.Endpoint().ID)
			return errOtherProcess
		}
		return nil
	}}
}

// recordContinued logs and counts an attempt that continues a stream.
func (x *exchange) recordContinued(a *attempt, lastEvent string) {
	w, e := x.continues(), a.Endpoint()
	if w == "" {
		return
	}
	x.handler.Metrics.recordContinued(w, "sent")
	_ = x.handler.Logger.Log(slices.Concat([]any{
		field.Event, event.StreamContinued, field.Request, x.request.ID, field.Way, w, field.LastEvent, lastEvent, field.Endpoint, e.ID,
		field.Software, e.Version, field.Born, e.Born,
	}, x.originFields())...)
}

// recordNotContinued logs and counts a stream of which the client has events and which goes on at no further endpoint.
func (x *exchange) recordNotContinued(r request.Reason) {
	w := x.continues()
	if w == "" {
		return
	}
	x.handler.Metrics.recordContinued(w, string(r))
	_ = x.handler.Logger.Log(slices.Concat([]any{
		field.Event, event.StreamNotContinued, field.Request, x.request.ID, field.Way, w, field.Reason, r, field.Endpoints, x.endpoints(),
	}, x.originFields())...)
}

// originFields are the log fields with where the stream began, as far as known, and with what the client states.
func (x *exchange) originFields() (fields []any) {
	if x.request.ResumesStream() {
		fields = []any{field.Resumes, shortened(x.request.Resumes), field.Source, x.originSource}
	}
	if o := x.origin.Load(); o != nil {
		fields = slices.Concat(fields, []any{field.BeganAt, o.Endpoint, field.BeganBorn, o.Born, field.BeganSoftware, o.Version})
	}
	return fields
}

// maxLoggedID is how many bytes of an id that a client states are logged.
const maxLoggedID = 64

func shortened(id string) string { return id[:min(len(id), maxLoggedID)] }

func (m *Metrics) recordContinued(w way, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_streams_continued_total{way=%q,result=%q}`, w, result)).Inc()
}

func (m *Metrics) recordOriginNotStored() {
	m.set.GetOrCreateCounter("savoryfall_stream_origins_late_total").Inc()
}

// resumedFields are the log fields of a refused request by which a client resumes a stream.
func (x *exchange) resumedFields() []any {
	if x.route == nil || !x.route.Kind.Streaming() || !x.request.ResumesStream() {
		return nil
	}
	return slices.Concat([]any{field.LastEvent, shortened(x.request.LastEventID)}, x.originFields())
}
