package coldlimit

import (
	"math"

	"savoryfall/core/hashmix"
)

// Bound is how many requests beyond its rate a cold endpoint can take in one second.
type Bound struct {
	// RateFactor is a factor on the rate, Slack a number of additional requests.
	RateFactor, Slack float64
}

// dividedShare is the part of the bound that is divided. The rest is for routers that the others do not know of yet
// and that take a share too: as many as one in eight, in a fleet with more routers than the bound has requests.
const dividedShare = 0.9

// Limit returns how many requests all routers together may send in a second to an endpoint that can take the given
// rate while it is cold.
func (b Bound) Limit(perSecond float64) int {
	return int(math.Floor(dividedShare * (max(b.RateFactor, 1)*perSecond + b.Slack)))
}

// Fleet is the routers that divide the rate of cold endpoints. The zero value has no routers and no share of anything.
type Fleet struct {
	self    uint64
	routers []uint64
}

// New returns the fleet of the routers, given by the hashes of their names. self is one of them.
func New(self uint64, routers []uint64) Fleet { return Fleet{self: self, routers: routers} }

// Size returns the number of routers.
func (f Fleet) Size() int { return len(f.routers) }

// Share returns how many requests of the limit this router may send in a second to the endpoint, given by the hash of
// its id.
//
// The limit is divided evenly, and the remainder goes by rendezvous hashing to one router each: if there are more
// routers than the limit has requests, as many of them may send one. The routers agree without a message, and a lost
// router takes no more than its own share with it.
func (f Fleet) Share(endpoint uint64, limit int) int {
	n := len(f.routers)
	if n == 0 || limit <= 0 {
		return 0
	}
	share := limit / n
	if f.Rank(endpoint) < limit%n {
		share++
	}
	return share
}

// Rank returns how many routers rank before this one for the key, by rendezvous hashing.
func (f Fleet) Rank(key uint64) (n int) {
	own := hashmix.Mix(f.self ^ key)
	for _, r := range f.routers {
		if hashmix.Mix(r^key) < own {
			n++
		}
	}
	return n
}
