package engine

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
)

// Shadow is one cache as large as those of all engines together: what a router that knows everything, and places each
// prompt where its prefix is, would find.
type Shadow struct {
	mu    sync.Mutex
	cache *prefixCache
}

// NewShadow makes a shadow of so many tokens.
func NewShadow(tokens int) *Shadow { return &Shadow{cache: newPrefixCache(tokens)} }

// Ask returns the tokens of a prompt, and how many of them are found.
func (s *Shadow) Ask(messages []byte) (prompt, found int) {
	var list []message
	if json.Unmarshal(messages, &list) != nil {
		return 0, 0
	}
	cut := prefixes(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	found = s.cache.hit(cut)
	s.cache.put(cut)
	return totalTokens(cut), found
}

// Keep takes a prompt with its answer.
func (s *Shadow) Keep(messages []byte) {
	var list []message
	if json.Unmarshal(messages, &list) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.put(prefixes(list))
}

// Lose forgets a share of the prefixes, as the loss of one of several engines does.
func (s *Shadow) Lose(share float64, random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.cache.order.Front(); e != nil; {
		next := e.Next()
		if random.Float64() < share {
			p := s.cache.order.Remove(e).(prefix)
			delete(s.cache.by, p.hash)
			s.cache.used -= p.tokens
		}
		e = next
	}
}
