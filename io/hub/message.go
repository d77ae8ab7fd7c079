package hub

import (
	"time"

	"savoryfall/core/board"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
)

// Report is what a router tells the hub. Its fields are exported because net/rpc asks for it.
type Report struct {
	From  members.Member
	Work  board.Work
	Reads []board.Read
	// Epoch is the life of the hub that the three numbers are of: what was heard last of each.
	Epoch   int64
	Entries int64
	Heard   int64
	Listed  int64
	// Configuration is the offset that was heard last of the configuration. Wants asks for the configuration itself;
	// Failing tells that the store turns this router away.
	Configuration int64
	Wants         bool
	Failing       bool
	// Hold is how long the hub may wait for news before it answers.
	Hold time.Duration
}

// Reply is what the hub tells a router.
type Reply struct {
	Epoch         int64
	Configuration Extent
	Registry      Extent
	// Given is the record of the configuration in force, for a router that wants it.
	Given *keyed.Record
	// Changes of endpoints since; Whole tells that they are all there is.
	Changes []board.Change
	Whole   bool
	Entries int64
	// Work is that of all routers together, Routers how many those are.
	Work    board.Work
	Routers int
	Reads   []board.Read
	Heard   int64
	// Members are the routers known when they changed.
	Members []members.Member
	Listed  int64
}

// Extent is up to which offset the hub knows a topic, and when the read was sent that last showed that there was no
// more: how long before the report arrived, by the hub's clock since boot. The read was sent no earlier than that long
// before the report was sent, whatever the way took and whoever was suspended.
type Extent struct {
	Known bool
	Next  int64
	Age   time.Duration
}
