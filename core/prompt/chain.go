package prompt

// Part is one piece of a prompt. Parts with equal ids hold equal tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain is the parts of a prompt in order. An engine can reuse a cached part only if it has cached all parts before it
// too.
type Chain []Part

// Tokens returns the length of the whole prompt.
func (c Chain) Tokens() (n int) {
	for _, p := range c {
		n += p.Tokens
	}
	return n
}

// RoutingKey returns the id that decides where the chain is placed: that of the last part shared with other requests.
// The very last part belongs to the request or its chat alone, so it would spread requests that share the long part
// before it.
func (c Chain) RoutingKey() uint64 {
	switch len(c) {
	case 0:
		return 0
	case 1:
		return c[0].ID
	}
	return c[len(c)-2].ID
}
