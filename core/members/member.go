package members

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Member describes a router as it registers itself. The store holds only what other routers need to find a hub,
// because all routers that start at the same time read the whole list.
type Member struct {
	Name          string `json:"-"`
	Address       string `json:"address"`
	FailureDomain string `json:"domain"`
	// Started is the start time of the router's process in Unix milliseconds. It only distinguishes processes of
	// the same name.
	Started int64 `json:"-"`
	// Bears is how many followers the router's VM could serve as hub.
	Bears int `json:"bears"`
	// RecordsVersions says that the router records the software versions of endpoints. Routers of earlier releases do not.
	RecordsVersions bool `json:"recordsVersions,omitempty"`
}

// VM describes the resources of a VM. For memory and link speed, 0 means unknown.
type VM struct {
	Cores    float64
	MemoryMB float64
	LinkMbps float64
}

// These limit what a VM spends on serving as hub: half of its CPU, half of the memory that remains after
// reservedMB for serving requests, and a quarter of its link, so that the router's own clients are not affected.
const (
	hubCoresShare  = 0.5
	hubMemoryShare = 0.5
	hubLinkShare   = 0.25
	reservedMB     = 64.0
	followerCores  = 0.001
	followerMB     = 0.5
	followerMbps   = 0.1
)

// maxFollowers limits the followers of a hub on a VM of any size, because losing a hub affects all routers that
// report to it.
const maxFollowers = 100

// FollowerCapacity returns how many followers the VM could serve as hub, limited by its scarcest resource.
func (vm VM) FollowerCapacity() int {
	n := vm.Cores * hubCoresShare / followerCores
	if vm.MemoryMB > 0 {
		n = min(n, max(0, vm.MemoryMB-reservedMB)*hubMemoryShare/followerMB)
	}
	if vm.LinkMbps > 0 {
		n = min(n, vm.LinkMbps*hubLinkShare/followerMbps)
	}
	return int(max(0, n))
}

// MaxFollowers returns how many routers may report to this router at a time; it is at least 1.
func (m Member) MaxFollowers() int {
	return max(1, min(m.Bears, maxFollowers))
}

// Hash returns the hash of a router's name that is used to rank routers.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// digest hashes all fields including their names, so the result changes when a field is renamed.
func (m Member) digest() uint64 { return xxhash.Sum64String(fmt.Sprintf("%+v", m)) }
