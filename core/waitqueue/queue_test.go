package waitqueue_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/waitqueue"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

const ms = time.Millisecond

var limits = waitqueue.Limits{MaxWait: 250 * ms, MaxWaiting: 256}

// newQueue returns a queue of a service at which places become free at the rate.
func newQueue(l waitqueue.Limits, perSecond int) *waitqueue.Queue {
	q := &waitqueue.Queue{}
	q.SetLimits(l)
	for t := -3 * time.Second; t < 0; t += time.Second / time.Duration(perSecond) {
		q.RecordFree(1, start.Add(t))
	}
	return q
}

func ids(list []waitqueue.Entry) (all []uint64) {
	for _, e := range list {
		all = append(all, e.ID)
	}
	return all
}

func popAll(q *waitqueue.Queue, now time.Time) (all []uint64) {
	for {
		e, ok := q.Pop(now)
		if !ok {
			return all
		}
		all = append(all, e.ID)
	}
}

// Guards against requests that wait without any limits set.
func TestZeroValueAdmitsNone(t *testing.T) {
	var q waitqueue.Queue
	q.RecordFree(1000, start)
	assert.Assert(t, !q.Push(waitqueue.Entry{ID: 1}, start))
	_, ok := q.Pop(start)
	assert.Assert(t, !ok)
	assert.Equal(t, len(q.Expire(start)), 0)
}

// Guards against an order in which a less urgent request, one of an account beyond its share, a new client, or one with more time
// goes first. Requests that are equal in all must keep the order of their arrival.
func TestOrder(t *testing.T) {
	q := newQueue(limits, 1000)
	inOrder := []waitqueue.Entry{
		{ID: 10, Rank: 0, Deficit: 0, StartBy: start.Add(200 * ms)},
		{ID: 7, Rank: 1, Deficit: 0.5},
		{ID: 9, Rank: 1, Deficit: 0.2, Retrying: true},
		{ID: 2, Rank: 1, Deficit: 0.2, StartBy: start.Add(100 * ms)},
		{ID: 8, Rank: 1, Deficit: 0.2, StartBy: start.Add(150 * ms)},
		{ID: 1, Rank: 1, Deficit: 0.2},
		{ID: 3, Rank: 1, Deficit: 0.2},
		{ID: 4, Rank: 2, Deficit: 1, Retrying: true, StartBy: start.Add(50 * ms)},
	}
	for _, i := range []int{7, 5, 0, 3, 1, 4, 2, 6} {
		assert.Assert(t, q.Push(inOrder[i], start))
	}
	assert.DeepEqual(t, popAll(q, start), ids(inOrder))
}

// Guards against requests that wait for a place that does not come: with no, or too few, places lately the request must be refused
// at once.
func TestJoinsOnlyIfPlacesBecomeFree(t *testing.T) {
	idle := &waitqueue.Queue{}
	idle.SetLimits(limits)
	assert.Assert(t, !idle.Push(waitqueue.Entry{ID: 1}, start))

	q := newQueue(limits, 20)
	joined := uint64(0)
	for q.Push(waitqueue.Entry{ID: joined}, start) {
		joined++
	}
	assert.Assert(t, joined >= 4 && joined <= 6, "%d joined a queue with about 5 places within the longest wait", joined)
	assert.Assert(t, q.Push(waitqueue.Entry{ID: 100, Rank: -1}, start), "a more urgent request is ordered before those")
	assert.Assert(t, !q.Push(waitqueue.Entry{ID: 101, Rank: -1, StartBy: start.Add(10 * ms)}, start), "its place comes after it must start")
	assert.Assert(t, !q.Push(waitqueue.Entry{ID: 102, Rank: -2}, start.Add(10*time.Second)), "the service has stalled since")
}

// Guards against a request that is served or still held after it can no longer be in time.
func TestNothingStaysTooLong(t *testing.T) {
	q := newQueue(limits, 1000)
	for id, d := range []time.Duration{50 * ms, 100 * ms, time.Second} {
		assert.Assert(t, q.Push(waitqueue.Entry{ID: uint64(id), StartBy: start.Add(d)}, start))
	}
	at, ok := q.NextExpiry()
	assert.Assert(t, ok && at.Equal(start.Add(50*ms)))
	assert.DeepEqual(t, ids(q.Expire(start.Add(49*ms))), []uint64(nil))
	assert.DeepEqual(t, ids(q.Expire(start.Add(50*ms))), []uint64{0})
	e, ok := q.Pop(start.Add(100 * ms))
	assert.Assert(t, ok && e.ID == 2)
	assert.DeepEqual(t, ids(q.Expire(start.Add(100*ms))), []uint64{1})
	q.Return(e)
	assert.DeepEqual(t, ids(q.Expire(start.Add(250*ms))), []uint64{2})
	_, ok = q.NextExpiry()
	assert.Assert(t, !ok && q.Len() == 0)
}

// Guards against a kind of request that is taken for as slow as another one of its service, against a mean that a single answer
// decides, and against memory that grows with the names of kinds.
func TestUsualStartByKind(t *testing.T) {
	var q waitqueue.Queue
	assert.Equal(t, q.UsualStart("draft"), time.Duration(0))
	for range 200 {
		q.RecordStart("draft", 400*ms)
		q.RecordStart("question", 100*ms)
	}
	q.RecordStart("draft", 2*time.Second)
	assert.Assert(t, q.UsualStart("draft") >= 400*ms && q.UsualStart("draft") <= 500*ms, "%v", q.UsualStart("draft"))
	assert.Equal(t, q.UsualStart("question"), 100*ms)
	for i := range 10000 {
		q.RecordStart(fmt.Sprint(i), ms)
	}
	known := 0
	for i := range 10000 {
		if q.UsualStart(fmt.Sprint(i)) > 0 {
			known++
		}
	}
	assert.Assert(t, known <= 256 && q.UsualStart("9999") == ms, "%d kinds", known)
}

// Guards against a full queue that keeps out an urgent request, or that grows beyond its bound.
func TestUrgentRequestDisplacesTheLast(t *testing.T) {
	q := newQueue(waitqueue.Limits{MaxWait: 250 * ms, MaxWaiting: 2}, 1000)
	assert.Assert(t, q.Push(waitqueue.Entry{ID: 1, Rank: 3}, start))
	assert.Assert(t, q.Push(waitqueue.Entry{ID: 2, Rank: 4}, start))
	assert.Assert(t, !q.Push(waitqueue.Entry{ID: 3, Rank: 4}, start))
	assert.Assert(t, q.Push(waitqueue.Entry{ID: 4, Rank: 0}, start))
	assert.DeepEqual(t, ids(q.Expire(start)), []uint64{2})
	assert.DeepEqual(t, popAll(q, start), []uint64{4, 1})
}

// Guards against requests that are held although more urgent ones, which came later, will take all places until then.
func TestRequestsThatCannotExpectAPlaceAnyMoreAreDropped(t *testing.T) {
	q := newQueue(limits, 20)
	assert.Assert(t, q.Push(waitqueue.Entry{ID: 1, Rank: 9}, start))
	for id := uint64(2); id < 20; id++ {
		q.Push(waitqueue.Entry{ID: id, Rank: 0}, start.Add(200*ms))
	}
	dropped := q.Expire(start.Add(200 * ms))
	assert.DeepEqual(t, ids(dropped), []uint64{1})
	assert.Assert(t, q.Until(dropped[0]).After(start.Add(200*ms)))
}

// Guards against limits that apply only to requests that come after the change.
func TestLimitsApplyToThoseThatWait(t *testing.T) {
	q := newQueue(limits, 1000)
	for id := range uint64(5) {
		assert.Assert(t, q.Push(waitqueue.Entry{ID: id}, start.Add(time.Duration(id)*ms)))
	}
	q.SetLimits(waitqueue.Limits{MaxWait: 10 * ms, MaxWaiting: 2})
	assert.DeepEqual(t, ids(q.Expire(start.Add(11*ms))), []uint64{0, 1, 4})
	q.SetLimits(waitqueue.Limits{MaxWaiting: 2})
	assert.DeepEqual(t, ids(q.Expire(start.Add(11*ms))), []uint64{2, 3})
}

// Guards against a request that is put back behind others that came after it.
func TestReturnedRequestKeepsItsPosition(t *testing.T) {
	q := newQueue(limits, 1000)
	for id := range uint64(3) {
		q.Push(waitqueue.Entry{ID: id}, start)
	}
	e, _ := q.Pop(start)
	q.Push(waitqueue.Entry{ID: 3}, start)
	q.Return(e)
	assert.DeepEqual(t, popAll(q, start), []uint64{0, 1, 2, 3})
}

// mustPrecede reports whether the first entry must be served before the second one. IDs are in the order of arrival.
func mustPrecede(a, b waitqueue.Entry) bool {
	switch {
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.Deficit != b.Deficit:
		return a.Deficit > b.Deficit
	case a.Retrying != b.Retrying:
		return a.Retrying
	case a.StartBy.Equal(b.StartBy):
		return a.ID < b.ID
	case a.StartBy.IsZero() || b.StartBy.IsZero():
		return b.StartBy.IsZero()
	}
	return a.StartBy.Before(b.StartBy)
}

// Guards against an entry that is lost, returned twice, held or served too late, out of order, or beyond the bound, for any
// sequence of calls.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := waitqueue.Limits{MaxWait: time.Duration(rapid.IntRange(1, 300).Draw(t, "maxWait")) * ms, MaxWaiting: rapid.IntRange(1, 20).Draw(t, "maxWaiting")}
		q := newQueue(l, rapid.IntRange(1, 500).Draw(t, "rate"))
		now, waiting := start, map[uint64]waitqueue.Entry{}
		expire := func() {
			for _, e := range q.Expire(now) {
				_, ok := waiting[e.ID]
				assert.Assert(t, ok, "%d was returned twice", e.ID)
				delete(waiting, e.ID)
			}
		}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				e := waitqueue.Entry{ID: id, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Deficit: float64(rapid.IntRange(0, 2).Draw(t, "deficit")) / 2, Retrying: rapid.Bool().Draw(t, "retrying")}
				if rapid.Bool().Draw(t, "limited") {
					e.StartBy = now.Add(time.Duration(rapid.IntRange(-10, 400).Draw(t, "startBy")) * ms)
				}
				if q.Push(e, now) {
					waiting[id] = e
				}
			case 2:
				q.RecordFree(1, now)
				e, ok := q.Pop(now)
				expire()
				if !ok {
					assert.Equal(t, len(waiting), 0)
					break
				}
				assert.Assert(t, q.Until(e).After(now), "%d was offered a place too late", e.ID)
				for _, other := range waiting {
					assert.Assert(t, e.ID == other.ID || !mustPrecede(other, e), "%v went before %v", e, other)
				}
				if rapid.Bool().Draw(t, "declined") {
					q.Return(e)
				} else {
					delete(waiting, e.ID)
				}
			case 3:
				if len(waiting) > 0 {
					removed := slices.Sorted(maps.Keys(waiting))[rapid.IntRange(0, len(waiting)-1).Draw(t, "removed")]
					assert.Assert(t, q.Remove(removed))
					assert.Assert(t, !q.Remove(removed))
					delete(waiting, removed)
				}
			}
			expire()
			assert.Equal(t, q.Len(), len(waiting))
			assert.Assert(t, q.Len() <= l.MaxWaiting)
			if at, ok := q.NextExpiry(); ok {
				assert.Assert(t, at.After(now))
			}
		}
		assert.Equal(t, len(q.Clear()), len(waiting))
		assert.Equal(t, q.Len(), 0)
	})
}

func entry(id uint64, random *rand.Rand) waitqueue.Entry {
	return waitqueue.Entry{
		ID: id, Rank: random.IntN(4), Deficit: random.Float64(), Retrying: random.IntN(3) == 0,
		StartBy: start.Add(200*ms + time.Duration(random.IntN(40))*ms),
	}
}

// BenchmarkPushPop adds a request to 256 that wait, and takes the first.
func BenchmarkPushPop(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	q := newQueue(waitqueue.Limits{MaxWait: 250 * ms, MaxWaiting: 512}, 10000)
	for id := range uint64(256) {
		q.Push(entry(id, random), start)
	}
	next := uint64(256)
	for b.Loop() {
		next++
		if !q.Push(entry(next, random), start) {
			b.Fatal("not joined")
		}
		if _, ok := q.Pop(start); !ok {
			b.Fatal("empty")
		}
	}
}

// BenchmarkExpire looks through 256 requests that wait, of which none has to go.
func BenchmarkExpire(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	q := newQueue(waitqueue.Limits{MaxWait: 250 * ms, MaxWaiting: 512}, 10000)
	for id := range uint64(256) {
		q.Push(entry(id, random), start)
	}
	for b.Loop() {
		if len(q.Expire(start)) > 0 {
			b.Fatal("expired")
		}
	}
}
