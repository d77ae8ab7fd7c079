package follow_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/io/follow"
)

type fakeSink struct {
	mu          sync.Mutex
	keys        string
	confirmedAt time.Duration
	failures    int
	restores    int
}

func (s *fakeSink) Replace(records []compactedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = ""
	s.add(records)
}

func (s *fakeSink) Apply(records []compactedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(records)
}

func (s *fakeSink) add(records []compactedlog.Record) {
	for _, r := range records {
		s.keys += r.Key
	}
}

func (s *fakeSink) Read(confirmedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = max(s.confirmedAt, confirmedAt)
}

func (s *fakeSink) Restored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
}

func (s *fakeSink) Failed(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
}

func (s *fakeSink) allKeys() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

func (s *fakeSink) age(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.confirmedAt
}

func withFollower(t *testing.T, test func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration)) {
	withStartupWait(t, 0, test)
}

// withStartupWait tests a follower that waits for a hub for the given time when it starts.
func withStartupWait(t *testing.T, first time.Duration, test func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration)) {
	synctest.Test(t, func(*testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		tp, s := newFakeTopic(), &fakeSink{}
		tp.addRecord("a")
		f := follow.New(tp, s, follow.Options{
			Name: "t", PollWait: 500 * time.Millisecond, MinInterval: 50 * time.Millisecond, Grace: grace, MaxAge: 1500 * time.Millisecond,
			StartupWait: first, Clock: now,
		}, log.NewNopLogger())
		assert.NilError(t, f.Start(context.Background()))
		test(f, tp, s, now)
		assert.NilError(t, f.Stop(context.Background()))
	})
}

// A leader has a record as soon as it is written, and its reads keep its data no older than a second.
func TestLeaderReadsImmediately(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(700 * time.Millisecond)
		tp.addRecord("b")
		synctest.Wait()
		assert.Equal(t, s.allKeys(), "ab")
		for range 50 {
			time.Sleep(77 * time.Millisecond)
			assert.Assert(t, s.age(now()) <= time.Second, "%v", s.age(now()))
		}
	})
}

// A router that gets updates from the hub does not read. When the hub stops answering, the router reads the topic
// itself, in time for a configuration to be in force two seconds after it was written.
func TestFollowerReadsWhenHubStopsReporting(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.takeReadCount()
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			f.ConfirmEnd(at(1), now()-500*time.Millisecond)
		}
		assert.Equal(t, tp.takeReadCount(), 0)
		tp.addRecord("b")
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, s.allKeys(), "ab")
	})
}

// The hub reports a record that this router has not read, but does not send it. The router reads the record after
// the grace period although the hub keeps reporting it. Until then, the hub's reports do not refresh the age of
// its data.
func TestFollowerReadsMissingRecordsAfterGrace(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.addRecord("b")
		for range 8 {
			assert.Equal(t, s.allKeys(), "a")
			f.ConfirmEnd(at(2), now())
			assert.Assert(t, s.age(now()) > 0)
			time.Sleep(grace / 8)
		}
		time.Sleep(time.Millisecond)
		assert.Equal(t, s.allKeys(), "ab")
		assert.Assert(t, s.age(now()) <= time.Millisecond)
	})
}

// The hub sends the records that it reports, so routers make no call to the store for a change.
func TestFollowerThatReceivesRecordsDoesNotRead(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.addRecord("b")
		tp.takeReadCount()
		f.ConfirmEnd(at(2), now())
		assert.Assert(t, f.Behind())
		assert.Assert(t, !f.Failing())
		time.Sleep(grace / 2)
		f.ApplySnapshot([]compactedlog.Record{{Key: "a"}, {Key: "b", Offset: 1}}, at(2), now())
		time.Sleep(grace)
		assert.Equal(t, tp.takeReadCount(), 0)
		assert.Equal(t, s.allKeys(), "ab")
	})
}

// Guards against an older snapshot from another router undoing what this router has received since.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		f.ApplySnapshot([]compactedlog.Record{{Key: "a"}, {Key: "b", Offset: 1}}, at(2), now())
		f.ApplySnapshot([]compactedlog.Record{{Key: "a"}}, at(1), now())
		assert.Equal(t, s.allKeys(), "ab")
	})
}

// The store rejects this router while the hub reports newer records many times a second. The reports must not make
// the router call the store more often, which once caused 30,000 calls in nine seconds, and must not refresh the
// age of data that the router does not have.
func TestRejectedFollowerKeepsItsBackoff(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.addRecord("b")
		tp.setFailure(errors.New("rejected by the store"), false)
		tp.takeReadCount()
		for range 900 {
			time.Sleep(10 * time.Millisecond)
			f.ConfirmEnd(at(2), now())
		}
		assert.Assert(t, tp.takeReadCount() < 20)
		assert.Assert(t, s.age(now()) > 8*time.Second)
		assert.Assert(t, f.Behind())
		f.ApplySnapshot([]compactedlog.Record{{Key: "a"}, {Key: "b", Offset: 1}}, at(2), now())
		assert.Assert(t, !f.Behind())
		assert.Equal(t, s.allKeys(), "ab")
		assert.Assert(t, s.age(now()) == 0)
	})
}

// A read that was in progress when the hub sent later changes must not undo them.
func TestSupersededReadIsDropped(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(10 * time.Millisecond)
		f.AdvanceTo(at(5), now())
		tp.addRecord("b")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, s.allKeys(), "a")
		end, _, ok := f.Position()
		assert.Assert(t, ok && !end.Before(at(5)))
	})
}

// A read that is never answered times out.
func TestUnansweredReadTimesOut(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, _ func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(10 * time.Millisecond)
		tp.setFailure(nil, true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, s.failureCount() >= 2)
		tp.setFailure(nil, false)
		tp.addRecord("b")
		time.Sleep(4 * time.Second)
		assert.Equal(t, s.allKeys(), "ab")
	})
}

// After unread records have been trimmed, the follower must read the newest value of each key.
func TestTrimmedTopicIsReadFromNewestValues(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, _ func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(10 * time.Millisecond)
		tp.addRecord("b")
		tp.setFailure(compactedlog.TrimmedError{Requested: 1, First: 2}, false)
		time.Sleep(600 * time.Millisecond)
		tp.setFailure(nil, false)
		time.Sleep(time.Second)
		assert.Equal(t, s.allKeys(), "ab")
		assert.Assert(t, tp.newestReads > 1)
	})
}

func (s *fakeSink) failureCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures
}

// The hub answers but cannot read the store. A router that it answers does not read however old its data gets,
// because reads by hundreds of routers would only make an outage worse. When the hub stops answering, the router
// reads the topic itself.
func TestFollowerOfRespondingHubDoesNotRead(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		tp.takeReadCount()
		for range 30 {
			f.HubAnswered()
			time.Sleep(300 * time.Millisecond)
		}
		assert.Equal(t, tp.takeReadCount(), 0)
		time.Sleep(1300 * time.Millisecond)
		assert.Assert(t, tp.takeReadCount() > 0)
	})
}

// A starting router waits for a hub to send the contents of the topic, and reads itself if there is no hub or the
// wait is over.
func TestStartingFollowerWaitsForHub(t *testing.T) {
	const first = 2 * time.Second
	withStartupWait(t, first, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(time.Second)
		assert.Equal(t, tp.takeReadCount(), 0)
		f.ApplySnapshot([]compactedlog.Record{{Key: "given"}}, at(1), now())
		f.EndStartupWait()
		time.Sleep(time.Second)
		assert.Equal(t, tp.takeReadCount(), 0)
		assert.Equal(t, s.allKeys(), "given")
	})
	withStartupWait(t, first, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, _ func() time.Duration) {
		f.EndStartupWait()
		time.Sleep(time.Millisecond)
		assert.Equal(t, s.allKeys(), "a")
	})
	withStartupWait(t, first, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, _ func() time.Duration) {
		time.Sleep(first + time.Millisecond)
		assert.Equal(t, s.allKeys(), "a")
	})
}
