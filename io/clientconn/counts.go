package clientconn

// Counts are numbers of connections by what they are used for.
type Counts struct {
	idle, reading, serving int
}

// Idle are those without a request.
func (n Counts) Idle() int { return n.idle }

// Reading are those on which a request has begun to come and has not begun to be served.
func (n Counts) Reading() int { return n.reading }

// Serving are those with a request in its handler.
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
