package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/core/routetable"
)

// surge is a routerFleet before servers that run as many requests as they have slots, queue some more and refuse the
// rest.
type surge struct {
	*routerFleet
	random  *rand.Rand
	service string
	servers []*server
	listed  []directory.Entry
	byID    map[string]*server
	n       uint64
	// arrivals counts the requests that reached a server in each second, beyondBound those of them that met one beyond
	// the users' bound.
	arrivals, beyondBound []int
	asked, admitted       [3]int
	// hotDocuments is the number of documents that the prompts of the large account begin with, 0 for the documents of
	// all others.
	hotDocuments uint64
	// crowded is the router that gets crowdShare of all requests.
	crowded    int
	crowdShare float64
}

func newSurge(t *testing.T, seed uint64, routers int, service string, servers, slots int) *surge {
	s := &surge{
		routerFleet: &routerFleet{t: t, now: start}, random: rand.New(rand.NewPCG(seed, seed)), service: service,
		byID: map[string]*server{},
	}
	var entries []directory.Entry
	for i := range servers {
		v := &server{id: fmt.Sprint(service, i), slots: slots, queue: 3 * slots}
		s.servers = append(s.servers, v)
		s.byID[v.id] = v
		entries = append(entries, directory.Entry{
			ID: v.id, Address: fmt.Sprintf("10.0.0.%d:1", i), Service: service, Slots: slots, FailureDomain: "a",
		})
	}
	s.listed = entries
	table := routetable.New(routetable.Config{Services: []routetable.Service{
		{Name: models, Engine: true, Slots: slots, CacheTokens: 300000}, {Name: plain},
	}})
	var names []uint64
	for i := range routers {
		names = append(names, members.Hash(fmt.Sprint("router", i)))
	}
	for i := range routers {
		d := dispatch.New("a")
		d.SetFleet(coldlimit.New(names[i], names))
		d.Seed(seed*1000 + uint64(i))
		d.Configure(table)
		d.Update(entries, start)
		s.routers = append(s.routers, d)
	}
	return s
}

// generate sends requests at a rate for some time. One account in ten sends hot times its share.
func (s *surge) generate(perSecond, hot float64, d time.Duration, request func() (dispatch.Query, time.Duration)) {
	perSecond *= 0.9 + 0.1*hot
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		for _, v := range s.servers {
			v.advance(s.now)
		}
		s.exchangeReports()
		s.retryLost()
		q, work := request()
		q.Service, q.Account = s.service, "hot"
		if u := s.random.Float64() * (0.9 + 0.1*hot); u < 0.9 {
			q.Account = fmt.Sprint(int(u * 10))
		}
		if q.Account == "hot" && s.hotDocuments > 0 {
			q.Prompt = document(1<<20+s.n%s.hotDocuments, s.n)
		}
		s.asked[q.Rank]++
		s.n++
		if s.send(q, work) {
			s.admitted[q.Rank]++
		}
	}
}

// retryLost retries the requests whose answers were lost at other servers.
func (s *surge) retryLost() {
	for _, v := range s.servers {
		for _, j := range v.lost {
			j.q.Tried = []string{v.id}
			s.send(j.q, j.work)
		}
		v.lost = nil
	}
}

// send tries a second endpoint when the first refuses the request.
func (s *surge) send(q dispatch.Query, work time.Duration) bool {
	d := s.routers[s.random.IntN(len(s.routers))]
	if s.crowdShare > 0 && s.random.Float64() < s.crowdShare {
		d = s.routers[s.crowded]
	}
	for range 2 {
		a, _ := d.Choose(q, s.now)
		if a == nil {
			return false
		}
		v := s.byID[a.Endpoint().ID]
		s.countArrival(v)
		if s.now.Before(v.downUntil) {
			a.End(dispatch.Unreachable, s.now)
			q.Tried = append(q.Tried, v.id)
			continue
		}
		if v.accept(job{attempt: a, q: q, work: work}, s.now) {
			return true
		}
		v.answered(a, s.now)
		if v.pause > 0 {
			a.Pause(v.pause, s.now)
		}
		a.End(dispatch.Refused, s.now)
		q.Tried = append(q.Tried, v.id)
	}
	return false
}

// countArrival counts a request that reaches the server, and whether the server holds more than twice the mean and
// three.
func (s *surge) countArrival(v *server) {
	v.countRecent(s.now)
	total := 0
	for _, o := range s.servers {
		total += o.load()
	}
	for len(s.arrivals) <= int(s.now.Sub(start)/time.Second) {
		s.arrivals, s.beyondBound = append(s.arrivals, 0), append(s.beyondBound, 0)
	}
	s.arrivals[len(s.arrivals)-1]++
	if float64(v.load()) > 2*float64(total)/float64(len(s.servers))+3 {
		s.beyondBound[len(s.beyondBound)-1]++
	}
}

// worstShare returns the largest share of requests beyond the bound in any five seconds.
func (s *surge) worstShare() (share float64) {
	for i := range max(len(s.arrivals)-4, 1) {
		arrivals, beyondBound := 0, 0
		for j := i; j < min(i+5, len(s.arrivals)); j++ {
			arrivals += s.arrivals[j]
			beyondBound += s.beyondBound[j]
		}
		share = max(share, float64(beyondBound)/float64(arrivals))
	}
	return share
}

// A plain service answers calls in 15 ms. Calls come six times as often as usual, slightly more than four servers can
// do, one account far more than the others. Eighty routers learn of each other's calls long after these have ended. All
// of them sent to the server that had been least loaded, then found all full, refused half of the calls, the most
// urgent among them, and started again: a third of the calls met a server with more than twice the mean. Calls must be
// spread evenly, and those that the servers cannot do refused by rank.
func TestSurgeOfCallsIsSpread(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const servers, slots = 4, 6
			s := newSurge(t, seed, 81, plain, servers, slots)
			call := func() (dispatch.Query, time.Duration) {
				ms := 15 * math.Exp(0.5*s.random.NormFloat64()-0.125)
				return dispatch.Query{Rank: s.random.IntN(3)}, time.Duration(ms * float64(time.Millisecond))
			}
			s.generate(280, 1, 3*time.Second, call)
			s.generate(980, 8, 5*time.Second, call)
			t.Logf("beyond the bound %v of %v, let in %v of %v", s.beyondBound, s.arrivals, s.admitted, s.asked)
			assert.Assert(t, s.worstShare() <= 0.03, "%.3f", s.worstShare())
			assert.Assert(t, s.admitted[0] > s.asked[0]*95/100, "%v of %v", s.admitted, s.asked)
			assert.Assert(t, s.admitted[0]+s.admitted[1]+s.admitted[2] > (s.asked[0]+s.asked[1]+s.asked[2])*80/100, "%v of %v", s.admitted, s.asked)
		})
	}
}

// stream returns one of three kinds of stream, for one of some hundred documents.
func (s *surge) stream() (q dispatch.Query, work time.Duration) {
	q.Prompt = document(s.random.Uint64N(700), s.n)
	switch u := s.random.Float64(); {
	case u < 0.25:
		return q, 2200 * time.Millisecond
	case u < 0.5:
		q.Rank = 1
		return q, 1600 * time.Millisecond
	}
	q.Rank = 2
	return q, 130 * time.Millisecond
}

// Streams come six times as often as usual, twice what the engines can hold, and the routers see some hundred
// milliseconds late that nearly all slots are taken. Each sent what it still admitted to the few engines that did not
// look full yet. These held up to four times what they have slots for, while slots that became free elsewhere stayed
// empty.
func TestSurgeOfStreamsIsSpread(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const engines, slots = 90, 24
			s := newSurge(t, seed, 81, models, engines, slots)
			s.generate(800, 1, 2*time.Second, s.stream)
			s.generate(2800, 8, 3*time.Second/2, s.stream)
			t.Logf("beyond the bound %v of %v, let in %v of %v", s.beyondBound, s.arrivals, s.admitted, s.asked)
			assert.Assert(t, s.worstShare() <= 0.03, "%.3f", s.worstShare())
		})
	}
}

// Nearly half of the requests of such a surge are from one account, whose prompts begin with eight documents. Each
// router sends them where the document is cached, and learns only some hundred milliseconds later that all others did
// so too: in the first second the engines that cache one of them were sent more than twice the mean.
func TestSurgeOfAFewDocumentsIsSpread(t *testing.T) {
	t.Parallel()
	s := newSurge(t, 0, 81, models, 90, 24)
	s.hotDocuments = 8
	s.generate(800, 1, 2*time.Second, s.stream)
	s.generate(2800, 8, 3*time.Second, s.stream)
	t.Logf("beyond the bound %v of %v, let in %v of %v", s.beyondBound, s.arrivals, s.admitted, s.asked)
	assert.Assert(t, s.worstShare() <= 0.03, "%.3f", s.worstShare())
}

// Calls take 15 ms, and this router has had none for a while. The other routers have so many urgent ones that these
// take half of the slots at any time. The router used to forget the hold time of a call and planned for 600 ms, in
// which forty times as many calls come, so it refused all less urgent calls.
func TestHoldTimeIsKeptWhileIdle(t *testing.T) {
	d, _ := newDispatcher(4)
	a := choose(t, d, dispatch.Query{Service: plain, Rank: 1}, start)
	now := start.Add(15 * time.Millisecond)
	a.End(dispatch.Served, now)
	now = now.Add(500 * time.Millisecond)
	d.SetFleetWorkload(urgentCalls(t, 1600, 24), fleetload.Workload{}, now)
	choose(t, d, dispatch.Query{Service: plain, Rank: 1}, now)
}

// Full servers refuse calls at once. These counted as calls with no hold time at all, so that every router
// assumed free capacity and admitted everything. Three times as many urgent calls come as can be done: less urgent
// ones must still be refused.
func TestRefusalsDoNotCountAsShortCalls(t *testing.T) {
	d, _ := newDispatcher(4)
	now := start
	for range 5 {
		a := choose(t, d, dispatch.Query{Service: plain}, now)
		now = now.Add(15 * time.Millisecond)
		a.End(dispatch.Served, now)
	}
	for range 20 {
		choose(t, d, dispatch.Query{Service: plain}, now).End(dispatch.Refused, now)
	}
	d.SetFleetWorkload(urgentCalls(t, 4800, 40), fleetload.Workload{}, now)
	a, why := d.Choose(dispatch.Query{Service: plain, Rank: 1}, now)
	assert.Assert(t, a == nil)
	assert.Equal(t, why, dispatch.ReasonReserved)
}

// urgentCalls returns the work of other routers: calls at a rate, and some running, spread over four endpoints.
func urgentCalls(t *testing.T, perSecond float64, running int) fleetload.Workload {
	other, _ := newDispatcher(4)
	for range running {
		choose(t, other, dispatch.Query{Service: plain}, start)
	}
	w := other.OwnWorkload(start)
	w.Demands[0].Came = float32(perSecond * 0.5 / math.Ln2)
	return w
}

// Other routers reported untracked calls, which an endpoint works on though no client waits for them. They must count
// until they have ended, some ten milliseconds, and not until the next report, when the endpoint has long been free.
func TestUntrackedCallsOfOthersEnd(t *testing.T) {
	d, _ := newDispatcher(1)
	a := choose(t, d, dispatch.Query{Service: plain}, start)
	now := start.Add(15 * time.Millisecond)
	own := d.OwnWorkload(start)
	a.RecordFirstBytes(dispatch.Load{}, now)
	a.End(dispatch.Served, now)
	total := fleetload.Workload{Loads: []fleetload.Load{{Endpoint: own.Loads[0].Endpoint, Untracked: 12}}}
	d.SetFleetWorkload(total, fleetload.Workload{}, now)
	_, why := d.Choose(dispatch.Query{Service: plain}, now)
	assert.Equal(t, why, dispatch.ReasonAllFull)
	choose(t, d, dispatch.Query{Service: plain}, now.Add(200*time.Millisecond))
}
