package clientconn

// Counts are the numbers of connections by state.
type Counts struct {
	idle, reading, serving int
}

// Idle returns the number of connections without a request.
func (n Counts) Idle() int { return n.idle }

// Reading returns the number of connections on which a request has started to arrive and its handler has not started.
func (n Counts) Reading() int { return n.reading }

// Serving returns the number of connections with a request in its handler.
func (n Counts) Serving() int { return n.serving }

func (n *Counts) add(s state) {
	switch s {
	case reading:
		n.reading++
	case serving:
		n.serving++
	default:
		n.idle++
	}
}
