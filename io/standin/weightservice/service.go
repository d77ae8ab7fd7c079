package weightservice

import (
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Service serves weights of a fixed size at a limited rate.
type Service struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	served  int
	refused int
}

// New returns a store that serves up to perSecond fetches per second, with bursts of up to burst fetches.
func New(perSecond float64, burst int) *Service {
	return &Service{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Handler serves the weight protocol of docs/PLATFORM.md.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/weights/{name}", s.handleFetch).Methods(http.MethodGet)
	return m
}

// Counts returns how many fetches were served and how many were refused.
func (s *Service) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

const weightBytes = 1 << 10

func (s *Service) handleFetch(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	allowed := s.limiter.Allow()
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
