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

func (l *cacheFleet) generate(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		l.now = l.now.Add(requestInterval)
		l.endDue()
		l.exchangeReports()
		l.n++
		chain := document(uint64(l.n*31%cacheDocuments), uint64(l.n))
		a := choose(l.t, l.routers[l.n*7919%len(l.routers)], dispatch.Query{Service: models, Prompt: chain}, l.now)
		l.read(a, chain)
		l.running[a.Endpoint().ID]++
		l.total++
		l.open = append(l.open, open{attempt: a, ends: l.now.Add(shortStream), n: l.n})
	}
}

// read has the engine fetch what the request names, and read what it still lacks.
func (l *cacheFleet) read(a *dispatch.Attempt, chain prompt.Chain) {
	own, source := l.cached[a.Endpoint().ID], l.cached[l.addresses[a.FetchSource()]]
	for i, p := range chain {
		_, has := own[p.ID]
		_, fetched := source[p.ID]
		if !has && !fetched && i < len(chain)-1 && l.cachedAnywhere(p.ID) {
			l.rereadTokens += p.Tokens
		}
		own[p.ID] = p.Tokens
	}
	a.RecordFirstBytes(dispatch.Load{}, l.now)
}

func (l *cacheFleet) cachedAnywhere(part uint64) bool {
	for _, parts := range l.cached {
		if _, has := parts[part]; has {
			return true
		}
	}
	return false
}

// updateAll gives all routers the directory's entries.
func (l *cacheFleet) updateAll(entries []directory.Entry) {
	for _, d := range l.routers {
		d.Update(entries, l.now)
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
