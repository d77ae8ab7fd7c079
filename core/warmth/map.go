package warmth

import (
	"savoryfall/core/prompt"
)

// Map remembers, for each endpoint, the parts that this router sent there; what an engine evicts first is what was
// used least recently, so the map forgets in the same order. The zero value of the map is empty. It is not safe for
// concurrent use.
type Map struct {
	by map[string]*cache
}

// cache is the parts of one endpoint, in two generations: a part that is used moves to the young one, and when the
// young one is full the old one is forgotten. That keeps the recently used without a list.
type cache struct {
	young, old  map[uint64]int
	youngTokens int
	capacity    int
}

// Read notes that the endpoint has read the chain; capacity is how many tokens it keeps.
func (m *Map) Read(endpoint string, c prompt.Chain, capacity int) {
	if m.by == nil {
		m.by = map[string]*cache{}
	}
	k := m.by[endpoint]
	if k == nil {
		k = &cache{young: map[uint64]int{}}
		m.by[endpoint] = k
	}
	k.capacity = capacity
	for _, p := range c {
		k.use(p)
	}
}

func (k *cache) use(p prompt.Part) {
	if _, ok := k.young[p.ID]; ok {
		return
	}
	k.young[p.ID] = p.Tokens
	k.youngTokens += p.Tokens
	if 2*k.youngTokens > k.capacity {
		k.old, k.young, k.youngTokens = k.young, map[uint64]int{}, 0
	}
}

// Warm is how many tokens of the chain, from its start, the endpoint is believed to hold.
func (m *Map) Warm(endpoint string, c prompt.Chain) (tokens int) {
	k := m.by[endpoint]
	if k == nil {
		return 0
	}
	for _, p := range c {
		_, young := k.young[p.ID]
		_, old := k.old[p.ID]
		if !young && !old {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// Forget drops what is known of an endpoint whose process has ended.
func (m *Map) Forget(endpoint string) { delete(m.by, endpoint) }
