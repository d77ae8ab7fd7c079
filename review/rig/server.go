package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server has run, or refused.
type run struct {
	id, server, tenant string
	at                 time.Time
	bytes              int
}

// server is a stand-in of one server of the application service.
type server struct {
	id, service, address string
	born                 int64
	work                 time.Duration
	// fails reports whether the server fails a request with its own 500 once it has run it.
	fails func(id string) bool

	mu       sync.Mutex
	runs     []run
	sequence int
}

func newServer(id, service string, work time.Duration) (s *server, err error) {
	s = &server{id: id, service: service, born: time.Now().UnixMilli(), work: work}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// beat writes the server's entry to the store, and again every heartbeat interval.
func (s *server) beat(st *store) {
	for {
		s.mu.Lock()
		s.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "sequence": s.sequence, "born": s.born,
		})
		s.mu.Unlock()
		_ = st.put("keyed.servers", s.id, entry)
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Savoryfall-Attempt-Id")
	w.Header().Set("X-Savoryfall-Attempt-Id", id)
	w.Header().Set("X-Savoryfall-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get("X-Savoryfall-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, server: s.id, tenant: r.Header.Get("X-Savoryfall-Tenant"), at: time.Now(), bytes: int(n)})
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("X-Savoryfall-Server-Signature", "sig."+s.id+"."+id)
	if s.fails != nil && s.fails(id) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

// allRuns returns what all servers have run.
func allRuns(servers []*server) (runs []run) {
	for _, s := range servers {
		s.mu.Lock()
		runs = append(runs, s.runs...)
		s.mu.Unlock()
	}
	return runs
}
