package waitqueue_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/waitqueue"
)

// policy decides what becomes of the requests that find no place.
type policy interface {
	// push takes a request that waits. It returns false if it is refused at once.
	push(r *playedRequest, now time.Time) bool
	// pop returns the request that gets the place that has become free, nil for none.
	pop(now time.Time) *playedRequest
	// expire returns the requests that are refused now.
	expire(now time.Time) []*playedRequest
}

type playedRequest struct {
	waitqueue.Entry
	arrived, due time.Time
	retried      bool
}

// refuseAtOnce refuses every request that finds no place.
type refuseAtOnce struct{}

func (refuseAtOnce) push(*playedRequest, time.Time) bool       { return false }
func (refuseAtOnce) pop(time.Time) *playedRequest              { return nil }
func (refuseAtOnce) expire(now time.Time) (l []*playedRequest) { return nil }

// firstComeFirstServed keeps requests in the order of arrival, for at most maxWait if that is not 0.
type firstComeFirstServed struct {
	maxWait time.Duration
	waiting []*playedRequest
	joined  []time.Time
}

func (f *firstComeFirstServed) push(r *playedRequest, now time.Time) bool {
	f.waiting, f.joined = append(f.waiting, r), append(f.joined, now)
	return true
}

func (f *firstComeFirstServed) pop(time.Time) (r *playedRequest) {
	if len(f.waiting) > 0 {
		r, f.waiting, f.joined = f.waiting[0], f.waiting[1:], f.joined[1:]
	}
	return r
}

func (f *firstComeFirstServed) expire(now time.Time) (list []*playedRequest) {
	for f.maxWait > 0 && len(f.waiting) > 0 && now.Sub(f.joined[0]) >= f.maxWait {
		list = append(list, f.pop(now))
	}
	return list
}

// bounded is the Queue.
type bounded struct {
	queue waitqueue.Queue
	byID  map[uint64]*playedRequest
}

func (b *bounded) push(r *playedRequest, now time.Time) bool {
	b.byID[r.ID] = r
	return b.queue.Push(r.Entry, now)
}

func (b *bounded) pop(now time.Time) *playedRequest {
	b.queue.RecordFree(1, now)
	e, _ := b.queue.Pop(now)
	return b.byID[e.ID]
}

func (b *bounded) expire(now time.Time) (list []*playedRequest) {
	for _, e := range b.queue.Expire(now) {
		list = append(list, b.byID[e.ID])
	}
	return list
}

const (
	playedPlaces  = 18
	playedService = 50 * ms
	playedTarget  = 200 * ms
	// playedRetryAfter is when a refused client comes back, once.
	playedRetryAfter = 300 * ms
	playedRanks      = 3
	// playedPatience is how long a client waits in all.
	playedPatience = time.Second
)

// playedResult counts requests by rank.
type playedResult struct {
	arrived, inTime [playedRanks]int
	refusals        int
	// fromSmall and smallInTime count the requests of accounts under their share.
	fromSmall, smallInTime int
	// longestWait is the longest time that a refused request was held.
	longestWait time.Duration
}

func (r playedResult) total() (n int) {
	for _, served := range r.inTime {
		n += served
	}
	return n
}

// played is a service with a few places under a load that exceeds them in short bursts.
type played struct {
	mu     sync.Mutex
	random *rand.Rand
	policy policy
	free   int
	result playedResult
	held   map[*playedRequest]time.Time
}

func (p *played) arrive(r *playedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.free > 0 {
		p.free--
		p.serve(r)
		return
	}
	if !p.policy.push(r, now) {
		p.refuse(r)
		return
	}
	p.held[r] = now
	p.expire(now)
	time.AfterFunc(limits.MaxWait, p.onTimer)
	// The runtime may crash on a timer that is due at once, in a bubble with the race detector.
	if left := r.StartBy.Sub(now); left > 0 {
		time.AfterFunc(left, p.onTimer)
	}
}

func (p *played) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
}

func (p *played) expire(now time.Time) {
	for _, r := range p.policy.expire(now) {
		p.result.longestWait = max(p.result.longestWait, now.Sub(p.held[r]))
		delete(p.held, r)
		p.refuse(r)
	}
}

func (p *played) refuse(r *playedRequest) {
	p.result.refusals++
	if !r.retried {
		again := &playedRequest{Entry: r.Entry, arrived: r.arrived, due: r.due, retried: true}
		again.ID, again.Retrying = r.ID+1<<32, true
		time.AfterFunc(playedRetryAfter, func() { p.arrive(again) })
	}
}

func (p *played) serve(r *playedRequest) {
	delete(p.held, r)
	took := playedService/2 + time.Duration(p.random.Int64N(int64(playedService)))
	time.AfterFunc(took, func() { p.ended(r) })
}

func (p *played) ended(r *playedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !now.After(r.due) {
		p.result.inTime[r.Rank]++
		if r.Deficit > 0 {
			p.result.smallInTime++
		}
	}
	p.expire(now)
	for {
		next := p.policy.pop(now)
		switch {
		case next == nil:
			p.free++
			return
		case now.Sub(next.arrived) > playedPatience:
			// The client has left.
			delete(p.held, next)
			continue
		}
		p.serve(next)
		return
	}
}

// play plays twenty seconds: a steady load of about half of the capacity, and every second a burst of three times the capacity for
// 200 ms. Half of the requests are of an account that is at its share.
func play(t *testing.T, seed uint64, newPolicy func() policy) (result playedResult) {
	synctest.Test(t, func(*testing.T) {
		p := &played{random: rand.New(rand.NewPCG(seed, seed)), policy: newPolicy(), free: playedPlaces, held: map[*playedRequest]time.Time{}}
		arrivals := rand.New(rand.NewPCG(seed, 1))
		capacity := playedPlaces / playedService.Seconds()
		began := time.Now()
		for id := uint64(1); time.Since(began) < 20*time.Second; id++ {
			rate := 0.5 * capacity
			if time.Since(began)%time.Second > 800*ms {
				rate = 3 * capacity
			}
			time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
			now := time.Now()
			r := &playedRequest{Entry: waitqueue.Entry{ID: id, Rank: arrivals.IntN(playedRanks), StartBy: now.Add(playedTarget - playedService)}, arrived: now, due: now.Add(playedTarget)}
			if arrivals.IntN(2) == 0 {
				r.Deficit = 0.5
			}
			p.mu.Lock()
			p.result.arrived[r.Rank]++
			if r.Deficit > 0 {
				p.result.fromSmall++
			}
			p.mu.Unlock()
			p.arrive(r)
		}
		time.Sleep(time.Minute)
		p.mu.Lock()
		defer p.mu.Unlock()
		result = p.result
	})
	return result
}

// Guards against a queue that serves fewer requests within their target than refusing at once, first come first served, or a queue
// without bound, or that does so at the cost of urgent requests and of accounts under their share.
func TestBurstsAreServedInTime(t *testing.T) {
	var own, refusing, fifo, unbounded playedResult
	add := func(sum *playedResult, r playedResult) {
		for i := range r.arrived {
			sum.arrived[i] += r.arrived[i]
			sum.inTime[i] += r.inTime[i]
		}
		sum.refusals += r.refusals
		sum.fromSmall += r.fromSmall
		sum.smallInTime += r.smallInTime
		sum.longestWait = max(sum.longestWait, r.longestWait)
	}
	for seed := range uint64(3) {
		add(&own, play(t, seed, func() policy {
			b := &bounded{byID: map[uint64]*playedRequest{}}
			b.queue.SetLimits(limits)
			return b
		}))
		add(&refusing, play(t, seed, func() policy { return refuseAtOnce{} }))
		add(&fifo, play(t, seed, func() policy { return &firstComeFirstServed{maxWait: limits.MaxWait} }))
		add(&unbounded, play(t, seed, func() policy { return &firstComeFirstServed{} }))
	}
	t.Logf("bounded   %+v, in time %d", own, own.total())
	t.Logf("refusing  %+v, in time %d", refusing, refusing.total())
	t.Logf("fifo      %+v, in time %d", fifo, fifo.total())
	t.Logf("unbounded %+v, in time %d", unbounded, unbounded.total())
	for name, other := range map[string]playedResult{"refusing": refusing, "first come": fifo, "unbounded": unbounded} {
		assert.Assert(t, own.total() > other.total(), name)
		assert.Assert(t, own.inTime[0] > other.inTime[0], name)
		assert.Assert(t, own.smallInTime > other.smallInTime, name)
	}
	assert.Assert(t, own.longestWait <= playedTarget-playedService)
}
