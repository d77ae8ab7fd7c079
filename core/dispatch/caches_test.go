package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/prompt"
)

// cacheFleet is a routerFleet whose engines cache all they read, and fetch what a request names from its fetch source.
type cacheFleet struct {
	*routerFleet
	cached    map[string]map[uint64]int
	addresses map[string]string
	// rereadTokens counts the tokens of shared parts that were read although a running engine has them cached.
	rereadTokens int
	n            int
}

const (
	cacheRouters   = 6
	cacheEngines   = 9
	cacheDocuments = 60
	// requestInterval is the time between two requests.
	requestInterval = 20 * time.Millisecond
)

func newCacheFleet(t *testing.T) *cacheFleet {
	l := &cacheFleet{
		routerFleet: newRouterFleet(t, cacheRouters, cacheEngines), cached: map[string]map[uint64]int{}, addresses: map[string]string{},
	}
	l.losesAnswer = func(string, int) bool { return false }
	_, entries := newDispatcher(cacheEngines)
	for _, e := range entries {
		if e.Service == models {
			l.cached[e.ID], l.addresses[e.Address] = map[uint64]int{}, e.ID
		}
	}
	return l
}

func (f *cacheFleet) generate(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(requestInterval)
		f.endDue()
		f.exchangeReports()
		f.n++
		chain := document(uint64(f.n*31%cacheDocuments), uint64(f.n))
		a := choose(f.t, f.routers[f.n*7919%len(f.routers)], dispatch.Query{Service: models, Prompt: chain}, f.now)
		f.read(a, chain)
		f.running[a.Endpoint().ID]++
		f.total++
		f.open = append(f.open, open{attempt: a, ends: f.now.Add(shortStream), n: f.n})
	}
}

// read has the engine fetch what the request names, and read what it still lacks.
func (f *cacheFleet) read(a *dispatch.Attempt, chain prompt.Chain) {
	own, source := f.cached[a.Endpoint().ID], f.cached[f.addresses[a.FetchSource()]]
	for i, p := range chain {
		_, has := own[p.ID]
		_, fetched := source[p.ID]
		if !has && !fetched && i < len(chain)-1 && f.cachedAnywhere(p.ID) {
			f.rereadTokens += p.Tokens
		}
		own[p.ID] = p.Tokens
	}
	a.RecordFirstBytes(dispatch.Load{}, f.now)
}

func (f *cacheFleet) cachedAnywhere(part uint64) bool {
	for _, parts := range f.cached {
		if _, has := parts[part]; has {
			return true
		}
	}
	return false
}

// updateAll gives all routers the directory's entries.
func (f *cacheFleet) updateAll(entries []directory.Entry) {
	for _, d := range f.routers {
		d.Update(entries, f.now)
	}
}

// Engines are replaced one after the other and serve for some seconds after they left, while all clients ask for the
// same documents. What a leaving engine has cached must be fetched from it while it serves: nothing of it may be read
// again.
func TestPromptsOfReplacedEnginesAreNotReadAgain(t *testing.T) {
	l := newCacheFleet(t)
	l.generate(20 * time.Second)
	_, entries := newDispatcher(cacheEngines)
	l.rereadTokens = 0
	for i := range 3 {
		entries = without(entries, entries[2*i].ID)
		l.updateAll(entries)
		l.generate(2500 * time.Millisecond)
	}
	assert.Equal(t, l.rereadTokens, 0)
}
