package follow_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/follow"
)

// Guards against a router that is asked to read for its hub and is given up because it still waits after an earlier failure.
func TestRouterThatBeginsToReadForOthersDoesNotWait(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.setFailure(errCutOff, false)
		for s.failureCount() < 4 {
			time.Sleep(10 * time.Millisecond)
		}
		tp.setFailure(nil, false)
		f.SetLeader(true)
		synctest.Wait()
		assert.Assert(t, s.age(now()) <= time.Millisecond, "%v", s.age(now()))
	})
}

// Guards against a router that is taken for one which cannot read, because of a read that failed before it was asked to.
func TestFailureBeforeRouterReadsForOthersDoesNotCount(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.setFailure(errCutOff, false)
		for s.failureCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		asked := now()
		assert.Assert(t, f.Failing())
		assert.Assert(t, !f.FailedSince(asked))
		f.SetLeader(true)
		synctest.Wait()
		assert.Assert(t, f.FailedSince(asked))
	})
}

// Guards against a router that reads the store ten times a second, although its reads fail, because its hub asks it again and again.
func TestRouterThatIsAskedRepeatedlyDoesNotReadMore(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, _ *fakeSink, _ func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.setFailure(errCutOff, false)
		time.Sleep(5 * time.Second)
		tp.takeReadCount()
		for range 16 {
			f.SetLeader(true)
			time.Sleep(200 * time.Millisecond)
			f.SetLeader(false)
			time.Sleep(50 * time.Millisecond)
		}
		// In four seconds: five reads with the first, short delays and at most one per 0.4 s after that.
		reads := tp.takeReadCount()
		assert.Assert(t, reads <= 15, "%d reads", reads)
	})
}
