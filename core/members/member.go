package members

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Member is a router as it lists itself. What is written to the store is what others need to find a hub, and no more: all
// routers that start together read the whole list.
type Member struct {
	Name          string `json:"-"`
	Address       string `json:"address"`
	FailureDomain string `json:"domain"`
	// Started is when its process started, in Unix milliseconds; it only tells two processes of a name apart.
	Started int64 `json:"-"`
	// Bears is how many routers its VM could serve as hub.
	Bears int `json:"bears"`
}

// VM is what a VM has; 0 for memory or link is not known.
type VM struct {
	Cores    float64
	MemoryMB float64
	LinkMbps float64
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
const mostFollowers = 100

// Bears is how many routers the VM could serve as hub, by the least of what it has.
func (vm VM) Bears() int {
	n := vm.Cores * coresShare / followerCores
	if vm.MemoryMB > 0 {
		n = min(n, max(0, vm.MemoryMB-servingMB)*memoryShare/followerMB)
	}
	if vm.LinkMbps > 0 {
		n = min(n, vm.LinkMbps*linkShare/followerMbps)
	}
	return int(max(0, n))
}

// Followers is how many routers may report to this one at a time, at least one.
func (m Member) Followers() int {
	return max(1, min(m.Bears, mostFollowers))
}

// Hash stands for a router's name where routers are ranked.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

func (m Member) digest() uint64 { return xxhash.Sum64String(fmt.Sprintf("%+v", m)) }
