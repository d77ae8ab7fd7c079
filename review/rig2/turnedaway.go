package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

const (
	// awayRouters is how many routers there are: six, and the four spare ones of the site. turnedAway is how many of them the store
	// turns away at once, a share of 0.35 rounded up, and awayFor for how long.
	awayRouters = 10
	turnedAway  = 4
	awayFor     = 9 * time.Second
	// rounds is how often the store does so, roundPeriod the time between the beginnings of two, and settleTime the time before the
	// first, in which the routers choose their hub.
	rounds      = 4
	roundPeriod = 22 * time.Second
	settleTime  = 10 * time.Second
	// applyWithin is config_apply_ms.
	applyWithin = 2 * time.Second
	// sampleFrom and sampleTo are when the clients send their requests, counted from the change, and sampleInterval is the time
	// between two requests to a router.
	sampleFrom, sampleTo = 1500 * time.Millisecond, 4 * time.Second
	sampleInterval       = 40 * time.Millisecond
)

// gate is the store as the routers see it, each at an address of its own, so that the store can turn some of them away.
type gate struct {
	rig *rig

	mu sync.Mutex
	// hub is the router that last made a read which waits for news: the one that reads for the others.
	hub string
	// turning is set while the store turns routers away: those in away, and further more.
	turning bool
	away    []string
	further int
	// answered are the routers that were answered since the store began to turn routers away.
	answered map[string]bool
}

// handlerFor returns the store for a router. It does not answer one that it turns away.
func (g *gate) handlerFor(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reads := (r.URL.Path == "/api/log-read" || r.URL.Path == "/api/log-newest") &&
			(r.URL.Query().Get("topic") == "keyed.op" || r.URL.Query().Get("topic") == "keyed.servers")
		g.arrive(name, reads, r.URL.Query().Get("wait_ms") != "")
		answer := httptest.NewRecorder()
		served := g.serves(name)
		if served {
			g.rig.store.ServeHTTP(answer, r)
		}
		if !served || !g.serves(name) {
			// The router learns nothing until it gives up by itself.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		for key, values := range answer.Header() {
			w.Header()[key] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// arrive records a call. The routers that are turned away besides the hub are the first that read the desired state or the list of
// servers. None of them has been answered since the store began to turn routers away, so that they see the same as if they had been
// chosen then.
func (g *gate) arrive(name string, reads, waits bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case reads && waits && !g.turning:
		g.hub = name
	case reads && g.further > 0 && !g.answered[name] && !slices.Contains(g.away, name):
		g.away = append(g.away, name)
		g.further--
		g.rig.note("the store turns %s away, which has begun to read", name)
	}
}

// serves reports whether the store serves the router.
func (g *gate) serves(name string) (yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.away, name) {
		return false
	}
	if g.turning {
		g.answered[name] = true
	}
	return true
}

// turnAway has the store turn the hub away, and the given number of other routers.
func (g *gate) turnAway(others int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turning, g.away, g.further, g.answered = true, []string{g.hub}, others, map[string]bool{}
	g.rig.note("the store turns %s away, the hub", g.hub)
}

// end has the store serve all routers again, and returns those that it has turned away.
func (g *gate) end() (away []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.turning {
		return nil
	}
	g.rig.note("the store turns no router away any more; it did %v", g.away)
	away, g.turning, g.away, g.further = g.away, false, nil, 0
	return away
}

// readersTurnedAway has the store turn away four of ten routers, the hub among them, right before a change of the desired state.
func readersTurnedAway(r *rig) (broken []string, err error) {
	g := &gate{rig: r}
	r.storeFor = func(name string) (address string, err error) { return r.serve(g.handlerFor(name)) }
	keys := []string{apiKey}
	for i := range rounds {
		keys = append(keys, roundKey(i))
	}
	version := 1
	err = r.configure(stateWith(version, keys, nil))
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		err = r.startServer(&server{id: fmt.Sprintf("i-booking%d", i), service: plainPool, work: 5 * time.Millisecond, slots: 6})
		if err != nil {
			return nil, err
		}
	}
	err = r.startRouters(awayRouters)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	var routes []string
	for i := range rounds {
		began := time.Now()
		if r.trouble {
			g.turnAway(turnedAway - 1)
		}
		time.Sleep(20 * time.Millisecond)
		// The key is taken away, and a route is added.
		keys, routes = slices.Delete(keys, 1, 2), append(routes, roundRoute(i))
		version++
		err = r.configure(stateWith(version, keys, routes))
		if err != nil {
			return nil, err
		}
		samples := r.sample(i, time.Now())
		time.Sleep(time.Until(began.Add(awayFor)))
		away := g.end()
		broken = append(broken, r.judgeSamples(samples, away)...)
		time.Sleep(time.Until(began.Add(roundPeriod)))
	}
	return broken, nil
}

func roundKey(i int) string   { return fmt.Sprintf("w1thdrawn%010d", i) }
func roundRoute(i int) string { return fmt.Sprintf("/added%d/", i) }

// stateWith is a desired state with the keys and further routes.
func stateWith(version int, keys, routes []string) (state map[string]any) {
	state = plainState(version)
	state["tenants"] = []map[string]any{{"name": tenant, "api_keys": keys}}
	list := state["routes"].([]map[string]any)
	for i, prefix := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprint("added", i), "host": host, "path_prefix": prefix, "type": "idempotent", "timeout_ms": 1000, "goal_ms": 100,
			"priority": 2, "service": plainPool, "max_attempts": 2,
		})
	}
	state["routes"] = list
	return state
}

// sample is a request that shows which desired state is in force at a router.
type sample struct {
	attempt *attempt
	// late is how long after the acknowledgement of the change it was sent.
	late time.Duration
	// withdrawn is set if its key has been taken away, and not if its route has been added.
	withdrawn bool
}

// sample sends requests to all routers, with the key that has been taken away and on the route that has been added.
func (r *rig) sample(round int, acknowledged time.Time) (samples []sample) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	send := func(x *router, withdrawn bool) {
		q := request{method: http.MethodGet, path: roundRoute(round) + "x"}
		if withdrawn {
			q = request{method: http.MethodGet, path: "/read/x", headers: map[string]string{"Authorization": "Bearer " + roundKey(round)}}
		}
		late := time.Since(acknowledged)
		a := r.once(x, q, time.Second)
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, sample{attempt: a, late: late, withdrawn: withdrawn})
	}
	time.Sleep(time.Until(acknowledged.Add(sampleFrom)))
	for time.Since(acknowledged) < sampleTo {
		for _, x := range r.routers {
			clients.Go(func() { send(x, true) })
			clients.Go(func() { send(x, false) })
		}
		time.Sleep(sampleInterval)
	}
	clients.Wait()
	return samples
}

// judgeSamples returns which requests, sent later than the change may take, were handled by the desired state before it, at routers
// that the store has not turned away.
func (r *rig) judgeSamples(samples []sample, away []string) (broken []string) {
	for _, s := range samples {
		if s.late <= applyWithin || slices.Contains(away, s.attempt.router) {
			continue
		}
		servers := r.runsOf(s.attempt.id)
		switch {
		case s.withdrawn && len(servers) > 0:
			broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %d ms after its key was taken away, has run at %v", s.attempt.id, s.attempt.router, s.late.Milliseconds(), servers))
		case !s.withdrawn && s.attempt.status == http.StatusNotFound:
			broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %d ms after its route was added, got 404", s.attempt.id, s.attempt.router, s.late.Milliseconds()))
		}
	}
	return broken
}
