package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/io/follow"
)

// unassistedInterval is the interval of the followers that read although their hub answers.
const unassistedInterval = 2 * time.Second

// withUnassisted tests a follower that has read its topic and whose hub answers every 100 ms without having read anything newer.
func withUnassisted(t *testing.T, test func(t *testing.T, f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration)) {
	withUnassistedEvery(t, unassistedInterval, test)
}

// withUnassistedEvery is withUnassisted with another interval.
func withUnassistedEvery(t *testing.T, interval time.Duration, test func(t *testing.T, f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		tp, s := newFakeTopic(), &fakeSink{}
		tp.addRecord("a")
		f := follow.New(tp, s, follow.Options{
			Name: "t", PollWait: 500 * time.Millisecond, MinInterval: 50 * time.Millisecond, Grace: grace, MaxAge: 1500 * time.Millisecond,
			UnassistedInterval: func(int) time.Duration { return interval }, Clock: now,
		}, log.NewNopLogger())
		assert.NilError(t, f.Start(context.Background()))
		ctx, cancel := context.WithCancel(context.Background())
		var hub sync.WaitGroup
		defer func() {
			cancel()
			hub.Wait()
			assert.NilError(t, f.Stop(context.Background()))
		}()
		hub.Go(func() {
			for ctx.Err() == nil {
				f.HubAnswered()
				time.Sleep(100 * time.Millisecond)
			}
		})
		time.Sleep(10 * time.Millisecond)
		tp.takeReadCount()
		test(t, f, tp, s, now)
	})
}

// Guards against a router that stays on old data, although the store serves it, because its hub answers and cannot read.
func TestFollowerReadsUnassisted(t *testing.T) {
	withUnassisted(t, func(t *testing.T, _ *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		tp.addRecord("b")
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, s.allKeys(), "ab")
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, s.age(now()) <= 1500*time.Millisecond, "%v", s.age(now()))
		}
		assert.Equal(t, tp.takeReadCount(), 5)
	})
}

// Guards against routers that make an outage worse by reads of their own.
func TestFailedUnassistedReadsAreFew(t *testing.T) {
	withUnassisted(t, func(t *testing.T, _ *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		tp.setFailure(errCutOff, false)
		time.Sleep(10 * time.Second)
		assert.Equal(t, tp.takeReadCount(), 5)
		tp.setFailure(nil, false)
		time.Sleep(unassistedInterval)
		assert.Assert(t, s.age(now()) <= 2*time.Second, "%v", s.age(now()))
	})
}
