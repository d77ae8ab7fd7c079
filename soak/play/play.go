package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/background"
	"savoryfall/platform/day"
	"savoryfall/platform/site"
	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/fakestore"
	"savoryfall/soak/routerset"
	"savoryfall/soak/storegate"
)

// play is one play of a day.
type play struct {
	options
	site     *site.Site
	day      *day.Day
	random   *rand.Rand
	began    time.Time
	store    fakestore.Service
	gate     *storegate.Gate
	set      *routerset.Set
	operator *operator
	servers  []*http.Server
	nextID   atomic.Int64

	endpoints []*fakeendpoint.Endpoint

	mu sync.Mutex
	// left is when the store took that an endpoint leaves, and sentBy to which router each request was sent.
	left   map[*fakeendpoint.Endpoint]time.Time
	sentBy map[string]string
	down   []span
	away   []awaySpan
	seen   []observation
}

// span is a time in which the store served no router, awaySpan one in which it turned some away.
type span struct{ from, to time.Time }

// covers reports whether a time is in the span, or shorter after it than the given duration.
func (s span) covers(at time.Time, after time.Duration) bool {
	return at.After(s.from) && at.Before(s.to.Add(after))
}

type awaySpan struct {
	span
	routers []string
}

// observation is a request of a client whose handling shows which version is in force.
type observation struct {
	id, router, path, key string
	sent, ended           time.Time
	status                int
	service               string
}

const (
	// endpointsPerService is how many endpoints each service has at first.
	endpointsPerService = 6
	heartbeat           = 1200 * time.Millisecond
	readyTimeout        = 15 * time.Second
	// leadTime is the time before the day begins, in which routers find each other.
	leadTime = 8 * time.Second
	// probeInterval is the time between two probes of a kind at a router, and slowInterval that between two slow requests.
	probeInterval = 25 * time.Millisecond
	slowInterval  = 250 * time.Millisecond
	// maxShift is by how much an event is shifted in a varied play.
	maxShift = 300 * time.Millisecond
	// slowAnswer is longer than any timeout of the slow route.
	slowAnswer = 3 * time.Second
	// slowSlack is how much later than its route's timeout a request may be answered.
	slowSlack = 500 * time.Millisecond
	// goesBackWithin and withdrawnWithin are the bounds of the pages.
	goesBackWithin  = 250 * time.Millisecond
	withdrawnWithin = 5 * time.Second
)

func newPlay(o options, s *site.Site, d *day.Day) (p *play, err error) {
	p = &play{
		options: o, site: s, day: d, random: rand.New(rand.NewPCG(o.seed, o.seed)), set: routerset.New(o.program, o.dir, s.ConfigurationWithin()),
		left: map[*fakeendpoint.Endpoint]time.Time{}, sentBy: map[string]string{},
	}
	p.gate = storegate.New(&p.store)
	p.gate.SetLatency(o.latency)
	p.operator = newOperator(func(value []byte) { p.store.Put("keyed.op", "config", value) })
	for _, service := range []string{firstService, otherService, slowService, modelService} {
		for range endpointsPerService {
			err = p.startEndpoint(service)
			if err != nil {
				return p, err
			}
		}
	}
	return p, p.startRouters()
}

func (p *play) startRouters() (err error) {
	vms := p.site.Routers()
	for i := 0; len(vms) < p.routers; i++ {
		vm := vms[i]
		vm.Name += "-spare"
		vms = append(vms, vm)
	}
	if p.routers > 0 {
		vms = vms[:p.routers]
	}
	for _, vm := range vms {
		address, err := p.serve(p.gate.ForRouter(vm.Name))
		if err != nil {
			return err
		}
		err = p.set.Start(vm, address)
		if err != nil {
			return err
		}
	}
	return p.set.AwaitReady(readyTimeout)
}

// serve serves h on a free loopback port until the play is closed.
func (p *play) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *play) startEndpoint(service string) (err error) {
	o := fakeendpoint.Options{ID: fmt.Sprintf("%s-%d", service, len(p.endpoints)), Service: service, FailureDomain: p.site.Routers()[0].FailureDomain, Slots: 64, ResponseTime: 5 * time.Millisecond}
	switch service {
	case slowService:
		o.ResponseTime = slowAnswer
		o.Slots = 1000
	case modelService:
		o.Events, o.EventTime = 8, 10*time.Millisecond
	}
	var e *fakeendpoint.Endpoint
	o.Address, err = p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
	if err != nil {
		return err
	}
	e = fakeendpoint.New(o)
	p.endpoints = append(p.endpoints, e)
	p.store.Put("keyed.servers", o.ID, e.Entry())
	return nil
}

// run plays the day.
func (p *play) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { p.renewEntries(ctx) })
	background.Sleep(ctx, leadTime, nil)
	p.began = time.Now()
	p.gate.TakeCalls()
	for _, r := range p.set.Routers() {
		work.Go(func() { p.probe(ctx, r) })
		work.Go(func() { p.sendSlow(ctx, r) })
		work.Go(func() { p.sendLoad(ctx, r) })
	}
	var events sync.WaitGroup
	for _, e := range p.day.Events() {
		if p.vary {
			e.At += time.Duration(p.random.Int64N(int64(2*maxShift))) - maxShift
		}
		seed := p.random.Uint64()
		events.Go(func() {
			background.Sleep(ctx, time.Until(p.began.Add(e.At)), nil)
			if ctx.Err() == nil {
				p.apply(ctx, e, rand.New(rand.NewPCG(seed, seed)))
			}
		})
	}
	background.Sleep(ctx, time.Until(p.began.Add(p.day.Length())), nil)
	interrupted := ctx.Err()
	calls := p.gate.TakeCalls()
	cancel()
	events.Wait()
	work.Wait()
	if interrupted != nil {
		return interrupted
	}
	return p.judge(calls)
}

func (p *play) renewEntries(ctx context.Context) {
	background.Every(ctx, heartbeat, func(time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, e := range p.endpoints {
			if p.left[e].IsZero() {
				p.store.Put("keyed.servers", e.ID(), e.Entry())
			}
		}
	})
}

// answers are the answers of the gate for those of a day.
var answers = map[day.Answer]storegate.Answer{
	day.Silence: storegate.Silence, day.Unavailable: storegate.Unavailable, day.TooMany: storegate.TooMany, day.ResetsAnswers: storegate.Reset,
}

// apply lets an event happen.
func (p *play) apply(ctx context.Context, e day.Event, random *rand.Rand) {
	switch e.Kind {
	case day.RouteChanges:
		p.operator.changeRoutes()
	case day.TimeoutChanges:
		p.operator.changeTimeout()
	case day.KeyWithdrawn, day.LastKeyOfAnAccount:
		p.operator.withdrawKey(e.Kind == day.LastKeyOfAnAccount)
	case day.EndpointsLeave:
		p.removeEndpoints(e, random)
	case day.StoreDown:
		from := time.Now()
		p.gate.SetDown(answers[e.Answer])
		background.Sleep(ctx, e.For, nil)
		p.gate.SetDown(storegate.Serve)
		p.mu.Lock()
		p.down = append(p.down, span{from, time.Now()})
		p.mu.Unlock()
	case day.StoreTurnsAway:
		from := time.Now()
		p.turnAway(e, random)
		background.Sleep(ctx, e.For, nil)
		away := p.gate.Restore()
		p.mu.Lock()
		p.away = append(p.away, awaySpan{span{from, time.Now()}, away})
		p.mu.Unlock()
	}
}

// removeEndpoints removes the entries of endpoints of a service, which go on serving. One always stays.
func (p *play) removeEndpoints(e day.Event, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []*fakeendpoint.Endpoint
	for _, endpoint := range p.endpoints {
		if endpoint.Service() == firstService && p.left[endpoint].IsZero() {
			live = append(live, endpoint)
		}
	}
	random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	n := e.Count
	if n == 0 {
		n = int(e.Share*float64(len(live)) + 0.999)
	}
	for _, endpoint := range live[:max(min(n, len(live)-1), 0)] {
		p.store.Put("keyed.servers", endpoint.ID(), nil)
		p.left[endpoint] = time.Now()
	}
}

// turnAway has the store turn routers away: those that the event names, or the router that reads for the others and those that read next.
func (p *play) turnAway(e day.Event, random *rand.Rand) {
	if p.readers > 0 {
		p.gate.TurnAway(answers[e.Answer], p.gate.Reader())
		p.gate.TurnAwayReaders(answers[e.Answer], p.readers)
		return
	}
	var names []string
	for _, r := range p.set.Routers() {
		if e.FailureDomain == "" || r.FailureDomain == e.FailureDomain {
			names = append(names, r.Name)
		}
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	hub := p.gate.Reader()
	if i := slices.Index(names, hub); e.HubFirst && i > 0 {
		names[0], names[i] = names[i], names[0]
	}
	n := e.Count
	if n == 0 {
		n = int(e.Share*float64(len(p.set.Routers())) + 0.999)
	}
	p.gate.TurnAway(answers[e.Answer], names[:min(n, len(names))]...)
}

func (p *play) close() {
	p.set.Stop()
	for _, s := range p.servers {
		_ = s.Close()
	}
}
