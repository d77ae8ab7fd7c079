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
	"savoryfall/io/standin/httpjson"
)

// Faults are the faults to inject; the zero value injects none. DropBefore, DropAfter, TruncateAnswers,
// WrongAttemptNext and DropMidAnswer count down: each affects that many calls.
type Faults struct {
	Refuse           bool `json:"refuse"`
	Leaving          bool `json:"leaving"`
	DelayMs          int  `json:"lateMs"`
	DropBefore       int  `json:"dropBefore"`
	DropAfter        int  `json:"dropAfter"`
	TruncateAnswers  int  `json:"shortAnswer"`
	WrongAttemptNext int  `json:"crossNext"`
	DropMidAnswer    int  `json:"dropMiddle"`
}

// Service counts each call under its idempotency key and echoes the request.
type Service struct {
	mu          sync.Mutex
	name        string
	incarnation string
	faults      Faults
	runs        map[string]int
	active      int
}

// New returns a service with the given name and a new incarnation.
func New(name string) *Service {
	return &Service{name: name, incarnation: fmt.Sprintf("%x", time.Now().UnixNano()), runs: map[string]int{}}
}

// Handler serves any path, and GET /ran and PUT /faults for tests.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/ran", s.handleRan).Methods(http.MethodGet)
	m.HandleFunc("/faults", s.handleSetFaults).Methods(http.MethodPut)
	m.HandleFunc("/savoryfall/report", s.handleReport).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.handleCall)
	return m
}

// RunCounts returns how often each idempotency key ran; calls without a key count under the empty key.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

type callFaults struct {
	refuse, dropBefore, dropAfter, dropMiddle, shortAnswer, wrongAttempt bool
	delay                                                                time.Duration
}

func (s *Service) nextCallFaults() (active callFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	active.refuse = f.Refuse || f.Leaving
	active.delay = time.Duration(f.DelayMs) * time.Millisecond
	active.dropBefore = decrement(&f.DropBefore)
	active.dropAfter = decrement(&f.DropAfter)
	active.shortAnswer = decrement(&f.TruncateAnswers)
	active.wrongAttempt = decrement(&f.WrongAttemptNext)
	active.dropMiddle = decrement(&f.DropMidAnswer)
	return active
}

func decrement(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	faults := s.nextCallFaults()
	s.addActive(1)
	defer s.addActive(-1)
	if faults.dropBefore {
		panic(http.ErrAbortHandler)
	}
	s.echoHeaders(w, r, faults)
	if faults.refuse {
		w.Header().Set(header.Outcome, string(outcome.NotRun))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.countRun(r.Header.Get(header.IdempotencyKey))
	time.Sleep(faults.delay)
	if faults.dropAfter {
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, body, faults)
}

func (s *Service) echoHeaders(w http.ResponseWriter, r *http.Request, faults callFaults) {
	w.Header().Set(header.Request, r.Header.Get(header.Request))
	w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	if faults.wrongAttempt {
		w.Header().Set(header.Attempt, "somebody-else")
	}
}

func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, faults callFaults) {
	text := fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)
	if faults.shortAnswer {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+1))
	}
	_, _ = io.WriteString(w, text)
	if faults.dropMiddle {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

func (s *Service) countRun(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

func (s *Service) handleRan(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, s.RunCounts())
}

func (s *Service) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.WriteJSON(w, map[string]any{"incarnation": s.incarnation, "running": s.active, "leaving": s.faults.Leaving})
}

func (s *Service) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.ReadJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
}
