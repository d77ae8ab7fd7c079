package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// The case "withdrawn": one router of three is cut off from the store and from the others for a while, in which the operator
// writes many versions and then takes a key away. No request with that key may run that was sent more than revoke_ms after the
// change was acknowledged.
const (
	revokeWithin = 5000 * time.Millisecond
	cutFor       = 9 * time.Second
	stormBegins  = 300 * time.Millisecond
	stormGap     = 60 * time.Millisecond
	stormLength  = 25
	revokedAfter = 2500 * time.Millisecond
	watchedFor   = 3 * time.Second
	// stormRoutes are the routes of two additions of 350 to the 110 that the small sites have.
	stormRoutes = 810
	sendGap     = 10 * time.Millisecond
	// cuts is how often the router is cut off, settleTime the time before each cut.
	cuts       = 5
	settleTime = 3 * time.Second
)

func withdrawn(r *rig) (status int) {
	st := newStore()
	var servers []*server
	for _, id := range []string{"i-1", "i-2"} {
		s, err := newServer(id, service, 2*time.Millisecond)
		if err != nil {
			return r.failed(err)
		}
		servers = append(servers, s)
		go s.beat(st)
	}
	version := 10
	write := func(keys ...string) (acknowledged time.Time, err error) {
		version++
		value := desired{version: version, idleRoutes: stormRoutes, keys: keys, maxBody: defaultMaxBody}.encode()
		err = st.put("keyed.op", "config", value)
		acknowledged = time.Now()
		r.noteAt(acknowledged, "the store acknowledges version %d, %d bytes, keys %v", version, len(value), keys)
		return acknowledged, err
	}
	_, err := write("kept", lostKey(0))
	if err != nil {
		return r.failed(err)
	}
	var routers []*router
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		x, err := newRouter(r.dir, r.binary, name, st, func() []*router { return routers })
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
	lost := hubOf(routers)
	if lost == nil {
		return r.failed(errors.New("no router reads the store for the others"))
	}
	served, wrong := 0, 0
	for i := range cuts {
		began := time.Now()
		setCut := func(yes bool) {
			if r.trouble {
				cutOff(lost, routers, st, yes)
				r.note("%s is cut off: %v", lost.name, yes)
			}
		}
		setCut(true)
		time.Sleep(stormBegins)
		for range stormLength {
			if _, err = write("kept", lostKey(i)); err != nil {
				return r.failed(err)
			}
			time.Sleep(stormGap)
		}
		time.Sleep(time.Until(began.Add(revokedAfter)))
		acknowledged, err := write("kept")
		if err != nil {
			return r.failed(err)
		}
		time.Sleep(time.Until(acknowledged.Add(revokeWithin)))
		attempts := watch(routers, lostKey(i), began, func() { setCut(false) })
		s, w := judgeWithdrawn(r, attempts, allRuns(servers), lostKey(i), acknowledged)
		served, wrong = served+s, wrong+w
		if _, err = write("kept", lostKey(i+1)); err != nil {
			return r.failed(err)
		}
		time.Sleep(settleTime)
	}
	switch {
	case wrong > 0:
		return broken
	case served == 0:
		return couldNot
	}
	return held
}

// lostKey is the key that is taken away during a cut.
func lostKey(i int) string { return fmt.Sprintf("lost%d", i) }

// cutOff cuts a router off from the store and the other routers, or ends that.
func cutOff(lost *router, routers []*router, st *store, yes bool) {
	st.reject(lost, yes)
	for _, x := range routers {
		if yes {
			x.link.setCut(lost)
		} else {
			x.link.setCut(nil)
		}
	}
}

// hubOf returns the router that says in its log that it reads the store for all.
func hubOf(routers []*router) *router {
	for _, x := range routers {
		text, _ := os.ReadFile(x.log.Name())
		if strings.Contains(string(text), "event=hubFollowed hub="+x.name+" self=true") {
			return x
		}
	}
	return nil
}

// watch sends requests with both keys to each router, and ends the disruption meanwhile.
func watch(routers []*router, lostKey string, began time.Time, end func()) (attempts map[string][]sent) {
	attempts = map[string][]sent{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	until := began.Add(cutFor + watchedFor)
	for _, x := range routers {
		for _, key := range []string{"kept", lostKey} {
			clients.Go(func() {
				c := newClient(x)
				for time.Now().Before(until) {
					s := c.attempt("POST", "/book/x", key, time.Second, []byte("booking"))
					mu.Lock()
					attempts[key] = append(attempts[key], s)
					mu.Unlock()
					time.Sleep(sendGap)
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(cutFor)))
	end()
	clients.Wait()
	return attempts
}

// judgeWithdrawn counts the requests that were served, and those that ran although their key had been taken away too long before.
func judgeWithdrawn(r *rig, attempts map[string][]sent, runs []run, lostKey string, acknowledged time.Time) (served, wrong int) {
	ran := map[string]run{}
	for _, x := range runs {
		ran[x.id] = x
	}
	for _, s := range attempts["kept"] {
		if s.status == 200 {
			served++
		}
	}
	for _, s := range attempts[lostKey] {
		x, did := ran[s.id]
		if did && s.at.Sub(acknowledged) > revokeWithin {
			wrong++
			r.noteAt(s.at, "%s is sent with %s, which was taken away %d ms before, to %s: %s runs it for tenant %s, the client gets %d",
				s.id, lostKey, s.at.Sub(acknowledged).Milliseconds(), s.router, x.server, x.tenant, s.status)
		}
	}
	r.note("with the kept key %d requests, %d of them served; with %s %d later than revoke_ms, of which %d ran",
		len(attempts["kept"]), served, lostKey, len(attempts[lostKey]), wrong)
	return served, wrong
}
