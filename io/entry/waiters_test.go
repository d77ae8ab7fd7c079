package entry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/waitqueue"
)

// newWaiters returns waiters of the service "plain", at which places have just become free.
func newWaiters(maxWaiting, places int) *waiters {
	ws := &waiters{}
	ws.setLimits(waitqueue.Limits{MaxWait: 250 * time.Millisecond, MaxWaiting: maxWaiting})
	ws.onCapacity("plain", places)
	return ws
}

func (w *waiter) received() wakeup {
	select {
	case k := <-w.wake:
		return k
	default:
		return wakeup{}
	}
}

// Guards against a place that is lost because the first request in order cannot use it, that is offered to two requests at once or
// to one twice, and against a request that loses its position by declining one.
func TestPlaceIsOfferedToOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := newWaiters(10, 100)
		var all []*waiter
		for range maxOffers + 1 {
			w := ws.join("plain", waitqueue.Entry{})
			assert.Assert(t, w != nil)
			all = append(all, w)
		}
		ws.onCapacity("plain", 1)
		for i := range maxOffers {
			p := all[i].received().place
			assert.Assert(t, p != nil, "request %d was not offered the place", i)
			for j, w := range all {
				assert.Assert(t, w.received().place == nil, "request %d was offered it too", j)
			}
			all[i].decline(p)
		}
		assert.Assert(t, all[maxOffers].received().place == nil)
		ws.onCapacity("plain", 1)
		p := all[0].received().place
		assert.Assert(t, p != nil, "the first request has lost its position")
		all[0].use(p)
		assert.Assert(t, all[1].received().place == nil, "one place was offered twice")

		// A place that was offered to a request which has left goes to the next one.
		ws.onCapacity("plain", 1)
		all[1].leave(nil)
		assert.Assert(t, all[2].received().place != nil)
		ws.close()
	})
}

// Guards against a request that stays when it has declined a place while the router stops, or while its time has passed.
func TestDecliningRequestIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := newWaiters(10, 100)
		first, second := ws.join("plain", waitqueue.Entry{}), ws.join("plain", waitqueue.Entry{})
		ws.onCapacity("plain", 1)
		ws.onCapacity("plain", 1)
		ws.close()
		first.decline(first.received().place)
		assert.Equal(t, first.received().result, waitStopped)
		second.leave(second.received().place)
		assert.Equal(t, ws.total, 0)
		assert.Assert(t, ws.join("plain", waitqueue.Entry{}) == nil)

		ws = newWaiters(10, 100)
		first = ws.join("plain", waitqueue.Entry{})
		ws.onCapacity("plain", 1)
		time.Sleep(time.Second)
		first.decline(first.received().place)
		assert.Equal(t, first.received().result, waitExpired)
	})
}

// Guards against a request whose wait no timer ends, because it was offered a place while the timer was set for a later one.
func TestDecliningRequestIsEndedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := newWaiters(10, 1000)
		began := time.Now()
		first := ws.join("plain", waitqueue.Entry{StartBy: began.Add(60 * time.Millisecond)})
		offered := ws.join("plain", waitqueue.Entry{Rank: -1, StartBy: began.Add(100 * time.Millisecond)})
		later := ws.join("plain", waitqueue.Entry{})
		ws.onCapacity("plain", 1)
		// The first leaves with the timer, which is then set for the last.
		time.Sleep(80 * time.Millisecond)
		assert.Equal(t, first.received().result, waitExpired)
		offered.decline(offered.received().place)
		p := later.received().place
		assert.Assert(t, p != nil)
		later.decline(p)
		assert.Equal(t, (<-offered.wake).result, waitExpired)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		assert.Equal(t, (<-later.wake).result, waitExpired)
		assert.Equal(t, time.Since(began), 250*time.Millisecond)
	})
}

// Guards against a limit that each service has for itself.
func TestLimitCountsAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := newWaiters(3, 100)
		ws.onCapacity("models", 100)
		assert.Assert(t, ws.join("plain", waitqueue.Entry{Rank: 1}) != nil)
		last := ws.join("plain", waitqueue.Entry{Rank: 2})
		assert.Assert(t, last != nil)
		assert.Assert(t, ws.join("models", waitqueue.Entry{Rank: 1}) != nil)
		assert.Assert(t, ws.join("models", waitqueue.Entry{Rank: 1}) == nil)
		assert.Assert(t, ws.join("plain", waitqueue.Entry{Rank: 1}) != nil)
		assert.Equal(t, last.received().result, waitDisplaced)
		assert.Equal(t, ws.total, 3)
		ws.close()
	})
}

// Guards against requests that are never woken, woken after they have left, or left in memory, whatever happens at the same time.
func TestNothingIsLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ws := newWaiters(50, 1000)
		var running sync.WaitGroup
		results := make(chan waitResult, 4000)
		for i := range 2000 {
			running.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), 1))
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				w := ws.join("plain", waitqueue.Entry{Rank: random.IntN(3), StartBy: time.Now().Add(time.Duration(random.IntN(400)) * time.Millisecond)})
				if w == nil {
					results <- waitNotJoined
					return
				}
				leave := time.After(time.Duration(random.IntN(500)) * time.Millisecond)
				for {
					select {
					case k := <-w.wake:
						switch {
						case k.place == nil:
							w.leave(nil)
							results <- k.result
							return
						case random.IntN(3) == 0:
							w.use(k.place)
							results <- waitPlaced
							return
						case random.IntN(20) == 0:
							w.leave(k.place)
							results <- waitNoEndpoint
							return
						}
						w.decline(k.place)
					case <-leave:
						w.leave(nil)
						results <- waitClientGone
						return
					}
				}
			})
			running.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				ws.onCapacity("plain", i%3)
				n, _ := ws.count("plain", time.Now())
				if n > 50 {
					t.Errorf("%d wait", n)
				}
			})
		}
		running.Wait()
		close(results)
		counts := map[waitResult]int{}
		for r := range results {
			counts[r]++
		}
		for _, r := range []waitResult{waitPlaced, waitNotJoined, waitExpired, waitClientGone, waitNoEndpoint} {
			assert.Assert(t, counts[r] > 0, "%v", counts)
		}
		s := ws.services["plain"]
		assert.Equal(t, s.queue.Len(), 0)
		assert.Equal(t, len(s.byID), 0)
		assert.Equal(t, ws.total, 0)
		assert.Assert(t, s.timerAt.IsZero(), "the timer of an idle queue runs")
	})
}

// BenchmarkJoinAndUse adds a request to 256 that wait, and gives a place to the first.
func BenchmarkJoinAndUse(b *testing.B) {
	ws := &waiters{}
	ws.setLimits(waitqueue.Limits{MaxWait: time.Hour, MaxWaiting: 512})
	ws.onCapacity("plain", 1000)
	first := make(chan *waiter, 512)
	join := func() { first <- ws.join("plain", waitqueue.Entry{}) }
	for range 256 {
		join()
	}
	for b.Loop() {
		join()
		ws.onCapacity("plain", 1)
		w := <-first
		w.use((<-w.wake).place)
	}
	ws.close()
}
