package versionlog_test

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
	"savoryfall/core/directory"
	"savoryfall/core/versionhistory"
	"savoryfall/core/versionrecord"
	"savoryfall/io/versionlog"
)

// fakeTopic is the topic of the record, in a store whose calls take 4 ms.
type fakeTopic struct {
	mu         sync.Mutex
	records    []compactedlog.Record
	generation int64
	reads      int
	writes     int
	// readsFail and writesFail have calls fail, and loseAnswers that many writes succeed without an answer.
	readsFail, writesFail bool
	loseAnswers           int
}

var errAway = errors.New("the store is away")

const callTime = 4 * time.Millisecond

func (f *fakeTopic) Newest(context.Context) (p compactedlog.Page, err error) {
	time.Sleep(callTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readsFail {
		return p, errAway
	}
	f.reads++
	end := int64(len(f.records))
	p = compactedlog.Page{Next: end, LogEnd: end, Generation: f.generation}
	if end > 0 {
		p.Records = f.records[end-1:]
	}
	return p, nil
}

func (f *fakeTopic) PutAt(_ context.Context, key string, value []byte, at int64) (end int64, err error) {
	time.Sleep(callTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.writesFail:
		return 0, errAway
	case at != int64(len(f.records)):
		return 0, compactedlog.ErrConflict
	}
	f.writes++
	f.records = append(f.records, compactedlog.Record{Key: key, Value: value, Offset: at, Generation: f.generation})
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return 0, errAway
	}
	return at + 1, nil
}

func (f *fakeTopic) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

// set changes the store.
func (f *fakeTopic) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// router is one that records versions.
type router struct {
	versionlog.Recorder
	history versionhistory.History
	// maintains, older and olderListed are what it is told.
	maintains, older, olderListed bool
}

// start starts a router that lists the versions.
func start(t *testing.T, f *fakeTopic, maintains bool, versions ...string) (r *router) {
	r = &router{maintains: maintains}
	r.start(t, f, versions...)
	return r
}

func (r *router) start(t *testing.T, f *fakeTopic, versions ...string) {
	r.Recorder = versionlog.Recorder{
		Topic: f, History: &r.history, Required: func(service string) bool { return service == "models" }, Maintains: func() bool { return r.maintains },
		OlderRouters: func() bool { return r.older }, OlderRoutersListed: func(context.Context, int64) (bool, int64, error) { return r.olderListed, 1, nil },
		OnOffered: func() {}, Logger: log.NewNopLogger(),
	}
	r.Init()
	r.list(versions...)
	assert.NilError(t, r.Start(context.Background()))
}

func (r *router) list(versions ...string) {
	var entries []directory.Entry
	for _, v := range versions {
		entries = append(entries, directory.Entry{ID: "e" + v, Service: "models", Version: v})
	}
	r.history.SetListed(entries, time.Now())
	r.Record()
}

func (r *router) kill() { _ = r.Stop(context.Background()) }

// window is how long a stream takes.
const window = 20 * time.Second

func (r *router) only() (version string) {
	version, ok := r.history.Only("models", window, time.Now())
	if !ok {
		return "?"
	}
	return version
}

const moment = 100 * time.Millisecond

// Guards against streams of a service with one version that are refused after a loss of all routers, at the first start of a fleet
// and for as long as it runs.
func TestOnlyVersionIsKnownRightAfterLossOfAllRouters(t *testing.T) {
	for _, ran := range []time.Duration{time.Second, 40 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeTopic{generation: 1}
			a, b := start(t, f, true, "v1"), start(t, f, true, "v1")
			time.Sleep(ran)
			assert.Assert(t, a.history.Offered("models", "v1") && b.history.Offered("models", "v1"))
			a.kill()
			b.kill()
			time.Sleep(2 * time.Second)
			c := start(t, f, false, "v1")
			c.Learn(context.Background())
			assert.Equal(t, c.only(), "v1")
			c.kill()
		})
	}
}

// Guards against streams that are joined because a version that left is not in the record, or not for long enough.
func TestVersionThatLeftIsKnownAfterLossOfAllRouters(t *testing.T) {
	for name, tc := range map[string]struct {
		// before is how long before the loss the version leaves, away how long there is no router.
		before, away time.Duration
		want         string
	}{
		"in the same instant": {0, 0, "?"},
		"0.3 s before":        {300 * time.Millisecond, time.Second, "?"},
		"12 s before":         {12 * time.Second, 3 * time.Second, "?"},
		"19 s before":         {19 * time.Second, 0, "?"},
		"26 s before":         {26 * time.Second, 0, "v2"},
		"minutes before":      {5 * time.Minute, 10 * time.Second, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTopic{generation: 1}
				a := start(t, f, true, "v1", "v2")
				time.Sleep(time.Minute)
				a.list("v2")
				time.Sleep(tc.before)
				a.kill()
				time.Sleep(tc.away)
				b := start(t, f, true, "v2")
				time.Sleep(moment)
				assert.Equal(t, b.only(), tc.want)
				time.Sleep(26 * time.Second)
				assert.Equal(t, b.only(), "v2")
				b.kill()
			})
		})
	}
}

// Guards against routers killed one after the other, each of which knows a little less of the versions that left.
func TestKnowledgeOutlivesKillsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTopic{generation: 1}
		r := start(t, f, true, "v1", "v2")
		time.Sleep(time.Minute)
		r.list("v2")
		for range 9 {
			time.Sleep(2 * time.Second)
			next := start(t, f, true, "v2")
			time.Sleep(moment)
			assert.Equal(t, next.only(), "?")
			r.kill()
			r = next
		}
		r.kill()
	})
}

// Guards against streams that begin at a version that the store has not taken, and against a router that never offers it.
func TestVersionWaitsForTheStore(t *testing.T) {
	for name, setFailing := range map[string]func(f *fakeTopic, failing bool){
		"writes fail":       func(f *fakeTopic, failing bool) { f.writesFail = failing },
		"all calls fail":    func(f *fakeTopic, failing bool) { f.readsFail, f.writesFail = failing, failing },
		"answers are lost":  func(f *fakeTopic, failing bool) { f.loseAnswers = 1 },
		"others write, too": func(f *fakeTopic, failing bool) { f.records = append(f.records, f.records[len(f.records)-1]) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTopic{generation: 1}
				r := start(t, f, true, "v1")
				time.Sleep(time.Minute)
				f.set(func() { setFailing(f, true) })
				r.list("v1", "v2")
				time.Sleep(3 * time.Second)
				f.set(func() {
					stored, err := versionrecord.Decode(f.records[len(f.records)-1].Value)
					assert.NilError(t, err)
					_, has := stored.AbsentMs["models"]["v2"]
					assert.Assert(t, has || !r.history.Offered("models", "v2"))
				})
				assert.Assert(t, r.history.Offered("models", "v1"))
				f.set(func() { setFailing(f, false) })
				time.Sleep(2 * time.Second)
				assert.Assert(t, r.history.Offered("models", "v2"))
				r.kill()
			})
		})
	}
}

// Guards against a record that is believed although it may lack versions: it is missing, unreadable, old, of a store that came back
// from an older copy, or routers that write none have run.
func TestDoubtfulRecordProvesNothing(t *testing.T) {
	for name, change := range map[string]func(f *fakeTopic, r *router){
		"missing":                     func(f *fakeTopic, _ *router) { f.records[len(f.records)-1].Key = "other" },
		"unreadable":                  func(f *fakeTopic, _ *router) { f.records[len(f.records)-1].Value = []byte("x") },
		"old":                         func(*fakeTopic, *router) { time.Sleep(time.Hour) },
		"copy of the store":           func(f *fakeTopic, _ *router) { f.generation++ },
		"copy that never had it":      func(f *fakeTopic, _ *router) { f.generation, f.records = f.generation+1, nil },
		"older routers run":           func(_ *fakeTopic, r *router) { r.older = true },
		"never written, older listed": func(f *fakeTopic, r *router) { f.records, r.olderListed = nil, true },
		"older routers ran":           func(_ *fakeTopic, r *router) { r.olderListed = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTopic{generation: 1}
				a := start(t, f, true, "v2")
				time.Sleep(time.Minute)
				a.kill()
				b := &router{maintains: true}
				f.set(func() { change(f, b) })
				b.start(t, f, "v2")
				time.Sleep(moment)
				assert.Equal(t, b.only(), "?")
				assert.Assert(t, b.history.Offered("models", "v2"), "endpoints are used all the same")
				time.Sleep(26 * time.Second)
				assert.Equal(t, b.only(), "v2")
				b.kill()
				c := start(t, f, true, "v2")
				time.Sleep(moment)
				if b.older {
					assert.Equal(t, c.only(), "?")
				} else {
					assert.Equal(t, c.only(), "v2")
				}
				c.kill()
			})
		})
	}
}

// Guards against calls to the store by each of many routers, in calm and when a version comes and goes.
func TestCallsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTopic{generation: 1}
		hub := start(t, f, true, "v1")
		time.Sleep(moment)
		var others []*router
		for range 50 {
			r := start(t, f, false)
			// A router that follows a hub gets endpoints of recorded versions only.
			r.history.SetListed([]directory.Entry{{ID: "ev1", Service: "models", Version: "v1"}}, time.Now())
			r.history.Offer("models", "v1")
			others = append(others, r)
		}
		time.Sleep(time.Hour)
		f.set(func() {
			t.Logf("%d reads, %d writes in a calm hour", f.reads, f.writes)
			assert.Assert(t, f.reads <= 720 && f.writes <= 125, "%d reads, %d writes", f.reads, f.writes)
			f.reads, f.writes = 0, 0
		})
		hub.list("v1", "v2")
		time.Sleep(10 * time.Second)
		hub.list("v2")
		time.Sleep(5 * time.Minute)
		f.set(func() {
			t.Logf("%d reads, %d writes in 310 s with a release", f.reads, f.writes)
			assert.Assert(t, f.reads <= 62 && f.writes <= 24, "%d reads, %d writes", f.reads, f.writes)
		})
		hub.kill()
		for _, r := range others {
			r.kill()
		}
	})
}

// Guards against a version that the record has as absent for long, while a router whose list is older than the others' still begins
// streams at it.
func TestVersionThatOneRouterStillListsIsNotLongAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTopic{generation: 1}
		a := start(t, f, true, "v1", "v2")
		time.Sleep(time.Minute + moment)
		b := start(t, f, true, "v2")
		time.Sleep(28 * time.Second)
		assert.Assert(t, a.history.Offered("models", "v1"))
		a.kill()
		b.kill()
		c := start(t, f, true, "v2")
		time.Sleep(moment)
		c.kill()
		assert.Equal(t, c.only(), "?")
	})
}
