package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/routetable"
)

// surge is a crowd of routers before servers that run what they have slots for, keep some more waiting and turn the rest
// away.
type surge struct {
	*crowd
	random  *rand.Rand
	service string
	servers []*server
	listed  []directory.Entry
	byID    map[string]*server
	n       uint64
	// reached and over count the requests that met a server, and of these the ones beyond the users' bound, by second.
	reached, over []int
	asked, let    [3]int
	// hotDocuments are how many documents the prompts of the large account begin with, 0 for as many as all others'.
	hotDocuments uint64
}

type server struct {
	id           string
	slots, queue int
	running      []job
	waiting      []job
	// reads is until when the server reads prompts, one after the other.
	reads time.Time
	// loses counts the requests of which the server loses the answer to every third.
	loses bool
	ended int
	// lost are the requests whose answers it has lost.
	lost []job
}

// job is one request at a server: when it begins to answer, zero once it has, and when it ends.
type job struct {
	attempt     *dispatch.Attempt
	q           dispatch.Query
	work        time.Duration
	first, ends time.Time
}

func newSurge(t *testing.T, seed uint64, routers int, service string, servers, slots int) *surge {
	s := &surge{
		crowd: &crowd{t: t, now: start}, random: rand.New(rand.NewPCG(seed, seed)), service: service,
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
	table := routetable.New(routetable.Contents{Services: []routetable.Service{
		{Name: models, Engine: true, Slots: slots, CacheTokens: 300000}, {Name: plain},
	}})
	for i := range routers {
		d := dispatch.New("a")
		d.Seed(seed*1000 + uint64(i))
		d.Configure(table)
		d.Update(entries, start)
		s.routers = append(s.routers, d)
	}
	return s
}

// ask sends requests at a rate for some time. One account in ten sends hot times its part.
func (s *surge) ask(perSecond, hot float64, d time.Duration, request func() (dispatch.Query, time.Duration)) {
	perSecond *= 0.9 + 0.1*hot
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		for _, v := range s.servers {
			v.step(s.now)
		}
		s.report()
		s.again()
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
			s.let[q.Rank]++
		}
	}
}

// again tries the requests whose answers were lost once more elsewhere.
func (s *surge) again() {
	for _, v := range s.servers {
		for _, j := range v.lost {
			j.q.Tried = []string{v.id}
			s.send(j.q, j.work)
		}
		v.lost = nil
	}
}

// send tries a second endpoint when the first turns the request away.
func (s *surge) send(q dispatch.Query, work time.Duration) bool {
	d := s.routers[s.random.IntN(len(s.routers))]
	for range 2 {
		a, _ := d.Choose(q, s.now)
		if a == nil {
			return false
		}
		v := s.byID[a.Endpoint().ID]
		s.meet(v)
		if v.take(job{attempt: a, q: q, work: work}, s.now) {
			return true
		}
		a.End(dispatch.Refused, s.now)
		q.Tried = append(q.Tried, v.id)
	}
	return false
}

// meet counts a request that reaches the server, and whether it holds over twice the mean and three.
func (s *surge) meet(v *server) {
	held := 0
	for _, o := range s.servers {
		held += o.holds()
	}
	for len(s.reached) <= int(s.now.Sub(start)/time.Second) {
		s.reached, s.over = append(s.reached, 0), append(s.over, 0)
	}
	s.reached[len(s.reached)-1]++
	if float64(v.holds()) > 2*float64(held)/float64(len(s.servers))+3 {
		s.over[len(s.over)-1]++
	}
}

// worst is the largest part of requests beyond the bound in any five seconds.
func (s *surge) worst() (part float64) {
	for i := range max(len(s.reached)-4, 1) {
		reached, over := 0, 0
		for j := i; j < min(i+5, len(s.reached)); j++ {
			reached += s.reached[j]
			over += s.over[j]
		}
		part = max(part, float64(over)/float64(reached))
	}
	return part
}

func (v *server) holds() int { return len(v.running) + len(v.waiting) }

func (v *server) take(j job, now time.Time) bool {
	switch {
	case len(v.running) < v.slots:
		v.run(j, now)
	case len(v.waiting) < v.queue:
		v.waiting = append(v.waiting, j)
	default:
		return false
	}
	return true
}

// run begins with a request: it reads the prompt when those before it are read, and answers.
func (v *server) run(j job, now time.Time) {
	if v.reads.Before(now) {
		v.reads = now
	}
	v.reads = v.reads.Add(time.Duration(j.attempt.Missing()) * time.Millisecond / 100)
	j.first = v.reads
	j.ends = j.first.Add(j.work)
	v.running = append(v.running, j)
}

// step lets requests answer and end, in the order in which they do.
func (v *server) step(now time.Time) {
	for {
		next := -1
		for i := range v.running {
			j := &v.running[i]
			if !j.first.IsZero() && !j.first.After(now) {
				j.attempt.Answered(dispatch.Load{Running: len(v.running), Waiting: len(v.waiting), Known: true}, j.first)
				j.first = time.Time{}
			}
			if !j.ends.After(now) && (next < 0 || j.ends.Before(v.running[next].ends)) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		j := v.running[next]
		v.running = append(v.running[:next], v.running[next+1:]...)
		how := v.verdict()
		j.attempt.End(how, j.ends)
		if how == dispatch.Broken && len(j.q.Tried) == 0 {
			v.lost = append(v.lost, j)
		}
		if len(v.waiting) > 0 {
			w := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.run(w, j.ends)
		}
	}
}

// verdict is how the next attempt ends.
func (v *server) verdict() dispatch.Verdict {
	v.ended++
	if v.loses && v.ended%3 == 0 {
		return dispatch.Broken
	}
	return dispatch.Served
}

// Callers of a plain service that does their calls in 15 ms come six times as often as usual, a little more than four
// servers can do, one account far more than the others. Eighty routers hear of each other's calls when these have long
// ended. They all sent to the server that had been least loaded, then found all full, turned away half of the calls, the
// most urgent among them, and began anew: a third of the calls met a server with over twice the mean. All must be spread
// evenly meanwhile, and what is more than the servers can do is turned away by rank.
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
			s.ask(280, 1, 3*time.Second, call)
			s.ask(980, 8, 5*time.Second, call)
			t.Logf("beyond the bound %v of %v, let in %v of %v", s.over, s.reached, s.let, s.asked)
			assert.Assert(t, s.worst() <= 0.03, "%.3f", s.worst())
			assert.Assert(t, s.let[0] > s.asked[0]*95/100, "%v of %v", s.let, s.asked)
			assert.Assert(t, s.let[0]+s.let[1]+s.let[2] > (s.asked[0]+s.asked[1]+s.asked[2])*80/100, "%v of %v", s.let, s.asked)
		})
	}
}

// stream is one of three kinds, for one of some hundred documents.
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

// Streams come six times as often as usual, twice what the engines have places for, and thirty routers see some hundred
// milliseconds late that nearly all places are taken. Each sent what it still let in to the engines that did not look
// full yet, all of them to the same few, which held up to four times what they have places for, while the places that
// became free elsewhere stayed empty.
func TestSurgeOfStreamsIsSpread(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const engines, slots = 90, 24
			s := newSurge(t, seed, 81, models, engines, slots)
			s.ask(800, 1, 2*time.Second, s.stream)
			s.ask(2800, 8, 3*time.Second/2, s.stream)
			t.Logf("beyond the bound %v of %v, let in %v of %v", s.over, s.reached, s.let, s.asked)
			assert.Assert(t, s.worst() <= 0.03, "%.3f", s.worst())
		})
	}
}

// Nearly half of the requests of such a surge are of one account, whose streams begin with eight documents. Each router
// sends them where the document is warm and hears only some hundred milliseconds later that all others did so too: in the
// first second the engines that hold one of them are sent more than twice the mean.
func TestSurgeOfAFewDocumentsIsSpread(t *testing.T) {
	t.Parallel()
	s := newSurge(t, 0, 81, models, 90, 24)
	s.hotDocuments = 8
	s.ask(800, 1, 2*time.Second, s.stream)
	s.ask(2800, 8, 3*time.Second, s.stream)
	t.Logf("beyond the bound %v of %v, let in %v of %v", s.over, s.reached, s.let, s.asked)
	assert.Assert(t, s.worst() <= 0.03, "%.3f", s.worst())
}

// A router does a call in 15 ms and has none for a while. Others have so many urgent ones that these take half of the
// places at any time. The router forgot how long a call holds its place, planned for 600 ms, in which forty times as many
// come, and turned away everybody else.
func TestHoldTimeIsNotForgotten(t *testing.T) {
	d, _ := fleet(4)
	a := choose(t, d, dispatch.Query{Service: plain, Rank: 1}, start)
	now := start.Add(15 * time.Millisecond)
	a.End(dispatch.Served, now)
	now = now.Add(500 * time.Millisecond)
	d.Others(urgentCalls(t, 1600, 24), board.Work{}, now)
	choose(t, d, dispatch.Query{Service: plain, Rank: 1}, now)
}

// Servers that are full turn calls away at once. These counted as calls that hold a place for no time at all, so that
// every router took the service for one with room and let everybody in. Three times as many urgent calls come as can be
// done: others must be turned away all the same.
func TestRefusalsDoNotCountAsShortCalls(t *testing.T) {
	d, _ := fleet(4)
	now := start
	for range 5 {
		a := choose(t, d, dispatch.Query{Service: plain}, now)
		now = now.Add(15 * time.Millisecond)
		a.End(dispatch.Served, now)
	}
	for range 20 {
		choose(t, d, dispatch.Query{Service: plain}, now).End(dispatch.Refused, now)
	}
	d.Others(urgentCalls(t, 4800, 40), board.Work{}, now)
	a, why := d.Choose(dispatch.Query{Service: plain, Rank: 1}, now)
	assert.Assert(t, a == nil)
	assert.Equal(t, why, dispatch.ReasonReserved)
}

// urgentCalls are those of other routers: so many a second, and so many running, spread over four endpoints.
func urgentCalls(t *testing.T, perSecond float64, running int) board.Work {
	other, _ := fleet(4)
	for range running {
		choose(t, other, dispatch.Query{Service: plain}, start)
	}
	w := other.Work(start)
	w.Demands[0].Came = float32(perSecond * 0.5 / math.Ln2)
	return w
}

// Other routers told of calls that an endpoint works on though nobody waits for them. They count until they have ended,
// some ten milliseconds, and not until the next word, when the endpoint has long been free.
func TestHiddenCallsOfOthersEnd(t *testing.T) {
	d, _ := fleet(1)
	a := choose(t, d, dispatch.Query{Service: plain}, start)
	now := start.Add(15 * time.Millisecond)
	own := d.Work(start)
	a.Answered(dispatch.Load{}, now)
	a.End(dispatch.Served, now)
	total := board.Work{Loads: []board.Load{{Endpoint: own.Loads[0].Endpoint, Hidden: 12}}}
	d.Others(total, board.Work{}, now)
	_, why := d.Choose(dispatch.Query{Service: plain}, now)
	assert.Equal(t, why, dispatch.ReasonFull)
	choose(t, d, dispatch.Query{Service: plain}, now.Add(200*time.Millisecond))
}
