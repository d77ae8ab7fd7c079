package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"savoryfall/io/standin/httpjson"
)

const (
	eventStored  = "stored"
	eventRemoved = "removed"

	maxEvents = 4096
)

// Event is a change of the prefix cache. Events are published with a delay, and some are lost if EventGap is set.
type Event struct {
	Sequence int64     `json:"sequence"`
	Kind     string    `json:"kind"`
	Prefix   string    `json:"prefix"`
	At       time.Time `json:"at"`
}

type eventLog struct {
	next   int64
	events []Event
}

func (e *Engine) publish(events []Event) {
	for _, ev := range events {
		ev.Sequence = e.events.next
		ev.At = time.Now()
		e.events.next++
		if e.faults.EventGap > 0 && rand.Float64() < e.faults.EventGap {
			continue
		}
		e.events.events = append(e.events.events, ev)
	}
	if n := len(e.events.events); n > maxEvents {
		e.events.events = e.events.events[n-maxEvents:]
	}
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	visible := time.Now().Add(-e.opts.ReportLag)
	events := []Event{}
	e.mu.Lock()
	for _, ev := range e.events.events {
		if ev.Sequence >= from && ev.At.Before(visible) {
			events = append(events, ev)
		}
	}
	e.mu.Unlock()
	httpjson.WriteJSON(w, map[string]any{"incarnation": e.incarnation, "events": events})
}
