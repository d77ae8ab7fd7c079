package members

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Member is a router as it lists itself.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// Started is when its process started, in Unix milliseconds; it only tells two processes of a name apart.
	Started int64 `json:"started"`
	// Cores, MemoryMB and LinkMbps are what the VM has; 0 for memory or link is not known.
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memoryMB,omitempty"`
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// What a VM spends as hub: at most half of its processor and of the memory that serving leaves, and a quarter of its
// link, so that its own clients do not feel it.
const (
	coresShare    = 0.5
	memoryShare   = 0.5
	linkShare     = 0.25
	servingMB     = 64.0
	followerCores = 0.001
	followerMB    = 0.5
	followerMbps  = 0.1
)

// mostFollowers bounds a hub on a VM of any size: its loss is felt by all who report to it.
const mostFollowers = 64

// capacity is how many routers the VM can serve as hub, by the least of what it has.
func (m Member) capacity() float64 {
	c := m.Cores * coresShare / followerCores
	if m.MemoryMB > 0 {
		c = min(c, max(0, m.MemoryMB-servingMB)*memoryShare/followerMB)
	}
	if m.LinkMbps > 0 {
		c = min(c, m.LinkMbps*linkShare/followerMbps)
	}
	if !(c >= 0) {
		return 0
	}
	return c
}

// Followers is how many routers may report to this one at a time, at least one.
func (m Member) Followers() int {
	return int(max(1, min(m.capacity(), mostFollowers)))
}

func (m Member) digest() uint64 { return xxhash.Sum64String(fmt.Sprintf("%+v", m)) }
