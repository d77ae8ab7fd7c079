package weightservice

import (
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Service hands out weights of a fixed size, so many at once and a second.
type Service struct {
	mu      sync.Mutex
	limit   *rate.Limiter
	served  int
	refused int
}

// New makes a store that serves so many fetches a second, and bursts of burst.
func New(perSecond float64, burst int) *Service {
	return &Service{limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Handler serves the protocol of docs/PLATFORM.md.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/weights/{name}", s.fetch).Methods(http.MethodGet)
	return m
}

// Counts are how many fetches were served and how many refused.
func (s *Service) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

const weightBytes = 1 << 10

func (s *Service) fetch(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	allowed := s.limit.Allow()
	if allowed {
		s.served++
	} else {
		s.refused++
	}
	s.mu.Unlock()
	if !allowed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many fetches", http.StatusTooManyRequests)
		return
	}
	_, _ = w.Write(make([]byte, weightBytes))
}
