package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/prefixcache"
	"savoryfall/core/prompt"
)

// workload is the requests of a busy day at engines that cache what they read: documents of unequal popularity, one of
// which half of all requests ask for in the middle of the run.
type workload struct {
	random  *rand.Rand
	engines []*engine
	// tokensRead counts the tokens that engines had to read, beyondBound the requests that met an engine beyond the
	// users' bound.
	tokensRead, beyondBound int
}

type engine struct {
	id      string
	cache   prefixcache.Cache
	running int
}

const (
	workloadEngines   = 9
	workloadRequests  = 6000
	workloadDocuments = 60
	workloadRate      = 60
	workloadCache     = 700000
)

func newWorkload() *workload {
	w := &workload{random: rand.New(rand.NewPCG(1, 2))}
	for i := range workloadEngines {
		w.engines = append(w.engines, &engine{id: fmt.Sprint("models", i)})
	}
	return w
}

// chooser sends a request to an engine and returns a function to call when it has ended.
type chooser func(chain prompt.Chain, now time.Time) (id string, ended func(now time.Time))

func (w *workload) run(choose chooser) {
	type open struct {
		e     *engine
		at    time.Time
		ended func(now time.Time)
	}
	var running []open
	now := start
	for n := range workloadRequests {
		now = now.Add(time.Second / workloadRate)
		kept := running[:0]
		for _, o := range running {
			if o.at.After(now) {
				kept = append(kept, o)
				continue
			}
			o.e.running--
			o.ended(now)
		}
		running = kept
		doc := uint64(float64(workloadDocuments) * math.Pow(w.random.Float64(), 1.5))
		if n > workloadRequests/3 && n < workloadRequests/2 && n%2 == 0 {
			doc = 7
		}
		chain := document(doc, uint64(n))
		id, ended := choose(chain, now)
		e := w.engine(id)
		if float64(e.running) > 2*float64(len(running))/workloadEngines+3 {
			w.beyondBound++
		}
		w.tokensRead += chain.Tokens() - e.cache.CachedTokens(chain)
		e.cache.Read(chain, workloadCache)
		e.running++
		running = append(running, open{e: e, at: now.Add(time.Duration(200+w.random.IntN(2600)) * time.Millisecond), ended: ended})
	}
}

func (w *workload) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func noop(time.Time) {}

// Compares the dispatcher with two simple policies on the same requests. Least loaded reads nearly every prompt again;
// sending each prompt to its first in rank loads an engine without bound when a prompt is popular. The dispatcher must
// read far less than the former and hold the bound, which the latter breaks.
func TestAgainstBaselines(t *testing.T) {
	ours := newWorkload()
	d, _ := newDispatcher(workloadEngines)
	ours.run(func(chain prompt.Chain, now time.Time) (string, func(time.Time)) {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: chain}, now)
		a.RecordFirstBytes(dispatch.Load{}, now)
		return a.Endpoint().ID, func(now time.Time) { a.End(dispatch.Served, now) }
	})
	least := newWorkload()
	least.run(func(prompt.Chain, time.Time) (string, func(time.Time)) {
		best := least.engines[0]
		for _, e := range least.engines {
			if e.running < best.running {
				best = e
			}
		}
		return best.id, noop
	})
	ranked := newWorkload()
	ranked.run(func(chain prompt.Chain, _ time.Time) (string, func(time.Time)) {
		best, most := "", uint64(0)
		for _, e := range ranked.engines {
			if r := xxhash.Sum64String(fmt.Sprint(e.id, chain.RoutingKey())); best == "" || r > most {
				best, most = e.id, r
			}
		}
		return best, noop
	})
	t.Logf("tokens read, beyond the bound: ours %d, %d; least loaded %d, %d; by rank %d, %d",
		ours.tokensRead, ours.beyondBound, least.tokensRead, least.beyondBound, ranked.tokensRead, ranked.beyondBound)
	assert.Assert(t, ours.tokensRead < least.tokensRead*2/3)
	assert.Assert(t, ours.beyondBound <= workloadRequests*3/100)
	assert.Assert(t, ranked.beyondBound > workloadRequests*3/100)
}
