package entry

import (
	"fmt"

	"savoryfall/core/event"
	"savoryfall/core/field"
)

// way is how a stream goes on at a further endpoint.
type way string

// The ways: this router's next attempt within one answer, and the client's next attempt.
const (
	withinAnswer way = "answer"
	byClient     way = "client"
)

// continues returns how the attempt that is about to be made continues a stream of which the client has events, or "" if it
// begins one.
func (s *relay) continues() way {
	switch {
	case s.headerWritten:
		return withinAnswer
	case s.x.request.LastEventID != "":
		return byClient
	}
	return ""
}

// recordContinued logs and counts an attempt that continues a stream.
func (s *relay) recordContinued(a *attempt) {
	w, x, e := s.continues(), s.x, a.Endpoint()
	if w == "" {
		return
	}
	x.handler.Metrics.recordContinued(w)
	_ = x.handler.Logger.Log(field.Event, event.StreamContinued, field.Request, x.request.ID, field.Way, w, field.Resumes, x.request.Resumes,
		field.LastEvent, s.lastEvent, field.Endpoint, e.ID, field.Software, e.Version, field.Born, e.Born, field.Endpoints, x.endpoints())
}

func (m *Metrics) recordContinued(w way) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_streams_continued_total{way=%q}`, w)).Inc()
}
