package dispatch

import "slices"

// mayContinue reports whether the endpoint may be given the request: any may begin a stream, and those of the version that
// began one may continue it.
func (q *Query) mayContinue(e *endpoint) bool { return q.Origin == nil || q.Origin.Continues(e.entry) }

func (c *scoring) mayContinue(e *endpoint) bool { return c.q.mayContinue(e) }

// withContinuing returns the endpoints that answer, and if none of them may continue the stream, also those that may and
// did not answer lately: the stream can go on nowhere else.
func (q *Query) withContinuing(answering, accepting []*endpoint) (pool []*endpoint) {
	if q.Origin == nil || slices.ContainsFunc(answering, q.mayContinue) {
		return answering
	}
	pool = slices.Clone(answering)
	for _, e := range accepting {
		if q.mayContinue(e) && !slices.Contains(pool, e) {
			pool = append(pool, e)
		}
	}
	return pool
}

// checkOrigin reports whether an endpoint is left that may continue the stream, and if not, why.
func (c *scoring) checkOrigin() (reason Reason, ok bool) {
	if c.q.Origin == nil {
		return "", true
	}
	if e := c.d.find(c.q.Origin.Endpoint); e != nil && c.q.Origin.Doubtful(e.entry) {
		return ReasonDoubtfulVersion, false
	}
	for _, e := range c.pool {
		if c.mayContinue(e) && !slices.Contains(c.q.Tried, e.entry.ID) {
			return "", true
		}
	}
	return ReasonNoVersion, false
}

// restricted reports whether only a part of the endpoints may take the request. These are never given more than they can
// hold, because the excess cannot be spread over the others.
func (c *scoring) restricted() bool {
	return c.q.Origin != nil && slices.ContainsFunc(c.pool, func(e *endpoint) bool { return !c.mayContinue(e) })
}
