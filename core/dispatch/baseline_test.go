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
	"savoryfall/core/prompt"
	"savoryfall/core/warmth"
)

// heavy is a heavy day's requests at engines that really keep what they read: documents of unequal popularity, one of
// which half of all ask for in the middle.
type heavy struct {
	random  *rand.Rand
	engines []*engine
	// read are the tokens that engines had to read, over are the requests that met an engine beyond the users' bound.
	read, over int
}

type engine struct {
	id      string
	cache   warmth.Cache
	running int
}

const (
	heavyEngines  = 9
	heavyRequests = 6000
	heavyDocs     = 60
	heavyRate     = 60
	heavyCache    = 700000
)

func newHeavy() *heavy {
	h := &heavy{random: rand.New(rand.NewPCG(1, 2))}
	for i := range heavyEngines {
		h.engines = append(h.engines, &engine{id: fmt.Sprint("models", i)})
	}
	return h
}

// choice sends a request to an engine and tells when it has ended.
type choice func(chain prompt.Chain, now time.Time) (id string, ended func(now time.Time))

func (h *heavy) play(choose choice) {
	type open struct {
		e     *engine
		at    time.Time
		ended func(now time.Time)
	}
	var running []open
	now := start
	for n := range heavyRequests {
		now = now.Add(time.Second / heavyRate)
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
		doc := uint64(float64(heavyDocs) * math.Pow(h.random.Float64(), 1.5))
		if n > heavyRequests/3 && n < heavyRequests/2 && n%2 == 0 {
			doc = 7
		}
		chain := document(doc, uint64(n))
		id, ended := choose(chain, now)
		e := h.engine(id)
		if float64(e.running) > 2*float64(len(running))/heavyEngines+3 {
			h.over++
		}
		h.read += chain.Tokens() - e.cache.Warm(chain)
		e.cache.Read(chain, heavyCache)
		e.running++
		running = append(running, open{e: e, at: now.Add(time.Duration(200+h.random.IntN(2600)) * time.Millisecond), ended: ended})
	}
}

func (h *heavy) engine(id string) *engine {
	for _, e := range h.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func nothing(time.Time) {}

// Against two plain ways to choose, on the same requests: the engine with least running reads nearly every prompt again,
// and the one that ranks first for a prompt is loaded without bound when a prompt is hot. The dispatcher must read far
// less than the one and hold the bound, which the other breaks.
func TestAgainstBaselines(t *testing.T) {
	ours := newHeavy()
	d, _ := fleet(heavyEngines)
	ours.play(func(chain prompt.Chain, now time.Time) (string, func(time.Time)) {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: chain}, now)
		a.Answered(dispatch.Load{}, now)
		return a.Endpoint().ID, func(now time.Time) { a.End(dispatch.Served, now) }
	})
	least := newHeavy()
	least.play(func(prompt.Chain, time.Time) (string, func(time.Time)) {
		best := least.engines[0]
		for _, e := range least.engines {
			if e.running < best.running {
				best = e
			}
		}
		return best.id, nothing
	})
	ranked := newHeavy()
	ranked.play(func(chain prompt.Chain, _ time.Time) (string, func(time.Time)) {
		best, most := "", uint64(0)
		for _, e := range ranked.engines {
			if r := xxhash.Sum64String(fmt.Sprint(e.id, chain.Key())); best == "" || r > most {
				best, most = e.id, r
			}
		}
		return best, nothing
	})
	t.Logf("tokens read, beyond the bound: ours %d, %d; least loaded %d, %d; by rank %d, %d",
		ours.read, ours.over, least.read, least.over, ranked.read, ranked.over)
	assert.Assert(t, ours.read < least.read*2/3)
	assert.Assert(t, ours.over <= heavyRequests*3/100)
	assert.Assert(t, ranked.over > heavyRequests*3/100)
}
