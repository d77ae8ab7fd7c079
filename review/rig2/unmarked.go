package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// bookings is how many bookings the clients make, and bookingInterval the time between two of them.
	bookings        = 600
	bookingInterval = 50 * time.Millisecond
	// failedShare is one in how many of its requests the grey server fails: two in five.
	failedOf, failedIn = 2, 5
)

// unmarkedRefusal has one server of four fail two in five of its requests after it has run them, with status 503 and without the
// header by which a server says that it has not run a request, while its health is good.
func unmarkedRefusal(r *rig) (broken []string, err error) {
	err = r.configure(plainState(1))
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-booking%d", i), service: plainPool, work: 15 * time.Millisecond, slots: 6}
		if i == 0 && r.trouble {
			s.answer = func(w http.ResponseWriter, s *server, id string) {
				if s.served.Load()%failedIn >= failedOf {
					answerWhole(w, s, id)
					return
				}
				r.note("server %s answers %s with 503", s.id, id)
				http.Error(w, "the booking's confirmation could not be printed", http.StatusServiceUnavailable)
			}
		}
		err = r.startServer(s)
		if err != nil {
			return nil, err
		}
	}
	err = r.startRouters(3)
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range bookings {
		x, other := r.routers[i%3], r.routers[(i+1)%3]
		clients.Go(func() {
			attempts := r.unsafe(x, other, request{method: http.MethodPost, path: "/book/slot", body: "bins=12", deadline: time.Second})
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, r.judgeBooking(i, attempts)...)
		})
		time.Sleep(bookingInterval)
	}
	clients.Wait()
	return broken, nil
}

// judgeBooking returns which attempts were answered with a promise that they have not run, and have run.
func (r *rig) judgeBooking(booking int, attempts []*attempt) (broken []string) {
	runs := 0
	for _, a := range attempts {
		runs += len(r.runsOf(a.id))
	}
	for _, a := range attempts {
		if servers := r.runsOf(a.id); a.promised() && len(servers) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: attempt %s of booking %d was answered %d and has run at %v; the booking ran %d times", a.id, booking, a.status, servers, runs))
		}
	}
	return broken
}

// plainState is a desired state with a route of each kind to the plain servers.
func plainState(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "book", "host": host, "path_prefix": "/book/", "type": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "service": plainPool, "max_attempts": 1},
			{"name": "read", "host": host, "path_prefix": "/read/", "type": "idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "service": plainPool, "max_attempts": 2},
		},
		"services": []map[string]any{{"name": plainPool, "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{apiKey}}},
	}
}
