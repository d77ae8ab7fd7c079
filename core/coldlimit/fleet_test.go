package coldlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
)

// bound is how many requests a cold endpoint can take in any second: perSecond, half as many more, and 5.
const (
	perSecond = 16.0
	bound     = 29
)

var coldBound = coldlimit.Bound{RateFactor: 1.5, Slack: 5}

func hashes(n int) (routers []uint64) {
	for i := range n {
		routers = append(routers, xxhash.Sum64String(fmt.Sprint("vm", i)))
	}
	return routers
}

// Guards against a fleet that divides more than an endpoint can take, or leaves much of it unused.
func TestSharesAddUp(t *testing.T) {
	limit := coldBound.Limit(perSecond)
	assert.Equal(t, limit, 26)
	for _, n := range []int{1, 2, 6, 9, 26, 27, 82, 300} {
		routers := hashes(n)
		for e := range uint64(50) {
			sum := 0
			for _, r := range routers {
				sum += coldlimit.New(r, routers).Share(e*7919, limit)
			}
			assert.Equal(t, sum, limit, "%d routers", n)
		}
	}
	assert.Equal(t, coldlimit.Fleet{}.Share(1, limit), 0)
	assert.Equal(t, coldlimit.New(1, []uint64{1}).Share(1, 0), 0)
}

// Guards against a lost router that changes what all others may send.
func TestLostRouterChangesOneShare(t *testing.T) {
	routers := hashes(82)
	limit := coldBound.Limit(perSecond)
	for e := range uint64(50) {
		changed := 0
		for _, r := range routers[1:] {
			if coldlimit.New(r, routers).Share(e, limit) != coldlimit.New(r, routers[1:]).Share(e, limit) {
				changed++
			}
		}
		assert.Assert(t, changed <= 1, "%d", changed)
	}
}

// simulation is a fleet of routers that all want to send to one cold endpoint.
type simulation struct {
	random *rand.Rand
	policy policy
	// knownRouters are the routers that each router knows of.
	knownRouters map[uint64][]uint64
	sent         map[uint64][]time.Duration
	all          []time.Duration
	// wanted are the routers that had a request for the endpoint, by round; grants is what is left of the grants of
	// the current round.
	wanted map[int][]uint64
	grants map[uint64]int
	round  int
}

// policy decides whether a router may send now, given what it has sent.
type policy func(w *simulation, router uint64, sent []time.Duration, now time.Duration) bool

const endpoint = 12345

// window is the time in which a router counts its requests: one second, plus how much longer one request may be under
// way than the one before it.
const window = 1050 * time.Millisecond

func recentlySent(sent []time.Duration, now time.Duration) (n int) {
	for _, at := range sent {
		if now-at < window {
			n++
		}
	}
	return n
}

// rendezvousShares is the policy of the package.
func rendezvousShares(s *simulation, router uint64, sent []time.Duration, now time.Duration) bool {
	return recentlySent(sent, now) < coldlimit.New(router, s.knownRouters[router]).Share(endpoint, coldBound.Limit(perSecond))
}

// evenSpacing gives each router the same share, as the time between its requests.
func evenSpacing(s *simulation, router uint64, sent []time.Duration, now time.Duration) bool {
	if len(sent) == 0 {
		return true
	}
	apart := time.Duration(float64(len(s.knownRouters[router])) / float64(coldBound.Limit(perSecond)) * float64(time.Second))
	return now-sent[len(sent)-1] >= apart
}

// fourRouters makes four routers responsible, the first ones by rendezvous hashing.
func fourRouters(s *simulation, router uint64, sent []time.Duration, now time.Duration) bool {
	const responsible = 4
	known := s.knownRouters[router]
	if coldlimit.New(router, known).Share(endpoint, min(responsible, len(known))) == 0 {
		return false
	}
	return recentlySent(sent, now) < coldBound.Limit(perSecond)/responsible
}

// round is the interval at which routers get a response from their hub.
const round = 300 * time.Millisecond

// hubGrants has a hub hand out grants for each round, by what routers wanted in the last round but one: its reports
// are that late.
func hubGrants(s *simulation, router uint64, _ []time.Duration, now time.Duration) bool {
	perRound := int(float64(coldBound.Limit(perSecond)) * float64(round) / float64(window))
	n := int(now / round)
	if s.grants == nil || s.round != n {
		s.grants, s.round = map[uint64]int{}, n
		for wanted := s.wanted[n-2]; len(wanted) > 0 && perRound > 0; perRound-- {
			s.grants[wanted[s.random.IntN(len(wanted))]]++
		}
	}
	s.wanted[n] = append(s.wanted[n], router)
	if s.grants[router] == 0 {
		return false
	}
	s.grants[router]--
	return true
}

// run sends what the routers want for some seconds, the first of them with a given part of all demand. It returns the
// highest number of requests that the endpoint got in any second, and the mean share of its bound that was used.
func (s *simulation) run(routers []uint64, wanted, first float64, seconds int) (most int, used float64) {
	s.sent = map[uint64][]time.Duration{}
	total := wanted * float64(len(routers))
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; {
		now += time.Duration(s.random.ExpFloat64() / total * float64(time.Second))
		router := routers[0]
		if s.random.Float64() >= first {
			router = routers[s.random.IntN(len(routers))]
		}
		if s.policy(s, router, s.sent[router], now) {
			s.sent[router] = append(s.sent[router], now)
			s.all = append(s.all, now)
		}
	}
	slices.Sort(s.all)
	for i, at := range s.all {
		j := i
		for j < len(s.all) && s.all[j]-at < time.Second {
			j++
		}
		most = max(most, j-i)
	}
	return most, float64(len(s.all)) / float64(seconds) / bound
}

func newSimulation(seed uint64, policy policy, routers []uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, seed)), policy: policy, knownRouters: map[uint64][]uint64{}, wanted: map[int][]uint64{}}
	for _, r := range routers {
		s.knownRouters[r] = routers
	}
	return s
}

// Guards against a cold endpoint that fails under the demand of 6, 82 or 300 routers, or that idles meanwhile.
func TestColdEndpointIsUsedAndNotOverrun(t *testing.T) {
	for _, n := range []int{6, 82, 300} {
		for name, policy := range map[string]policy{"shares": rendezvousShares, "even": evenSpacing, "few": fourRouters, "granted": hubGrants} {
			routers := hashes(n)
			most, low := 0, 1.0
			for seed := range uint64(10) {
				m, used := newSimulation(seed, policy, routers).run(routers, 20, 0, 10)
				most, low = max(most, m), min(low, used)
			}
			t.Logf("%d routers, %s: %d in the worst second, %.2f of the bound used", n, name, most, low)
			if name == "shares" {
				assert.Assert(t, most <= bound)
				assert.Assert(t, low > 0.8, "%.2f", low)
			}
		}
	}
}

// Guards against a cold endpoint that fails because one router in eight is new and not known to all, or because most
// routers have stopped and the rest do not know of it.
func TestColdEndpointWhileRoutersComeAndGo(t *testing.T) {
	for seed := range uint64(20) {
		routers := hashes(92)
		known := routers[:82]
		w := newSimulation(seed, rendezvousShares, routers)
		for _, r := range known {
			w.knownRouters[r] = known
		}
		most, _ := w.run(routers, 3, 0, 10)
		assert.Assert(t, most <= bound, "%d while some come", most)
		w = newSimulation(seed, rendezvousShares, known)
		most, _ = w.run(known[:30], 3, 0, 10)
		assert.Assert(t, most <= bound, "%d after most have gone", most)
	}
}
