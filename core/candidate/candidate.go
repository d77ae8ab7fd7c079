package candidate

import "github.com/cespare/xxhash/v2"

// Candidate is one endpoint as the placement sees it; it holds numbers only, so that thousands lie side by side.
type Candidate struct {
	hash     uint64
	weight   float64
	requests float64
	tokens   float64
	usable   bool
	young    bool
}

// New makes an unloaded, usable candidate.
func New(name string, weight float64) Candidate {
	return Candidate{hash: xxhash.Sum64String(name), weight: weight, usable: true}
}

// Hash is that of the endpoint's name.
func (c *Candidate) Hash() uint64 { return c.hash }

// Weight is the capacity relative to the others.
func (c *Candidate) Weight() float64 { return c.weight }

// Requests is how many requests the endpoint is expected to hold.
func (c *Candidate) Requests() float64 { return c.requests }

// Tokens is how many tokens it is expected to have to make still.
func (c *Candidate) Tokens() float64 { return c.tokens }

// Usable tells whether new work may go to it.
func (c *Candidate) Usable() bool { return c.usable }

// SetLoad replaces the expected load.
func (c *Candidate) SetLoad(requests, tokens float64) {
	c.requests, c.tokens = requests, tokens
}

// SetUsable allows or forbids new work.
func (c *Candidate) SetUsable(usable bool) { c.usable = usable }

// SetWeight replaces the weight.
func (c *Candidate) SetWeight(weight float64) { c.weight = weight }

// Young tells whether the endpoint has just come, so that no chat from before can be warm there.
func (c *Candidate) Young() bool { return c.young }

// SetYoung marks an endpoint that has just come.
func (c *Candidate) SetYoung(young bool) { c.young = young }
