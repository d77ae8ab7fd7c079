package prompt

// Part is one piece of a prompt; equal ids hold equal tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain is the parts of a prompt in order; an engine reuses a cached part only when it holds all parts before it too.
type Chain []Part

// Tokens is the length of the whole prompt.
func (c Chain) Tokens() (n int) {
	for _, p := range c {
		n += p.Tokens
	}
	return n
}

// Key is what places the chain: the last part that other requests have too. The last part of all belongs to the
// request or its chat alone, so it would scatter requests that share the long part before it.
func (c Chain) Key() uint64 {
	switch len(c) {
	case 0:
		return 0
	case 1:
		return c[0].ID
	}
	return c[len(c)-2].ID
}
