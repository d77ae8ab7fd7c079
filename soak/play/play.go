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
	"savoryfall/platform/configrule"
	"savoryfall/platform/day"
	"savoryfall/platform/site"
	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/fakestore"
	"savoryfall/platform/standin/testclient"
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

	mu        sync.Mutex
	endpoints []*fakeendpoint.Endpoint
	down      []span
	away      []awaySpan
	seen      []observation
}

// span is a time in which the store served no router, awaySpan one in which it turned some away.
type span struct{ from, to time.Time }

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
	heartbeat    = 1200 * time.Millisecond
	readyTimeout = 15 * time.Second
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
	p = &play{options: o, site: s, day: d, random: rand.New(rand.NewPCG(o.seed, o.seed)), set: routerset.New(o.program, o.dir, s.ConfigurationWithin())}
	p.gate = storegate.New(&p.store)
	p.gate.SetLatency(o.latency)
	p.operator = newOperator(func(value []byte) { p.store.Put("keyed.op", "config", value) })
	for _, service := range []string{firstService, otherService, slowService, modelService} {
		for range 3 {
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
		for _, e := range p.endpoints {
			p.store.Put("keyed.servers", e.ID(), e.Entry())
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
	o := observation{id: fmt.Sprintf("p%d", p.nextID.Add(1)), router: r.Name, path: path, key: key, sent: time.Now()}
	a := testclient.Send(r.Clients, testclient.Request{Method: http.MethodGet, Host: host, Path: path + "x", ID: o.id, Key: key})
	o.ended, o.status, o.service = time.Now(), a.Status, p.ranAt(o.id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, o)
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
				testclient.Send(r.Clients, testclient.Request{Method: http.MethodPost, Host: host, Path: path + "x", ID: fmt.Sprintf("l%d", p.nextID.Add(1)), Key: mainKey})
				background.Sleep(ctx, loadPause, nil)
			}
		})
	}
}

func (p *play) close() {
	p.set.Stop()
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// inTouch reports whether the bounds hold for the router at a time.
func (p *play) inTouch(router string, at time.Time) bool {
	settle := p.site.SettleTime()
	within := func(s span) bool { return at.After(s.from) && at.Before(s.to.Add(settle)) }
	for _, s := range p.down {
		if within(s) {
			return false
		}
	}
	for _, s := range p.away {
		if within(s.span) && slices.Contains(s.routers, router) {
			return false
		}
	}
	return true
}

// served reports whether the store served the router at a time, and did not turn it away shortly before.
func (p *play) served(router string, at time.Time) bool {
	for _, s := range p.down {
		if at.After(s.from) && at.Before(s.to) {
			return false
		}
	}
	for _, s := range p.away {
		if at.After(s.from) && at.Before(s.to.Add(p.site.SettleTime())) && slices.Contains(s.routers, router) {
			return false
		}
	}
	return true
}

// judge judges what was seen, and prints the margins.
func (p *play) judge(calls int) (err error) {
	versions, acknowledged := p.operator.snapshot()
	j := configrule.Judge{Acknowledged: acknowledged, Within: p.site.ConfigurationWithin(), GoesBackWithin: goesBackWithin, WithdrawnWithin: withdrawnWithin, InTouch: p.inTouch}
	slices.SortFunc(p.seen, func(a, b observation) int { return a.sent.Compare(b.sent) })
	var greatest, greatestAtAll time.Duration
	statuses := map[int]int{}
	slow, late, unavailable := 0, 0, 0
	for _, o := range p.seen {
		if o.path == pathSlow {
			slow++
			if p.inTouch(o.router, o.sent) && o.ended.Sub(o.sent) > slices.Max(slowTimeouts)+slowSlack {
				late++
			}
			continue
		}
		statuses[o.status]++
		if o.status != http.StatusOK && o.status/100 != 4 && p.inTouch(o.router, o.sent) {
			unavailable++
		}
		v := j.Judge(p.observed(o, versions))
		if v.Judged {
			greatest = max(greatest, v.Delay)
		}
		if p.served(o.router, o.sent) {
			greatestAtAll = max(greatestAtAll, v.Delay)
		}
		if v.Broken != "" {
			err = fmt.Errorf("CONFIG is broken: %s", v.Broken)
			fmt.Fprintf(p.out, "%8.3f  %s\n", o.sent.Sub(p.began).Seconds(), v.Broken)
		}
	}
	if late >= 8 && 4*late > slow {
		err = fmt.Errorf("CONFIG is broken: %d of %d requests were not answered %v after their route's timeout", late, slow, slowSlack)
	}
	if ended := p.set.Ended(); len(ended) > 0 {
		err = fmt.Errorf("routers ended by themselves: %v", ended)
	}
	fmt.Fprintf(p.out, "%s seed %d: %d probes, greatest delay of a change %d ms in touch, %d ms served (%d allowed); statuses %v; %d of %d slow requests late; %d answered otherwise in touch; %d calls to the store; away %v\n",
		p.day.Name(), p.seed, len(p.seen), greatest.Milliseconds(), greatestAtAll.Milliseconds(), p.site.ConfigurationWithin().Milliseconds(), statuses, late, slow, unavailable, calls, p.awayNames())
	return err
}

func (p *play) awayNames() (names [][]string) {
	for _, s := range p.away {
		names = append(names, s.routers)
	}
	return names
}

func (p *play) observed(o observation, versions []state) (v configrule.Observation) {
	v = configrule.Observation{ID: o.id, Router: o.router, Sent: o.sent, Ended: o.ended, WithdrawnAt: p.operator.withdrawnAt(o.key)}
	for _, s := range versions {
		v.Prescribed = append(v.Prescribed, s.prescribes(o.path, o.key))
	}
	switch {
	case o.service != "":
		v.Got = configrule.Handling(o.service)
	case slices.Contains([]int{401, 403, 404}, o.status):
		v.Got = configrule.Handling(fmt.Sprint(o.status))
	}
	return v
}
