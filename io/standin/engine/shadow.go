package engine

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
)

// ReferenceCache is a reference cache with the capacity of all engines together. It shows how many tokens would be found by a
// router that knows every cache and always chooses the endpoint that holds the prefix.
type ReferenceCache struct {
	mu    sync.Mutex
	cache *prefixCache
}

// NewReferenceCache returns an empty reference cache with a capacity in tokens.
func NewReferenceCache(tokens int) *ReferenceCache {
	return &ReferenceCache{cache: newPrefixCache(tokens)}
}

// LookUp returns the number of tokens in the prompt and how many of them were cached, and then caches the prompt.
func (s *ReferenceCache) LookUp(messages []byte) (prompt, found int) {
	var parsed []message
	if json.Unmarshal(messages, &parsed) != nil {
		return 0, 0
	}
	prefixes := promptPrefixes(parsed)
	s.mu.Lock()
	defer s.mu.Unlock()
	found = s.cache.lookUp(prefixes)
	s.cache.add(prefixes)
	return totalTokens(prefixes), found
}

// Add caches a prompt together with its answer.
func (s *ReferenceCache) Add(messages []byte) {
	var parsed []message
	if json.Unmarshal(messages, &parsed) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.add(promptPrefixes(parsed))
}

// EvictShare evicts each prefix with the given probability, to simulate the loss of some of the engines.
func (s *ReferenceCache) EvictShare(share float64, random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.cache.recency.Front(); e != nil; {
		next := e.Next()
		if random.Float64() < share {
			p := s.cache.recency.Remove(e).(prefix)
			delete(s.cache.byHash, p.hash)
			s.cache.used -= p.tokens
		}
		e = next
	}
}
