package candidate

import "github.com/cespare/xxhash/v2"

// Candidate is an endpoint as the placement policies see it. It holds no pointers, so that thousands lie side by side
// in memory.
type Candidate struct {
	hash            uint64
	weight          float64
	requests        float64
	tokens          float64
	usable          bool
	recentlyStarted bool
}

// New returns an unloaded, usable candidate.
func New(name string, weight float64) Candidate {
	return Candidate{hash: xxhash.Sum64String(name), weight: weight, usable: true}
}

// Hash returns the hash of the endpoint's name.
func (c *Candidate) Hash() uint64 { return c.hash }

// Weight returns the endpoint's capacity relative to that of the others.
func (c *Candidate) Weight() float64 { return c.weight }

// Requests returns how many requests the endpoint is expected to hold.
func (c *Candidate) Requests() float64 { return c.requests }

// Tokens returns how many tokens the endpoint is expected to still have to generate.
func (c *Candidate) Tokens() float64 { return c.tokens }

// Usable reports whether the endpoint may get new work.
func (c *Candidate) Usable() bool { return c.usable }

// SetLoad sets the expected load.
func (c *Candidate) SetLoad(requests, tokens float64) {
	c.requests, c.tokens = requests, tokens
}

// SetUsable sets whether the endpoint may get new work.
func (c *Candidate) SetUsable(usable bool) { c.usable = usable }

// SetWeight sets the weight.
func (c *Candidate) SetWeight(weight float64) { c.weight = weight }

// RecentlyStarted reports whether the endpoint was added recently, so that it has no earlier chat in its cache.
func (c *Candidate) RecentlyStarted() bool { return c.recentlyStarted }

// SetRecentlyStarted sets whether the endpoint was added recently.
func (c *Candidate) SetRecentlyStarted(recentlyStarted bool) { c.recentlyStarted = recentlyStarted }
