package engine

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
)

// ReferenceCache is a reference cache with the capacity of all engines together. It shows how many tokens would be
// found by a router that knows every cache and always chooses the endpoint that holds the prefix.
type ReferenceCache struct {
	mu    sync.Mutex
	cache *prefixCache
}

// NewReferenceCache returns an empty reference cache with a capacity in tokens.
func NewReferenceCache(tokens int) *ReferenceCache {
	return &ReferenceCache{cache: newPrefixCache(tokens)}
}

// LookUp returns the number of tokens in the prompt and how many of them were cached, and then caches the prompt.
func (c *ReferenceCache) LookUp(messages []byte) (prompt, found int) {
	var parsed []message
	if json.Unmarshal(messages, &parsed) != nil {
		return 0, 0
	}
	prefixes := promptPrefixes(parsed)
	c.mu.Lock()
	defer c.mu.Unlock()
	found = c.cache.lookUp(prefixes)
	c.cache.add(prefixes)
	return totalTokens(prefixes), found
}

// Add caches a prompt together with its answer.
func (c *ReferenceCache) Add(messages []byte) {
	var parsed []message
	if json.Unmarshal(messages, &parsed) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.add(promptPrefixes(parsed))
}

// EvictShare evicts each prefix with the given probability, to simulate the loss of some of the engines.
func (c *ReferenceCache) EvictShare(share float64, random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.cache.recency.Front(); e != nil; {
		next := e.Next()
		if random.Float64() < share {
			p := c.cache.recency.Remove(e).(prefix)
			delete(c.cache.byHash, p.hash)
			c.cache.used -= p.tokens
		}
		e = next
	}
}
