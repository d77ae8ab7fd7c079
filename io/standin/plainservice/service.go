package plainservice

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"savoryfall/core/header"
	"savoryfall/core/outcome"
	"savoryfall/io/standin/wire"
)

// Faults are the switches; counted ones hit that many calls and are then off.
type Faults struct {
	Refuse      bool `json:"refuse"`
	Leaving     bool `json:"leaving"`
	LateMs      int  `json:"lateMs"`
	DropBefore  int  `json:"dropBefore"`
	DropAfter   int  `json:"dropAfter"`
	ShortAnswer int  `json:"shortAnswer"`
	CrossNext   int  `json:"crossNext"`
	DropMiddle  int  `json:"dropMiddle"`
}

// Service runs a call by counting its key, and answers with what it got.
type Service struct {
	mu          sync.Mutex
	name        string
	incarnation string
	faults      Faults
	ran         map[string]int
	active      int
}

// New makes a service process of that name.
func New(name string) *Service {
	return &Service{name: name, incarnation: fmt.Sprintf("%x", time.Now().UnixNano()), ran: map[string]int{}}
}

// Handler serves any path, and GET /ran and PUT /faults for tests.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/ran", s.serveRan).Methods(http.MethodGet)
	m.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	m.HandleFunc("/savoryfall/report", s.serveReport).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.call)
	return m
}

// Ran is how often each key ran; a call without a key counts under the empty one.
func (s *Service) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.ran)
}

// Set replaces the switches.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

type hit struct {
	refuse, dropBefore, dropAfter, dropMiddle, short, cross bool
	late                                                    time.Duration
}

func (s *Service) takeFaults() (h hit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	h.refuse = f.Refuse || f.Leaving
	h.late = time.Duration(f.LateMs) * time.Millisecond
	h.dropBefore = take(&f.DropBefore)
	h.dropAfter = take(&f.DropAfter)
	h.short = take(&f.ShortAnswer)
	h.cross = take(&f.CrossNext)
	h.dropMiddle = take(&f.DropMiddle)
	return h
}

func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	h := s.takeFaults()
	s.enter(1)
	defer s.enter(-1)
	if h.dropBefore {
		panic(http.ErrAbortHandler)
	}
	s.echo(w, r, h)
	if h.refuse {
		w.Header().Set(header.Outcome, string(outcome.NotRun))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.count(r.Header.Get(header.IdempotencyKey))
	time.Sleep(h.late)
	if h.dropAfter {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, body, h)
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request, h hit) {
	w.Header().Set(header.Request, r.Header.Get(header.Request))
	w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	if h.cross {
		w.Header().Set(header.Attempt, "somebody-else")
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte, h hit) {
	text := fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)
	if h.short {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+1))
	}
	_, _ = io.WriteString(w, text)
	if h.dropMiddle {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) enter(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

func (s *Service) count(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[key]++
}

func (s *Service) serveRan(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, s.Ran())
}

func (s *Service) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wire.Write(w, map[string]any{"incarnation": s.incarnation, "running": s.active, "leaving": s.faults.Leaving})
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !wire.Read(w, r, &f) {
		return
	}
	s.Set(f)
}
