package main

import (
	"errors"
	"sync"
	"time"
)

// The case "extra": faulty servers send additional bytes after some of their answers. A request that may not be repeated must not
// have run where its client is told 503.
const (
	bookingsPerS  = 34
	bookingWork   = 15 * time.Millisecond
	bookingSlots  = 6
	bookingQueue  = 24
	extraShare    = 0.03
	garbled       = 2
	extraFor      = 5 * time.Second
	extraPause    = 3 * time.Second
	extraWindows  = 11
	bookingClient = 12
)

func extra(r *rig) (status int) {
	st := newStore()
	var servers []*server
	var raw []*rawServer
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s, err := newRawServer(id, service, bookingWork, bookingSlots, bookingQueue)
		if err != nil {
			return r.failed(err)
		}
		s.note = r.note
		raw, servers = append(raw, s), append(servers, &s.server)
		go s.beat(st)
	}
	err := st.put("keyed.op", "config", desired{version: 1, keys: []string{"key"}, maxBody: defaultMaxBody}.encode())
	if err != nil {
		return r.failed(err)
	}
	var routers []*router
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		x, err := newRouter(r.dir, r.binary, name, st, nil)
		if err == nil {
			err = x.start()
		}
		if err != nil {
			return r.failed(err)
		}
		defer x.kill()
		routers = append(routers, x)
	}
	if !awaitReady(routers, 10*time.Second) {
		return r.failed(errors.New("the routers are not ready"))
	}
	time.Sleep(settleTime)
	until := time.Now().Add(extraWindows * (extraFor + extraPause))
	done := make(chan []sent)
	go func() { done <- book(routers, until) }()
	for time.Now().Before(until) {
		if r.trouble {
			r.note("two of four servers send additional bytes after %.2f of their answers", extraShare)
			for _, s := range raw[:garbled] {
				s.set(extraShare)
			}
		}
		time.Sleep(extraFor)
		for _, s := range raw {
			s.set(0)
		}
		time.Sleep(extraPause)
	}
	return judgeExtra(r, <-done, allRuns(servers))
}

// book sends bookings to the routers until the given time, each client on a kept channel.
func book(routers []*router, until time.Time) (attempts []sent) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range bookingClient {
		clients.Go(func() {
			c := newClient(routers[i%len(routers)])
			tick := time.NewTicker(time.Second * bookingClient / bookingsPerS)
			defer tick.Stop()
			for now := range tick.C {
				if now.After(until) {
					return
				}
				s := c.attempt("POST", "/book/x", "key", time.Second, []byte("booking"))
				mu.Lock()
				attempts = append(attempts, s)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return attempts
}

func judgeExtra(r *rig, attempts []sent, runs []run) (status int) {
	ran := map[string][]run{}
	for _, x := range runs {
		ran[x.id] = append(ran[x.id], x)
	}
	statuses := map[int]int{}
	wrong := 0
	for _, s := range attempts {
		statuses[s.status]++
		times := ran[s.id]
		if (s.status == 429 || s.status == 503) && len(times) > 0 {
			wrong++
			r.noteAt(s.at, "REFUSED: %s runs at %s, the client gets %d", s.id, times[0].server, s.status)
		}
	}
	r.note("%d bookings, answered %v; %d against the rules", len(attempts), statuses, wrong)
	switch {
	case wrong > 0:
		return broken
	case statuses[200] == 0:
		return couldNot
	}
	return held
}
