package main

import (
	"errors"
	"sync"
	"time"
)

// The case "bodies": clients send bodies of the size that the desired state allows, and many of them come at once. No machine may
// close a kept channel without an answer to a request that it has passed on to a sound server, more than three times.
const (
	// usualClients send one request a second, spread over it, to each router. In a burst burstClients send theirs at once.
	usualClients   = 18
	burstClients   = 30
	bodyBytes      = defaultMaxBody
	bodyDeadline   = 3 * time.Second
	burstSeconds   = 3
	quietSeconds   = 7
	bursts         = 3
	allowedLost    = 3
	serverWork     = 15 * time.Millisecond
	crowdedRouters = 3
)

func bodies(r *rig) (status int) {
	st := newStore()
	var servers []*server
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s, err := newServer(id, service, serverWork)
		if err != nil {
			return r.failed(err)
		}
		servers = append(servers, s)
		go s.beat(st)
	}
	err := st.put("keyed.op", "config", desired{version: 1, keys: []string{"key"}, maxBody: bodyBytes}.encode())
	if err != nil {
		return r.failed(err)
	}
	var routers []*router
	for _, name := range []string{"edge-1", "edge-2", "edge-3"}[:crowdedRouters] {
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
	done := make(chan struct{})
	var watching sync.WaitGroup
	kills := make([][]time.Time, len(routers))
	for i, x := range routers {
		watching.Go(func() { kills[i] = x.keepToMemory(r, done) })
	}
	attempts := upload(r, routers)
	close(done)
	watching.Wait()
	return judgeBodies(r, routers, kills, attempts, allRuns(servers))
}

// upload has the clients of each router send their bodies, second by second.
func upload(r *rig, routers []*router) (attempts []sent) {
	body := make([]byte, bodyBytes)
	var mu sync.Mutex
	var sending sync.WaitGroup
	clients := make([][]*client, len(routers))
	for i, x := range routers {
		for range burstClients {
			clients[i] = append(clients[i], newClient(x))
		}
	}
	send := func(c *client) {
		s := c.attempt("POST", "/book/x", "key", bodyDeadline, body)
		mu.Lock()
		defer mu.Unlock()
		attempts = append(attempts, s)
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := range bursts * (quietSeconds + burstSeconds) {
		<-ticker.C
		inBurst := r.trouble && second%(quietSeconds+burstSeconds) >= quietSeconds
		if inBurst {
			r.note("%d clients of each router send at once", burstClients)
		}
		for i := range routers {
			for j, c := range clients[i] {
				if !inBurst && j >= usualClients {
					continue
				}
				sending.Go(func() {
					if !inBurst {
						time.Sleep(time.Duration(j) * time.Second / usualClients)
					}
					c.mu.Lock()
					defer c.mu.Unlock()
					send(c)
				})
			}
		}
	}
	sending.Wait()
	return attempts
}

func judgeBodies(r *rig, routers []*router, kills [][]time.Time, attempts []sent, runs []run) (status int) {
	ran := map[string]run{}
	for _, x := range runs {
		ran[x.id] = x
	}
	statuses, killed, most := map[int]int{}, 0, 0
	for i, x := range routers {
		lost := 0
		killed += len(kills[i])
		for _, s := range attempts {
			if s.router != x.name {
				continue
			}
			statuses[s.status]++
			if did, is := ran[s.id]; is && s.status == 0 && s.reused {
				lost++
				r.noteAt(s.at, "LOST: %s on a kept channel runs at %s, %s closes the channel after %d ms: %v", s.id, did.server, s.router, s.took.Milliseconds(), s.err)
			}
		}
		r.note("%s was killed %d times, %d requests lost", x.name, len(kills[i]), lost)
		most = max(most, lost)
	}
	r.note("%d requests, answered %v, 0 for a channel that ended", len(attempts), statuses)
	switch {
	case killed > 0 && most > allowedLost:
		return broken
	case statuses[200] == 0:
		return couldNot
	}
	return held
}
