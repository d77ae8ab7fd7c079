package latencylimit_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/latencylimit"
)

// limiter is what a policy of a router decides by.
type limiter interface {
	Observe(s latencylimit.Sample, now time.Time)
	Factor(now time.Time) float64
}

// fixed is a factor that nothing changes.
type fixed float64

func (fixed) Observe(latencylimit.Sample, time.Time) {}
func (f fixed) Factor(time.Time) float64             { return float64(f) }

// ownAIMD adds and multiplies from its own value alone, within the bounds of plain services.
type ownAIMD struct{ factor float64 }

func (l *ownAIMD) Observe(s latencylimit.Sample, _ time.Time) {
	if s.Latency > (s.AtEase+s.Target)/2 {
		l.factor = max(1, 0.9*l.factor)
	} else if s.Running+s.Waiting > 0.85*l.factor*s.Slots {
		l.factor = min(4, l.factor+0.1)
	}
}
func (l *ownAIMD) Factor(time.Time) float64 { return l.factor }

const (
	tick     = 10 * time.Millisecond
	interval = 400 * time.Millisecond
	// correction is the part of the free places that routers use in an interval.
	correction = 0.5
	// queueFactor is how many requests an endpoint lets wait before it refuses, as a factor of its slots.
	queueFactor = 5
	// work is the mean time of an answer at ease.
	work   = 300 * time.Millisecond
	target = 1200 * time.Millisecond
)

// played is a service and the routers that send to it. Routers know the sums of the last report and what they sent
// since.
type played struct {
	random *rand.Rand
	// slow is by how much longer answers take now.
	slow float64
	// slots are those of each endpoint.
	slots int

	routers   []*playedRouter
	endpoints [][]playedRequest
	now       time.Time
	// sample is what the hub has; it is taken once an interval.
	sample latencylimit.Sample
	// arrivals are the requests of the last interval, arrived those of this one.
	arrivals, arrived        float64
	lateness, answers, ends  float64
	refused, sent            float64
	good, admitted, rejected int
}

type playedRouter struct {
	limiter limiter
	phase   time.Duration
	// seen are the sums that it has, share the part of its requests that it sends, and credit adds it up.
	seen          latencylimit.Sample
	share, credit float64
	// ends is how many answers end in an interval.
	ends float64
	cut  bool
}

type playedRequest struct {
	arrived time.Time
	left    time.Duration
}

// site is what a service and its routers consist of.
type site struct{ endpoints, slots, routers int }

var (
	large = site{endpoints: 10, slots: 24, routers: 76}
	small = site{endpoints: 3, slots: 6, routers: 76}
)

func newPlayed(seed uint64, s site, newLimiter func() limiter) *played {
	p := &played{
		random: rand.New(rand.NewPCG(seed, seed)), slow: 1, now: start,
		slots: s.slots, endpoints: make([][]playedRequest, s.endpoints),
	}
	for i := range s.routers {
		part := float64(i) / float64(s.routers)
		phase := time.Duration(part * float64(interval)).Truncate(tick)
		p.routers = append(p.routers, &playedRouter{limiter: newLimiter(), phase: phase, share: 1, credit: part})
	}
	return p
}

// capacity is how many requests the service answers in a second at ease.
func (p *played) capacity() float64 { return float64(len(p.endpoints)*p.slots) / work.Seconds() }

// run plays the service under a load relative to its capacity and returns the goodput relative to it.
func (p *played) run(load float64, d time.Duration) float64 {
	before := p.good
	for end := p.now.Add(d); p.now.Before(end); {
		p.step(load)
	}
	return float64(p.good-before) / d.Seconds() / p.capacity()
}

func (p *played) step(load float64) {
	p.now = p.now.Add(tick)
	since := p.now.Sub(start)
	if since%interval == 0 {
		p.sample = p.sums()
		p.ends = p.answers * math.Ln2 * interval.Seconds()
		p.arrivals, p.arrived = p.arrived, 0
	}
	for _, r := range p.routers {
		if (since-r.phase)%interval == 0 {
			p.report(r)
		}
	}
	p.arrive(load)
	p.serve()
	decay := math.Exp2(-tick.Seconds())
	p.lateness, p.answers, p.refused, p.sent = p.lateness*decay, p.answers*decay, p.refused*decay, p.sent*decay
}

// report gives the router the sums that the hub has.
func (p *played) report(r *playedRouter) {
	if p.sample.Slots == 0 {
		return
	}
	if !r.cut {
		r.limiter.Observe(p.sample, p.now)
		r.seen, r.ends = p.sample, p.ends
	}
	// The sums are as old as the router's phase; what was sent and ended since is estimated.
	age := r.phase.Seconds() / interval.Seconds()
	used := r.seen.Running + r.seen.Waiting + age*(r.share*p.arrivals-r.ends)
	room := r.ends + correction*(r.limiter.Factor(p.now)*r.seen.Slots-used)
	r.share = min(max(room, 0)/max(p.arrivals, 1), 1)
}

func (p *played) sums() latencylimit.Sample {
	s := latencylimit.Sample{Slots: float64(len(p.endpoints) * p.slots), AtEase: work, Target: target}
	for _, e := range p.endpoints {
		s.Running += float64(min(len(e), p.slots))
		s.Waiting += float64(max(len(e)-p.slots, 0))
	}
	if p.answers > 1 {
		s.Latency = time.Duration(p.lateness / p.answers * float64(second))
	}
	if p.sent > 1 {
		s.Refused = p.refused / p.sent
	}
	return s
}

func (p *played) arrive(load float64) {
	mean := load * p.capacity() * tick.Seconds()
	n := int(mean)
	if p.random.Float64() < mean-float64(n) {
		n++
	}
	for range n {
		r := p.routers[p.random.IntN(len(p.routers))]
		p.arrived++
		r.credit += r.share
		if r.credit < 1 {
			p.rejected++
			continue
		}
		r.credit--
		a, b := p.random.IntN(len(p.endpoints)), p.random.IntN(len(p.endpoints))
		if len(p.endpoints[b]) < len(p.endpoints[a]) {
			a = b
		}
		p.sent++
		if len(p.endpoints[a]) >= (1+queueFactor)*p.slots {
			p.refused++
			continue
		}
		p.admitted++
		left := time.Duration(float64(work) * (0.5 + p.random.Float64()))
		p.endpoints[a] = append(p.endpoints[a], playedRequest{arrived: p.now, left: left})
	}
}

func (p *played) serve() {
	done := time.Duration(float64(tick) / p.slow)
	for i, e := range p.endpoints {
		kept := e[:0]
		for j, q := range e {
			if j < p.slots {
				q.left -= done
			}
			if q.left > 0 {
				kept = append(kept, q)
				continue
			}
			took := p.now.Sub(q.arrived)
			p.lateness += took.Seconds()
			p.answers++
			if took <= target {
				p.good++
			}
		}
		p.endpoints[i] = kept
	}
}

// spread returns the lowest and highest factor of the routers that are not cut off.
func (p *played) spread() (low, high float64) {
	low = math.Inf(1)
	for _, r := range p.routers {
		if f := r.limiter.Factor(p.now); !r.cut {
			low, high = min(low, f), max(high, f)
		}
	}
	return low, high
}

func plainLimiter() limiter  { return plain() }
func engineLimiter() limiter { return new(latencylimit.Limit) }

var policies = []struct {
	name string
	new  func() limiter
}{
	{"plain", plainLimiter},
	{"engine", engineLimiter},
	{"fixed 1", func() limiter { return fixed(1) }},
	{"fixed 2", func() limiter { return fixed(2) }},
	{"own AIMD", func() limiter { return &ownAIMD{factor: 1} }},
	{"none", func() limiter { return fixed(1e6) }},
}

var loads = []float64{0.5, 0.8, 1, 1.5, 2, 4, 8}

// Guards against goodput that falls as load grows, at the usual speed of endpoints and at 1/2.5 of it.
func TestGoodputStaysAsLoadGrows(t *testing.T) {
	for _, site := range []site{large, small} {
		for _, slow := range []float64{1, 2.5} {
			for _, policy := range policies {
				if site == small && policy.name == "engine" {
					// The bounds of engines are not used for a plain service of a few slots.
					continue
				}
				checkGoodput(t, site, slow, policy.name, policy.new)
			}
		}
	}
}

func checkGoodput(t *testing.T, site site, slow float64, name string, newLimiter func() limiter) {
	t.Helper()
	goodput := make([]float64, len(loads))
	for i, load := range loads {
		p := newPlayed(1, site, newLimiter)
		p.slow = slow
		p.run(load/slow, 15*second)
		goodput[i] = p.run(load/slow, 20*second) * slow
	}
	t.Logf("%d slots, slowdown %.1f, %s: %.3f", site.endpoints*site.slots, slow, name, goodput)
	best, worst := slices.Max(goodput), slices.Min(goodput[slices.Index(loads, 1.5):])
	switch name {
	case "plain", "engine":
		assert.Assert(t, worst >= 0.9*best, "slowdown %.1f, %s: %.3f of %.3f", slow, name, worst, best)
		assert.Assert(t, goodput[0] >= 0.97*loads[0], "slowdown %.1f, %s at half load: %.3f", slow, name, goodput[0])
	case "none":
		assert.Assert(t, worst < 0.5*best, "the load is too low for the test: %.3f of %.3f", worst, best)
	case "fixed 2":
		assert.Assert(t, slow == 1 || worst < 0.5*best, "the slowdown is too low for the test: %.3f of %.3f", worst, best)
	}
}

// Guards against a limit that stays low after a surge, or that is too high when the next one comes.
func TestSurgeEndsAndComesAgain(t *testing.T) {
	for _, policy := range policies {
		p := newPlayed(2, large, policy.new)
		p.run(0.5, 10*second)
		first := p.run(4, 10*second)
		p.run(0.5, 5*second)
		between := p.run(0.5, 5*second)
		again := p.run(4, 10*second)
		p.run(0.5, 5*second)
		after := p.run(0.5, 5*second)
		t.Logf("%s: first %.3f between %.3f again %.3f after %.3f", policy.name, first, between, again, after)
		if policy.name == "plain" || policy.name == "engine" {
			assert.Assert(t, between >= 0.48 && after >= 0.48, "%s: %.3f, %.3f", policy.name, between, after)
			assert.Assert(t, again >= 0.9*first, "%s: %.3f after %.3f", policy.name, again, first)
		}
	}
}

// Guards against a limit that lets queues grow while endpoints are slow, or that does not find back.
func TestEndpointsSlowAndRecover(t *testing.T) {
	for _, policy := range policies {
		p := newPlayed(3, large, policy.new)
		p.run(2, 10*second)
		before := p.run(2, 10*second)
		p.slow = 2.5
		p.run(2, 10*second)
		during := p.run(2, 10*second) * p.slow
		p.slow = 1
		p.run(2, 5*second)
		after := p.run(2, 10*second)
		t.Logf("%s: before %.3f during %.3f after %.3f", policy.name, before, during, after)
		if policy.name == "plain" || policy.name == "engine" {
			assert.Assert(t, during >= 0.9*before, "%s: %.3f after %.3f", policy.name, during, before)
			assert.Assert(t, after >= 0.9*before, "%s: %.3f after %.3f", policy.name, after, before)
		}
	}
}

// Guards against routers whose factors drift apart, though each gets the sums at another time.
func TestRoutersStayClose(t *testing.T) {
	for _, n := range []int{6, 76, 300} {
		for _, policy := range policies[:2] {
			p := newPlayed(4, site{endpoints: 10, slots: 24, routers: n}, policy.new)
			p.run(0.5, 5*second)
			for _, load := range []float64{2, 0.5, 8, 1} {
				p.run(load, 5*second)
				sum, most, rounds := 0.0, 0.0, 0
				for range 25 {
					p.run(load, interval)
					low, high := p.spread()
					sum += high/low - 1
					most = max(most, high/low-1)
					rounds++
				}
				mean := sum / float64(rounds)
				t.Logf("%d routers, %s, load %.1f: mean %.3f, most %.3f", n, policy.name, load, mean, most)
				assert.Assert(t, mean <= 0.04, "%d routers, %s, load %.1f: %.3f", n, policy.name, load, mean)
				assert.Assert(t, most <= 0.15, "%d routers, %s, load %.1f: %.3f", n, policy.name, load, most)
			}
		}
	}
}

// Guards against a router that starts, or is back after it was cut off, and keeps a factor of its own.
func TestRouterThatStartsOrWasCutOffConverges(t *testing.T) {
	for _, policy := range policies {
		p := newPlayed(5, large, policy.new)
		p.run(2, 20*second)
		started, cut, other := p.routers[10], p.routers[50], p.routers[30]
		started.limiter, started.seen = policy.new(), latencylimit.Sample{}
		cut.cut = true
		p.run(2, 5*second)
		apart := math.Abs(started.limiter.Factor(p.now)/other.limiter.Factor(p.now) - 1)
		careful := cut.limiter.Factor(p.now)
		cut.cut = false
		p.run(2, 5*second)
		apartAfterCut := math.Abs(cut.limiter.Factor(p.now)/other.limiter.Factor(p.now) - 1)
		t.Logf("%s: %.3f apart after the start, %.3f when cut off, %.3f apart after it", policy.name, apart, careful, apartAfterCut)
		if policy.name == "plain" || policy.name == "engine" {
			assert.Assert(t, apart <= 0.05, "%s: %.3f", policy.name, apart)
			assert.Assert(t, careful <= policy.new().Factor(p.now), "%s: %.3f", policy.name, careful)
			assert.Assert(t, apartAfterCut <= 0.05, "%s: %.3f", policy.name, apartAfterCut)
		}
	}
}

// Guards against a service at half of its capacity of which the limit refuses anything.
func TestHalfLoadIsNotRefused(t *testing.T) {
	for _, slow := range []float64{1, 2.5} {
		for _, policy := range policies[:2] {
			p := newPlayed(6, large, policy.new)
			p.slow = slow
			p.run(0.5/slow, 5*second)
			p.rejected, p.admitted = 0, 0
			for range 75 {
				p.run(0.5/slow, interval)
				low, _ := p.spread()
				used := (p.sample.Running + p.sample.Waiting) / p.sample.Slots
				assert.Assert(t, low > used, "%s, slowdown %.1f: %.3f for %.3f", policy.name, slow, low, used)
			}
			// A few are refused because routers expect fewer arrivals than there are.
			assert.Assert(t, p.rejected*1000 <= p.admitted, "%s, slowdown %.1f: %d", policy.name, slow, p.rejected)
		}
	}
}
