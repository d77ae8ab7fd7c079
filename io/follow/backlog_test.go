package follow_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/io/follow"
)

var errCutOff = errors.New("cut off")

// addRecords adds n records with keys of one letter.
func (t *fakeTopic) addRecords(n int) {
	for i := range n {
		t.addRecord(string(rune('b' + i%25)))
	}
}

func (t *fakeTopic) setLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latency = d
}

// comeBack lets a router that reads for others return from a cut of 5 s in which n records were written, to a store whose answers take
// the given time.
func comeBack(f *follow.Follower, tp *fakeTopic, n int, latency time.Duration) {
	f.SetLeader(true)
	time.Sleep(10 * time.Millisecond)
	tp.setFailure(errCutOff, false)
	time.Sleep(5 * time.Second)
	tp.addRecords(n)
	tp.setFailure(nil, false)
	tp.setLatency(latency)
}

// assertProven checks that the records that the sink has include all that existed when the last read that confirms them was
// sent.
func assertProven(t *testing.T, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
	t.Helper()
	sent := time.Now().Add(-s.age(now()))
	assert.Assert(t, len(s.allKeys()) >= tp.addedBefore(sent), "%d records, of which %d existed %v ago", len(s.allKeys()), tp.addedBefore(sent), s.age(now()))
}

// Guards against a lease that is renewed by an answer that holds only a part of what was written while a router was cut off.
func TestPartOfTheLogConfirmsNothing(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		comeBack(f, tp, 7, 100*time.Millisecond)
		for len(s.allKeys()) < 8 {
			assert.Assert(t, s.age(now()) > 5*time.Second, "%d records, confirmed %v ago", len(s.allKeys()), s.age(now()))
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		assert.Assert(t, s.age(now()) <= 200*time.Millisecond, "%v", s.age(now()))
	})
}

// Guards against a router that is never up to date, or believes so, while the log grows as fast as it is read.
func TestGrowingLogIsConfirmedAsOfEarlierReads(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(10 * time.Millisecond)
		tp.setLatency(20 * time.Millisecond)
		tp.addRecords(3)
		for range 1000 {
			tp.addRecord("x")
			time.Sleep(10 * time.Millisecond)
			assertProven(t, tp, s, now)
			assert.Assert(t, s.age(now()) < time.Second, "%v", s.age(now()))
		}
	})
}

// Guards against a router that serves nothing for long because it reads all that was written while it was cut off.
func TestLongBacklogIsSkipped(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		comeBack(f, tp, 100, 100*time.Millisecond)
		time.Sleep(leaderRetryMax + 250*time.Millisecond)
		assert.Equal(t, len(s.allKeys()), 101)
		assert.Assert(t, s.age(now()) <= time.Second, "%v", s.age(now()))
		assert.Assert(t, !f.Behind())
	})
}

// leaderRetryMax is the longest delay after a failed read of a router that reads for others.
const leaderRetryMax = 800 * time.Millisecond

// Guards against an answer without records that confirms what it does not show, and against waiting for it without end.
func TestAnswerWithoutRecordsConfirmsNothing(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		f.SetLeader(true)
		time.Sleep(10 * time.Millisecond)
		tp.mu.Lock()
		tp.limit = 0
		tp.mu.Unlock()
		tp.addRecord("b")
		synctest.Wait()
		assertProven(t, tp, s, now)
		time.Sleep(time.Second)
		assert.Equal(t, s.allKeys(), "ab")
		assert.Assert(t, s.age(now()) <= time.Second)
		assert.Assert(t, tp.takeReadCount() < 50)
	})
}

// Guards against a lease that is renewed by the log of before a restore, while this router was reading that log.
func TestRestoreWhileBehindConfirmsNothing(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		comeBack(f, tp, 4, 300*time.Millisecond)
		for len(s.allKeys()) < 3 {
			time.Sleep(10 * time.Millisecond)
		}
		f.ApplySnapshot([]compactedlog.Record{{Key: "x"}}, compactedlog.Position{Generation: 1, Offset: 1}, now()-4*time.Second)
		assert.Assert(t, s.age(now()) >= 4*time.Second, "%v", s.age(now()))
	})
}

// Guards against a part of the log that is given to other routers as if it were known to be all of it.
func TestPositionOfABacklogIsNotConfirmed(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		comeBack(f, tp, 7, 100*time.Millisecond)
		for end := at(0); end.Before(at(8)); {
			time.Sleep(10 * time.Millisecond)
			var sent time.Duration
			end, sent, _ = f.Position()
			records, since := f.Lag()
			if end.Before(at(8)) && at(1).Before(end) {
				assert.Assert(t, now()-sent > 5*time.Second, "up to %v, %v ago", end, now()-sent)
				assert.Equal(t, records, 8-end.Offset)
				assert.Assert(t, since < time.Second)
				assert.Assert(t, f.Behind())
			}
		}
		records, since := f.Lag()
		assert.Equal(t, records, int64(0))
		assert.Equal(t, since, time.Duration(0))
	})
}

// Guards against a router that reads without end because another one named an end that the log does not have.
func TestWrongEndIsForgotten(t *testing.T) {
	withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
		time.Sleep(10 * time.Millisecond)
		f.ConfirmEnd(at(900), now())
		assert.Assert(t, f.Behind())
		time.Sleep(grace + 10*time.Millisecond)
		assert.Assert(t, !f.Behind())
		tp.takeReadCount()
		time.Sleep(time.Second)
		assert.Equal(t, tp.takeReadCount(), 0)
	})
}

// Guards against any order of writes, failures, parts of answers and reports of other routers after which a router takes
// what it has for newer than a read showed.
func TestReadsAreNeverTakenForNewer(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFollower(t, func(f *follow.Follower, tp *fakeTopic, s *fakeSink, now func() time.Duration) {
				random := rand.New(rand.NewPCG(seed, 58))
				f.SetLeader(seed%3 > 0)
				time.Sleep(10 * time.Millisecond)
				for range 300 {
					switch random.IntN(8) {
					case 0:
						tp.setFailure(errCutOff, false)
					case 1:
						tp.setFailure(nil, random.IntN(4) == 0)
					case 2, 3:
						tp.addRecords(random.IntN(9))
					case 4:
						tp.setLatency(time.Duration(random.IntN(200)) * time.Millisecond)
					case 5:
						// Another router has read a part of what there is, and confirms an earlier one.
						known := random.IntN(tp.addedBefore(time.Now()) + 1)
						age := time.Duration(random.IntN(3000)) * time.Millisecond
						if tp.addedBefore(time.Now().Add(-age)) <= known {
							f.ConfirmEnd(at(int64(known)), now()-age)
						}
					}
					time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
					assertProven(t, tp, s, now)
				}
				tp.setFailure(nil, false)
				tp.setLatency(0)
				f.SetLeader(true)
				time.Sleep(3 * time.Second)
				assert.Equal(t, len(s.allKeys()), tp.addedBefore(time.Now()))
				assert.Assert(t, s.age(now()) <= time.Second)
			})
		})
	}
}
