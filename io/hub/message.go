package hub

import (
	"time"

	"savoryfall/core/board"
	"savoryfall/core/members"
)

// Report is what a router tells its hub: its own work and that of the routers which report to it. Its fields are exported
// because net/rpc asks for it.
type Report struct {
	From members.Member
	// Joined are routers that have come to this one and that its hub may not know.
	Joined  []members.Member
	Loads   Columns
	Demands []board.Demand
	Reads   []board.Read
	// Epoch is the life of the hub that the numbers are of: what was heard last.
	Epoch   int64
	Numbers Numbers
	// Digest is that of the routers known, so that a new hub need not name them all again.
	Digest uint64
	// Configuration is the offset that was heard last of the configuration. Wants asks for the configuration itself;
	// Failing tells that the store turns this router away.
	// Holds is the offset of the record of the configuration in force here, notHeld when there is none.
	Configuration int64
	Wants         bool
	Failing       bool
	Holds         int64
	// Offer is what this router knows of the store.
	Offer Offer
	// Hold is how long the hub may wait for news before it answers.
	Hold time.Duration
}

// Reply is what a hub tells a router.
type Reply struct {
	Epoch int64
	// Stamp is when this was written, by the hub's clock since boot.
	Stamp time.Duration
	// Full tells that the hub serves as many as it can: this router is to look for another, and nothing else is told.
	Full bool
	// Read asks the router to read the store, since the hub cannot.
	Read bool
	// Failing tells that who reads for the hub cannot: what it knows may be old.
	Failing bool

	Configuration Extent
	Registry      Extent
	// Given is the record of the configuration in force, for a router that wants it.
	Given *Packed
	// Since are the numbers that the lists below go on from, each 0 when the list is all there is; Numbers are the new ones.
	Since   Numbers
	Numbers Numbers
	Changes []board.Change
	// Loads and Demands are those of all routers together.
	Loads   Columns
	Demands []board.Demand
	Reads   []board.Read
	// Members are the routers that changed.
	Members []members.Member
}

// Numbers are up to where the router has been told of each list.
type Numbers struct {
	Changes int64
	Reads   int64
	Members int64
	Totals  int64
}

// Extent is up to which offset the hub knows a topic, and when the read was sent that last showed that there was no
// more: how long before the report arrived, by the hub's clock since boot. The read was sent no earlier than that long
// before the report was sent, whatever the way took and whoever was suspended.
type Extent struct {
	Known bool
	Next  int64
	Age   time.Duration
}

// Offer is what a router knows of the store, for a hub that cannot read it. Times are told as how long after the reply that
// bears the stamp was taken: the hub counts them from when it wrote that reply, which was earlier, so that neither a slow way
// nor a suspended VM makes what it is offered look fresher than it is.
type Offer struct {
	Stamp         time.Duration
	Configuration Known
	Registry      Known
	// Failing tells that the last reads of this router failed.
	Failing bool
	// Given and Changes are the configuration and all endpoints, where the hub has asked for them and lacks them.
	Given   *Packed
	Changes []board.Change
}

// Known is up to which offset a router knows a topic, and by a read that was sent when.
type Known struct {
	Known bool
	Next  int64
	After time.Duration
}
