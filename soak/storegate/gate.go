package storegate

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// Answer is what a router gets that the store does not serve.
type Answer int

const (
	// Serve is the answer of the store itself.
	Serve Answer = iota
	// Unavailable is the status 503.
	Unavailable
	// TooMany is the status 429.
	TooMany
	// Reset ends the connection with a reset.
	Reset
	// Silence is no answer, also after the store serves the router again.
	Silence
)

// Gate is the store as routers reach it, each through a handler of its own. It serves all routers until it is told otherwise.
type Gate struct {
	store http.Handler

	mu sync.Mutex
	// latency is the time that each call takes.
	latency time.Duration
	// down is the answer to all routers, turnedAway that to single ones.
	down       Answer
	turnedAway map[string]Answer
	// reader is the router that made the last read which waits for news: the one that reads for the others.
	reader string
	// further is how many of the routers that read next are turned away too, with furtherAnswer. served are the routers that were served
	// since the last Restore.
	further       int
	furtherAnswer Answer
	served        map[string]bool
	calls         int
}

// New returns a gate before the store.
func New(store http.Handler) *Gate {
	return &Gate{store: store, turnedAway: map[string]Answer{}, served: map[string]bool{}}
}

// SetLatency sets the time that each call takes.
func (g *Gate) SetLatency(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latency = d
}

// SetDown sets the answer to the calls of all routers.
func (g *Gate) SetDown(a Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = a
}

// Reader returns the router that reads for the others, as far as the store can tell.
func (g *Gate) Reader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reader
}

// TurnAway sets the answer to the calls of single routers.
func (g *Gate) TurnAway(a Answer, routers ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served = map[string]bool{}
	for _, r := range routers {
		g.turnedAway[r] = a
	}
}

// TurnAwayReaders sets the answer to the calls of the n routers that read the store next. They see the same as if they had been chosen
// before, as none of them is served in between.
func (g *Gate) TurnAwayReaders(a Answer, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.further, g.furtherAnswer = n, a
}

// Restore serves all routers that were turned away, and returns them.
func (g *Gate) Restore() (routers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.turnedAway {
		routers = append(routers, r)
	}
	slices.Sort(routers)
	g.turnedAway, g.further = map[string]Answer{}, 0
	return routers
}

// TakeCalls returns the number of calls since it was called last.
func (g *Gate) TakeCalls() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, g.calls = g.calls, 0
	return n
}

// ForRouter returns the store as the router reaches it.
func (g *Gate) ForRouter(router string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, latency := g.arrive(router, r)
		time.Sleep(latency)
		var answer *httptest.ResponseRecorder
		if a == Serve {
			answer = httptest.NewRecorder()
			g.store.ServeHTTP(answer, r)
			a = g.answerTo(router)
		}
		respond(w, r, a, answer)
	})
}

// respond answers a call. answer is that of the store, if the router is served.
func respond(w http.ResponseWriter, r *http.Request, a Answer, answer *httptest.ResponseRecorder) {
	switch a {
	case Serve:
		for key, values := range answer.Header() {
			w.Header()[key] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	case Silence:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// readTopics are the topics that routers follow.
var readTopics = []string{"keyed.op", "keyed.servers"}

// arrive records a call, and returns what it is answered and after what time.
func (g *Gate) arrive(router string, r *http.Request) (a Answer, latency time.Duration) {
	q := r.URL.Query()
	reads := slices.Contains([]string{"/api/log-read", "/api/log-newest"}, r.URL.Path) && slices.Contains(readTopics, q.Get("topic"))
	g.mu.Lock()
	g.calls++
	if reads && q.Get("wait_ms") != "" && g.down == Serve && len(g.turnedAway) == 0 {
		g.reader = router
	}
	if _, away := g.turnedAway[router]; reads && g.down == Serve && g.further > 0 && !away && !g.served[router] {
		g.turnedAway[router] = g.furtherAnswer
		g.further--
	}
	latency = g.latency
	g.mu.Unlock()
	return g.answerTo(router), latency
}

// answerTo returns what the router is answered now.
func (g *Gate) answerTo(router string) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down != Serve {
		return g.down
	}
	a := g.turnedAway[router]
	if a == Serve {
		g.served[router] = true
	}
	return a
}
