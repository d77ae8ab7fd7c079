package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/prompt"
)

// library is a crowd of routers before engines that keep all they read, and fetch what they are told to from those that
// have it.
type library struct {
	*crowd
	holds     map[string]map[uint64]int
	addresses map[string]string
	// again are the tokens of shared parts that were read although an engine that still answers has them.
	again int
	n     int
}

const (
	libraryRouters = 6
	libraryEngines = 9
	libraryDocs    = 60
	// libraryGap is the time between two requests.
	libraryGap = 20 * time.Millisecond
)

func newLibrary(t *testing.T) *library {
	l := &library{
		crowd: newCrowd(t, libraryRouters, libraryEngines), holds: map[string]map[uint64]int{}, addresses: map[string]string{},
	}
	l.lose = func(string, int) bool { return false }
	_, entries := fleet(libraryEngines)
	for _, e := range entries {
		if e.Service == models {
			l.holds[e.ID], l.addresses[e.Address] = map[uint64]int{}, e.ID
		}
	}
	return l
}

func (l *library) ask(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		l.now = l.now.Add(libraryGap)
		l.end()
		l.report()
		l.n++
		chain := document(uint64(l.n*31%libraryDocs), uint64(l.n))
		a := choose(l.t, l.routers[l.n*7919%len(l.routers)], dispatch.Query{Service: models, Prompt: chain}, l.now)
		l.read(a, chain)
		l.running[a.Endpoint().ID]++
		l.total++
		l.open = append(l.open, open{attempt: a, ends: l.now.Add(shortStream), n: l.n})
	}
}

// read has the engine fetch what it is told to, and read what it then lacks.
func (l *library) read(a *dispatch.Attempt, chain prompt.Chain) {
	own, donor := l.holds[a.Endpoint().ID], l.holds[l.addresses[a.Donor()]]
	for i, p := range chain {
		_, has := own[p.ID]
		_, fetched := donor[p.ID]
		if !has && !fetched && i < len(chain)-1 && l.anywhere(p.ID) {
			l.again += p.Tokens
		}
		own[p.ID] = p.Tokens
	}
	a.Answered(dispatch.Load{}, l.now)
}

func (l *library) anywhere(part uint64) bool {
	for _, parts := range l.holds {
		if _, has := parts[part]; has {
			return true
		}
	}
	return false
}

// list tells all routers which endpoints there are.
func (l *library) list(entries []directory.Entry) {
	for _, d := range l.routers {
		d.Update(entries, l.now)
	}
}

// Engines are replaced one after the other while they answer on for some seconds, and all callers ask for the same
// documents. What the one that leaves holds is fetched from it as long as it answers: nothing of it is read again.
func TestReplacedEngineIsNotReadAgain(t *testing.T) {
	l := newLibrary(t)
	l.ask(20 * time.Second)
	_, entries := fleet(libraryEngines)
	l.again = 0
	for i := range 3 {
		entries = without(entries, entries[2*i].ID)
		l.list(entries)
		l.ask(2500 * time.Millisecond)
	}
	assert.Equal(t, l.again, 0)
}
