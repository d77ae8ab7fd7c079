package origins_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/origin"
	"savoryfall/core/originbatch"
	"savoryfall/core/versionrecord"
	"savoryfall/io/origins"
)

// storeLog is the log in the store.
type storeLog struct {
	mu      sync.Mutex
	records []originbatch.Record
	finds   int
	// conflict has all records contradict others.
	conflict bool
}

func (l *storeLog) Append(records ...originbatch.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, records...)
}

func (l *storeLog) Find(key uint64, _ time.Duration) (o origin.Origin, ok, conflict bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finds++
	for _, r := range l.records {
		if r.Key == key && !l.conflict {
			return r.Origin, true, false
		}
	}
	return origin.Origin{}, false, l.conflict
}

func (l *storeLog) counts() (records, finds int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.finds
}

// replaceAll kills all routers and starts others in their place.
func (f *fleet) replaceAll(l *storeLog, versions ...string) {
	for _, r := range f.routers {
		f.kill(r)
	}
	for i := range f.routers {
		f.restart(i, versions...)
		f.routers[i].Log = l
	}
}

// Guards against streams that are refused after a loss of all routers, and against records of attempts that another may follow.
func TestOriginOutlivesTheFleet(t *testing.T) {
	runFleet(t, 6, several, func(f *fleet) {
		l := &storeLog{}
		f.replaceAll(l, several...)
		f.routers[0].begin("s", "v2")
		f.routers[0].begin("only sent", "v1")
		f.routers[0].EventForwarded(record("s", "v2"))
		version, from := f.routers[3].find("s")
		assert.Equal(t, version, "v2")
		assert.Assert(t, from != origins.Store)
		// A copy that is still under way would reach a router that has started since.
		time.Sleep(time.Second)
		f.replaceAll(l, several...)
		version, from = f.routers[3].find("s")
		assert.Equal(t, version, "v2")
		assert.Equal(t, from, origins.Store)
		version, _ = f.routers[3].find("only sent")
		assert.Equal(t, version, "?")
		l.conflict = true
		version, _ = f.routers[3].find("s")
		assert.Equal(t, version, "?")
	})
}

// Guards against streams that began while the service had a single version and are unknown after a loss of all routers.
func TestRunningStreamsAreAppendedWhenAnotherVersionAppears(t *testing.T) {
	runFleet(t, 3, []string{"v1"}, func(f *fleet) {
		l := &storeLog{}
		f.replaceAll(l, "v1")
		time.Sleep(time.Minute)
		f.routers[0].begin("s", "v1")
		f.routers[0].EventForwarded(record("s", "v1"))
		f.routers[0].begin("only sent", "v1")
		for _, r := range f.routers {
			r.EndpointsChanged()
		}
		appended, _ := l.counts()
		assert.Equal(t, appended, 0, "a service with one version needs no records")
		for _, r := range f.routers {
			r.list(several...)
			r.EndpointsChanged()
			r.EndpointsChanged()
		}
		appended, _ = l.counts()
		assert.Equal(t, appended, 1)
		time.Sleep(time.Second)
		f.replaceAll(l, several...)
		version, from := f.routers[1].find("s")
		assert.Equal(t, version, "v1")
		assert.Equal(t, from, origins.Store)
	})
}

// Guards against streams that began after the other version had left, within the time for which it makes them unknown.
func TestStreamsAreAppendedWhileTheOtherVersionIsRemembered(t *testing.T) {
	runFleet(t, 3, several, func(f *fleet) {
		l := &storeLog{}
		f.replaceAll(l, several...)
		time.Sleep(time.Minute)
		f.routers[0].list("v2")
		time.Sleep(ttl / 2)
		f.routers[0].EventForwarded(record("s", "v2"))
		time.Sleep(ttl)
		f.routers[0].EventForwarded(record("later", "v2"))
		appended, _ := l.counts()
		assert.Equal(t, appended, 1)
	})
}

// Guards against a router that goes on at the only version that others have seen although the log has another one, and against
// reads where the lists of this router suffice.
func TestLogGoesBeforeTheOnlyVersionOfOthers(t *testing.T) {
	runFleet(t, 3, []string{"v2"}, func(f *fleet) {
		l := &storeLog{}
		time.Sleep(time.Minute)
		for _, r := range f.routers {
			r.Log = l
		}
		_, from := f.routers[0].find("s")
		assert.Equal(t, from, origins.OnlyVersion)
		_, finds := l.counts()
		assert.Equal(t, finds, 0)
		f.restart(2, "v2")
		f.routers[2].Log = l
		l.Append(originbatch.Record{Key: record("s", "v1").Key, Origin: record("s", "v1").Origin})
		version, from := f.routers[2].find("s")
		assert.Equal(t, version, "v1")
		assert.Equal(t, from, origins.Store)
		version, from = f.routers[2].find("other")
		assert.Equal(t, version, "v2")
		assert.Equal(t, from, origins.OnlyVersionByRouter)
	})
}

// Guards against a router that has just started and appends the streams of a service with one version, though the record of
// versions says so.
func TestRouterThatStartsLearnsThatItNeedNotAppend(t *testing.T) {
	runFleet(t, 2, []string{"v1"}, func(f *fleet) {
		l := &storeLog{}
		time.Sleep(time.Minute)
		for _, knows := range []bool{true, false} {
			f.restart(0, "v1")
			r := f.routers[0]
			r.Log = l
			r.Learn = func(context.Context) bool {
				if knows {
					r.history.SetRecord(versionrecord.Complete(1, time.Now()), time.Now(), true)
				}
				return knows
			}
			r.begin("s", "v1")
			r.EventForwarded(record("s", "v1"))
			time.Sleep(time.Second)
			appended, _ := l.counts()
			assert.Equal(t, appended == 0, knows)
		}
	})
}
