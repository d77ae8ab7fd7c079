package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// drainWithin is drain_ms, and serveOn how long a server serves on after its entry is gone.
	drainWithin = 2 * time.Second
	serveOn     = 7 * time.Second
	// shortAway is for how long the store turns routers away, goneRounds how often, and gonePeriod the time between the beginnings of two.
	shortAway  = 1700 * time.Millisecond
	goneRounds = 7
	gonePeriod = 14 * time.Second
	// goneInterval is the time between two lookups at a router.
	goneInterval = 50 * time.Millisecond
)

// leave removes the server's entry. It serves on.
func (s *server) leave() {
	s.gone.Store(true)
	s.rig.store.Put("keyed.servers", s.id, nil)
	s.goneAt = time.Now()
	s.rig.note("the entry of %s is gone", s.id)
}

// ranAt returns when the server began to work on a request.
func (s *server) ranAt(id string) (at time.Time, ran bool) {
	v, ran := s.runs.Load(id)
	if !ran {
		return at, false
	}
	return v.(time.Time), true
}

// serverGone has the store turn away four of ten routers for a short time, the hub among them, and one server leave meanwhile that does
// not report it: its entry is removed.
func serverGone(r *rig) (broken []string, err error) {
	g := &gate{rig: r}
	r.storeFor = func(name string) (address string, err error) { return r.serve(g.handlerFor(name)) }
	err = r.configure(plainState(1))
	if err != nil {
		return nil, err
	}
	var servers []*server
	for i := range 3 + goneRounds {
		s := &server{id: fmt.Sprintf("i-booking%d", i), service: plainPool, work: 15 * time.Millisecond, slots: 6}
		servers = append(servers, s)
		err = r.startServer(s)
		if err != nil {
			return nil, err
		}
	}
	err = r.startRouters(awayRouters)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	for _, s := range servers[:goneRounds] {
		began := time.Now()
		if r.trouble {
			g.turnAway(turnedAway - 1)
		}
		time.Sleep(20 * time.Millisecond)
		s.leave()
		ended := make(chan []string, 1)
		time.AfterFunc(time.Until(began.Add(shortAway)), func() { ended <- g.end() })
		attempts := r.lookUp(s.goneAt.Add(serveOn))
		broken = append(broken, judgeGone(s, attempts, <-ended)...)
		time.Sleep(time.Until(began.Add(gonePeriod)))
	}
	return broken, nil
}

// lookUp makes lookups at all routers until the given time.
func (r *rig) lookUp(until time.Time) (attempts []*attempt) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	for time.Now().Before(until) {
		for _, x := range r.routers {
			clients.Go(func() {
				a := r.once(x, request{method: http.MethodGet, path: "/read/slot"}, time.Second)
				mu.Lock()
				defer mu.Unlock()
				attempts = append(attempts, a)
			})
		}
		time.Sleep(goneInterval)
	}
	clients.Wait()
	return attempts
}

// judgeGone returns which requests reached the server later than they may, through routers that the store has not turned away.
func judgeGone(s *server, attempts []*attempt, away []string) (broken []string) {
	for _, a := range attempts {
		at, ran := s.ranAt(a.id)
		late := at.Sub(s.goneAt)
		if !ran || late <= drainWithin || slices.Contains(away, a.router) {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s through %s %d ms after its entry was gone", a.id, s.id, a.router, late.Milliseconds()))
	}
	return broken
}
