package warmth

import (
	"savoryfall/core/prompt"
)

// Cache is what one endpoint is believed to hold. What an engine evicts first is what was used least recently, so the
// parts are kept in two generations: a part that is used moves to the young one, and when the young one is full the old
// one is forgotten. That keeps the recently used without a list. The zero value is empty; it is not safe for concurrent
// use.
type Cache struct {
	young, old  map[uint64]struct{}
	youngTokens int
}

// Read notes that the endpoint has read the chain; capacity is how many tokens it keeps.
func (c *Cache) Read(chain prompt.Chain, capacity int) {
	for _, p := range chain {
		c.use(p, capacity)
	}
}

func (c *Cache) use(p prompt.Part, capacity int) {
	if _, ok := c.young[p.ID]; ok {
		return
	}
	if c.young == nil {
		c.young = map[uint64]struct{}{}
	}
	c.young[p.ID] = struct{}{}
	c.youngTokens += p.Tokens
	if 2*c.youngTokens > capacity {
		c.old, c.young, c.youngTokens = c.young, nil, 0
	}
}

// Warm is how many tokens of the chain, from its start, the endpoint is believed to hold.
func (c *Cache) Warm(chain prompt.Chain) (tokens int) {
	if len(c.young) == 0 && len(c.old) == 0 {
		return 0
	}
	for _, p := range chain {
		_, young := c.young[p.ID]
		_, old := c.old[p.ID]
		if !young && !old {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}
