package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a plain server: it runs a request that is meant for it, and answers with its signature.
type server struct {
	rig      *rig
	id       string
	service  string
	address  string
	work     time.Duration
	slots    int64
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	served   atomic.Int64
	// gone is set when the server has left, at goneAt, and writes no more entries. runs are the times at which it began to work on
	// requests.
	gone   atomic.Bool
	goneAt time.Time
	runs   sync.Map
	// answer answers a request that has run. It defaults to a whole answer with status 200.
	answer func(w http.ResponseWriter, s *server, id string)
}

// startServer starts a server, which registers itself and writes its entry with each heartbeat.
func (r *rig) startServer(s *server) (err error) {
	s.rig, s.born = r, time.Now().UnixMilli()
	s.address, err = r.serve(s)
	if err != nil {
		return err
	}
	s.register()
	r.beats.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-r.done:
				return
			case <-ticker.C:
				s.register()
			}
		}
	})
	return nil
}

func (s *server) register() {
	if s.gone.Load() {
		return
	}
	entry, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "westvale-a", "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	if err == nil {
		s.rig.store.Put("keyed.servers", s.id, entry)
	}
}

// ServeHTTP runs a request, unless it is meant for another server or all slots are taken.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Savoryfall-Attempt-Id")
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	if id != "" {
		h.Set("X-Savoryfall-Attempt-Id", id)
	}
	expected := r.Header.Get("X-Savoryfall-Expect-Instance")
	running := s.running.Add(1)
	defer s.running.Add(-1)
	h.Set("X-Savoryfall-Server-Load", fmt.Sprintf("%d,0,%d", min(running, s.slots), s.slots))
	switch {
	case expected != "" && expected != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case running > s.slots:
		h.Set("X-Savoryfall-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.rig.ran(id, s.id)
	s.runs.Store(id, time.Now())
	time.Sleep(s.work)
	h.Set("X-Savoryfall-Server-Signature", "3e1b.07.5a2."+s.id)
	s.served.Add(1)
	if s.answer != nil {
		s.answer(w, s, id)
		return
	}
	answerWhole(w, s, id)
}

func answerWhole(w http.ResponseWriter, s *server, id string) {
	fmt.Fprintf(w, "done %s at %s\n", id, s.id)
}
