package follow_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/io/follow"
)

// Guards against records that a reader skips, or waits for without end, after the store came back from an older copy.
func TestRestoredTopicIsReadFromNewestValues(t *testing.T) {
	for name, restored := range map[string][]string{"shorter": {"x"}, "as long": {"x", "y", "z"}, "longer": {"x", "y", "z", "w", "v"}} {
		t.Run(name, func(t *testing.T) {
			withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
				f.SetLeader(true)
				tp.addRecord("b")
				tp.addRecord("c")
				time.Sleep(time.Second)
				assert.Equal(t, s.allKeys(), "abc")
				tp.restore(restored...)
				time.Sleep(time.Second)
				assert.Equal(t, s.allKeys(), strings.Join(restored, ""))
				assert.Equal(t, s.restores, 1)
				tp.addRecord("n")
				time.Sleep(time.Second)
				assert.Equal(t, s.allKeys(), strings.Join(restored, "")+"n")
				assert.Assert(t, s.age(now()) <= time.Second)
			})
		})
	}
}

// Guards against two restores in quick succession, the second while the first is read.
func TestSecondRestoreDuringRead(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, _ func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(time.Second)
		tp.restore("x", "y")
		tp.restore("z")
		time.Sleep(time.Second)
		assert.Equal(t, s.allKeys(), "z")
	})
}

// Guards against a page that was answered before the store came back and arrives after another answer showed that.
func TestPageOfEarlierGenerationIsDropped(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(10 * time.Millisecond)
		tp.mu.Lock()
		tp.generation, tp.seen = 1, 2
		tp.mu.Unlock()
		tp.addRecord("lost")
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.allKeys(), "a")
		assert.Assert(t, s.age(now()) >= time.Second, "a read of the earlier generation must not renew the lease")
		assert.Assert(t, s.failureCount() > 0 && f.Failing(), "it counts as a failed read, which is logged")
	})
}

// Guards against a router that takes itself to be up to date because its offset of before the restore is higher.
func TestHubOfLaterGenerationIsAhead(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.AdvanceTo(at(15), now())
		later := compactedlog.Position{Generation: 1, Offset: 11}
		f.ConfirmEnd(later, now())
		assert.Assert(t, f.Behind())
		f.ApplySnapshot([]compactedlog.Record{{Key: "new"}}, later, now())
		assert.Assert(t, !f.Behind())
		assert.Equal(t, s.allKeys(), "new")
		assert.Equal(t, s.restores, 1)
		end, _, _ := f.Position()
		assert.Equal(t, end, later)
		confirmed := s.age(now())
		time.Sleep(100 * time.Millisecond)
		f.ApplySnapshot([]compactedlog.Record{{Key: "old"}}, at(20), now())
		f.AdvanceTo(at(21), now())
		f.ConfirmEnd(at(22), now())
		end, _, _ = f.Position()
		assert.Equal(t, end, later)
		assert.Equal(t, s.allKeys(), "new")
		assert.Equal(t, s.age(now()), confirmed+100*time.Millisecond, "a hub of an earlier generation shows nothing")
	})
}

// Guards against a router that learns of the restore from an answer of its own, and waits for a hub that has not seen it.
func TestRestoreSeenByThisRouterAlone(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.AdvanceTo(at(3), now())
		tp.restore("x")
		tp.mu.Lock()
		tp.seen = 1
		tp.mu.Unlock()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			f.HubAnswered()
			f.ConfirmEnd(at(3), now())
		}
		assert.Equal(t, s.allKeys(), "x")
	})
}
