package bodybudget_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/bodybudget"
)

const (
	mB       = int64(1) << 20
	bodySize = 4 * mB
	rest     = bodySize - bodybudget.FirstBytes
)

func within(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(d, func() { close(done) })
	return done
}

func ignore() {}

// Guards against a process that is ended for its memory when many large bodies come at once, and against refusals where a short wait
// would do.
func TestManyLargeBodiesAtOnceTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bodybudget.Budget
		b.SetSize(85 * mB)
		var mu sync.Mutex
		var served []int
		most := int64(0)
		for i := range 120 {
			time.Sleep(time.Microsecond)
			go func() {
				body := b.Open(bodySize, ignore)
				assert.Check(t, body != nil)
				defer body.Close()
				if !body.Extend(rest, within(time.Second)) {
					return
				}
				time.Sleep(20 * time.Millisecond)
				body.Complete(bodySize)
				time.Sleep(20 * time.Millisecond)
				held, _, _, _ := b.Usage()
				mu.Lock()
				defer mu.Unlock()
				most, served = max(most, held), append(served, i)
			}()
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(served), 120)
		assert.Assert(t, slices.IsSorted(served), "in order of arrival")
		assert.Assert(t, most <= 85*mB, "%d", most)
		held, _, waiting, denied := b.Usage()
		assert.Assert(t, held == 0 && waiting == 0 && denied == 0)
	})
}

// Guards against small requests that are refused, or that wait, because of large ones.
func TestSmallBodiesDoNotWaitBehindLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bodybudget.Budget
		b.SetSize(48 * mB)
		for range 40 {
			go func() {
				body := b.Open(bodySize, ignore)
				defer body.Close()
				if body.Extend(rest, within(5*time.Second)) {
					time.Sleep(10 * time.Second)
				}
			}()
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		for range 200 {
			small := b.Open(bodybudget.FirstBytes, ignore)
			assert.Assert(t, small != nil)
			small.Complete(bodybudget.FirstBytes)
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(time.Minute)
	})
}

// Guards against a budget that small bodies exceed.
func TestSmallBodiesKeepToTheBudget(t *testing.T) {
	var b bodybudget.Budget
	b.SetSize(mB)
	var bodies []*bodybudget.Body
	for body := b.Open(20<<10, ignore); body != nil; body = b.Open(20<<10, ignore) {
		bodies = append(bodies, body)
	}
	assert.Equal(t, len(bodies), 51)
	bodies[0].Close()
	assert.Assert(t, b.Open(20<<10, ignore) != nil)
}

// Guards against a request that waits for memory beyond its time, and keeps its place in the queue after that.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bodybudget.Budget
		b.SetSize(6 * mB)
		holder, late, next := b.Open(bodySize, ignore), b.Open(bodySize, ignore), b.Open(bodySize, ignore)
		assert.Assert(t, holder.Extend(rest, nil))
		holder.Complete(bodySize)
		began := time.Now()
		assert.Assert(t, !late.Extend(rest, within(300*time.Millisecond)))
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
		late.Close()
		_, _, waiting, denied := b.Usage()
		assert.Assert(t, waiting == 0 && denied == 1)
		time.AfterFunc(100*time.Millisecond, holder.Close)
		assert.Assert(t, next.Extend(rest, within(300*time.Millisecond)))
		next.Close()
		held, _, _, _ := b.Usage()
		assert.Equal(t, held, int64(0))
	})
}

// Guards against clients that send slowly and keep large bodies of all others out until their own deadlines.
func TestSlowSendersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bodybudget.Budget
		b.SetSize(18 * mB)
		interrupted := make([]bool, 3)
		var slow []*bodybudget.Body
		for i := range interrupted {
			var body *bodybudget.Body
			body = b.Open(bodySize, func() {
				interrupted[i] = true
				go body.Close()
			})
			assert.Assert(t, body.Extend(rest, within(time.Second)))
			slow = append(slow, body)
		}
		// One of them is complete, and must not be interrupted any more.
		slow[0].Complete(bodySize)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, interrupted, []bool{false, false, false})
		began := time.Now()
		fast := b.Open(bodySize, ignore)
		assert.Assert(t, fast.Extend(rest, within(500*time.Millisecond)))
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond)
		assert.DeepEqual(t, interrupted, []bool{false, true, false})
		assert.Assert(t, slow[1].Evicted() && !slow[2].Evicted())
	})
}

// Guards against a body larger than the share of all that waits for ever.
func TestBodyBeyondTheShareIsReadAlone(t *testing.T) {
	var b bodybudget.Budget
	b.SetSize(2 * mB)
	large := b.Open(bodySize, ignore)
	assert.Assert(t, large.Extend(rest, within(time.Second)))
	second := b.Open(bodySize, ignore)
	assert.Assert(t, second == nil)
	large.Close()
	assert.Assert(t, b.Open(bodySize, ignore) != nil)
}

// Guards against bytes that are counted twice or never released, in any order of calls.
func TestHeldIsTheSumOfTheBodies(t *testing.T) {
	expired := make(chan struct{})
	close(expired)
	rapid.Check(t, func(t *rapid.T) {
		var b bodybudget.Budget
		size := rapid.Int64Range(0, 10*mB).Draw(t, "size")
		b.SetSize(size)
		sizes := map[*bodybudget.Body]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.Int64Range(0, bodySize).Draw(t, "n")
			body := b.Open(n, ignore)
			if body != nil {
				sizes[body] = min(n, bodybudget.FirstBytes)
				more := n - sizes[body]
				if more > 0 && body.Extend(more, expired) {
					sizes[body] = n
				}
			}
			for body, n := range sizes {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					body.Close()
					delete(sizes, body)
				case 1:
					sizes[body] = n / 2
					body.Complete(n / 2)
				}
			}
			sum := int64(0)
			for _, n := range sizes {
				sum += n
			}
			held, _, waiting, _ := b.Usage()
			assert.Equal(t, held, sum)
			assert.Equal(t, waiting, 0)
			assert.Assert(t, size == 0 || held <= size+bodySize)
		}
	})
}
