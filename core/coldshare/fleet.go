package coldshare

import (
	"math"

	"savoryfall/core/scatter"
)

// Bound is how many requests beyond its rate a cold endpoint bears in one second.
type Bound struct {
	// Overrun is how many times its rate, Slack how many requests more.
	Overrun, Slack float64
}

// usedShare is the part of the bound that is divided. The rest is for routers that others do not know of yet, and which take
// a share too: as many as one in eight of a fleet that is larger than the bound.
const usedShare = 0.9

// Limit is how many requests all routers together may send in a second to an endpoint that bears the rate while it is cold.
func (b Bound) Limit(perSecond float64) int {
	return int(math.Floor(usedShare * (max(b.Overrun, 1)*perSecond + b.Slack)))
}

// Fleet is the routers that divide what cold endpoints bear; the zero value knows nobody and has no share of anything.
type Fleet struct {
	self    uint64
	routers []uint64
}

// New is the fleet of the routers, by the hashes of their names, of which self is one.
func New(self uint64, routers []uint64) Fleet { return Fleet{self: self, routers: routers} }

// Share is how many requests of the limit this router may send in a second to the endpoint, by the hash of its id.
//
// The limit is divided evenly, and what is left goes by rendezvous hashing to one router each: where there are more routers
// than the endpoint bears requests, as many of them as it bears may send one. No message is needed for the routers to agree,
// and a lost router takes no more than its own share with it.
func (f Fleet) Share(endpoint uint64, limit int) int {
	n := len(f.routers)
	if n == 0 || limit <= 0 {
		return 0
	}
	share := limit / n
	if f.before(endpoint) < limit%n {
		share++
	}
	return share
}

// before is how many routers rank before this one for the endpoint.
func (f Fleet) before(endpoint uint64) (n int) {
	own := scatter.Mix(f.self ^ endpoint)
	for _, r := range f.routers {
		if scatter.Mix(r^endpoint) < own {
			n++
		}
	}
	return n
}
