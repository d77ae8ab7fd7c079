package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"savoryfall/core/background"
	"savoryfall/platform/standin/testclient"
	"savoryfall/soak/routerset"
)

// probe sends requests whose handling shows which version is in force at the router.
func (p *play) probe(ctx context.Context, r *routerset.Router) {
	var sent sync.WaitGroup
	defer sent.Wait()
	background.Every(ctx, probeInterval, func(time.Time) {
		for _, q := range p.probes() {
			sent.Go(func() { p.send(r, q.path, q.key) })
		}
	})
}

// probes returns the requests that tell the newest version from the one before.
func (p *play) probes() (list []observation) {
	versions, _ := p.operator.snapshot()
	newest := versions[len(versions)-1]
	list = append(list, observation{path: pathMove, key: mainKey})
	older := versions[max(len(versions)-4, 0)]
	for path := range newest.routes {
		if older.routes[path] == "" {
			list = append(list, observation{path: path, key: mainKey})
		}
	}
	for path := range older.routes {
		if newest.routes[path] == "" {
			list = append(list, observation{path: path, key: mainKey})
		}
	}
	for key := range older.keys {
		if newest.keys[key] == "" {
			list = append(list, observation{path: pathRead, key: key})
		}
	}
	return list
}

func (p *play) send(r *routerset.Router, path, key string) {
	o := observation{id: p.newID(r), router: r.Name, path: path, key: key, sent: time.Now()}
	a := testclient.Send(r.Clients, testclient.Request{Method: http.MethodGet, Host: host, Path: path + "x", ID: o.id, Key: key})
	o.ended, o.status, o.service = time.Now(), a.Status, p.ranAt(o.id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, o)
}

// newID returns the id of a request that is about to be sent to the router.
func (p *play) newID(r *routerset.Router) (id string) {
	id = fmt.Sprintf("r%d", p.nextID.Add(1))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentBy[id] = r.Name
	return id
}

// ranAt returns the service whose endpoint ran the request, if any did.
func (p *play) ranAt(id string) (service string) {
	for _, e := range p.endpoints {
		if e.ExecutionsOf(id) > 0 {
			return e.Service()
		}
	}
	return ""
}

// sendSlow sends requests that outlast their route's timeout.
func (p *play) sendSlow(ctx context.Context, r *routerset.Router) {
	var sent sync.WaitGroup
	defer sent.Wait()
	background.Every(ctx, slowInterval, func(time.Time) { sent.Go(func() { p.send(r, pathSlow, mainKey) }) })
}

// loadPause is the mean time between two requests of a client.
const loadPause = 120 * time.Millisecond

// sendLoad sends bookings and streams as ordinary clients do.
func (p *play) sendLoad(ctx context.Context, r *routerset.Router) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range 3 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := []string{pathBook, pathText, pathRead}[(n+i)%3]
				testclient.Send(r.Clients, testclient.Request{Method: http.MethodPost, Host: host, Path: path + "x", ID: p.newID(r), Key: mainKey})
				background.Sleep(ctx, loadPause, nil)
			}
		})
	}
}
