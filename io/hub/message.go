package hub

import (
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/core/quarantine"
)

// Report is what a router sends to its hub: its own work and that of the routers that report to it. Field names are
// part of the wire format, because net/rpc sends them.
type Report struct {
	From members.Member
	// Joined are routers that reported here and that the hub may not know.
	Joined  []members.Member
	Loads   LoadColumns
	Demands []fleetload.Demand
	Reads   []fleetload.PrefixRead
	// Parts are requests and prompt parts under which endpoints crashed, as far as the hub has not accepted what is known of them.
	Parts []quarantine.Record
	// TakesParts says that this router takes such records. One of an earlier release does not, and would never have them all.
	TakesParts bool
	// Epoch identifies the run of the hub that Numbers belong to, as received last.
	Epoch   int64
	Numbers Numbers
	// Digest is the digest of the known routers, so that a new hub need not send them all again.
	Digest uint64
	// Configuration is the offset up to which the hub last said that it knows the configuration topic. Wants requests
	// the configuration itself. Failing says that the store refuses this router. Holds is the offset of the record of
	// the configuration in force here, or noRecord.
	Configuration int64
	Wants         bool
	Failing       bool
	Holds         int64
	// ConfigurationGeneration and HoldsGeneration are the generations of the log that the two offsets belong to, 0 if
	// unknown, as from a router of an earlier release.
	ConfigurationGeneration int64
	HoldsGeneration         int64
	// Offer is what this router has read from the store.
	Offer Offer
	// Hold is how long the hub may wait for changes before it replies.
	Hold time.Duration
}

// Reply is a hub's answer to a report.
type Reply struct {
	Epoch int64
	// Stamp is the hub's time since boot when it wrote this reply.
	Stamp time.Duration
	// Full says that the hub has as many followers as it can serve. The router has to find another hub, and nothing
	// else is set.
	Full bool
	// Read asks the router to read the store, because the hub cannot.
	Read bool
	// Failing says that no router that reads for the hub can read the store, so what the hub knows may be old.
	Failing bool

	Configuration TopicPosition
	Registry      TopicPosition
	// Given is the record of the configuration in force, for a router that requested it.
	Given *CompressedConfiguration
	// Since are the sequence numbers that the lists below start from, 0 for a list that is complete. Numbers are the
	// new ones.
	Since   Numbers
	Numbers Numbers
	Changes []fleetload.Change
	// Loads and Demands are the sums over all routers.
	Loads   LoadColumns
	Demands []fleetload.Demand
	Reads   []fleetload.PrefixRead
	// Parts are requests and prompt parts under which endpoints crashed.
	Parts []quarantine.Record
	// Members are the routers that changed.
	Members []members.Member
}

// Numbers are the sequence numbers up to which a router has received each list.
type Numbers struct {
	Changes int64
	Reads   int64
	Members int64
	Totals  int64
	Parts   int64
}

// TopicPosition is the offset up to which the hub knows a topic, and the age of the last read that found nothing
// beyond it. The age is the time from sending that read to the arrival of the report, by the hub's clock since boot.
// Subtracted from the time at which the report was sent, it never makes the read look newer than it is, whatever the
// network delay and whichever VM was suspended.
type TopicPosition struct {
	Known bool
	Next  int64
	Age   time.Duration
	// Generation is the generation of the log that Next belongs to.
	Generation int64
}

func (p TopicPosition) end() compactedlog.Position {
	return compactedlog.Position{Generation: p.Generation, Offset: p.Next}
}

// Offer is what a router has read from the store, for a hub that cannot read it. Times are relative to when the
// router received the reply that bears the stamp. The hub counts them from when it wrote that reply, which was
// earlier, so neither a slow network nor a suspended VM makes the offer look newer than it is.
type Offer struct {
	Stamp         time.Duration
	Configuration Known
	Registry      Known
	// Failing says that this router's last reads failed, since it was asked to read.
	Failing bool
	// Given and Changes are the configuration and all endpoints. They are set if the hub asked for them and lacks
	// them.
	Given   *CompressedConfiguration
	Changes []fleetload.Change
}

// Known is the offset up to which a router knows a topic, and when the read that showed this was sent.
type Known struct {
	Known bool
	Next  int64
	After time.Duration
	// Generation is the generation of the log that Next belongs to.
	Generation int64
}

func (k Known) end() compactedlog.Position {
	return compactedlog.Position{Generation: k.Generation, Offset: k.Next}
}
