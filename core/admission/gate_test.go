package admission_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/admission"
)

const pool = "model/m"

// runRequests sends n one-second requests for an account and counts those that were admitted in time.
func runRequests(ctx context.Context, g *admission.Gate, account string, n int, done *sync.WaitGroup, served map[string]int, mu *sync.Mutex) {
	for range n {
		done.Go(func() {
			leave, err := g.Acquire(ctx, account, 1, pool)
			if err != nil {
				return
			}
			time.Sleep(time.Second)
			leave()
			mu.Lock()
			served[account]++
			mu.Unlock()
		})
	}
}

// One account sends a surge of 400 requests while two others send 20 each. The pool serves 10 per second. Within ten
// seconds the small accounts get all of theirs served, and the surge gets the rest.
func TestSurgeDoesNotStarveOtherAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(1000, func(string) int { return 10 })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		var done sync.WaitGroup
		var mu sync.Mutex
		served := map[string]int{}
		runRequests(ctx, g, "surge", 400, &done, served, &mu)
		time.Sleep(time.Millisecond)
		runRequests(ctx, g, "small", 20, &done, served, &mu)
		runRequests(ctx, g, "other", 20, &done, served, &mu)
		done.Wait()
		assert.Equal(t, served["small"], 20)
		assert.Equal(t, served["other"], 20)
		assert.Assert(t, served["surge"] >= 50, "%v", served)
	})
}

// When the queue is full, the newest waiter of the largest account is shed with a retry delay, and a request of a small
// account is queued in its place.
func TestFullQueueShedsTheLargestAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(5, func(string) int { return 1 })
		leave, err := g.Acquire(t.Context(), "surge", 1, pool)
		assert.NilError(t, err)
		results := make(chan error, 5)
		for range 5 {
			go func() {
				leave, err := g.Acquire(t.Context(), "surge", 1, pool)
				if err == nil {
					leave()
				}
				results <- err
			}()
		}
		synctest.Wait()
		_, err = g.Acquire(t.Context(), "surge", 1, pool)
		var shed *admission.ShedError
		assert.Assert(t, errors.As(err, &shed))
		assert.Assert(t, shed.RetryAfter() >= time.Second)
		entered := make(chan error, 1)
		go func() {
			leave, err := g.Acquire(t.Context(), "small", 1, pool)
			if err == nil {
				leave()
			}
			entered <- err
		}()
		synctest.Wait()
		assert.Assert(t, errors.As(<-results, &shed))
		leave()
		assert.NilError(t, <-entered)
		for range 4 {
			assert.NilError(t, <-results)
		}
		assert.Equal(t, g.Queued(), 0)
	})
}

// A request whose deadline would pass in the queue is rejected at once instead of being held until then.
func TestRequestIsShedWhenDeadlineWouldPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(1000, func(string) int { return 1 })
		var done sync.WaitGroup
		for range 30 {
			done.Go(func() {
				leave, err := g.Acquire(t.Context(), "a", 1, pool)
				assert.Check(t, err)
				time.Sleep(time.Second)
				leave()
			})
		}
		time.Sleep(5500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		_, err := g.Acquire(ctx, "a", 1, pool)
		var shed *admission.ShedError
		assert.Assert(t, errors.As(err, &shed))
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, shed.RetryAfter() > 20*time.Second, "%v", shed.RetryAfter())
		done.Wait()
	})
}

// A client that cancels while queued frees its place for the next request.
func TestCancelingFreesTheQueuePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(10, func(string) int { return 1 })
		leave, err := g.Acquire(t.Context(), "a", 1, pool)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		canceled := make(chan error, 1)
		go func() {
			_, err := g.Acquire(ctx, "a", 1, pool)
			canceled <- err
		}()
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, <-canceled, context.Canceled)
		assert.Equal(t, g.Queued(), 0)
		leave()
		leave, err = g.Acquire(t.Context(), "b", 1, pool)
		assert.NilError(t, err)
		leave()
	})
}
