package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/fleetload"
	"savoryfall/core/fleetstate"
	"savoryfall/core/members"
	"savoryfall/core/prompt"
	"savoryfall/core/routetable"
)

const (
	overloadRouters = 12
	overloadEngines = 24
	overloadSlots   = 24
	overloadCache   = 300000
	// overloadRate is the requests a second that take about half of the slots.
	overloadRate = 400.0
	engineStep   = 35 * time.Millisecond
	// stepShare is how much each request slows the steps of those beside it.
	stepShare    = 0.005
	tokensPerMs  = 100.0
	streamTarget = 600 * time.Millisecond
)

// overload is engines that run, queue and refuse streams, and routers that learn of each other some hundred milliseconds late.
type overload struct {
	random     *rand.Rand
	now        time.Time
	routers    []*dispatch.Dispatcher
	aggregator fleetload.Aggregator
	states     []fleetstate.Report
	reportedAt []time.Time
	engines    []*modelEngine
	byID       map[string]*modelEngine
	entries    []directory.Entry
	place      placement
	n          uint64
	// counting is since when requests count.
	counting time.Time
	results  overloadResults
	// alone keeps the routers from each other's reports.
	alone bool
	kinds []streamKind
	// disturb is called half a second after the load has risen.
	disturb func()
	seed    uint64
	control dispatch.OverloadControl
	names   []uint64
}

// streamKind is a kind of stream: of its rank, with so many shared prompt tokens, and events on average.
type streamKind struct {
	share        float64
	documents    uint64
	sharedTokens int
	events       float64
	deadline     time.Duration
}

// placement chooses the engine of a request. attempt is nil if it is not a router's.
type placement func(o *overload, q dispatch.Query) (v *modelEngine, a *dispatch.Attempt)

type overloadResults struct {
	asked, admitted, good, expired [3]int
	largeAsked, largeGood          [3]int
	refusedByEngine                int
	reasons                        map[dispatch.Reason]int
}

func (r overloadResults) share(rank int) float64 {
	return float64(r.good[rank]) / float64(max(r.asked[rank], 1))
}

func total(n [3]int) int { return n[0] + n[1] + n[2] }

func newOverload(seed uint64, control dispatch.OverloadControl, place placement) *overload {
	o := &overload{
		random: rand.New(rand.NewPCG(seed, seed)), now: start, byID: map[string]*modelEngine{}, place: place, seed: seed, control: control,
		kinds: []streamKind{
			{share: 0.45, documents: 60, sharedTokens: 600, events: 18, deadline: 4 * time.Second},
			{share: 0.35, documents: 40, sharedTokens: 2000, events: 8, deadline: 4 * time.Second},
			{share: 0.2, documents: 60, sharedTokens: 10000, events: 45, deadline: 8 * time.Second},
		},
	}
	o.results.reasons = map[dispatch.Reason]int{}
	for i := range overloadEngines {
		v := &modelEngine{id: fmt.Sprint(models, i), queue: overloadSlots / 3, factor: 1, lie: 1}
		o.engines, o.byID[v.id] = append(o.engines, v), v
		o.entries = append(o.entries, directory.Entry{
			ID: v.id, Address: fmt.Sprintf("10.0.0.%d:1", i), Service: models, Slots: overloadSlots, FailureDomain: "a",
		})
	}
	for i := range overloadRouters {
		o.names = append(o.names, members.Hash(fmt.Sprint("router", i)))
	}
	for i := range overloadRouters {
		o.routers = append(o.routers, o.newRouter(i))
	}
	o.states, o.reportedAt = make([]fleetstate.Report, overloadRouters), make([]time.Time, overloadRouters)
	return o
}

// newRouter returns a router that has just started.
func (o *overload) newRouter(i int) *dispatch.Dispatcher {
	d := dispatch.New("a")
	d.SetFleet(coldlimit.New(o.names[i], o.names))
	d.Seed(o.seed*1000 + uint64(i))
	d.SetOverloadControl(o.control)
	d.Configure(routetable.New(routetable.Config{Services: []routetable.Service{
		{Name: models, Engine: true, Slots: overloadSlots, CacheTokens: overloadCache},
	}}))
	d.Update(o.entries, o.now)
	return d
}

// lose ends n engines with all that they run. The directory drops them seconds later.
func (o *overload) lose(n int) {
	for _, v := range o.engines[:n] {
		v.lost = true
		for _, j := range append(v.running, v.waiting...) {
			j.gone = true
			if j.attempt != nil {
				j.attempt.End(dispatch.Broken, o.now)
			}
		}
		v.running, v.waiting = nil, nil
	}
}

// slow makes every third engine slower by the factor.
func (o *overload) slow(factor float64) {
	for i, v := range o.engines {
		if i%3 == 0 {
			v.factor = factor
		}
	}
}

// generate sends requests at a rate for some time.
func (o *overload) generate(perSecond float64, d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(time.Duration(o.random.ExpFloat64() / perSecond * float64(time.Second)))
		for _, v := range o.engines {
			v.advance(o)
		}
		o.exchange()
		o.send(o.request())
	}
}

// request returns one of the kinds of streams. The part of its prompt that it does not share and the number of its events are
// each far larger for some.
func (o *overload) request() *stream {
	u, rank := o.random.Float64(), 0
	for rank < 2 && u > o.kinds[rank].share {
		u -= o.kinds[rank].share
		rank++
	}
	k := o.kinds[rank]
	o.n++
	size := o.random.NormFloat64()
	own := int(250 * math.Exp(1.2*size))
	j := &stream{events: max(int(k.events*math.Exp(0.5*o.random.NormFloat64()-0.125)), 1), large: size > 1.2816, arrived: o.now, deadline: o.now.Add(k.deadline)}
	document := uint64(float64(k.documents) * math.Pow(o.random.Float64(), 1.5))
	j.q = dispatch.Query{
		Service: models, Rank: rank, Kind: fmt.Sprint(rank), LatencyTarget: streamTarget, TimeLeft: k.deadline, Account: fmt.Sprint(o.n % 10),
		Prompt: prompt.Chain{{ID: uint64(1000*(rank+1)) + document, Tokens: k.sharedTokens}, {ID: 1<<40 + o.n, Tokens: own}},
	}
	j.counts = !o.counting.IsZero() && !o.now.Before(o.counting)
	if j.counts {
		o.results.asked[rank]++
		if j.large {
			o.results.largeAsked[rank]++
		}
	}
	return j
}

// send tries a second engine when the first refuses the request.
func (o *overload) send(j *stream) {
	for range 2 {
		v, a := o.place(o, j.q)
		if v == nil {
			return
		}
		j.attempt = a
		if v.accept(j, o.now) {
			if j.counts {
				o.results.admitted[j.q.Rank]++
			}
			return
		}
		verdict := dispatch.Refused
		if v.lost {
			verdict = dispatch.Unreachable
		} else if j.counts {
			o.results.refusedByEngine++
		}
		if a != nil {
			a.End(verdict, o.now)
		}
		j.q.Tried = append(j.q.Tried, v.id)
	}
}

// byRouter lets a router choose.
func byRouter(o *overload, q dispatch.Query) (v *modelEngine, a *dispatch.Attempt) {
	a, reason := o.routers[o.random.IntN(len(o.routers))].Choose(q, o.now)
	if a == nil {
		o.results.reasons[reason]++
		return nil, nil
	}
	return o.byID[a.Endpoint().ID], a
}

// inTurn gives each request to a random engine, which serves them in the order of their arrival.
func inTurn(o *overload, q dispatch.Query) (v *modelEngine, a *dispatch.Attempt) {
	if len(q.Tried) > 0 {
		return nil, nil
	}
	v = o.engines[o.random.IntN(len(o.engines))]
	v.queue = math.MaxInt32
	return v, nil
}

// leastLoaded knows how many requests each engine has at this moment.
func leastLoaded(o *overload, q dispatch.Query) (v *modelEngine, a *dispatch.Attempt) {
	if len(q.Tried) > 0 {
		return nil, nil
	}
	v = slices.MinFunc(o.engines, func(a, b *modelEngine) int { return cmp.Compare(a.load(), b.load()) })
	v.queue = math.MaxInt32
	return v, nil
}

// fixedLimit refuses what goes beyond one and a half times the slots of the engine that caches the prompt.
func fixedLimit(o *overload, q dispatch.Query) (v *modelEngine, a *dispatch.Attempt) {
	v = o.engines[int(q.Prompt[0].ID)%len(o.engines)]
	for _, other := range []*modelEngine{v, o.engines[o.random.IntN(len(o.engines))]} {
		if other.load() < overloadSlots*3/2 {
			other.queue = overloadSlots
			return other, nil
		}
	}
	return nil, nil
}

// exchange lets the routers report in turn, so that each does so every reportInterval.
func (o *overload) exchange() {
	for i, d := range o.routers {
		if o.alone || o.now.Sub(o.reportedAt[i]) < reportInterval {
			continue
		}
		if o.reportedAt[i].IsZero() {
			o.reportedAt[i] = o.now.Add(-reportInterval * time.Duration(i) / overloadRouters)
			continue
		}
		o.reportedAt[i] = o.now
		own, state := d.OwnWorkload(o.now), d.OwnState(o.now)
		o.aggregator.AddReport(fmt.Sprint(i), own, d.TakeReads(), o.now)
		o.states[i] = state
		loads, _ := o.aggregator.Totals(o.now)
		d.SetFleetWorkload(loads, own, o.now)
		d.SetFleetState(o.totals(), state, o.now)
		reads, _ := o.aggregator.ReadsSince(0)
		d.RecordReads(reads)
	}
}

// totals returns the newest state of each endpoint that any router reported.
func (o *overload) totals() (t fleetstate.Totals) {
	newest := map[uint32]fleetstate.EndpointState{}
	held := map[uint32]int{}
	for i, r := range o.states {
		for _, s := range r.Endpoints {
			s.Age += o.now.Sub(o.reportedAt[i])
			held[s.Endpoint] += s.HeldTokens
			if old, ok := newest[s.Endpoint]; !ok || s.Age < old.Age {
				newest[s.Endpoint] = s
			}
		}
	}
	for id, s := range newest {
		s.HeldTokens = held[id]
		t.Endpoints = append(t.Endpoints, s)
	}
	slices.SortFunc(t.Endpoints, func(a, b fleetstate.EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	t.Routers = len(o.states)
	return t
}

// play warms the engines up, sends factor times the usual load and returns the results of all but its first second.
func (o *overload) play(factor float64) overloadResults {
	o.generate(overloadRate, 2*time.Second)
	o.counting = o.now.Add(time.Second)
	o.generate(factor*overloadRate, time.Second/2)
	if o.disturb != nil {
		o.disturb()
	}
	o.generate(factor*overloadRate, 7*time.Second/2)
	last := o.now
	for o.now.Before(last.Add(10 * time.Second)) {
		o.now = o.now.Add(20 * time.Millisecond)
		for _, v := range o.engines {
			v.advance(o)
		}
	}
	return o.results
}

func (r overloadResults) String() string {
	return fmt.Sprintf("asked %v, admitted %v, good %v, of the large %v of %v, expired %v, refused by engines %d, not chosen %v", r.asked, r.admitted, r.good,
		r.largeGood, r.largeAsked, r.expired, r.refusedByEngine, r.reasons)
}

// checkFairness checks that no rank fares better than a more urgent one, and the largest tenth of each at least half as well as
// all of it.
func (r overloadResults) checkFairness(t *testing.T) {
	t.Helper()
	for rank := range r.asked {
		if rank > 0 {
			assert.Assert(t, r.share(rank) <= r.share(rank-1)+0.02, "rank %d", rank)
		}
		// Of fewer than ten that are expected to be served, it is a matter of chance.
		if r.share(rank)*float64(r.largeAsked[rank]) >= 10 {
			large := float64(r.largeGood[rank]) / float64(max(r.largeAsked[rank], 1))
			assert.Assert(t, large >= r.share(rank)/2, "rank %d", rank)
		}
	}
}
